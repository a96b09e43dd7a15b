package result

import (
	"cmp"
	"slices"
	"time"

	"pinelb.example/pinelb/internal/lab/plan"
	"pinelb.example/pinelb/internal/lab/trace"
)

// outcome is how a request ended.
type outcome int

const (
	served       outcome = iota // within its class's target latency
	late                        // served later than that
	rejected                    // the last attempt was answered 429 or 503
	failed                      // anything else
	canceled                    // by the client
	outcomeCount                // number of outcomes, no outcome itself
)

// requestResult sums up a client's request over all its attempts.
type requestResult struct {
	due              time.Duration
	class            int
	outcome          outcome
	latency          time.Duration // from due, where served or late
	value            float64
	clientAttempts   int
	rejections       int
	hedges           int
	endpointRequests []int         // by tier
	work             time.Duration // done for it by endpoints
	wasted           time.Duration // part of work that didn't serve the client

	lastAttempt   int // index of a client attempt; -1 is none
	servedAttempt int // index of the one that was served first; -1 is none
}

// unattributedWork is what endpoints did for requests that belong to no client request of the plan.
type unattributedWork struct {
	requests int
	work     []timedWork
}

type timedWork struct {
	startedAt time.Duration
	work      time.Duration
}

// requestResults returns the results of the requests that were due before the run's end, in the plan's order.
func requestResults(p *plan.Plan, log *trace.Log) ([]requestResult, unattributedWork) {
	s := p.Scenario
	n, _ := slices.BinarySearchFunc(p.Requests, log.End, func(r plan.Request, end time.Duration) int {
		return cmp.Compare(r.Due, end)
	})
	out := make([]requestResult, n)
	tiers := len(s.Tiers)
	endpointRequests := make([]int, n*tiers)
	for i := range out {
		request := &p.Requests[i]
		out[i] = requestResult{
			due:              request.Due,
			class:            request.Class,
			value:            s.Classes[request.Class].Value,
			endpointRequests: endpointRequests[i*tiers : (i+1)*tiers],
			lastAttempt:      -1,
			servedAttempt:    -1,
		}
		if s.Rules.ValueByWork {
			out[i].value *= request.Work.Seconds()
		}
	}
	for i := range log.ClientAttempts {
		if attempt := &log.ClientAttempts[i]; attempt.Tier == 0 && attempt.Request >= 0 && attempt.Request < n {
			out[attempt.Request].addClientAttempt(log.ClientAttempts, i)
		}
	}
	for i := range out {
		out[i].classify(log.ClientAttempts, s.Classes[out[i].class].TargetLatency.D())
	}
	return out, attributeWork(p, log, out)
}

// addClientAttempt counts the client attempt of that index.
func (r *requestResult) addClientAttempt(attempts []trace.ClientAttempt, index int) {
	attempt := &attempts[index]
	r.clientAttempts++
	if attempt.Status == trace.StatusRejected {
		r.rejections++
	}
	if r.lastAttempt < 0 || attempt.Number >= attempts[r.lastAttempt].Number {
		r.lastAttempt = index
	}
	if attempt.Status == trace.StatusServed && !attempt.Forged && (r.servedAttempt < 0 || attempt.Ended < attempts[r.servedAttempt].Ended) {
		r.servedAttempt = index
	}
}

// classify sets the outcome and the latency. A request without any attempt has failed.
func (r *requestResult) classify(attempts []trace.ClientAttempt, targetLatency time.Duration) {
	switch {
	case r.servedAttempt >= 0:
		r.latency = attempts[r.servedAttempt].Ended - r.due
		r.outcome = served
		if r.latency > targetLatency {
			r.outcome = late
		}
	case r.lastAttempt >= 0 && attempts[r.lastAttempt].Status == trace.StatusRejected:
		r.outcome = rejected
	case r.lastAttempt >= 0 && attempts[r.lastAttempt].Status == trace.StatusCanceled:
		r.outcome = canceled
	default:
		r.outcome = failed
	}
}

