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
	rejected
	failed
	canceled
	outcomeCount
)

// fate is one request over all its tries.
type requestResult struct {
	due                        time.Duration
	class                      int
	outcome                    outcome
	latency                    time.Duration // of one served or late
	value                      float64
	clientAttempts, rejections int
	hedges                     int
	endpointRequests           []int // by tier
	work, wasted               time.Duration

	lastAttempt, servedAttempt int // its last try and the one that was served; -1 is none
}

// stray is what boxes did for nobody that is known.
type unattributedWork struct {
	requests int
	work     []timedWork
}

// moment is work that was begun at a time.
type timedWork struct {
	startedAt time.Duration
	work      time.Duration
}

// fates is what became of each request that was due before the run was over, in the plan's order.
func requestResults(p *plan.Plan, log *trace.Log) ([]requestResult, unattributedWork) {
	s := p.Scenario
	n, _ := slices.BinarySearchFunc(p.Requests, log.End, func(r plan.Request, end time.Duration) int { return cmp.Compare(r.Due, end) })
	out := make([]requestResult, n)
	visits := make([]int, n*len(s.Tier))
	for i := range out {
		r := &p.Requests[i]
		out[i] = requestResult{due: r.Due, class: r.Class, value: s.Class[r.Class].Worth, lastAttempt: -1, servedAttempt: -1,
			endpointRequests: visits[i*len(s.Tier) : (i+1)*len(s.Tier)]}
		if s.Rules.ByWork {
			out[i].value *= r.Work.Seconds()
		}
	}
	for i := range log.ClientAttempts {
		if t := &log.ClientAttempts[i]; t.Tier == 0 && t.Request >= 0 && t.Request < n {
			out[t.Request].addClientAttempt(log.ClientAttempts, i)
		}
	}
	for i := range out {
		out[i].classify(log.ClientAttempts, s.Class[out[i].class].Aim.D())
	}
	return out, attributeWork(p, log, out)
}

// client takes in one of the client's tries.
func (f *requestResult) addClientAttempt(tries []trace.ClientAttempt, i int) {
	t := &tries[i]
	f.clientAttempts++
	if t.Status == trace.StatusRejected {
		f.rejections++
	}
	if f.lastAttempt < 0 || t.Number >= tries[f.lastAttempt].Number {
		f.lastAttempt = i
	}
	if t.Status == trace.StatusServed && !t.Forged && (f.servedAttempt < 0 || t.Ended < tries[f.servedAttempt].Ended) {
		f.servedAttempt = i
	}
}

// decide says what came of it. A request with no try at all has failed: nobody carried it.
func (f *requestResult) classify(tries []trace.ClientAttempt, aim time.Duration) {
	switch {
	case f.servedAttempt >= 0:
		f.latency = tries[f.servedAttempt].Ended - f.due
		f.outcome = served
		if f.latency > aim {
			f.outcome = late
		}
	case f.lastAttempt >= 0 && tries[f.lastAttempt].Status == trace.StatusRejected:
		f.outcome = rejected
	case f.lastAttempt >= 0 && tries[f.lastAttempt].Status == trace.StatusCanceled:
		f.outcome = canceled
	default:
		f.outcome = failed
	}
}

// attempts gives each request its visits and tells which of their work served its client.
func attributeWork(p *plan.Plan, log *trace.Log, out []requestResult) unattributedWork {
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
	var lost unattributedWork
	for from, to := 0, 0; from < len(order); from = to {
		txn := log.EndpointRequests[order[from]].TransactionID
		for to = from; to < len(order) && log.EndpointRequests[order[to]].TransactionID == txn; to++ {
		}
		i, known := tries[txn]
		if !known || log.ClientAttempts[i].Request < 0 || log.ClientAttempts[i].Request >= len(out) {
			for _, v := range order[from:to] {
				lost.requests++
				lost.work = append(lost.work, timedWork{log.EndpointRequests[v].FirstByte, log.EndpointRequests[v].Work})
			}
			continue
		}
		t := &log.ClientAttempts[i]
		f := &out[t.Request]
		f.addEndpointRequests(log.EndpointRequests, order[from:to], t, f.isUseful(p, log.ClientAttempts, tries, i))
	}
	return lost
}

// useful tells whether the answer to a try went into what the client got: it is the client's served try itself, or a
// call by the box whose answer another such try got. By has the tries' places by id.
func (f *requestResult) isUseful(p *plan.Plan, tries []trace.ClientAttempt, by map[uint64]int, i int) bool {
	t := &tries[i]
	if f.servedAttempt < 0 || t.Tier == 0 {
		return i == f.servedAttempt
	}
	parent, known := by[t.Parent]
	if t.Parent == 0 || !known {
		parent = f.servedAttempt
	}
	box := tries[parent].Endpoint
	return t.Status == trace.StatusServed && (t.Sidecar < 0 || t.Sidecar >= len(p.Sidecars) || box < 0 || p.Sidecars[t.Sidecar].Box == box) &&
		(parent == f.servedAttempt || f.isUseful(p, tries, by, parent))
}

// visited takes in the visits of one try, by Begun.
func (f *requestResult) addEndpointRequests(visits []trace.EndpointRequest, of []int, t *trace.ClientAttempt, useful bool) {
	answer := -1 // the visit whose answer the try got
	open := time.Duration(-1)
	for _, i := range of {
		v := &visits[i]
		f.endpointRequests[t.Tier]++
		f.work += v.Work
		f.wasted += v.Work
		if v.FirstByte < open {
			f.hedges++
		}
		if v.Ended == trace.Unset {
			open = maxDuration
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
