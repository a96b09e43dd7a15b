package history

import (
	"cmp"
	"slices"
	"time"
)

// givenOut finds the highest number that was given out before a moment.
type givenOut struct {
	calls   []*Call // by the time of the answer
	highest []*Call // of calls up to here, the one with the highest number
	number  func(*Call) uint64
}

func newGivenOut(calls []*Call, number func(*Call) uint64) *givenOut {
	g := &givenOut{calls: slices.Clone(calls), number: number}
	slices.SortFunc(g.calls, func(a, b *Call) int { return cmp.Compare(a.Received, b.Received) })
	for i, call := range g.calls {
		if i > 0 && number(g.highest[i-1]) > number(call) {
			call = g.highest[i-1]
		}
		g.highest = append(g.highest, call)
	}
	return g
}

// before returns the call with the highest number whose answer came before a moment; nil: none.
func (g *givenOut) before(moment time.Duration) *Call {
	count, _ := slices.BinarySearchFunc(g.calls, moment, func(call *Call, moment time.Duration) int { return cmp.Compare(call.Received, moment) })
	if count == 0 {
		return nil
	}
	return g.highest[count-1]
}

// checkCounter checks the calls of one counter.
func (c *checker) checkCounter(name string, calls []*Call) {
	var given []*Call
	first := map[uint64]*Call{}
	for _, call := range calls {
		if !call.succeeded() {
			continue
		}
		given = append(given, call)
		if other := first[call.Number]; other != nil {
			c.broken(ruleOf(call, Order), []*Call{other, call}, "the number %d was given twice", call.Number)
		}
		first[call.Number] = call
	}
	earlier := newGivenOut(given, func(call *Call) uint64 { return call.Number })
	for _, call := range given {
		if other := earlier.before(call.Sent); other != nil && other.Number > call.Number {
			c.broken(ruleOf(call, Order), []*Call{other, call}, "the number %d was given after %d", call.Number, other.Number)
		}
	}
	c.checkCounterLinearizable(name, given)
}
