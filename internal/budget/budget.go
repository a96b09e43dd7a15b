// Package budget decides what a request may cause below a sidecar: how many attempts in all, how much time the next tier
// has, what it is worth, and whether it has been here before. It is pure: no I/O, no clock, no goroutines; the caller
// passes the time. Package balance still decides where a request goes, whether again and what is turned away: what comes
// from here enters it as inputs.
//
// Attempts. The first tier's sidecar has a Purse. It grants each try of a client so many attempts beyond the plain chain of
// one a tier, and pays for them in advance. What ends well gives all of it back and earns more; what fails is spent. So
// retries are plentiful while they help, wherever in the chain they are made, and while nothing below succeeds they are a
// stated share of the clients' first tries: Earned each. A client's own repeat is an attempt like any other.
// The sidecars behind don't have a purse of their own: they share out what came with the request. Each attempt takes a
// part of it along, and calls that one server makes for one request share one pot (Ledger).
//
// Why no request causes more than 1 + its grant at the bottom, whatever fails in whatever order: a grant is a number that is
// only ever divided. An attempt that is repeated costs one of it, what an attempt takes along is taken off, and nothing
// adds to it but the return of what was not used, once. TestTrees proves it on random trees.
package budget

import (
	"math"
	"time"
)

// Tunables.
const (
	Earned  = 0.2  // attempts that a client's first try earns: what retries come to while nothing succeeds
	perGood = 1.0  // and that an answer in its aim earns: while they help, all that are asked for are granted
	burst   = 60.0 // the most that is saved, over all instances of the first tier
	saved   = 6.0  // and at each at least
	Most    = 8    // attempts beyond the first that a grant is read for; more is no grant of ours
)

// Purse is what an instance of the first tier may have tried again. The zero value is no purse; see NewPurse.
type Purse struct{ level, most float64 }

// NewPurse returns a full purse of one of so many instances.
func NewPurse(instances int) *Purse {
	most := max(saved, burst/float64(max(1, instances)))
	return &Purse{most, most}
}

// First is a client's first try. It earns, and gets up to want extra attempts, paid in advance.
func (p *Purse) First(want int) (extra int) {
	p.earn(Earned)
	return p.take(want)
}

// Repeat is a try that its client has marked as repeated. It is paid for itself, and where that can't be, ok is false
// and it may cause nothing at all.
func (p *Purse) Repeat(want int) (extra int, ok bool) {
	if p.level < 1 {
		return 0, false
	}
	p.level--
	return p.take(want), true
}

// take pays for as many as there are, but for one that is left for a client's repeat: that is the try which somebody
// still waits for.
func (p *Purse) take(want int) int {
	n := int(min(float64(want), math.Floor(p.level)-1))
	if n <= 0 {
		return 0
	}
	p.level -= float64(n)
	return n
}

// Ended is a try's end. Good is an answer in its aim: what was paid for it comes back, repeat included, and more is
// earned. Of what failed only the part comes back that was certainly not used.
func (p *Purse) Ended(extra int, repeat, good bool, unused int) {
	if !good {
		p.earn(float64(min(unused, extra)))
		return
	}
	if repeat {
		extra++
	}
	p.earn(float64(extra) + perGood)
}

// Level is how many attempts could be granted now.
func (p *Purse) Level() float64 { return p.level }

func (p *Purse) earn(x float64) { p.level = min(p.most, p.level+x) }

// Attempts is how many attempts a sidecar may make of a request that came with so many extra ones, if each of them takes
// its part along.
func Attempts(extra int, last bool) int {
	n := 1
	for left := extra - Down(extra, last); left > 0; n++ {
		left--
		left -= Down(left, last)
	}
	return n
}

// Down is the part of what is left that an attempt takes along for the tiers below: half, rounded down, for what fails
// below is best repeated below, where the least work is done again, but an attempt whose host does not answer has
// lost it. The last tier has nothing below.
func Down(left int, last bool) int {
	if last {
		return 0
	}
	return left / 2
}

// Share is what is left of one request's extra attempts at one sidecar.
type Share struct {
	left int
	sent int
	last bool
}

// NewShare begins one. Last says that no tier is below.
func NewShare(extra int, last bool) *Share { return &Share{left: max(0, extra), last: last} }

// Attempt is the next attempt, which takes extra along. Ok is false where the request may make no more.
func (s *Share) Attempt() (extra int, ok bool) {
	if s.sent > 0 {
		if s.left == 0 {
			return 0, false
		}
		s.left--
	}
	s.sent++
	extra = Down(s.left, s.last)
	s.left -= extra
	return extra, true
}

// Unused is what has not been given to any attempt. Once the request has ended it goes back to the pot or the purse.
func (s *Share) Unused() int { return s.left }

// Path tells whether a request that has come through some services may go to one: reentry is how often it may have
// been there before.
func Path(path []string, service string, reentry int) (loop bool) {
	n := 0
	for _, s := range path {
		if s == service {
			n++
		}
	}
	return n > reentry
}

// own is what a sidecar needs to pass an answer on before its caller leaves.
const own = 3 * time.Millisecond

// Time is how much the next tier is told that it has, of what is left here: the way there and back is taken off, and what
// this sidecar needs to pass the answer on. It is never negative.
func Time(left, way time.Duration) time.Duration { return max(0, left-way-own) }
