package budget

// MaxAttempts is how many attempts a sidecar may make of a request with so many extra attempts, if each of them takes its part
// along. Last says that no tier is below.
func MaxAttempts(extra int, last bool) int {
	n := 1
	for remaining := extra - PassDown(extra, last); remaining > 0; n++ {
		remaining--
		remaining -= PassDown(remaining, last)
	}
	return n
}

// PassDown is the part of the remaining extra attempts that an attempt takes along for the tiers below: all but one, for what
// fails below is best retried below, where the least work is repeated; the one is for an endpoint here that does not answer.
// The last tier has nothing below.
func PassDown(remaining int, last bool) int {
	if last {
		return 0
	}
	return max(0, remaining-1)
}

// Allowance is what remains of one request's extra attempts at one sidecar.
type Allowance struct {
	remaining  int
	last       bool
	passedDown []int // by attempt: what it took along, less what was returned
}

// NewAllowance returns the allowance of a request with so many extra attempts. Last says that no tier is below.
func NewAllowance(extra int, last bool) *Allowance {
	return &Allowance{remaining: max(0, extra), last: last}
}

// NextAttempt takes the next attempt, which takes extra along. Ok is false where the request may make no more.
func (a *Allowance) NextAttempt() (extra int, ok bool) {
	if len(a.passedDown) > 0 {
		if a.remaining == 0 {
			return 0, false
		}
		a.remaining--
	}
	extra = PassDown(a.remaining, a.last)
	a.remaining -= extra
	a.passedDown = append(a.passedDown, extra)
	return extra, true
}

// ReturnUnused takes in the end of attempt n, counted from 0. What it took along and is known not to have used is returned,
// once.
func (a *Allowance) ReturnUnused(n int, r AttemptReport) {
	if r.Known && n < len(a.passedDown) {
		a.remaining += max(0, a.passedDown[n]-r.ExtraAttempts)
		a.passedDown[n] = 0
	}
}

// Unused is what no attempt has used, as far as is known. When the request has ended it goes back to the pool or the retry
// budget.
func (a *Allowance) Unused() int { return a.remaining }
