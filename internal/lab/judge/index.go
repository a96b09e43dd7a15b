package judge

import (
	"cmp"
	"slices"

	"pinelb.example/pinelb/internal/lab/trace"
)

// entry is a place in a log under the id, or the number, by which it is looked up.
type entry struct {
	id       uint64
	position int32
}

// index joins the two ends of a log: tries and visits, each in the order of their ids.
type index struct {
	log               *trace.Log
	attempts          []entry // by Txn
	requests          []int32 // of log.Visits, by Txn, then by their first byte
	requestEntries    []entry // of visits, by Txn
	attemptsByRequest []entry // tries by Request; made when a story first needs it
}

func newIndex(log *trace.Log) index {
	x := index{log: log, attempts: make([]entry, len(log.ClientAttempts)), requestEntries: make([]entry, len(log.EndpointRequests)), requests: make([]int32, len(log.EndpointRequests))}
	for i := range log.ClientAttempts {
		x.attempts[i] = entry{log.ClientAttempts[i].TransactionID, int32(i)}
	}
	for i := range log.EndpointRequests {
		x.requestEntries[i] = entry{log.EndpointRequests[i].TransactionID, int32(i)}
	}
	slices.SortFunc(x.attempts, byID)
	slices.SortFunc(x.requestEntries, func(a, b entry) int {
		return cmp.Or(cmp.Compare(a.id, b.id), cmp.Compare(log.EndpointRequests[a.position].FirstByte, log.EndpointRequests[b.position].FirstByte), cmp.Compare(a.position, b.position))
	})
	for i, e := range x.requestEntries {
		x.requests[i] = e.position
	}
	return x
}

func byID(a, b entry) int {
	return cmp.Or(cmp.Compare(a.id, b.id), cmp.Compare(a.position, b.position))
}

// each calls f for every try with its visits, and for visits of an id that no try has with a try of -1.
func (x *index) each(f func(try int, visits []int32)) {
	v := 0
	stray := func(before uint64, all bool) {
		for v < len(x.requestEntries) && (all || x.requestEntries[v].id < before) {
			from := v
			for v < len(x.requestEntries) && x.requestEntries[v].id == x.requestEntries[from].id {
				v++
			}
			f(-1, x.requests[from:v])
		}
	}
	for _, t := range x.attempts {
		stray(t.id, false)
		from := v
		for v < len(x.requestEntries) && x.requestEntries[v].id == t.id {
			v++
		}
		f(int(t.position), x.requests[from:v])
	}
	stray(0, true)
}

// of are the visits of an id.
func (x *index) requestsOf(txn uint64) []int32 {
	from, _ := slices.BinarySearchFunc(x.requestEntries, txn, func(e entry, txn uint64) int { return cmp.Compare(e.id, txn) })
	to := from
	for to < len(x.requestEntries) && x.requestEntries[to].id == txn {
		to++
	}
	return x.requests[from:to]
}

// try is the place of an id's try, or -1.
func (x *index) attempt(txn uint64) int {
	i, found := slices.BinarySearchFunc(x.attempts, txn, func(e entry, txn uint64) int { return cmp.Compare(e.id, txn) })
	if !found {
		return -1
	}
	return int(x.attempts[i].position)
}

// request are the tries of a request, calls of later tiers included, in the order in which they were due.
func (x *index) attemptsOf(n int) []int32 {
	if x.attemptsByRequest == nil {
		x.attemptsByRequest = make([]entry, len(x.log.ClientAttempts))
		for i := range x.log.ClientAttempts {
			x.attemptsByRequest[i] = entry{uint64(x.log.ClientAttempts[i].Request), int32(i)}
		}
		slices.SortFunc(x.attemptsByRequest, byID)
	}
	from, _ := slices.BinarySearchFunc(x.attemptsByRequest, uint64(n), func(e entry, id uint64) int { return cmp.Compare(e.id, id) })
	var out []int32
	for ; from < len(x.attemptsByRequest) && x.attemptsByRequest[from].id == uint64(n); from++ {
		out = append(out, x.attemptsByRequest[from].position)
	}
	return out
}
