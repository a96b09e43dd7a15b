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
// for within followWait + k x followGrace: one of the bad is found so by a watch that had just begun, the others by questions that
// don't wait. For five that is 2.5 s with one bad, 3 s with two, and 4 s with all but one.
const (
	followWait  = 2 * time.Second        // that a question waits for news, at most: a silent distributor looks like one without news until then
	followGrace = 500 * time.Millisecond // silence beyond the wait
	callGap     = 100 * time.Millisecond // between the beginnings of two calls, whatever is answered
	avoidFor    = 30 * time.Second       // one that failed, was silent or told nonsense is not gone back to, while there is another
	adviceMost  = 2 * time.Second        // of a Retry-After: a change is found by then as by a watch
	stopLeast   = 400 * time.Millisecond // that a call must end after its time for this process to have been stopped, which is nobody's fault
)

// Older is an answer that is no newer than what whoever asked has seen.
type Older struct{ Told, Seen version.Edition }

func (e Older) Error() string { return fmt.Sprintf("distribute: %s was told after %s", e.Told, e.Seen) }

// OtherService is an answer about another service than the one that was asked for.
type OtherService struct{ Told, Asked string }

func (e OtherService) Error() string {
	return fmt.Sprintf("distribute: settings of %s were told, those of %s asked for", e.Told, e.Asked)
}

// Call is what is to be asked next.
type Call struct {
	To       int           // the distributor's place in the list
	At       time.Duration // and not before
	Question Question
	Within   time.Duration // of its beginning the answer has to be there; the connect is part of it
}

// Follower decides which distributor a sidecar asks, when, and what it takes of the answers. Times are of a clock that never goes
// back. Its owner makes one call at a time: Next, Ask, and then how it ended: Hear, Quiet, Silent, Fail, Reject or Drop; nothing
// where it was broken off.
type Follower struct {
	service, name string
	rand          *rand.Rand
	order         []int           // distributors, as this sidecar prefers them
	avoided       []time.Duration // by distributor: up to when it is
	advised       []time.Duration // by distributor: it asked not to be asked before
	at            int             // the one whose last answer was good; -1: it is to be seen
	to            int             // the one that was asked last
	asked         time.Duration   // when
	within        time.Duration
	begun         bool
	excused       bool // the last silence was taken for a stop of this process

	inForce version.Edition // none: settings that no distributor gave
	refused version.Edition // the newest one; none where one in force is newer
	why     string          // it was refused
	fault   string          // of the last answer that could not be used, until a distributor has been told
}

// NewFollower returns that of a sidecar that holds no published settings yet. The distributors are preferred in an order that its
// name and their addresses give (rendezvous hashing, Thaler and Ravishankar 1998): each is the first for about as many sidecars,
// and those whose first is bad spread over the others.
func NewFollower(service, name string, distributors []string, r *rand.Rand) *Follower {
	f := &Follower{service: service, name: cut(name, NameMost), rand: r, at: -1,
		avoided: make([]time.Duration, len(distributors)), advised: make([]time.Duration, len(distributors))}
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
	c := Call{To: f.choose(now), At: now, Within: followGrace}
	if f.begun {
		c.At = max(c.At, f.asked+callGap)
	}
	c.At = max(c.At, f.advised[c.To])
	c.Question = Question{Service: f.service, Name: f.name, Since: f.inForce, Refused: f.refused, Why: f.complaint()}
	if c.To == f.at { // any other has to show first that it is there
		c.Question.Wait = f.spread(followWait).Truncate(time.Millisecond)
		c.Within += c.Question.Wait
	}
	return c
}

// complaint is what a distributor is told of what was not taken.
func (f *Follower) complaint() string {
	if f.why != "" && f.fault != "" {
		return f.fault + "; " + f.why
	}
	return f.fault + f.why
}

// choose is the first distributor that is not avoided, or where all are the one that is to be so for the shortest time.
func (f *Follower) choose(now time.Duration) int {
	best := f.order[0]
	for _, i := range f.order {
		if f.avoided[i] <= now {
			return i
		}
		if f.avoided[i] < f.avoided[best] {
			best = i
		}
	}
	return best
}

// Ask says that the call goes out.
func (f *Follower) Ask(now time.Duration, c Call) {
	f.to, f.asked, f.within, f.begun = c.To, now, c.Within, true
}

// Hear takes an answer that is a state. Nil: its settings are to be tried, and then Take or Refuse told. An error is of type
// Older or OtherService, and the distributor is avoided for it.
func (f *Follower) Hear(now time.Duration, s State) error {
	var err error
	switch seen := f.newest(); {
	case s.Service != f.service:
		err = OtherService{s.Service, f.service}
	case s.Compare(seen) <= 0:
		err = Older{s.Edition, seen}
	default:
		f.good(now)
		return nil
	}
	f.Reject(now, err)
	return err
}

// newest is the newest edition that was seen.
func (f *Follower) newest() version.Edition {
	q := Question{Since: f.inForce, Refused: f.refused}
	return q.Newest()
}

// Take says that an edition is in force.
func (f *Follower) Take(e version.Edition) {
	f.inForce, f.refused, f.why = e, version.Edition{}, ""
}

// Refuse says why an edition can't be used. That is told, and the edition not tried again until Retry.
func (f *Follower) Refuse(e version.Edition, why error) { f.refused, f.why = e, why.Error() }

// Retry has what was refused be tried once more.
func (f *Follower) Retry() { f.refused, f.why = version.Edition{}, "" }

// Hurry has the next question not wait for news.
func (f *Follower) Hurry() { f.at = -1 }

// Quiet takes an answer without news; retryAfter is how long the distributor asks to be left alone, 0 is not at all.
func (f *Follower) Quiet(now, retryAfter time.Duration) {
	f.good(now)
	f.heed(now, retryAfter)
}

func (f *Follower) good(now time.Duration) {
	f.at, f.avoided[f.to], f.advised[f.to], f.fault, f.excused = f.to, now, now, "", false
}

// heed leaves the distributor alone for as long as it asks, within bounds.
func (f *Follower) heed(now, retryAfter time.Duration) {
	if retryAfter <= 0 {
		return
	}
	f.at = -1
	f.advised[f.to] = now + min(adviceMost, retryAfter)
	f.avoided[f.to] = f.advised[f.to]
}

// Silent says that there was no answer in time, and returns whether the distributor is avoided for it: not where this process
// seems to have been stopped meanwhile.
func (f *Follower) Silent(now time.Duration) (avoided bool) {
	if !f.excused && now > f.asked+f.within+stopLeast {
		f.at, f.excused = -1, true
		return false
	}
	f.Fail(now, 0)
	return true
}

// Fail says that the distributor could not be reached, broke off, or had no answer; retryAfter is as Quiet has it.
func (f *Follower) Fail(now, retryAfter time.Duration) {
	f.at, f.avoided[f.to] = -1, now+avoidFor
	f.heed(now, retryAfter)
}

// Reject says that the answer could not be used. The next distributor is told why.
func (f *Follower) Reject(now time.Duration, why error) {
	f.fault = why.Error()
	f.Fail(now, 0)
}

// Drop says that a connection that had been kept was lost, as by a distributor's restart: it may be there again.
func (f *Follower) Drop(now time.Duration) {
	if f.to != f.at {
		f.Fail(now, 0)
		return
	}
	f.at = -1
}

// spread is a random time between three quarters of most and most: sidecars that were answered at once must not ask in step for ever.
func (f *Follower) spread(most time.Duration) time.Duration {
	return 3*most/4 + time.Duration(f.rand.Int64N(int64(most/4)))
}
