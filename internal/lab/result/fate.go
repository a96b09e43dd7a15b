package result

import (
	"cmp"
	"slices"
	"time"

	"pinelb.example/pinelb/internal/lab/plan"
	"pinelb.example/pinelb/internal/lab/trace"
)

// outcome is what became of a request.
type outcome int

const (
	served outcome = iota // in its aim
	late
	refused
	failed
	gone
	outcomes
)

// fate is one request over all its tries.
type fate struct {
	due             time.Duration
	class           int
	outcome         outcome
	latency         time.Duration // of one served or late
	worth           float64
	tries, refusals int
	copies          int
	visits          []int // by tier
	work, wasted    time.Duration

	last, best int // its last try and the one that was served; -1 is none
}

// stray is what boxes did for nobody that is known.
type stray struct {
	visits int
	work   []moment
}

// moment is work that was begun at a time.
type moment struct {
	at   time.Duration
	work time.Duration
}

// fates is what became of each request that was due before the run was over, in the plan's order.
func fates(p *plan.Plan, log *trace.Log) ([]fate, stray) {
	s := p.Scenario
	n, _ := slices.BinarySearchFunc(p.Requests, log.End, func(r plan.Request, end time.Duration) int { return cmp.Compare(r.Due, end) })
	out := make([]fate, n)
	visits := make([]int, n*len(s.Tiers))
	for i := range out {
		r := &p.Requests[i]
		out[i] = fate{due: r.Due, class: r.Class, worth: s.Classes[r.Class].Value, last: -1, best: -1,
			visits: visits[i*len(s.Tiers) : (i+1)*len(s.Tiers)]}
		if s.Rules.ValueByWork {
			out[i].worth *= r.Work.Seconds()
		}
	}
	for i := range log.ClientAttempts {
		if t := &log.ClientAttempts[i]; t.Tier == 0 && t.Request >= 0 && t.Request < n {
			out[t.Request].client(log.ClientAttempts, i)
		}
	}
	for i := range out {
		out[i].decide(log.ClientAttempts, s.Classes[out[i].class].TargetLatency.D())
	}
	return out, attempts(p, log, out)
}

// client takes in one of the client's tries.
func (f *fate) client(tries []trace.ClientAttempt, i int) {
	t := &tries[i]
	f.tries++
	if t.Status == trace.StatusRejected {
		f.refusals++
	}
	if f.last < 0 || t.Number >= tries[f.last].Number {
		f.last = i
	}
	if t.Status == trace.StatusServed && !t.Forged && (f.best < 0 || t.Ended < tries[f.best].Ended) {
		f.best = i
	}
}

// decide says what came of it. A request with no try at all has failed: nobody carried it.
func (f *fate) decide(tries []trace.ClientAttempt, aim time.Duration) {
	switch {
	case f.best >= 0:
		f.latency = tries[f.best].Ended - f.due
		f.outcome = served
		if f.latency > aim {
			f.outcome = late
		}
	case f.last >= 0 && tries[f.last].Status == trace.StatusRejected:
		f.outcome = refused
	case f.last >= 0 && tries[f.last].Status == trace.StatusCanceled:
		f.outcome = gone
	default:
		f.outcome = failed
	}
}

// attempts gives each request its visits and tells which of their work served its client.
func attempts(p *plan.Plan, log *trace.Log, out []fate) stray {
	tries := make(map[uint64]int, len(log.ClientAttempts))
	for i := range log.ClientAttempts {
		tries[log.ClientAttempts[i].TransactionID] = i
	}
	order := make([]int, len(log.EndpointRequests))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		v, w := &log.EndpointRequests[a], &log.EndpointRequests[b]
		return cmp.Or(cmp.Compare(v.TransactionID, w.TransactionID), cmp.Compare(v.FirstByte, w.FirstByte))
	})
	var lost stray
	for from, to := 0, 0; from < len(order); from = to {
		txn := log.EndpointRequests[order[from]].TransactionID
		for to = from; to < len(order) && log.EndpointRequests[order[to]].TransactionID == txn; to++ {
		}
		i, known := tries[txn]
		if !known || log.ClientAttempts[i].Request < 0 || log.ClientAttempts[i].Request >= len(out) {
			for _, v := range order[from:to] {
				lost.visits++
				lost.work = append(lost.work, moment{log.EndpointRequests[v].FirstByte, log.EndpointRequests[v].Work})
			}
			continue
		}
		t := &log.ClientAttempts[i]
		f := &out[t.Request]
		f.visited(log.EndpointRequests, order[from:to], t, f.useful(p, log.ClientAttempts, tries, i))
	}
	return lost
}

// useful tells whether the answer to a try went into what the client got: it is the client's served try itself, or a
// call by the box whose answer another such try got. By has the tries' places by id.
func (f *fate) useful(p *plan.Plan, tries []trace.ClientAttempt, by map[uint64]int, i int) bool {
	t := &tries[i]
	if f.best < 0 || t.Tier == 0 {
		return i == f.best
	}
	parent, known := by[t.Parent]
	if t.Parent == 0 || !known {
		parent = f.best
	}
	box := tries[parent].Endpoint
	return t.Status == trace.StatusServed && (t.Sidecar < 0 || t.Sidecar >= len(p.Sidecars) || box < 0 || p.Sidecars[t.Sidecar].Endpoint == box) &&
		(parent == f.best || f.useful(p, tries, by, parent))
}

// visited takes in the visits of one try, by Begun.
func (f *fate) visited(visits []trace.EndpointRequest, of []int, t *trace.ClientAttempt, useful bool) {
	answer := -1 // the visit whose answer the try got
	open := time.Duration(-1)
	for _, i := range of {
		v := &visits[i]
		f.visits[t.Tier]++
		f.work += v.Work
		f.wasted += v.Work
		if v.FirstByte < open {
			f.copies++
		}
		if v.Ended == trace.Unset {
			open = longest
		}
		open = max(open, v.Ended)
		if v.Outcome == trace.OutcomeOK && (t.Endpoint < 0 || v.Endpoint == t.Endpoint) && (answer < 0 || v.Ended < visits[answer].Ended) {
			answer = i
		}
	}
	if useful && answer >= 0 {
		f.wasted -= visits[answer].Work
	}
}
