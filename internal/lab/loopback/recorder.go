package loopback

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"pinelb.example/pinelb/internal/lab/plan"
	"pinelb.example/pinelb/internal/lab/trace"
)

const (
	maxPreallocated   = 1 << 21 // entries of a list
	entriesPerRequest = 1.5     // client attempts or endpoint requests, retries included
)

// recorder collects the trace; it is safe for concurrent use.
type recorder struct {
	mu  sync.Mutex
	log trace.Log
}

// newRecorder allocates what a plan is likely to need: a list that grows is copied while everyone waits, for 10 to 20 ms at 40,000
// entries, and by so much the clients would be late.
func newRecorder(p *plan.Plan) *recorder {
	perRequest := entriesPerRequest
	for _, tier := range p.Scenario.Tiers {
		perRequest += entriesPerRequest * tier.Calls
	}
	requests := min(maxPreallocated, int(perRequest*float64(len(p.Requests))))
	samples := len(p.Endpoints) * int((p.Scenario.Length.D()+maxOverrun)/sampleInterval)
	return &recorder{log: trace.Log{
		ClientAttempts:   make([]trace.ClientAttempt, 0, requests),
		EndpointRequests: make([]trace.EndpointRequest, 0, requests),
		Samples:          make([]trace.Sample, 0, min(maxPreallocated, samples)),
		Lateness:         make([]time.Duration, 0, len(p.Requests)),
	}}
}

// record adds entries to one of the log's lists.
func record[E any](r *recorder, list *[]E, entries ...E) {
	r.mu.Lock()
	defer r.mu.Unlock()
	*list = append(*list, entries...)
}

func (r *recorder) addClientAttempt(attempt trace.ClientAttempt) {
	record(r, &r.log.ClientAttempts, attempt)
}

func (r *recorder) addEndpointRequest(request trace.EndpointRequest) {
	record(r, &r.log.EndpointRequests, request)
}

func (r *recorder) addNotification(notification trace.Notification) {
	record(r, &r.log.Notifications, notification)
}

func (r *recorder) addSidecarEvent(event trace.SidecarEvent) {
	record(r, &r.log.SidecarEvents, event)
}

func (r *recorder) addPoll(poll trace.DiscoveryPoll) {
	record(r, &r.log.Polls, poll)
}

func (r *recorder) addConnection(connection trace.Connection) {
	record(r, &r.log.Connections, connection)
}

func (r *recorder) addReplayedOrder(order trace.ReplayedOrder) {
	record(r, &r.log.ReplayedOrders, order)
}

func (r *recorder) addSamples(samples ...trace.Sample) {
	record(r, &r.log.Samples, samples...)
}

// addLateness records by how much a first attempt was started too late.
func (r *recorder) addLateness(by time.Duration) {
	record(r, &r.log.Lateness, by)
}

// finish adds what is known at the end alone, duplicates being the transaction ids of attempts that got a second response after
// their first, and returns the log, sorted.
func (r *recorder) finish(usage []trace.Usage, duplicates []uint64) *trace.Log {
	duplicated := make(map[uint64]bool, len(duplicates))
	for _, id := range duplicates {
		duplicated[id] = true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.log.Usage = usage
	for i := range r.log.ClientAttempts {
		if attempt := &r.log.ClientAttempts[i]; duplicated[attempt.TransactionID] {
			attempt.Responses++
		}
	}
	sortLog(&r.log)
	return &r.log
}

// sortLog sorts the lists by time.
func sortLog(log *trace.Log) {
	slices.SortStableFunc(log.ClientAttempts, func(a, b trace.ClientAttempt) int {
		return cmp.Or(cmp.Compare(a.Due, b.Due), cmp.Compare(a.Request, b.Request), cmp.Compare(a.Tier, b.Tier), cmp.Compare(a.Number, b.Number))
	})
	sortByTime(log.EndpointRequests, func(r trace.EndpointRequest) time.Duration { return r.FirstByte })
	sortByTime(log.Notifications, func(n trace.Notification) time.Duration { return n.At })
	sortByTime(log.Polls, func(p trace.DiscoveryPoll) time.Duration { return p.At })
	sortByTime(log.Connections, func(c trace.Connection) time.Duration { return c.At })
	sortByTime(log.SidecarEvents, func(e trace.SidecarEvent) time.Duration { return e.At })
	sortByTime(log.Samples, func(s trace.Sample) time.Duration { return s.At })
}

func sortByTime[E any](entries []E, at func(E) time.Duration) {
	slices.SortStableFunc(entries, func(a, b E) int { return cmp.Compare(at(a), at(b)) })
}
