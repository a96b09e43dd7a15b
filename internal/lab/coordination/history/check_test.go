package history

import (
	"slices"
	"testing"
	"time"
)

const (
	ms          = time.Millisecond
	testHistory = 20 * time.Second
)

// at returns a call with its times and status; the caller's name follows from the holder where there is one.
func at(sent, received time.Duration, status int, c Call) *Call {
	c.Sent, c.Received, c.Status = sent*ms, received*ms, status
	if c.Caller == "" {
		c.Caller = c.Holder
	}
	return &c
}

func acquire(holder string, holdMs int64, fence uint64) Call {
	return Call{Kind: Acquire, Name: "l", Holder: holder, HoldMs: holdMs, Fence: fence}
}

func renew(holder string, holdMs int64, fence uint64) Call {
	return Call{Kind: Renew, Name: "l", Holder: holder, HoldMs: holdMs, Fence: fence}
}

func release(holder string, fence uint64) Call {
	return Call{Kind: Release, Name: "l", Holder: holder, Fence: fence}
}

func number(n uint64) Call { return Call{Kind: Increment, Name: "n", Number: n} }

func putOf(key, value string, revision uint64) Call {
	return Call{Kind: Put, Name: key, Value: value, Revision: revision}
}

func putIf(key, value string, ifRevision, revision uint64) Call {
	c := putOf(key, value, revision)
	c.IfRevision = &ifRevision
	return c
}

func get(key, value string, revision uint64) Call {
	return Call{Kind: Get, Name: key, Value: value, Revision: revision}
}

func watch(since, revision uint64, events ...Event) Call {
	return Call{Kind: Watch, Caller: "watcher", Name: "g.", Since: since, Revision: revision, Events: events}
}

func final(c Call) Call {
	c.Final = true
	return c
}

// rulesOf returns the rules that a history breaks, each once.
func rulesOf(calls []*Call) (rules []Rule, violations []Violation) {
	report := Check(&History{Calls: calls, History: testHistory})
	for _, v := range report.Violations {
		if !slices.Contains(rules, v.Rule) {
			rules = append(rules, v.Rule)
		}
	}
	return rules, report.Violations
}

