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

// Tunables of whoever follows a service. With k distributors bad, however many there are, a change that a good one has is asked
// for within pollWait + k x pollGrace: one of the bad is found so by a watch that had just begun, the others by questions that
// don't wait. For five that is 2.5 s with one bad, 3 s with two, and 4 s with all but one.
const (
	pollWait        = 2 * time.Second        // that a question waits for news, at most: a silent distributor looks like one without news until then
	pollGrace       = 500 * time.Millisecond // silence beyond the wait
	minCallInterval = 100 * time.Millisecond // between the beginnings of two calls, whatever is answered
	avoidDuration   = 30 * time.Second       // one that failed, was silent or told nonsense is not gone back to, while there is another
	maxRetryAfter   = 2 * time.Second        // of a Retry-After: a change is found by then as by a watch
	minStopDuration = 400 * time.Millisecond // that a call must end after its time for this process to have been stopped, which is nobody's fault
)

// StaleError is an answer that is no newer than what whoever asked has seen.
type StaleError struct{ Got, Seen version.Edition }

func (e StaleError) Error() string {
	return fmt.Sprintf("distribute: %s was told after %s", e.Got, e.Seen)
}

// WrongServiceError is an answer about another service than the one that was asked for.
type WrongServiceError struct{ Got, Want string }

func (e WrongServiceError) Error() string {
	return fmt.Sprintf("distribute: settings of %s were told, those of %s asked for", e.Got, e.Want)
}

// Call is what is to be asked next.
type Call struct {
	Distributor int           // the distributor's place in the list
	NotBefore   time.Duration // and not before
	Request     Request
	Timeout     time.Duration // of its beginning the answer has to be there; the connect is part of it
}

// Follower decides which distributor a sidecar asks, when, and what it takes of the answers. Times are of a clock that never goes
// back. Its owner makes one call at a time: Next, Ask, and then how it ended: Hear, Quiet, Silent, Fail, Reject or Drop; nothing
// where it was broken off.
type Follower struct {
	service, name string
	rand          *rand.Rand
	order         []int           // distributors, as this sidecar prefers them
	avoidUntil    []time.Duration // by distributor: up to when it is
	notBefore     []time.Duration // by distributor: it asked not to be asked before
	current       int             // the one whose last answer was good; -1: it is to be seen
	lastCalled    int             // the one that was asked last
	calledAt      time.Duration   // when
	timeout       time.Duration
	started       bool
	stopAssumed   bool // the last silence was taken for a stop of this process

	inForce      version.Edition // none: settings that no distributor gave
	rejected     version.Edition // the newest one; none where one in force is newer
	rejectReason string          // it was refused
	answerFault  string          // of the last answer that could not be used, until a distributor has been told
}

// NewFollower returns that of a sidecar that holds no published settings yet. The distributors are preferred in an order that its
// name and their addresses give (rendezvous hashing, Thaler and Ravishankar 1998): each is the first for about as many sidecars,
// and those whose first is bad spread over the others.
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

// InForce is the edition that was taken last; none where none was.
func (f *Follower) InForce() version.Edition { return f.inForce }

// Next is the next call, as things stand.
func (f *Follower) Next(now time.Duration) Call {
	c := Call{Distributor: f.choose(now), NotBefore: now, Timeout: pollGrace}
	if f.started {
		c.NotBefore = max(c.NotBefore, f.calledAt+minCallInterval)
	}
	c.NotBefore = max(c.NotBefore, f.notBefore[c.Distributor])
	c.Request = Request{Service: f.service, Name: f.name, Since: f.inForce, Rejected: f.rejected, Reason: f.faultReport()}
	if c.Distributor == f.current { // any other has to show first that it is there
		c.Request.Wait = f.jitter(pollWait).Truncate(time.Millisecond)
		c.Timeout += c.Request.Wait
	}
	return c
}

