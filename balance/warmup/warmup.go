// Package warmup decides how much one instance may send to a server that has just started, so that all
// instances together, which share nothing, never push it over. It is pure: the caller passes the time and
// tells each answer; the random numbers are the caller's.
//
// A right to send is earned by evidence. Each answer of a server is worth Gain sends, spread over the servers
// in proportion to what each can do at least by its age: to a warm server 1, to a cold one its share. A cold
// server so gets Gain times its fair part of what its like are answering now, whether they are warm, cold too,
// or only itself. Where nothing has been answered yet, a trickle from the settings' figures goes out, which
// all instances share, and which stands back once answers earn.
//
// Why all together stay under the multiple, whatever the number of instances is, is said to be, and however
// the traffic is spread over them: only answers earn, an answer is earned from once, at one instance, and
// servers can't answer more work in a window than their capacities allow. What a server is sent in a window
// is so at most Gain x its capacity x the window, if its like are no more capable than their ages tell, plus
// what was saved before it, plus the trickle. Rights lapse, so that silence saves up nothing, and they are
// whole numbers, a fraction being a chance, or fifty instances would each keep most of one for the same moment.
// docs/design/fleet-recovery.md has the figures.
package warmup

import (
	"math"
	"time"
)

// Tunables.
const (
	Gain    = 1.2                    // sends that an answer is worth: how fast use grows, and how far past capacity it may go
	keeps   = 2 * time.Second        // after which an earned right lapses: an instance that is asked once a second has to find it
	lapses  = 500 * time.Millisecond // the same of the trickle's: no answer stands behind them
	stayFor = 4.0                    // rights earned that the trickle stands back for at most, or it would stay away after a silence

	trickleAims = 0.1 // of the shortest aim: what a request is taken to need of a warm server before any is answered
	// Times what that allows, of all instances together. Where the number of instances is sure, 8,000 random fleets stay under
	// the multiple with 2.0, and one in 1,400 does not with 2.4; told half of the truth, some don't with 1.6 already.
	trickleGain = 1.2
	sureGain    = 1.8
)

// Site is what the settings say.
type Site struct {
	Share float64       // of its capacity that a server has right after its start, at least
	Warm  time.Duration // until it has all of it, growing evenly at least
	Aim   time.Duration // the shortest of the classes'
	Sure  bool          // the number of instances is right
}

// Capacity is the part of its full capacity that a server of that age has at least, from Site.Share to 1.
// A negative age, from a clock that is ahead, is 0.
func (s *Site) Capacity(age time.Duration) float64 {
	if age >= s.Warm {
		return 1
	}
	return s.Share + (1-s.Share)*max(0, float64(age)/float64(s.Warm))
}

// Trickle is how many sends a second one instance may make to a server of that age without any evidence, if so
// many instances use that server.
func (s *Site) Trickle(age time.Duration, users float64) float64 {
	gain := trickleGain
	if s.Sure {
		gain = sureGain
	}
	return gain * s.Capacity(age) / (trickleAims * s.Aim.Seconds() * max(1, users))
}

// Budget is the rights to send of one instance to one cold server: when each lapses, the first first.
type Budget struct {
	earned []time.Duration
	given  []time.Duration // by the trickle
	worth  float64         // that was earned, and that the trickle has not stood back for yet
	next   time.Duration   // when the trickle brings the next one; 0 is not drawn yet
}

// Answered takes in an answer that is worth so many sends to this server: Gain x its capacity over the sum of
// all that the answer counts for. Draw is a random number from 0 to 1 that makes a whole number of it.
func (b *Budget) Answered(now time.Duration, worth, draw float64) {
	b.worth = min(stayFor, b.worth+worth)
	whole := math.Floor(worth)
	if draw < worth-whole {
		whole++
	}
	for range int(whole) {
		b.earned = append(b.earned, now+keeps)
	}
}

// Tick brings the trickle, of so many rights a second at random times. Draw is a random number, evenly from
// 0 to 1.
func (b *Budget) Tick(now time.Duration, rate, draw float64) {
	wait := time.Duration(min(-math.Log1p(-draw)/rate, 3600) * float64(time.Second)) // exponentially distributed
	switch {
	case b.next == 0:
	case now < b.next:
		return
	case b.worth >= 1:
		b.worth--
	default:
		b.given = append(b.given, now+lapses)
	}
	b.next = now + wait
}

// Ready tells whether a send is allowed.
func (b *Budget) Ready(now time.Duration) bool {
	b.earned, b.given = drop(b.earned, now), drop(b.given, now)
	return len(b.earned)+len(b.given) > 0
}

// drop leaves out the rights that have lapsed.
func drop(rights []time.Duration, now time.Duration) []time.Duration {
	for len(rights) > 0 && rights[0] <= now {
		rights = rights[1:]
	}
	return rights
}

// Spend takes a right, after Ready has said that there is one. Those of the trickle lapse sooner and go first.
func (b *Budget) Spend() {
	if len(b.given) > 0 {
		b.given = b.given[1:]
		return
	}
	b.earned = b.earned[1:]
}
