// Package judge checks whether the sidecars of a run kept the rules. It sees both ends: what each client sent and got, and what each
// endpoint was sent and did. It is pure, and takes the traces of package simulation and of package loopback alike: what the two ends
// of one step may be apart in the latter is within Rules.AnswerSlack. Players, tests and package experiment call it.
//
// Where a rule depends on what a sidecar knew, that is judged by what was written to it, not by what was true: an upstream request
// that arrived completely at an endpoint and was not rejected may have run, whether it did or not.
package judge

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"pinelb.example/pinelb/internal/lab/plan"
	"pinelb.example/pinelb/internal/lab/trace"
)

// Kind is a way to break a rule. Its text stands in result files and doesn't change.
type Kind string

// The kinds.
const (
	LostRequest        Kind = "lost"              // a request that was accepted had no final response in time
	DuplicateResponse  Kind = "answered twice"    // more than one final response came
	ForgedResponse     Kind = "forged"            // a 200 that no endpoint made for this request
	UnsafeRejected     Kind = "unsafe refused"    // a rejection said that a retry is safe though the request may have run
	DuplicateExecution Kind = "ran twice"         // sent, or run, again when it may have run
	TooManyAttempts    Kind = "too many attempts" // beyond Rules.MaxAttempts
	ForbiddenHedge     Kind = "second copy"       // two upstream requests in flight at once where hedging is not allowed
	AttemptAfterEnd    Kind = "after the end"     // sent after the final response, or after the client had disconnected
	AttemptAfterDrain  Kind = "after drain"       // sent to an endpoint that the sidecar knew to be draining or gone
	ColdOverload       Kind = "pushed over"       // a cold endpoint collapsed under work of sidecars that knew that it was cold
	UnknownRequest     Kind = "unknown request"   // an endpoint got what no client sent, or a sidecar had no list with that endpoint
	SidecarCrash       Kind = "crashed"           // a sidecar exited though nobody had asked for it
)

// Kinds are all kinds, in the order in which reports show them.
var Kinds = []Kind{LostRequest, DuplicateResponse, ForgedResponse, UnsafeRejected, DuplicateExecution, TooManyAttempts, ForbiddenHedge,
	AttemptAfterEnd, AttemptAfterDrain, ColdOverload, UnknownRequest, SidecarCrash}

const (
	maxRecorded         = 10                     // violations of each kind in a verdict: the earliest
	drainSlack          = 50 * time.Millisecond  // beyond Rules.DrainGrace
	stopTimeout         = 700 * time.Millisecond // after SIGTERM; a later SIGKILL excuses nothing that came after that
	notificationTimeout = 6 * time.Second        // after which a sidecar counts as notified of what its agent could not send
)

// Violation is one case of a broken rule.
type Violation struct {
	Kind          Kind
	At            time.Duration
	Request       int    // index into the plan's requests; -1 is none
	TransactionID uint64 // of the client attempt; 0 is none
	Endpoint      int    // -1 is none
	Sidecar       int    // -1 is none
	Text          string
	Timeline      []string // everything that both ends saw of it, by time
}

// Verdict is the judgement of a run.
type Verdict struct {
	Violations []Violation  // by time; of each kind the earliest ten
	Counts     map[Kind]int // of all violations
	Endpoints  []ColdLoad   // by endpoint
}

// Passed reports whether no rule was broken.
func (v *Verdict) Passed() bool { return len(v.Counts) == 0 }

// evaluation is the state of one Judge.
type evaluation struct {
	plan         *plan.Plan
	log          *trace.Log
	slack        time.Duration // what both ends may be apart, and how late a response may be
	index        index
	incarnations [][]incarnation // by sidecar
	discovery    *discoveryView
	pauses       []plan.Event // of sidecars, by the script
	verdict      Verdict
	recorded     map[Kind][]Violation // the earliest of each kind, by time
	runs         []unsafeRun
}

// Judge judges a run. It takes O(n log n) time for a log of n entries.
func Judge(p *plan.Plan, log *trace.Log) Verdict {
	e := &evaluation{
		plan:         p,
		log:          log,
		slack:        p.Scenario.Rules.ResponseSlack.D() + 2*p.Scenario.Network.Delay.D(),
		index:        newIndex(log),
		incarnations: incarnations(p, log),
		discovery:    newDiscoveryView(p, log),
		verdict:      Verdict{Counts: map[Kind]int{}},
		recorded:     map[Kind][]Violation{},
	}
	for _, event := range p.Events {
		if event.Kind == plan.PauseSidecar {
			e.pauses = append(e.pauses, event)
		}
	}
	e.checkColdLoads()
	if p.Scenario.Fleet.Policy != "plain" { // there are no sidecars to blame then
		e.index.each(func(attempt int, requests []int32) {
			if attempt < 0 {
				e.reportUnknown(requests)
				return
			}
			e.checkResponses(attempt, requests)
			e.checkAttempts(attempt, requests)
			e.checkEffects(attempt, requests)
		})
		e.checkReruns()
		e.checkCrashes()
	}
	for _, recorded := range e.recorded {
		e.verdict.Violations = append(e.verdict.Violations, recorded...)
	}
	slices.SortStableFunc(e.verdict.Violations, func(a, b Violation) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.TransactionID, b.TransactionID), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	for i := range e.verdict.Violations {
		e.verdict.Violations[i].Timeline = e.timeline(&e.verdict.Violations[i])
	}
	return e.verdict
}

// report counts a violation, and records it if it is among the earliest of its kind.
func (e *evaluation) report(violation Violation, format string, args ...any) {
	e.verdict.Counts[violation.Kind]++
	recorded := e.recorded[violation.Kind]
	position, _ := slices.BinarySearchFunc(recorded, violation, func(a, b Violation) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.TransactionID, b.TransactionID))
	})
	if position == maxRecorded {
		return
	}
	violation.Text = fmt.Sprintf(format, args...)
	recorded = slices.Insert(recorded, position, violation)
	e.recorded[violation.Kind] = recorded[:min(len(recorded), maxRecorded)]
}

// violationOf is a violation by a client attempt; endpoint is -1 if it concerns none.
func violationOf(kind Kind, at time.Duration, attempt *trace.ClientAttempt, endpoint int) Violation {
	return Violation{Kind: kind, At: at, Request: attempt.Request, TransactionID: attempt.TransactionID, Endpoint: endpoint, Sidecar: attempt.Sidecar}
}

// effect is a class's effect as the scenario has it: "safe", "keyed" or "unsafe".
func (e *evaluation) effect(class int) string { return e.plan.Scenario.Classes[class].Idempotency }

func (e *evaluation) endpointName(i int) string {
	if i < 0 || i >= len(e.plan.Endpoints) {
		return fmt.Sprintf("number %d", i)
	}
	return e.plan.Endpoints[i].Name
}

func (e *evaluation) sidecarName(i int) string {
	if i < 0 || i >= len(e.plan.Sidecars) {
		return fmt.Sprintf("number %d", i)
	}
	return e.plan.Sidecars[i].Name
}
