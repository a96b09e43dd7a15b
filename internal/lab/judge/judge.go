// Package judge says whether the sidecars of a run kept the rules. It sees both ends: what each client sent
// and got, and what each box was sent and did. It is pure, and takes the traces of the virtual player and of
// the one on sockets alike: what the two ends of one step may be apart there is within the rules' AnswerSlack.
//
// Where the rules ask what a sidecar knew, it is judged by what was written to it, not by what was true: an
// attempt that came whole to a box and was not turned away may have run, whether it did or not.
package judge

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"pinelb.example/pinelb/internal/lab/plan"
	"pinelb.example/pinelb/internal/lab/trace"
)

// Kind is a way to break a rule. The words stand in result files: they don't change.
type Kind string

// The kinds.
const (
	LostRequest        Kind = "lost"              // a request that was taken had no final answer in its time
	DuplicateResponse  Kind = "answered twice"    // more than one final answer came
	ForgedResponse     Kind = "forged"            // a 200 that no box made for this request
	UnsafeRejected     Kind = "unsafe refused"    // a retry was called harmless though an attempt may have run
	DuplicateExecution Kind = "ran twice"         // sent, or run, again when it may have run
	TooManyAttempts    Kind = "too many attempts" // beyond max_attempts
	ForbiddenHedge     Kind = "second copy"       // two attempts out at once where that is not allowed
	AttemptAfterEnd    Kind = "after the end"     // an attempt was sent after the final answer, or after the client had left
	AttemptAfterDrain  Kind = "after drain"       // an attempt was sent to a box that was told to be draining or gone
	ColdOverload       Kind = "pushed over"       // a cold box fell over, and who sent the work had been told that it was cold
	UnknownRequest     Kind = "unknown request"   // a box got what no client sent, or a sidecar had no list with that box
	SidecarCrash       Kind = "crashed"           // a sidecar ended by itself
)

// Kinds are all of them, in the order in which reports show them.
var Kinds = []Kind{LostRequest, DuplicateResponse, ForgedResponse, UnsafeRejected, DuplicateExecution, TooManyAttempts, ForbiddenHedge, AttemptAfterEnd, AttemptAfterDrain,
	ColdOverload, UnknownRequest, SidecarCrash}

const (
	maxRecorded         = 10 // breaches of each kind that are told in full: the earliest
	drainSlack          = 50 * time.Millisecond
	stopTimeout         = 700 * time.Millisecond // after SIGTERM; SIGKILL excuses nothing that came later
	notificationTimeout = 6 * time.Second        // after which news counts as told that discovery's agent could not hand over
)

// Violation is one broken rule.
type Violation struct {
	Kind          Kind
	At            time.Duration
	Request       int    // index into the plan's requests; -1 is none
	TransactionID uint64 // of the try; 0 is none
	Endpoint      int    // -1 is none
	Sidecar       int    // -1 is none
	Text          string
	Timeline      []string // all that both ends saw of it, by time
}

// Verdict is the judgement of a run.
type Verdict struct {
	Violations []Violation  // by time: of each kind the first few
	Counts     map[Kind]int // all of them
	Endpoints  []ColdLoad   // by box
}

// Passed says whether no rule was broken.
func (v *Verdict) Passed() bool { return len(v.Counts) == 0 }

// judge is one judgement.
type evaluation struct {
	plan         *plan.Plan
	log          *trace.Log
	slack        time.Duration // what both ends may be apart, and how late an answer may be
	index        index
	incarnations [][]incarnation // by sidecar
	discovery    *discoveryView
	pauses       []plan.Event
	verdict      Verdict
	recorded     map[Kind][]Violation
	runs         []unsafeRun
}

// Judge judges a run. It takes time in proportion to n log n of the log's entries.
func Judge(p *plan.Plan, log *trace.Log) Verdict {
	r := &p.Scenario.Rules
	j := &evaluation{plan: p, log: log, slack: r.AnswerSlack.D() + 2*p.Scenario.Network.Delay.D(), index: newIndex(log),
		incarnations: incarnations(p, log), verdict: Verdict{Counts: map[Kind]int{}}, recorded: map[Kind][]Violation{}}
	j.discovery = newDiscoveryView(p, log)
	for _, e := range p.Events {
		if e.Kind == plan.PauseSidecar {
			j.pauses = append(j.pauses, e)
		}
	}
	j.checkColdLoads()
	if p.Scenario.Fleet.Policy != "plain" { // there, no sidecar is to blame for anything
		j.index.each(func(try int, visits []int32) {
			if try < 0 {
				j.reportUnknown(visits)
				return
			}
			j.checkResponses(try, visits)
			j.checkAttempts(try, visits)
			j.checkEffects(try, visits)
		})
		j.checkReruns()
		j.checkCrashes()
	}
	for _, kept := range j.recorded {
		j.verdict.Violations = append(j.verdict.Violations, kept...)
	}
	slices.SortStableFunc(j.verdict.Violations, func(a, b Violation) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.TransactionID, b.TransactionID), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	for i := range j.verdict.Violations {
		j.verdict.Violations[i].Timeline = j.timeline(&j.verdict.Violations[i])
	}
	return j.verdict
}

// breach counts one and keeps it if it is among the first of its kind.
func (j *evaluation) report(b Violation, format string, args ...any) {
	j.verdict.Counts[b.Kind]++
	kept := j.recorded[b.Kind]
	at, _ := slices.BinarySearchFunc(kept, b, func(k, b Violation) int {
		return cmp.Or(cmp.Compare(k.At, b.At), cmp.Compare(k.TransactionID, b.TransactionID))
	})
	if at == maxRecorded {
		return
	}
	b.Text = fmt.Sprintf(format, args...)
	kept = slices.Insert(kept, at, b)
	j.recorded[b.Kind] = kept[:min(len(kept), maxRecorded)]
}

// of is a breach that a try is about; box is -1 if no box is.
func violationOf(kind Kind, at time.Duration, t *trace.ClientAttempt, box int) Violation {
	return Violation{Kind: kind, At: at, Request: t.Request, TransactionID: t.TransactionID, Endpoint: box, Sidecar: t.Sidecar}
}

// effect is a class's, in the scenario's words.
func (j *evaluation) effect(class int) string { return j.plan.Scenario.Class[class].Effect }

func (j *evaluation) endpointName(i int) string {
	if i < 0 || i >= len(j.plan.Boxes) {
		return fmt.Sprintf("number %d", i)
	}
	return j.plan.Boxes[i].Name
}

func (j *evaluation) sidecarName(i int) string {
	if i < 0 || i >= len(j.plan.Sidecars) {
		return fmt.Sprintf("number %d", i)
	}
	return j.plan.Sidecars[i].Name
}
