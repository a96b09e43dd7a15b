package budget

// MaxAttempts returns the number of attempts that a sidecar may make for a request with the given number of extra
// attempts, if each attempt passes down its part of them. leaf means that there is no tier below.
func MaxAttempts(extra int, leaf bool) int {
	n := 1
	for remaining := extra - PassDown(extra, leaf); remaining > 0; n++ {
		remaining--
		remaining -= PassDown(remaining, leaf)
	}
	return n
}

// PassDown returns how many of the remaining extra attempts an attempt passes to the tiers below: all but one, because
// a failure below is best retried below, where the least work is repeated. The one that is kept is for an endpoint of
// this tier that does not answer. A leaf has no tiers below and passes none.
func PassDown(remaining int, leaf bool) int {
	if leaf {
		return 0
	}
	return max(0, remaining-1)
}

// Allowance tracks the remaining extra attempts of one request at one sidecar.
type Allowance struct {
	remaining  int
	leaf       bool
	passedDown []int // by attempt: extra attempts that were passed down and not returned
}

// NewAllowance returns the allowance of a request with the given number of extra attempts. leaf means that there is no
// tier below.
func NewAllowance(extra int, leaf bool) *Allowance {
	return &Allowance{remaining: max(0, extra), leaf: leaf}
}

// NextAttempt starts the next attempt and returns the extra attempts that it passes down. ok is false if the request
// may make no more attempts.
func (a *Allowance) NextAttempt() (extra int, ok bool) {
	if len(a.passedDown) > 0 {
		if a.remaining == 0 {
			return 0, false
		}
		a.remaining--
	}
	extra = PassDown(a.remaining, a.leaf)
	a.remaining -= extra
	a.passedDown = append(a.passedDown, extra)
	return extra, true
}

// ReturnUnused records the end of attempt n, counted from 0, with its report. The extra attempts that it passed down
// and that are reported as unused return to the allowance, once.
func (a *Allowance) ReturnUnused(n int, report AttemptReport) {
	if report.Known && n < len(a.passedDown) {
		a.remaining += max(0, a.passedDown[n]-report.ExtraAttempts)
		a.passedDown[n] = 0
	}
}

// Unused returns the number of extra attempts that are known to be unused; those that were passed down and not reported
// as unused count as used. The unused ones go back to the pool or the retry budget when the request ends.
func (a *Allowance) Unused() int { return a.remaining }