// attributeWork adds each endpoint request to the result of the client request that it belongs to, and returns the rest.
func attributeWork(p *plan.Plan, log *trace.Log, results []requestResult) unattributedWork {
	attempts := attemptIndex{p, log.ClientAttempts, make(map[uint64]int, len(log.ClientAttempts))}
	for i := range log.ClientAttempts {
		attempts.byTransaction[log.ClientAttempts[i].TransactionID] = i
	}
	order := make([]int, len(log.EndpointRequests))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		v, w := &log.EndpointRequests[a], &log.EndpointRequests[b]
		return cmp.Or(cmp.Compare(v.TransactionID, w.TransactionID), cmp.Compare(v.FirstByte, w.FirstByte))
	})
	var unattributed unattributedWork
	for from, to := 0, 0; from < len(order); from = to {
		transaction := log.EndpointRequests[order[from]].TransactionID
		for to = from; to < len(order) && log.EndpointRequests[order[to]].TransactionID == transaction; to++ {
		}
		i, known := attempts.byTransaction[transaction]
		if !known || log.ClientAttempts[i].Request < 0 || log.ClientAttempts[i].Request >= len(results) {
			for _, j := range order[from:to] {
				request := &log.EndpointRequests[j]
				unattributed.requests++
				unattributed.work = append(unattributed.work, timedWork{request.FirstByte, request.Work})
			}
			continue
		}
		attempt := &log.ClientAttempts[i]
		result := &results[attempt.Request]
		result.addEndpointRequests(log.EndpointRequests, order[from:to], attempt, attempts.isUseful(result, i))
	}
	return unattributed
}

// attemptIndex finds client attempts by their transaction id.
type attemptIndex struct {
	plan          *plan.Plan
	attempts      []trace.ClientAttempt
	byTransaction map[uint64]int // index into attempts
}

// isUseful reports whether the response to an attempt became part of what the client got: it is the client's served
// attempt itself, or a call by the endpoint whose response another such attempt got.
func (x *attemptIndex) isUseful(r *requestResult, index int) bool {
	attempt := &x.attempts[index]
	if r.servedAttempt < 0 || attempt.Tier == 0 {
		return index == r.servedAttempt
	}
	parent, known := x.byTransaction[attempt.Parent]
	if attempt.Parent == 0 || !known {
		parent = r.servedAttempt
	}
	if attempt.Status != trace.StatusServed || !x.calledBy(attempt, x.attempts[parent].Endpoint) {
		return false
	}
	return parent == r.servedAttempt || x.isUseful(r, parent)
}

// calledBy reports whether an attempt came by the sidecar beside an endpoint, as far as both are known.
func (x *attemptIndex) calledBy(attempt *trace.ClientAttempt, endpoint int) bool {
	if attempt.Sidecar < 0 || attempt.Sidecar >= len(x.plan.Sidecars) || endpoint < 0 {
		return true
	}
	return x.plan.Sidecars[attempt.Sidecar].Endpoint == endpoint
}

// addEndpointRequests counts the endpoint requests of one attempt, given by indices sorted by FirstByte. Where the attempt
// was useful, the work of the one whose response it got isn't wasted.
func (r *requestResult) addEndpointRequests(requests []trace.EndpointRequest, indices []int, attempt *trace.ClientAttempt, useful bool) {
	answered := -1 // index of the request whose response the attempt got
	openUntil := time.Duration(-1)
	for _, i := range indices {
		request := &requests[i]
		r.endpointRequests[attempt.Tier]++
		r.work += request.Work
		r.wasted += request.Work
		if request.FirstByte < openUntil {
			r.hedges++
		}
		if request.Ended == trace.Unset {
			openUntil = maxDuration
		}
		openUntil = max(openUntil, request.Ended)
		isResponse := request.Outcome == trace.OutcomeOK && (attempt.Endpoint < 0 || request.Endpoint == attempt.Endpoint)
		if isResponse && (answered < 0 || request.Ended < requests[answered].Ended) {
			answered = i
		}
	}
	if useful && answered >= 0 {
		r.wasted -= requests[answered].Work
	}
}
