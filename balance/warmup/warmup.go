// Package warmup decides how much one instance may send to an endpoint that has just started (slow start), so that all
// instances together, which share nothing, never overload it. It is pure: the caller passes the time and reports each
// answer; the random numbers are the caller's. Its types aren't safe for concurrent use. Package balance is its only caller.
//
// Sends are earned by evidence. Each answer of an endpoint is worth SendsPerAnswer sends, spread over the endpoints in
// proportion to the least that each can do by its age: 1 for a warm one, Config.Capacity for one that is warming up. An
// endpoint that is warming up so gets SendsPerAnswer times its fair part of what its peers are answering now, whether they
// are warm, warming up too, or only itself. Where nothing has been answered yet, a trickle at a rate from the settings goes
// out, which all instances share, and which yields to sends that answers earn.
//
// All instances together stay under the multiple of its capacity at which an endpoint collapses, whatever their number is,
// is said to be, and however the traffic is spread over them: only answers earn, an answer is earned from once, at one
// instance, and endpoints can't answer more work in a window than their capacities allow. What an endpoint is sent in a
// window is so at most SendsPerAnswer x its capacity x the window, if its peers are no more capable than their ages say, plus
// what was saved before, plus the trickle. Sends expire, so that a pause in traffic saves up nothing, and they are whole
// numbers, a fraction being a chance, or fifty instances would each keep most of one for the same moment.
// docs/design/fleet-recovery.md has the measurements.
package warmup

import (
	"math"
	"time"
)

// CreditsPerAnswer is how many sends an answer is worth: how fast the use of an endpoint grows, and how far past its capacity it
// may go.
const CreditsPerAnswer = 1.2

const (
	earnedLifetime  = 2 * time.Second        // of an earned send: an instance with one request a second has to find it
	trickleLifetime = 500 * time.Millisecond // of a trickled send: no answer stands behind it
	maxTrickleDebt  = 4.0                    // earned sends that the trickle yields to at most, or it would stay away after a pause
	maxTrickleWait  = 3600.0                 // seconds

	priorWorkShare = 0.1 // of the shortest target latency: what a request is taken to need of a warm endpoint before any is answered
	// trickleGain is the trickle of all instances together, as a multiple of what that allows. Where the number of instances is
	// known, 8,000 random clusters stay under the multiple with 2.0, and one in 1,400 does not with 2.4; with half of the
	// number stated, some don't with 1.6 already.
	trickleGain        = 1.2
	knownInstancesGain = 1.8
)

// Config is what the settings say.
type Config struct {
	InitialShare   float64       // least share of its capacity that an endpoint has right after its start, over 0 to 1
	Duration       time.Duration // until it has all of it, growing at least linearly
	TargetLatency  time.Duration // the shortest of all classes
	InstancesKnown bool          // the number of instances is right
}

// Capacity is the least share of its full capacity that an endpoint of an age has, from InitialShare to 1. A negative age,
// from a clock that is ahead, counts as 0.
func (c *Config) Capacity(age time.Duration) float64 {
	if age >= c.Duration {
		return 1
	}
	return c.InitialShare + (1-c.InitialShare)*max(0, float64(age)/float64(c.Duration))
}

// TrickleRate is how many sends a second one instance may make to an endpoint of an age without any evidence, if so many
// instances use that endpoint.
func (c *Config) TrickleRate(age time.Duration, instances float64) float64 {
	gain := trickleGain
	if c.InstancesKnown {
		gain = knownInstancesGain
	}
	return gain * c.Capacity(age) / (priorWorkShare * c.TargetLatency.Seconds() * max(1, instances))
}

// Budget is the sends that one instance may make to one endpoint that is warming up. The zero value has none.
type Budget struct {
	earned      []time.Duration // when each expires, the first first
	trickled    []time.Duration // the same of those from the trickle
	trickleDebt float64         // earned sends that the trickle has not yielded to yet
	nextTrickle time.Duration   // when the trickle brings the next send; 0 is not drawn yet
}

// Earn takes in an answer that is worth so many sends to this endpoint: SendsPerAnswer x its capacity over the sum of the
// capacities of all that the answer counts for. Draw is a random number, evenly from 0 to 1, that decides on the fraction.
func (b *Budget) Earn(now time.Duration, sends, draw float64) {
	b.trickleDebt = min(maxTrickleDebt, b.trickleDebt+sends)
	n := math.Floor(sends)
	if draw < sends-n {
		n++
	}
	for range int(n) {
		b.earned = append(b.earned, now+earnedLifetime)
	}
}

// Tick brings the trickle, of so many sends a second at random times (a Poisson process). Draw is a random number, evenly
// from 0 to 1.
func (b *Budget) Tick(now time.Duration, rate, draw float64) {
	wait := time.Duration(min(-math.Log1p(-draw)/rate, maxTrickleWait) * float64(time.Second)) // exponentially distributed
	switch {
	case b.nextTrickle == 0:
	case now < b.nextTrickle:
		return
	case b.trickleDebt >= 1:
		b.trickleDebt--
	default:
		b.trickled = append(b.trickled, now+trickleLifetime)
	}
	b.nextTrickle = now + wait
}

// CanSend reports whether there is a send left.
func (b *Budget) CanSend(now time.Duration) bool {
	b.earned = dropExpired(b.earned, now)
	b.trickled = dropExpired(b.trickled, now)
	return len(b.earned)+len(b.trickled) > 0
}

func dropExpired(expiries []time.Duration, now time.Duration) []time.Duration {
	for len(expiries) > 0 && expiries[0] <= now {
		expiries = expiries[1:]
	}
	return expiries
}

// Spend takes a send, after CanSend has reported that there is one. Those of the trickle expire sooner and go first.
func (b *Budget) Spend() {
	if len(b.trickled) > 0 {
		b.trickled = b.trickled[1:]
		return
	}
	b.earned = b.earned[1:]
}
