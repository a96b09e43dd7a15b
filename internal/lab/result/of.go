package result

import (
	"fmt"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"pinelb.example/pinelb/internal/lab/plan"
	"pinelb.example/pinelb/internal/lab/scenario"
	"pinelb.example/pinelb/internal/lab/trace"
)

// Of is a run's result.
func Of(p *plan.Plan, log *trace.Log, broken []Broken, meta Meta) *Result {
	r := &run{plan: p, log: log, settle: p.Scenario.WarmUp.D()}
	r.fates, r.stray = fates(p, log)
	r.boxes = boxesOf(p, log)
	s := p.Scenario
	out := &Result{Schema: Schema, Scenario: s.Name, About: s.About, Seed: p.Seed, Builds: list(meta.Builds), Player: meta.Player, Sidecars: len(p.Sidecars),
		Length: s.Length.D().Seconds(), Settle: r.settle.Seconds(), End: tidy(log.End.Seconds()), Tiers: []string{},
		Strays: r.stray.visits, Broken: told(broken), Rig: rigOf(log.Lateness), Usage: usageOf(p, log), Seconds: r.seconds(),
		Expect: []Expect{}, Marks: []Mark{}, Classes: []Class{}, Boxes: []Box{}, Aims: []float64{}}
	for _, t := range s.Tiers {
		out.Tiers = append(out.Tiers, t.Name)
	}
	out.Notice = noticeOf(p, log)
	if meta.Player == "sockets" {
		out.Together = r.together()
		if r.audited = r.audits(); p.NeedsControlAccess() || r.audited.Late > 0 {
			out.Audited = r.audited
		}
	}
	out.Peak = r.peak(-longest, longest)
	out.Room = r.room(len(out.Seconds))
	out.All = r.tally(-1, r.settle, longest).figures()
	for i, c := range s.Classes {
		aim := milli(float64(c.TargetLatency.D().Microseconds()))
		out.Classes = append(out.Classes, Class{Name: c.Name, Aim: aim, Figures: r.tally(i, r.settle, longest).figures()})
		out.Aims = append(out.Aims, aim)
	}
	slices.Sort(out.Aims)
	out.Aims = slices.Compact(out.Aims)
	for _, e := range s.Expectations {
		out.Expect = append(out.Expect, r.expect(&e))
	}
	for _, m := range p.Annotations {
		out.Marks = append(out.Marks, r.mark(m))
	}
	for i := range r.boxes {
		b := r.boxes[i].box(p, i, len(out.Seconds))
		out.Boxes = append(out.Boxes, b)
		out.Worst = max(out.Worst, b.Worst)
		if b.Fallen {
			out.Fallen++
		}
	}
	return out
}

// run is what the figures are taken from.
type run struct {
	plan   *plan.Plan
	log    *trace.Log
	settle time.Duration
	fates  []fate
	stray  stray
	boxes  []boxLog

	audited *Audited // nil: nobody can call the sidecars
}

// tally sums up a class (-1 is all) in a window of due times.
func (r *run) tally(class int, from, to time.Duration) *tally {
	t := newTally(len(r.plan.Scenario.Tiers))
	t.window(r.fates, class, from, to)
	if class < 0 {
		t.strayed(r.stray, from, to)
	}
	return t
}

// seconds is the series: as far as the arrivals go, at least the scenario's length.
func (r *run) seconds() []Second {
	length := r.plan.Scenario.Length.D()
	if n := len(r.fates); n > 0 {
		length = max(length, r.fates[n-1].due+1)
	}
	out := make([]Second, int((length+time.Second-1)/time.Second))
	t, next := newTally(len(r.plan.Scenario.Tiers)), 0
	for i := range out {
		t.reset()
		for ; next < len(r.fates) && r.fates[next].due < time.Duration(i+1)*time.Second; next++ {
			if r.fates[next].due >= r.settle {
				t.add(&r.fates[next])
			}
		}
		s := Second{At: i, Asked: t.asked, Served: t.by[served], Late: t.by[late], Refused: t.by[refused], Failed: t.by[failed],
			Gone: t.by[gone], Service: ratio(t.met, t.worth), Tries: t.tries, Refusals: t.refusals,
			Visits: slices.Clone(t.visits), Copies: t.copies}
		if t.latency.TotalCount() > 0 {
			s.Mean, s.P50, s.P99 = milli(t.latency.Mean()), t.quantile(50), t.quantile(99)
		}
		out[i] = s
	}
	return out
}

