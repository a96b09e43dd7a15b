package result

import (
	"slices"
	"time"

	"pinelb.example/pinelb/internal/lab/plan"
	"pinelb.example/pinelb/internal/lab/trace"
)

// endpointSamples is one box's samples, by time.
type endpointSamples []trace.Sample

func samplesByEndpoint(p *plan.Plan, log *trace.Log) []endpointSamples {
	out := make([]endpointSamples, len(p.Boxes))
	for _, s := range log.Samples {
		if s.Endpoint >= 0 && s.Endpoint < len(out) {
			out[s.Endpoint] = append(out[s.Endpoint], s)
		}
	}
	for i := range out {
		slices.SortStableFunc(out[i], func(a, b trace.Sample) int { return int(a.At - b.At) })
	}
	return out
}

func (b endpointSamples) summarize(p *plan.Plan, i, seconds int) Endpoint {
	of := &p.Boxes[i]
	out := Endpoint{Name: of.Name, Tier: of.Tier, Kind: of.Kind, Cores: of.Spec.Cores, Samples: len(b), Collapsed: b.collapsed(0, maxDuration),
		MaxColdLoad: b.maxColdLoad(p.Scenario.Rules.FallWindow.D(), 0, maxDuration)}
	out.SentWork = b.perSecond(seconds, func(s *trace.Sample) time.Duration { return s.SentWork })
	out.PossibleWork = b.perSecond(seconds, func(s *trace.Sample) time.Duration { return s.PossibleWork })
	out.Running, out.Queued, out.WarmingUp = make([]float64, seconds), make([]float64, seconds), make([]bool, seconds)
	n := make([]float64, seconds)
	for j := range b {
		if at := int(b[j].At / time.Second); at < seconds {
			n[at]++
			out.Running[at] += float64(b[j].Running)
			out.Queued[at] += float64(b[j].Queued)
			out.WarmingUp[at] = out.WarmingUp[at] || b[j].WarmingUp
		}
	}
	for at := range n {
		out.Running[at], out.Queued[at] = ratio(out.Running[at], n[at]), ratio(out.Queued[at], n[at])
	}
	return out
}

// perSecond is how much an integral grew in each second. Between samples, and from 0 at the run's start, it
// counts as straight.
func (b endpointSamples) perSecond(seconds int, of func(*trace.Sample) time.Duration) []float64 {
	out := make([]float64, seconds)
	before, next := 0.0, 0
	for i := range out {
		end := time.Duration(i+1) * time.Second
		for next < len(b) && b[next].At < end {
			next++
		}
		var from, value time.Duration
		if next > 0 {
			from, value = b[next-1].At, of(&b[next-1])
		}
		now := value.Seconds()
		if next < len(b) && b[next].At > from {
			now += (of(&b[next]) - value).Seconds() * float64(end-from) / float64(b[next].At-from)
		}
		out[i] = round(now - before)
		before = now
	}
	return out
}

func (b endpointSamples) collapsed(from, to time.Duration) bool {
	return slices.ContainsFunc(b, func(s trace.Sample) bool { return s.Collapsed && s.At >= from && s.At < to })
}

// worst is the highest ratio of the work that reached it in a window to what it could do in that window, over
// all windows that end, by the samples, in a time in which it was cold. Before its start it counts as able to
// do what it can at its start, as the model has it. Samples are 100 ms apart, so the true highest can be a
// little above.
func (b endpointSamples) maxColdLoad(window, from, to time.Duration) (worst float64) {
	first, base := -1, 0 // samples: the first of this cold stretch, and the last before the window
	for i := range b {
		s := &b[i]
		if !s.WarmingUp && !(s.Collapsed && first >= 0) {
			first = -1
			continue
		}
		if first < 0 {
			first, base = i, max(i-1, 0)
		}
		start := s.At - window
		for base < i && b[base+1].At <= start {
			base++
		}
		sent, could := s.SentWork-b[base].SentWork, (s.PossibleWork - b[base].PossibleWork).Seconds()
		if b[base].At > start || base < first {
			could = (s.PossibleWork - b[first].PossibleWork).Seconds() + b[first].Capacity*max(b[first].At-start, 0).Seconds()
			if first == 0 {
				sent = s.SentWork // the run began with it
			}
		}
		if could > 0 && s.At >= from && s.At < to {
			worst = max(worst, sent.Seconds()/could)
		}
		if s.Collapsed {
			first = -1 // it is judged up to its fall
		}
	}
	return round(worst)
}
