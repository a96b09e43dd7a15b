// Package budget decides what a request may cause below a sidecar: how many attempts in all, how much time the next tier
// has, what it is worth, and whether it has been here before. It is pure: no I/O, no clock, no goroutines; the caller
// passes the time. Package balance still decides where a request goes, whether again and what is turned away: what comes
// from here enters it as inputs.
//
// MaxExtra. The first tier's sidecar has a RetryBudget. It grants each try of a client so many attempts beyond the plain chain of
// one a tier, and those that were used are paid for when the try fails; what ends well pays nothing and earns. So
// retries are plentiful while they help, wherever in the chain they are made, and while nothing below succeeds they are a
// stated share of the clients' first tries: Earned each, and what was out when the trouble began. A client's own repeat
// is an attempt like any other, paid for before it goes.
// The sidecars behind don't have a retry budget of their own: they share out what came with the request. Each attempt takes a
// part of it along, and calls that one server makes for one request share one pot (SharedPools).
//
// Why no request causes more than 1 + its grant at the bottom, whatever fails in whatever order: a grant is a number that is
// only ever divided. An attempt that is repeated costs one of it, what an attempt takes along is taken off, and nothing
// adds to it but the return of what was not used, once. TestRetriesBoundedByGrant proves it on random trees.
package budget

import "time"

// Tunables.
const (
	TokensPerRequest  = 0.2  // attempts that a client's first try earns: what retries come to while nothing succeeds
	tokensPerSuccess  = 1.0  // and that an answer in its aim earns: while they help, all that are asked for are granted
	tierMaxTokens     = 60.0 // the most that is saved, over all instances of the first tier
	minMaxTokens      = 6.0  // and at each at least
	minTokensForGrant = 2.0  // that there must be for a grant; one that is used up by more leaves a debt
	MaxExtra          = 8    // attempts beyond the first that a grant is read for; more is no grant of ours
)

// RetryBudget is what an instance of the first tier may have tried again. See NewRetryBudget.
type RetryBudget struct{ tokens, maxTokens float64 }

// NewRetryBudget returns a full retry budget of one of so many instances.
func NewRetryBudget(instances int) *RetryBudget {
	most := max(minMaxTokens, tierMaxTokens/float64(max(1, instances)))
	return &RetryBudget{most, most}
}

// GrantFirst is a client's first try. It earns, and may cause up to want extra attempts, if there is anything to pay with.
func (p *RetryBudget) GrantFirst(want int) (extra int) {
	p.earn(TokensPerRequest)
	if p.tokens < minTokensForGrant {
		return 0
	}
	return want
}

// GrantRetry is a try that its client has marked as repeated. It is paid for itself, and where that can't be, ok is false
// and it may cause nothing at all: a repeat with nothing to go with it would fail as the first did, and eat up what
// others could use.
func (p *RetryBudget) GrantRetry(want int) (extra int, ok bool) {
	if p.tokens < minTokensForGrant {
		return 0, false
	}
	p.tokens--
	return want, true
}

// ReturnUnused is a try's end. Good is an answer in its aim: what a repeat paid comes back, and more is earned. What failed pays
// for the extra attempts that may have been used.
func (p *RetryBudget) Finish(used int, repeat, good bool) {
	switch {
	case !good:
		p.tokens -= float64(used)
	case repeat:
		p.earn(1 + tokensPerSuccess)
	default:
		p.earn(tokensPerSuccess)
	}
}

// Tokens is how many attempts can be paid for now; below 0 more were used than that.
func (p *RetryBudget) Tokens() float64 { return p.tokens }

func (p *RetryBudget) earn(x float64) { p.tokens = min(p.maxTokens, p.tokens+x) }

// MaxExtra is how many attempts a sidecar may make of a request that came with so many extra ones, if each of them takes
// its part along.
func MaxAttempts(extra int, last bool) int {
	n := 1
	for left := extra - PassDown(extra, last); left > 0; n++ {
		left--
		left -= PassDown(left, last)
	}
	return n
}

// PassDown is the part of what is left that an attempt takes along for the tiers below: all but one, for what fails below is
// best repeated below, where the least work is done again; the one is for a host here that does not answer. The last
// tier has nothing below.
func PassDown(left int, last bool) int {
	if last {
		return 0
	}
	return max(0, left-1)
}

// Allowance is what is left of one request's extra attempts at one sidecar.
type Allowance struct {
	remaining  int
	last       bool
	passedDown []int // what each attempt took along, less what has come back
}

// NewAllowance begins one. Last says that no tier is below.
func NewAllowance(extra int, last bool) *Allowance {
	return &Allowance{remaining: max(0, extra), last: last}
}

// NextAttempt is the next attempt, which takes extra along. Ok is false where the request may make no more.
func (s *Allowance) NextAttempt() (extra int, ok bool) {
	if len(s.passedDown) > 0 {
		if s.remaining == 0 {
			return 0, false
		}
		s.remaining--
	}
	extra = PassDown(s.remaining, s.last)
	s.remaining -= extra
	s.passedDown = append(s.passedDown, extra)
	return extra, true
}

// ReturnUnused is the end of attempt n, counted from 0. What it took along and is known not to have used comes back, once.
func (s *Allowance) ReturnUnused(n int, t AttemptReport) {
	if t.Known && n < len(s.passedDown) {
		s.remaining += max(0, s.passedDown[n]-t.Extra)
		s.passedDown[n] = 0
	}
}

// Unused is what no attempt has used, as far as is known. Once the request has ended it goes back to the pot or the retry budget.
func (s *Allowance) Unused() int { return s.remaining }

// HasLoop tells whether a request that has come through some services may go to one: reentry is how often it may have
// been there before.
func HasLoop(path []string, service string, reentry int) (loop bool) {
	n := 0
	for _, s := range path {
		if s == service {
			n++
		}
	}
	return n > reentry
}

// own is what a sidecar needs to pass an answer on before its caller leaves.
const ownOverhead = 3 * time.Millisecond

// PropagatedTimeout is how much the next tier is told that it has, of what is left here: the way there and back is taken off, and what
// this sidecar needs to pass the answer on. It is never negative.
func PropagatedTimeout(left, way time.Duration) time.Duration { return max(0, left-way-ownOverhead) }