// brokenHistories are histories that break a rule each.
var brokenHistories = []struct {
	name  string
	rule  Rule
	calls []*Call
}{
	{"two holders at once", One, []*Call{at(0, 10, 200, acquire("a", 1000, 1)), at(500, 510, 200, acquire("b", 1000, 2))}},
	{"a holder before a renewed one's time", One, []*Call{
		at(0, 10, 200, acquire("a", 1000, 1)), at(900, 910, 200, renew("a", 1000, 1)), at(1500, 1510, 200, acquire("b", 100, 2)),
	}},
	{"a holder before the release is sent", One, []*Call{
		at(0, 10, 200, acquire("a", 1000, 1)), at(100, 110, 200, acquire("b", 100, 2)), at(500, 510, 200, release("a", 1)),
	}},
	{"a holder while the answered time of a dead one runs", One, []*Call{
		at(0, 400, 200, acquire("a", 1000, 1)), at(500, 990, 200, acquire("b", 1000, 2)),
	}},
	{"one fence for two holders", One, []*Call{
		at(0, 10, 200, acquire("a", 100, 1)), at(20, 30, 200, release("a", 1)), at(500, 510, 200, acquire("b", 100, 1)),
	}},
	{"a fence that falls", One, []*Call{at(0, 10, 200, acquire("a", 100, 5)), at(500, 510, 200, acquire("b", 100, 4))}},
	{"a fence that falls for its own holder", One, []*Call{at(0, 10, 200, acquire("a", 100, 5)), at(500, 510, 200, acquire("a", 100, 4))}},
	{"a number twice", Order, []*Call{at(0, 10, 200, number(1)), at(5, 20, 200, number(1))}},
	{"a number that falls", Order, []*Call{at(0, 10, 200, number(2)), at(20, 30, 200, number(1))}},
	{"a number that is not above one of a long call", Order, []*Call{at(0, 100, 200, number(9)), at(1, 2, 200, number(1)), at(200, 210, 200, number(8))}},
	{"a revision twice in a group", Order, []*Call{at(0, 10, 200, putOf("g.a", "x", 1)), at(5, 20, 200, putOf("g.b", "y", 1))}},
	{"a revision below one given before", Order, []*Call{at(0, 10, 200, putOf("g.a", "x", 2)), at(20, 30, 200, putOf("g.b", "y", 1))}},
	{"a revision that a watch was given before", Order, []*Call{at(0, 10, 200, watch(0, 5)), at(20, 30, 200, putOf("g.b", "y", 5))}},
	{"a repeated put with another revision", Order, []*Call{at(0, 10, 200, putOf("g.a", "x", 1)), at(20, 30, 200, putOf("g.a", "x", 2))}},
	{"a put over a later revision", Order, []*Call{
		at(0, 10, 200, putIf("g.a", "x", 0, 1)), at(20, 30, 200, putIf("g.a", "y", 1, 2)), at(40, 50, 200, putIf("g.a", "z", 1, 3)),
	}},
	{"a put over a revision whose put had no clear answer", Order, []*Call{
		at(0, 10, 0, putIf("g.a", "x", 0, 0)), at(20, 30, 200, get("g.a", "x", 1)), at(40, 50, 200, putIf("g.a", "z", 0, 3)),
	}},
	{"events that fall", Order, []*Call{
		at(0, 10, 200, putOf("g.a", "x", 2)), at(20, 30, 200, putOf("g.b", "y", 3)),
		at(40, 50, 200, watch(1, 3, Event{"g.b", "y", 3}, Event{"g.a", "x", 2})),
	}},
	{"an event beyond the span", Order, []*Call{at(0, 10, 200, putOf("g.a", "x", 3)), at(20, 30, 200, watch(1, 2, Event{"g.a", "x", 3}))}},
	{"events that pass over a put", Order, []*Call{
		at(0, 10, 200, putOf("g.a", "x", 2)), at(20, 30, 200, putOf("g.b", "y", 3)), at(40, 50, 200, watch(1, 3, Event{"g.b", "y", 3})),
	}},
	{"no events over a put in the span", Order, []*Call{at(0, 10, 200, putOf("g.a", "x", 2)), at(40, 50, 200, watch(1, 2))}},
	{"an event of another group", Order, []*Call{
		at(0, 10, 200, putOf("g.a", "x", 2)), at(40, 50, 200, watch(1, 2, Event{"h.a", "x", 2})),
	}},
	{"a group's revision that falls", Order, []*Call{at(0, 10, 200, watch(0, 5)), at(20, 30, 200, watch(5, 4))}},
	{"a stale read", Stale, []*Call{
		at(0, 10, 200, putOf("g.a", "x", 1)), at(20, 30, 200, putOf("g.a", "y", 2)), at(40, 50, 200, get("g.a", "x", 1)),
	}},
	{"a 404 after a put", Stale, []*Call{at(0, 10, 200, putOf("g.a", "x", 1)), at(40, 50, 404, get("g.a", "", 0))}},
	{"a value that nobody put", Mixed, []*Call{at(0, 10, 200, putOf("g.a", "x", 1)), at(20, 30, 200, get("g.a", "z", 1))}},
	{"a value of another key", Mixed, []*Call{at(0, 10, 200, putOf("g.a", "x", 1)), at(20, 30, 200, get("g.b", "x", 1))}},
	{"a value shown before it is put", Mixed, []*Call{at(0, 10, 200, get("g.a", "x", 1)), at(20, 30, 200, putOf("g.a", "x", 1))}},
	{"a value under two revisions", Mixed, []*Call{
		at(0, 10, 0, putOf("g.a", "x", 0)), at(20, 30, 200, get("g.a", "x", 1)), at(40, 50, 200, get("g.a", "x", 2)),
	}},
	{"a value under another revision than the put's", Mixed, []*Call{at(0, 10, 200, putOf("g.a", "x", 1)), at(20, 30, 200, get("g.a", "x", 2))}},
	{"a 412 with a revision that no put gave", Mixed, []*Call{at(0, 10, 200, putOf("g.a", "x", 1)), at(20, 30, 412, putIf("g.a", "y", 0, 7))}},
	{"a 412 with another key's revision", Mixed, []*Call{
		at(0, 10, 200, putOf("g.a", "x", 1)), at(20, 30, 200, putOf("g.b", "y", 2)), at(40, 50, 412, putIf("g.a", "z", 0, 2)),
	}},
	{"a 412 though the condition holds", Mixed, []*Call{at(0, 10, 200, putOf("g.a", "x", 1)), at(20, 30, 412, putIf("g.a", "y", 1, 1))}},
	{"two 412 for one put without a clear answer", Mixed, []*Call{
		at(0, 10, 0, putOf("g.a", "x", 0)), at(20, 30, 412, putIf("g.a", "y", 0, 7)), at(40, 50, 412, putIf("g.a", "z", 0, 8)),
	}},
	{"a rejected value is read", Refused, []*Call{
		at(0, 10, 200, putOf("g.a", "x", 1)), at(20, 30, 412, putIf("g.a", "y", 0, 1)), at(40, 50, 200, get("g.a", "y", 2)),
	}},
	{"a value rejected at its second try is shown to a watch", Refused, []*Call{
		at(0, 10, 200, putOf("g.a", "x", 1)), at(20, 30, 0, putIf("g.a", "y", 0, 0)), at(35, 40, 412, putIf("g.a", "y", 0, 1)),
		at(50, 60, 200, watch(1, 2, Event{"g.a", "y", 2})),
	}},
	{"a value is shown whose calls were all refused", Refused, []*Call{at(20, 30, 503, putOf("g.a", "y", 0)), at(40, 50, 200, get("g.a", "y", 1))}},
	{"a 410 for a young revision", Lost, []*Call{at(0, 10, 200, watch(0, 5)), at(19_000, 19_010, 410, watch(5, 0))}},
	{"a key falls behind at the end", Lost, []*Call{at(0, 10, 200, putOf("g.a", "x", 1)), at(20, 30, 404, final(get("g.a", "", 0)))}},
	{"a number falls behind at the end", Lost, []*Call{at(0, 10, 200, number(2)), at(20, 30, 200, final(number(1)))}},
	{"a number comes again at the end", Lost, []*Call{at(0, 10, 200, number(2)), at(20, 30, 200, final(number(2)))}},
	{"a fence falls behind at the end", Lost, []*Call{at(0, 10, 200, acquire("a", 10, 5)), at(50, 60, 200, final(acquire("b", 10, 4)))}},
	{"a watch falls behind at the end", Lost, []*Call{
		at(0, 5, 200, watch(0, 1)), at(6, 10, 200, putOf("g.a", "x", 2)), at(20, 30, 200, final(watch(1, 1))),
	}},
	{"reads that go back without an acknowledgement", Linear, []*Call{
		at(0, 10, 200, putOf("g.a", "x", 1)), at(20, 100, 200, putOf("g.a", "y", 2)),
		at(30, 40, 200, get("g.a", "y", 2)), at(50, 60, 200, get("g.a", "x", 1)),
	}},
	{"a 404 between a 412 and the end of its put", Linear, []*Call{
		at(0, 10, 0, putOf("g.a", "x", 0)), at(20, 30, 412, putIf("g.a", "y", 8, 1)), at(40, 50, 404, get("g.a", "", 0)),
	}},
	{"a status that a call never has", Unexpected, []*Call{at(0, 10, 404, number(0))}},
}

