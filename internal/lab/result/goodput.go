package result

import (
	"time"

	"pinelb.example/pinelb/internal/lab/trace"
)

// room is Result.Room. Work that is left over at the end of a second is taken to be lost.
func (r *analysis) attainableGoodput(seconds int) float64 {
	p := r.plan
	could := make([][]float64, len(p.Scenario.Tier)) // by tier and second, seconds of standard work
	for t := range could {
		could[t] = make([]float64, seconds)
	}
	for i := range r.endpoints {
		each := r.endpoints[i].perSecond(seconds, func(s *trace.Sample) time.Duration { return s.PossibleWork })
		for at, v := range each {
			could[p.Boxes[i].Tier][at] += v
		}
	}
	work, worth := make([]float64, seconds), make([]float64, seconds)
	for i := range r.requests {
		q := &p.Requests[i]
		if at := int(q.Due / time.Second); q.Due >= r.settle && at < seconds {
			work[at] += q.Work.Seconds()
			worth[at] += r.requests[i].value
		}
	}
	allowed, asked := 0.0, 0.0
	for at := range work {
		share, visits := 1.0, 1.0
		for t, tier := range p.Scenario.Tier {
			if need := work[at] * tier.Work * visits; need > 0 {
				share = min(share, could[t][at]/need)
			}
			visits *= tier.Calls
		}
		allowed += worth[at] * share
		asked += worth[at]
	}
	return round(ratio(allowed, asked))
}
