package settingsstore

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"pinelb.example/pinelb/internal/version"
)

// Time-outs of a Follower. With k faulty distributors, however many there are, a change that a healthy one has is requested within
// pollWait + k x pollGrace: one of the faulty ones is detected by a long poll that had just begun, the others by requests that
// don't wait. For five that is 2.5 s with one faulty, 3 s with two, and 4 s with all but one.
const (
	pollWait        = 2 * time.Second        // of a long poll, at most: until then an unresponsive distributor looks like one without anything newer
	pollGrace       = 500 * time.Millisecond // for the answer, beyond the wait
	minCallInterval = 100 * time.Millisecond // between the beginnings of two calls, whatever the answers
	avoidDuration   = 30 * time.Second       // for a distributor that failed, timed out or gave an invalid answer, while there is another
	maxRetryAfter   = 2 * time.Second        // that a Retry-After is followed: as long as a long poll takes to detect a change
	minStopDuration = 400 * time.Millisecond // by which a call must exceed its time-out for this process itself to have been stopped
)

// StaleError says that an answer isn't newer than what the sidecar has seen.
type StaleError struct{ Got, Seen version.Edition }

func (e StaleError) Error() string {
	return fmt.Sprintf("distribute: %s was told after %s", e.Got, e.Seen)
}

// WrongServiceError says that an answer is about another service than the requested one.
type WrongServiceError struct{ Got, Want string }

func (e WrongServiceError) Error() string {
	return fmt.Sprintf("distribute: settings of %s were told, those of %s asked for", e.Got, e.Want)
}

// Call is what is to be requested next.
type Call struct {
	Distributor int           // its index
	NotBefore   time.Duration // when the call may begin
	Request     Request
	Timeout     time.Duration // for all of it, the connect included
}

// Follower decides which distributor a sidecar polls, when, and which answers it accepts. Times are of a monotonic clock. Its
// owner makes one call at a time: Next, Sent, and then the call's outcome, which is one of ReceiveState, ReceiveNothing,
// TimedOut, Failed, RejectAnswer and ConnectionLost; none where the call was cancelled.
type Follower struct {
	service, name string
	rand          *rand.Rand
	order         []int           // distributors, in this sidecar's order of preference
	avoidUntil    []time.Duration // by distributor
	notBefore     []time.Duration // by distributor, from its Retry-After
	current       int             // the distributor whose last answer was valid; -1: none is
	lastCalled    int             // the distributor
	calledAt      time.Duration
	timeout       time.Duration
	started       bool
	stopAssumed   bool // the last time-out was taken for a stop of this process

	inForce      version.Edition // zero: settings that are no distributor's
	rejected     version.Edition // the newest one; zero where the one in force is newer
	rejectReason string          // why it was rejected
	answerFault  string          // of the last invalid answer, until a distributor has been sent it
}

// NewFollower returns the follower of a sidecar that has no published settings yet. The sidecar's name and the distributors'
// addresses give its order of preference (rendezvous hashing, Thaler and Ravishankar 1998): each distributor is the first
// choice of about as many sidecars, and those of one that has failed spread over the others.
func NewFollower(service, name string, distributors []string, r *rand.Rand) *Follower {
	f := &Follower{service: service, name: truncate(name, MaxSidecarNameBytes), rand: r, current: -1,
		avoidUntil: make([]time.Duration, len(distributors)), notBefore: make([]time.Duration, len(distributors))}
	weights := make([]uint64, len(distributors))
	for i, addr := range distributors {
		f.order = append(f.order, i)
		weights[i] = xxhash.Sum64String(name + "\x00" + addr)
	}
	slices.SortStableFunc(f.order, func(a, b int) int { return cmp.Compare(weights[b], weights[a]) })
	return f
}

// InForce returns the edition that was applied last; zero: none.
func (f *Follower) InForce() version.Edition { return f.inForce }

// Next returns the next call.
func (f *Follower) Next(now time.Duration) Call {
	c := Call{Distributor: f.choose(now), NotBefore: now, Timeout: pollGrace}
	if f.started {
		c.NotBefore = max(c.NotBefore, f.calledAt+minCallInterval)
	}
	c.NotBefore = max(c.NotBefore, f.notBefore[c.Distributor])
	c.Request = Request{Service: f.service, Name: f.name, Since: f.inForce, Rejected: f.rejected, Reason: f.faultReport()}
	if c.Distributor == f.current { // any other has to show first that it responds
		c.Request.Wait = f.jitter(pollWait).Truncate(time.Millisecond)
		c.Timeout += c.Request.Wait
	}
	return c
}

// faultReport returns what a distributor is sent about answers and settings that were rejected.
func (f *Follower) faultReport() string {
	if f.rejectReason != "" && f.answerFault != "" {
		return f.answerFault + "; " + f.rejectReason
	}
	return f.answerFault + f.rejectReason
}