// mark compares the service in a fault with that before and after it.
func (r *run) mark(m plan.Annotation) Mark {
	service := func(from, to time.Duration) *float64 {
		t := r.tally(-1, max(from, r.settle), to)
		if t.asked == 0 {
			return nil
		}
		v := ratio(t.met, t.worth)
		return &v
	}
	to := max(m.To, m.From+leastMark)
	return Mark{What: m.Name, From: tidy(m.From.Seconds()), To: tidy(m.To.Seconds()), Before: service(m.From-around, m.From),
		During: service(m.From, to), After: service(to, to+around)}
}

// rigOf judges the rig itself.
func rigOf(lateness []time.Duration) Rig {
	h := hdrhistogram.New(1, longestLat.Microseconds(), 3)
	veryLate := 0
	for _, d := range lateness {
		_ = h.RecordValue(min(max(d.Microseconds(), 0), longestLat.Microseconds())) // within its bounds
		if d > voidLate {
			veryLate++
		}
	}
	out := Rig{Sent: len(lateness), VeryLate: ratio(float64(veryLate), float64(len(lateness)))}
	if out.Sent == 0 {
		return out
	}
	out.P50, out.P99 = milli(float64(h.ValueAtPercentile(50))), milli(float64(h.ValueAtPercentile(99)))
	out.Max = milli(float64(h.Max()))
	switch {
	case out.VeryLate > voidShare:
		out.Why = fmt.Sprintf("%.1f%% of the first tries were sent more than %s late; %.0f%% may be", 100*out.VeryLate, voidLate, 100*voidShare)
	case out.P99 > float64(voidP99.Milliseconds()):
		out.Why = fmt.Sprintf("one first try in a hundred was sent %.0f ms late or later; %s is the most", out.P99, voidP99)
	}
	out.Void = out.Why != ""
	return out
}

func usageOf(p *plan.Plan, log *trace.Log) []Usage {
	out := []Usage{}
	for _, u := range log.Usage {
		name := fmt.Sprintf("sidecar %d", u.Sidecar)
		if u.Sidecar >= 0 && u.Sidecar < len(p.Sidecars) {
			name = p.Sidecars[u.Sidecar].Name
		}
		out = append(out, Usage{Sidecar: name, Build: u.Build, CPU: tidy(u.CPU.Seconds()), PeakMemory: tidy(float64(u.PeakMemory) / (1 << 20)),
			Descriptors: u.MaxDescriptors})
	}
	return out
}

// told keeps the kinds that were broken, with a bounded number of stories.
func told(broken []Broken) []Broken {
	out := []Broken{}
	for _, b := range broken {
		if b.Count > 0 {
			out = append(out, Broken{b.Kind, b.Count, list(b.Stories[:min(len(b.Stories), mostTold)])})
		}
	}
	return out
}

// list is never nil, so that the file has [] and not null.
func list[T any](v []T) []T { return append([]T{}, v...) }

// expect measures an expectation.
func (r *run) expect(e *scenario.Expectation) Expect {
	from, to := r.settle, longest
	if e.From > 0 {
		from = e.From.D()
	}
	if e.To > 0 {
		to = e.To.D()
	}
	out := Expect{What: e.Measure, Class: e.Class, From: from.Seconds(), To: e.To.D().Seconds(), Least: e.Min, Most: e.Max}
	if v, known := r.measure(e.Measure, r.plan.Scenario.ClassIndex(e.Class), from, to); known {
		out.Measured = &v
		out.Held = (e.Min == nil || v >= *e.Min) && (e.Max == nil || v <= *e.Max)
	}
	return out
}
