package judge

import (
	"cmp"
	"slices"

	"pinelb.example/pinelb/internal/lab/trace"
)

// entry is a position in a list of the log, under the id by which it is looked up.
type entry struct {
	id       uint64
	position int32
}

// index joins client attempts and endpoint requests by their transaction ids.
type index struct {
	log               *trace.Log
	attempts          []entry // by TransactionID
	requests          []int32 // positions in Log.EndpointRequests, by TransactionID, then FirstByte
	requestEntries    []entry // the same, with their ids
	attemptsByRequest []entry // client attempts by Request; made when a timeline first needs it
}

func newIndex(log *trace.Log) index {
	x := index{
		log:            log,
		attempts:       make([]entry, len(log.ClientAttempts)),
		requests:       make([]int32, len(log.EndpointRequests)),
		requestEntries: make([]entry, len(log.EndpointRequests)),
	}
	for i := range log.ClientAttempts {
		x.attempts[i] = entry{log.ClientAttempts[i].TransactionID, int32(i)}
	}
	for i := range log.EndpointRequests {
		x.requestEntries[i] = entry{log.EndpointRequests[i].TransactionID, int32(i)}
	}
	slices.SortFunc(x.attempts, byID)
	slices.SortFunc(x.requestEntries, func(a, b entry) int {
		return cmp.Or(cmp.Compare(a.id, b.id),
			cmp.Compare(log.EndpointRequests[a.position].FirstByte, log.EndpointRequests[b.position].FirstByte),
			cmp.Compare(a.position, b.position))
	})
	for i, e := range x.requestEntries {
		x.requests[i] = e.position
	}
	return x
}

func byID(a, b entry) int {
	return cmp.Or(cmp.Compare(a.id, b.id), cmp.Compare(a.position, b.position))
}

// compareID compares an entry with an id, for binary searches.
func compareID(e entry, id uint64) int { return cmp.Compare(e.id, id) }

// each calls f for every client attempt with its endpoint requests, and with an attempt of -1 for requests with an id that no attempt
// has.
func (x *index) each(f func(attempt int, requests []int32)) {
	next := 0
	take := func() []int32 { // the requests with the next id
		from := next
		for next < len(x.requestEntries) && x.requestEntries[next].id == x.requestEntries[from].id {
			next++
		}
		return x.requests[from:next]
	}
	for _, attempt := range x.attempts {
		for next < len(x.requestEntries) && x.requestEntries[next].id < attempt.id {
			f(-1, take())
		}
		var requests []int32
		if next < len(x.requestEntries) && x.requestEntries[next].id == attempt.id {
			requests = take()
		}
		f(int(attempt.position), requests)
	}
	for next < len(x.requestEntries) {
		f(-1, take())
	}
}

// requestsOf are the endpoint requests with a transaction id.
func (x *index) requestsOf(transactionID uint64) []int32 {
	from, _ := slices.BinarySearchFunc(x.requestEntries, transactionID, compareID)
	to := from
	for to < len(x.requestEntries) && x.requestEntries[to].id == transactionID {
		to++
	}
	return x.requests[from:to]
}

// attempt is the position of the client attempt with a transaction id, or -1.
func (x *index) attempt(transactionID uint64) int {
	i, found := slices.BinarySearchFunc(x.attempts, transactionID, compareID)
	if !found {
		return -1
	}
	return int(x.attempts[i].position)
}

// attemptsOf are the client attempts of a request of the plan, calls of later tiers included, in the log's order.
func (x *index) attemptsOf(request int) []int32 {
	if x.attemptsByRequest == nil {
		x.attemptsByRequest = make([]entry, len(x.log.ClientAttempts))
		for i := range x.log.ClientAttempts {
			x.attemptsByRequest[i] = entry{uint64(x.log.ClientAttempts[i].Request), int32(i)}
		}
		slices.SortFunc(x.attemptsByRequest, byID)
	}
	id := uint64(request)
	from, _ := slices.BinarySearchFunc(x.attemptsByRequest, id, compareID)
	var positions []int32
	for ; from < len(x.attemptsByRequest) && x.attemptsByRequest[from].id == id; from++ {
		positions = append(positions, x.attemptsByRequest[from].position)
	}
	return positions
}