// choose returns the first distributor that isn't avoided, or where all are, the one that is avoided for the shortest time.
func (f *Follower) choose(now time.Duration) int {
	best := f.order[0]
	for _, i := range f.order {
		if f.avoidUntil[i] <= now {
			return i
		}
		if f.avoidUntil[i] < f.avoidUntil[best] {
			best = i
		}
	}
	return best
}

// Sent records that the call begins.
func (f *Follower) Sent(now time.Duration, c Call) {
	f.lastCalled, f.calledAt, f.timeout, f.started = c.Distributor, now, c.Timeout, true
}

// ReceiveState handles an answer that is a state. Where it returns nil the settings are to be tried, and then Applied or
// Rejected called. An error is a StaleError or a WrongServiceError, and the distributor is avoided.
func (f *Follower) ReceiveState(now time.Duration, s State) error {
	var err error
	switch seen := f.newestSeen(); {
	case s.Service != f.service:
		err = WrongServiceError{s.Service, f.service}
	case s.Compare(seen) <= 0:
		err = StaleError{s.Edition, seen}
	default:
		f.recordSuccess(now)
		return nil
	}
	f.RejectAnswer(now, err)
	return err
}

// newestSeen returns the newest edition that was applied or rejected.
func (f *Follower) newestSeen() version.Edition {
	q := Request{Since: f.inForce, Rejected: f.rejected}
	return q.NewestSeen()
}

// Applied records that an edition is in force.
func (f *Follower) Applied(e version.Edition) {
	f.inForce, f.rejected, f.rejectReason = e, version.Edition{}, ""
}

// Rejected records why an edition can't be used. Distributors are sent that, and the edition isn't tried again until
// RetryRejected.
func (f *Follower) Rejected(e version.Edition, why error) {
	f.rejected, f.rejectReason = e, why.Error()
}

// RetryRejected has the rejected edition be requested and tried once more.
func (f *Follower) RetryRejected() { f.rejected, f.rejectReason = version.Edition{}, "" }

// SkipWait has the next request return at once.
func (f *Follower) SkipWait() { f.current = -1 }

// ReceiveNothing handles an answer without anything newer; retryAfter is the distributor's Retry-After, 0: none.
func (f *Follower) ReceiveNothing(now, retryAfter time.Duration) {
	f.recordSuccess(now)
	f.applyRetryAfter(now, retryAfter)
}

// recordSuccess makes the distributor that was called the current one.
func (f *Follower) recordSuccess(now time.Duration) {
	f.current, f.avoidUntil[f.lastCalled], f.notBefore[f.lastCalled], f.answerFault, f.stopAssumed = f.lastCalled, now, now, "", false
}

// applyRetryAfter leaves the distributor alone for as long as it asks for, but no longer than maxRetryAfter.
func (f *Follower) applyRetryAfter(now, retryAfter time.Duration) {
	if retryAfter <= 0 {
		return
	}
	f.current = -1
	f.notBefore[f.lastCalled] = now + min(maxRetryAfter, retryAfter)
	f.avoidUntil[f.lastCalled] = f.notBefore[f.lastCalled]
}

// TimedOut records that no answer came in time, and returns whether the distributor is avoided for it: it isn't where this
// process seems to have been stopped meanwhile.
func (f *Follower) TimedOut(now time.Duration) (avoided bool) {
	if !f.stopAssumed && now > f.calledAt+f.timeout+minStopDuration {
		f.current, f.stopAssumed = -1, true
		return false
	}
	f.Failed(now, 0)
	return true
}

// Failed records that the distributor could not be reached, closed the connection, or had no answer; retryAfter is as for
// ReceiveNothing.
func (f *Follower) Failed(now, retryAfter time.Duration) {
	f.current, f.avoidUntil[f.lastCalled] = -1, now+avoidDuration
	f.applyRetryAfter(now, retryAfter)
}

// RejectAnswer records that the answer is invalid. The next distributor is sent the reason.
func (f *Follower) RejectAnswer(now time.Duration, why error) {
	f.answerFault = why.Error()
	f.Failed(now, 0)
}

// ConnectionLost records that a kept connection was lost, as by a distributor's restart: that distributor may be there again.
func (f *Follower) ConnectionLost(now time.Duration) {
	if f.lastCalled != f.current {
		f.Failed(now, 0)
		return
	}
	f.current = -1
}

// jitter returns a random time between three quarters of limit and limit, so that sidecars which were answered at once don't
// poll in step.
func (f *Follower) jitter(limit time.Duration) time.Duration {
	return 3*limit/4 + time.Duration(f.rand.Int64N(int64(limit/4)))
}
