package judge

import (
	"cmp"
	"slices"

	"pinelb.example/pinelb/internal/lab/trace"
)

// entry is a place in a log under the id, or the number, by which it is looked up.
type entry struct {
	id uint64
	at int32
}

// index joins the two ends of a log: tries and visits, each in the order of their ids.
type index struct {
	log    *trace.Log
	tries  []entry // by Txn
	visits []int32 // of log.Visits, by Txn, then by their first byte
	places []entry // of visits, by Txn
	asked  []entry // tries by Request; made when a story first needs it
}

func newIndex(log *trace.Log) index {
	x := index{log: log, tries: make([]entry, len(log.ClientAttempts)), places: make([]entry, len(log.EndpointRequests)), visits: make([]int32, len(log.EndpointRequests))}
	for i := range log.ClientAttempts {
		x.tries[i] = entry{log.ClientAttempts[i].TransactionID, int32(i)}
	}
	for i := range log.EndpointRequests {
		x.places[i] = entry{log.EndpointRequests[i].TransactionID, int32(i)}
	}
	slices.SortFunc(x.tries, byID)
	slices.SortFunc(x.places, func(a, b entry) int {
		return cmp.Or(cmp.Compare(a.id, b.id), cmp.Compare(log.EndpointRequests[a.at].FirstByte, log.EndpointRequests[b.at].FirstByte), cmp.Compare(a.at, b.at))
	})
	for i, e := range x.places {
		x.visits[i] = e.at
	}
	return x
}

func byID(a, b entry) int { return cmp.Or(cmp.Compare(a.id, b.id), cmp.Compare(a.at, b.at)) }

// each calls f for every try with its visits, and for visits of an id that no try has with a try of -1.
func (x *index) each(f func(try int, visits []int32)) {
	v := 0
	stray := func(before uint64, all bool) {
		for v < len(x.places) && (all || x.places[v].id < before) {
			from := v
			for v < len(x.places) && x.places[v].id == x.places[from].id {
				v++
			}
			f(-1, x.visits[from:v])
		}
	}
	for _, t := range x.tries {
		stray(t.id, false)
		from := v
		for v < len(x.places) && x.places[v].id == t.id {
			v++
		}
		f(int(t.at), x.visits[from:v])
	}
	stray(0, true)
}

// of are the visits of an id.
func (x *index) of(txn uint64) []int32 {
	from, _ := slices.BinarySearchFunc(x.places, txn, func(e entry, txn uint64) int { return cmp.Compare(e.id, txn) })
	to := from
	for to < len(x.places) && x.places[to].id == txn {
		to++
	}
	return x.visits[from:to]
}

// try is the place of an id's try, or -1.
func (x *index) try(txn uint64) int {
	i, found := slices.BinarySearchFunc(x.tries, txn, func(e entry, txn uint64) int { return cmp.Compare(e.id, txn) })
	if !found {
		return -1
	}
	return int(x.tries[i].at)
}

// request are the tries of a request, calls of later tiers included, in the order in which they were due.
func (x *index) request(n int) []int32 {
	if x.asked == nil {
		x.asked = make([]entry, len(x.log.ClientAttempts))
		for i := range x.log.ClientAttempts {
			x.asked[i] = entry{uint64(x.log.ClientAttempts[i].Request), int32(i)}
		}
		slices.SortFunc(x.asked, byID)
	}
	from, _ := slices.BinarySearchFunc(x.asked, uint64(n), func(e entry, id uint64) int { return cmp.Compare(e.id, id) })
	var out []int32
	for ; from < len(x.asked) && x.asked[from].id == uint64(n); from++ {
		out = append(out, x.asked[from].at)
	}
	return out
}
