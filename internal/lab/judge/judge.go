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
	Lost            Kind = "lost"              // a request that was taken had no final answer in its time
	AnsweredTwice   Kind = "answered twice"    // more than one final answer came
	Forged          Kind = "forged"            // a 200 that no box made for this request
	UnsafeRefused   Kind = "unsafe refused"    // a retry was called harmless though an attempt may have run
	RanTwice        Kind = "ran twice"         // sent, or run, again when it may have run
	TooManyAttempts Kind = "too many attempts" // beyond max_attempts
	SecondCopy      Kind = "second copy"       // two attempts out at once where that is not allowed
	AfterEnd        Kind = "after the end"     // an attempt was sent after the final answer, or after the client had left
	AfterDrain      Kind = "after drain"       // an attempt was sent to a box that was told to be draining or gone
	PushedOver      Kind = "pushed over"       // a cold box fell over, and who sent the work had been told that it was cold
	Unknown         Kind = "unknown request"   // a box got what no client sent, or a sidecar had no list with that box
	Crashed         Kind = "crashed"           // a sidecar ended by itself
)

// Kinds are all of them, in the order in which reports show them.
var Kinds = []Kind{Lost, AnsweredTwice, Forged, UnsafeRefused, RanTwice, TooManyAttempts, SecondCopy, AfterEnd, AfterDrain,
	PushedOver, Unknown, Crashed}

const (
	told       = 10 // breaches of each kind that are told in full: the earliest
	drainSlack = 50 * time.Millisecond
	stopTakes  = 700 * time.Millisecond // after SIGTERM; SIGKILL excuses nothing that came later
	countsTold = 6 * time.Second        // after which news counts as told that discovery's agent could not hand over
)

// Breach is one broken rule.
type Breach struct {
	Kind    Kind
	At      time.Duration
	Request int    // index into the plan's requests; -1 is none
	Txn     uint64 // of the try; 0 is none
	Box     int    // -1 is none
	Sidecar int    // -1 is none
	Text    string
	Story   []string // all that both ends saw of it, by time
}

// Verdict is the judgement of a run.
type Verdict struct {
	Breaches []Breach     // by time: of each kind the first few
	Counts   map[Kind]int // all of them
	Boxes    []Pressure   // by box
}

// Held says whether no rule was broken.
func (v *Verdict) Held() bool { return len(v.Counts) == 0 }

// judge is one judgement.
type judge struct {
	p      *plan.Plan
	log    *trace.Log
	slack  time.Duration // what both ends may be apart, and how late an answer may be
	index  index
	lives  [][]life // by sidecar
	heard  *heard
	pauses []plan.Event
	out    Verdict
	kept   map[Kind][]Breach
	runs   []unsafeRun
}

// Judge judges a run. It takes time in proportion to n log n of the log's entries.
func Judge(p *plan.Plan, log *trace.Log) Verdict {
	r := &p.Scenario.Rules
	j := &judge{p: p, log: log, slack: r.AnswerSlack.D() + 2*p.Scenario.Network.Delay.D(), index: newIndex(log),
		lives: lives(p, log), out: Verdict{Counts: map[Kind]int{}}, kept: map[Kind][]Breach{}}
	j.heard = listen(p, log)
	for _, e := range p.Events {
		if e.Kind == plan.PauseSidecar {
			j.pauses = append(j.pauses, e)
		}
	}
	j.pressures()
	if p.Scenario.Fleet.Policy != "plain" { // there, no sidecar is to blame for anything
		j.index.each(func(try int, visits []int32) {
			if try < 0 {
				j.unknown(visits)
				return
			}
			j.answers(try, visits)
			j.attempts(try, visits)
			j.effects(try, visits)
		})
		j.rerun()
		j.crashes()
	}
	for _, kept := range j.kept {
		j.out.Breaches = append(j.out.Breaches, kept...)
	}
	slices.SortStableFunc(j.out.Breaches, func(a, b Breach) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Txn, b.Txn), cmp.Compare(a.Box, b.Box))
	})
	for i := range j.out.Breaches {
		j.out.Breaches[i].Story = j.story(&j.out.Breaches[i])
	}
	return j.out
}

// breach counts one and keeps it if it is among the first of its kind.
func (j *judge) breach(b Breach, format string, args ...any) {
	j.out.Counts[b.Kind]++
	kept := j.kept[b.Kind]
	at, _ := slices.BinarySearchFunc(kept, b, func(k, b Breach) int {
		return cmp.Or(cmp.Compare(k.At, b.At), cmp.Compare(k.Txn, b.Txn))
	})
	if at == told {
		return
	}
	b.Text = fmt.Sprintf(format, args...)
	kept = slices.Insert(kept, at, b)
	j.kept[b.Kind] = kept[:min(len(kept), told)]
}

// of is a breach that a try is about; box is -1 if no box is.
func of(kind Kind, at time.Duration, t *trace.ClientAttempt, box int) Breach {
	return Breach{Kind: kind, At: at, Request: t.Request, Txn: t.TransactionID, Box: box, Sidecar: t.Sidecar}
}

// effect is a class's, in the scenario's words.
func (j *judge) effect(class int) string { return j.p.Scenario.Class[class].Effect }

func (j *judge) box(i int) string {
	if i < 0 || i >= len(j.p.Boxes) {
		return fmt.Sprintf("number %d", i)
	}
	return j.p.Boxes[i].Name
}

func (j *judge) sidecar(i int) string {
	if i < 0 || i >= len(j.p.Sidecars) {
		return fmt.Sprintf("number %d", i)
	}
	return j.p.Sidecars[i].Name
}
