package history

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
)

// Rule names a rule of the service.
type Rule string

// The rules.
const (
	One        Rule = "ONE"     // a lock has one holder, and its fences rise
	Order      Rule = "ORDER"   // numbers and revisions rise; events rise and leave nothing out
	Stale      Rule = "STALE"   // a read sees what was acknowledged before it
	Mixed      Rule = "MIXED"   // a value is shown as it was put, under one revision
	Refused    Rule = "REFUSED" // a rejected put is never shown
	Lost       Rule = "LOST"    // what was acknowledged is there at the end
	Linear     Rule = "LINEAR"  // counters and groups are linearizable as a whole
	Unexpected Rule = "UNEXPECTED"
)

// Violation is a broken rule.
type Violation struct {
	Rule  Rule
	Text  string
	Calls []*Call // that show it
}

// String returns the violation with its calls, a line each.
func (v Violation) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %s", v.Rule, v.Text)
	for _, c := range v.Calls {
		fmt.Fprintf(&b, "\n    %s", c)
	}
	return b.String()
}

// Report is what Check found.
type Report struct {
	Violations []Violation
	Undecided  []string // names of counters and groups whose linearizability took too long to decide
}

// checker collects the violations of a history.
type checker struct {
	history *History
	report  Report
}

// Check checks a history.
func Check(h *History) Report {
	c := &checker{history: h}
	c.checkStatuses()
	for _, calls := range callsByName(h.Calls, isLockCall) {
		c.checkLock(calls)
	}
	for name, calls := range callsByName(h.Calls, func(k Kind) bool { return k == Increment }) {
		c.checkCounter(name, calls)
	}
	for name, calls := range callsByName(h.Calls, func(k Kind) bool { return k == Put || k == Get || k == Watch }) {
		c.checkGroup(name, calls)
	}
	slices.SortStableFunc(c.report.Violations, func(a, b Violation) int { return strings.Compare(string(a.Rule), string(b.Rule)) })
	return c.report
}

func (c *checker) broken(rule Rule, calls []*Call, format string, arguments ...any) {
	c.report.Violations = append(c.report.Violations, Violation{Rule: rule, Text: fmt.Sprintf(format, arguments...), Calls: calls})
}

// ruleOf returns the rule that an answer breaks that falls behind what was acknowledged.
func ruleOf(call *Call, rule Rule) Rule {
	if call.Final {
		return Lost
	}
	return rule
}

func isLockCall(k Kind) bool { return k == Acquire || k == Renew || k == Release }

// callsByName returns the calls of some kinds by the name of what they are about, in the order of sending. Keys are grouped.
func callsByName(calls []*Call, isWanted func(Kind) bool) map[string][]*Call {
	byName := map[string][]*Call{}
	for _, call := range calls {
		if isWanted(call.Kind) {
			name := call.Name
			if call.Kind == Put || call.Kind == Get || call.Kind == Watch {
				name = groupOf(name)
			}
			byName[name] = append(byName[name], call)
		}
	}
	for _, named := range byName {
		slices.SortStableFunc(named, func(a, b *Call) int { return int(a.Sent - b.Sent) })
	}
	return byName
}

// expectedStatuses are the clear answers that a kind of call may get beside 200, 429 and 503.
var expectedStatuses = map[Kind][]int{
	Acquire: {http.StatusConflict},
	Renew:   {http.StatusConflict},
	Put:     {http.StatusPreconditionFailed},
	Get:     {http.StatusNotFound},
	Watch:   {http.StatusGone},
}

// checkStatuses finds answers that the service's interface doesn't have.
func (c *checker) checkStatuses() {
	for _, call := range c.history.Calls {
		switch {
		case call.Status == Unclear, call.succeeded(), call.isRefused(), slices.Contains(expectedStatuses[call.Kind], call.Status):
		default:
			c.broken(Unexpected, []*Call{call}, "a status that this call never has")
		}
	}
}