// complaint is what a distributor is told of what was not taken.
func (f *Follower) faultReport() string {
	if f.rejectReason != "" && f.answerFault != "" {
		return f.answerFault + "; " + f.rejectReason
	}
	return f.answerFault + f.rejectReason
}

// choose is the first distributor that is not avoided, or where all are the one that is to be so for the shortest time.
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

// Sent says that the call goes out.
func (f *Follower) Sent(now time.Duration, c Call) {
	f.lastCalled, f.calledAt, f.timeout, f.started = c.Distributor, now, c.Timeout, true
}

// ReceiveState takes an answer that is a state. Nil: its settings are to be tried, and then Take or Refuse told. An error is of type
// StaleError or WrongServiceError, and the distributor is avoided for it.
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

// newest is the newest edition that was seen.
func (f *Follower) newestSeen() version.Edition {
	q := Request{Since: f.inForce, Rejected: f.rejected}
	return q.NewestSeen()
}

// Applied says that an edition is in force.
func (f *Follower) Applied(e version.Edition) {
	f.inForce, f.rejected, f.rejectReason = e, version.Edition{}, ""
}

// Rejected says why an edition can't be used. That is told, and the edition not tried again until Retry.
func (f *Follower) Rejected(e version.Edition, why error) {
	f.rejected, f.rejectReason = e, why.Error()
}

// RetryRejected has what was refused be tried once more.
func (f *Follower) RetryRejected() { f.rejected, f.rejectReason = version.Edition{}, "" }

// SkipWait has the next question not wait for news.
func (f *Follower) SkipWait() { f.current = -1 }

// ReceiveNothing takes an answer without news; retryAfter is how long the distributor asks to be left alone, 0 is not at all.
func (f *Follower) ReceiveNothing(now, retryAfter time.Duration) {
	f.recordSuccess(now)
	f.applyRetryAfter(now, retryAfter)
}

func (f *Follower) recordSuccess(now time.Duration) {
	f.current, f.avoidUntil[f.lastCalled], f.notBefore[f.lastCalled], f.answerFault, f.stopAssumed = f.lastCalled, now, now, "", false
}

// heed leaves the distributor alone for as long as it asks, within bounds.
func (f *Follower) applyRetryAfter(now, retryAfter time.Duration) {
	if retryAfter <= 0 {
		return
	}
	f.current = -1
	f.notBefore[f.lastCalled] = now + min(maxRetryAfter, retryAfter)
	f.avoidUntil[f.lastCalled] = f.notBefore[f.lastCalled]
}

// TimedOut says that there was no answer in time, and returns whether the distributor is avoided for it: not where this process
// seems to have been stopped meanwhile.
func (f *Follower) TimedOut(now time.Duration) (avoided bool) {
	if !f.stopAssumed && now > f.calledAt+f.timeout+minStopDuration {
		f.current, f.stopAssumed = -1, true
		return false
	}
	f.Failed(now, 0)
	return true
}

// Failed says that the distributor could not be reached, broke off, or had no answer; retryAfter is as Quiet has it.
func (f *Follower) Failed(now, retryAfter time.Duration) {
	f.current, f.avoidUntil[f.lastCalled] = -1, now+avoidDuration
	f.applyRetryAfter(now, retryAfter)
}

// RejectAnswer says that the answer could not be used. The next distributor is told why.
func (f *Follower) RejectAnswer(now time.Duration, why error) {
	f.answerFault = why.Error()
	f.Failed(now, 0)
}

// ConnectionLost says that a connection that had been kept was lost, as by a distributor's restart: it may be there again.
func (f *Follower) ConnectionLost(now time.Duration) {
	if f.lastCalled != f.current {
		f.Failed(now, 0)
		return
	}
	f.current = -1
}

// spread is a random time between three quarters of most and most: sidecars that were answered at once must not ask in step for ever.
func (f *Follower) jitter(most time.Duration) time.Duration {
	return 3*most/4 + time.Duration(f.rand.Int64N(int64(most/4)))
}