// TestBrokenRulesAreFound guards against a rule that may be broken unseen.
func TestBrokenRulesAreFound(t *testing.T) {
	for _, c := range brokenHistories {
		t.Run(c.name, func(t *testing.T) {
			if rules, violations := rulesOf(c.calls); !slices.Contains(rules, c.rule) {
				t.Errorf("%s is not found, but %v", c.rule, violations)
			}
		})
	}
}

// goodHistories break no rule.
var goodHistories = []struct {
	name  string
	calls []*Call
}{
	{"a holder follows another whose time has run out", []*Call{at(0, 10, 200, acquire("a", 1000, 1)), at(950, 1000, 200, acquire("b", 1000, 2))}},
	{"a holder follows a release that is on its way", []*Call{
		at(0, 10, 200, acquire("a", 1000, 1)), at(100, 900, 0, release("a", 1)), at(200, 210, 200, acquire("b", 1000, 2)),
	}},
	{"a renewal that is answered too late has no effect", []*Call{
		at(0, 10, 200, acquire("a", 1000, 1)), at(900, 1500, 200, renew("a", 1000, 1)), at(1450, 1600, 200, acquire("b", 1000, 2)),
	}},
	{"a grant that is answered after its time is no hold", []*Call{
		at(0, 1200, 200, acquire("a", 1000, 1)), at(1050, 1100, 200, acquire("b", 1000, 2)),
	}},
	{"a holder acquires again", []*Call{
		at(0, 10, 200, acquire("a", 1000, 1)), at(500, 510, 200, acquire("a", 1000, 1)), at(520, 530, 409, acquire("b", 100, 0)),
	}},
	{"numbers in any order while they are asked for, with gaps", []*Call{
		at(0, 100, 200, number(7)), at(1, 100, 200, number(3)), at(2, 50, 0, number(0)), at(3, 60, 503, number(0)), at(200, 210, 200, number(9)),
	}},
	{"a put without a clear answer is repeated", []*Call{
		at(0, 10, 0, putIf("g.a", "x", 0, 0)), at(5, 8, 200, get("g.a", "x", 1)), at(20, 30, 200, putIf("g.a", "x", 0, 1)),
	}},
	{"a put without a clear answer is never seen", []*Call{
		at(0, 10, 0, putOf("g.a", "x", 0)), at(20, 30, 404, get("g.a", "", 0)), at(40, 50, 200, putIf("g.a", "y", 0, 1)),
	}},
	{"a put without a clear answer takes effect late, and a 412 alone tells of it", []*Call{
		at(0, 10, 0, putOf("g.a", "x", 0)), at(20, 30, 404, get("g.a", "", 0)), at(40, 50, 412, putIf("g.a", "y", 0, 4)),
		at(60, 70, 200, putOf("g.a", "z", 5)),
	}},
	{"a refused put is put again", []*Call{at(0, 10, 429, putOf("g.a", "x", 0)), at(20, 30, 200, putOf("g.a", "x", 1)), at(40, 50, 200, get("g.a", "x", 1))}},
	{"a read beside a put", []*Call{
		at(0, 10, 200, putOf("g.a", "x", 1)), at(20, 50, 200, putOf("g.a", "y", 2)), at(30, 40, 200, get("g.a", "x", 1)),
	}},
	{"a watch resumes and shows all puts", []*Call{
		at(0, 5, 200, watch(0, 1)), at(6, 10, 200, putOf("g.a", "x", 2)), at(20, 30, 200, putOf("g.b", "y", 4)),
		at(40, 50, 200, watch(1, 4, Event{"g.a", "x", 2}, Event{"g.b", "y", 4})), at(60, 70, 200, final(watch(4, 4))),
	}},
	{"a 410 for an old revision", []*Call{at(0, 10, 200, watch(0, 5)), at(20_005, 20_011, 410, watch(5, 0))}},
	{"groups count by themselves", []*Call{at(0, 10, 200, putOf("g.a", "x", 5)), at(20, 30, 200, putOf("h.a", "y", 1))}},
}

// TestGoodHistoriesPass guards against a checker that finds what is no fault.
func TestGoodHistoriesPass(t *testing.T) {
	for _, c := range goodHistories {
		t.Run(c.name, func(t *testing.T) {
			if rules, violations := rulesOf(c.calls); len(rules) > 0 {
				t.Errorf("%v", violations)
			}
		})
	}
}
