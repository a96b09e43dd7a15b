// Package warmup decides how much one instance may send to an endpoint that has just started (slow start), so that all
// instances together, which share no state, never overload it. It is pure: the caller passes the time, random numbers and
// each answer. Its types aren't safe for concurrent use. Package balance is its only caller.
//
// An instance needs one credit for each request that it sends to an endpoint that is warming up. Answers earn credits:
// each is worth CreditsPerAnswer credits, distributed over all endpoints in proportion to their minimum capacity by
// age, which is 1 for a warm endpoint and Config.Capacity for one that is warming up. An endpoint that is warming up
// therefore gets CreditsPerAnswer times its proportional share of the present answers, whether these come from warm
// endpoints, from others that are warming up, or only from itself. While nothing has been answered, a trickle of
// credits is granted at a rate from the settings. All instances share that rate, and the trickle is reduced by the
// credits that answers earn.
//
// All instances together stay below the multiple of its capacity at which an endpoint collapses, whatever their number
// or configured number is, and however the traffic is distributed over them: only answers earn credits, each answer
// earns them once, at one instance, and endpoints cannot answer more work in a time window than their capacities allow.
// An endpoint is therefore sent at most CreditsPerAnswer x its capacity x the window, if its peers' capacity is no
// higher than their ages say, plus the credits saved before the window, plus the trickle. Credits expire, so that a
// pause in traffic does not accumulate them. They are whole numbers, with fractions rounded at random: with fractional
// credits, fifty instances could each accumulate almost a whole one and spend them at the same moment.
// docs/design/fleet-recovery.md has the measurements.
package warmup

import (
	"math"
	"time"
)

// CreditsPerAnswer is the number of credits that an answer earns. It determines how fast the load of an endpoint grows,
// and how far it may exceed the endpoint's capacity.
const CreditsPerAnswer = 1.2

const (
	earnedLifetime  = 2 * time.Second        // of an earned credit; an instance with one request a second must be able to use it
	trickleLifetime = 500 * time.Millisecond // of a trickle credit; short, since no answer justifies it
	maxTrickleDebt  = 4.0                    // maximum of trickleDebt; more would suppress the trickle after a pause
	maxTrickleWait  = 3600.0                 // seconds

	priorWorkShare = 0.1 // assumed work of a request at a warm endpoint before any is answered, as a share of TargetLatency
	// trickleGain is the trickle of all instances together, as a multiple of the rate that priorWorkShare allows.
	// knownInstancesGain is used instead if the number of instances is known: 8,000 random clusters stayed below the
	// collapse multiple with 2.0, and one in 1,400 exceeded it with 2.4. If half of the true number is configured, some
	// clusters exceed it with 1.6 already.
	trickleGain        = 1.2
	knownInstancesGain = 1.8
)

// Config holds the settings of a warm-up.
type Config struct {
	InitialShare   float64       // minimum share of its capacity that an endpoint has at its start, above 0 and up to 1
	Duration       time.Duration // from the start until full capacity; the capacity grows at least linearly
	TargetLatency  time.Duration // the shortest one of all classes
	InstancesKnown bool          // the number of instances passed to TrickleRate is exact
}

// Capacity returns the minimum share of its full capacity that an endpoint of the given age has, from InitialShare to
// 1. A negative age, which a clock that is ahead produces, counts as 0.
func (c *Config) Capacity(age time.Duration) float64 {
	if age >= c.Duration {
		return 1
	}
	return c.InitialShare + (1-c.InitialShare)*max(0, float64(age)/float64(c.Duration))
}

// TrickleRate returns the number of credits a second that one instance gets without any answer, for an endpoint of the
// given age that is used by the given number of instances.
func (c *Config) TrickleRate(age time.Duration, instances float64) float64 {
	gain := trickleGain
	if c.InstancesKnown {
		gain = knownInstancesGain
	}
	return gain * c.Capacity(age) / (priorWorkShare * c.TargetLatency.Seconds() * max(1, instances))
}

// Budget holds the credits of one instance for sending to one endpoint that is warming up. The zero value has none.
type Budget struct {
	earnedExpiries  []time.Duration // expiry of each earned credit, earliest first
	trickleExpiries []time.Duration // expiry of each trickle credit, earliest first
	trickleDebt     float64         // earned credits for which the trickle has not been reduced yet
	nextTrickle     time.Duration   // time of the next trickle credit; 0: not drawn yet
}

// Earn adds the credits that an answer earns for this endpoint: CreditsPerAnswer x its capacity / the sum of the
// capacities of all endpoints that share the answer's credits. A fraction is rounded up or down at random by draw, a
// uniform random number from 0 to 1.
func (b *Budget) Earn(now time.Duration, credits, draw float64) {
	b.trickleDebt = min(maxTrickleDebt, b.trickleDebt+credits)
	n := math.Floor(credits)
	if draw < credits-n {
		n++
	}
	for range int(n) {
		b.earnedExpiries = append(b.earnedExpiries, now+earnedLifetime)
	}
}

// Tick adds a trickle credit if one is due by now, or reduces trickleDebt by 1 instead if that is at least 1. The trickle
// is a Poisson process with rate credits a second. draw is a uniform random number from 0 to 1.
func (b *Budget) Tick(now time.Duration, rate, draw float64) {
	wait := time.Duration(min(-math.Log1p(-draw)/rate, maxTrickleWait) * float64(time.Second)) // exponentially distributed
	switch {
	case b.nextTrickle == 0:
	case now < b.nextTrickle:
		return
	case b.trickleDebt >= 1:
		b.trickleDebt--
	default:
		b.trickleExpiries = append(b.trickleExpiries, now+trickleLifetime)
	}
	b.nextTrickle = now + wait
}

// CanSend reports whether the budget has a credit that has not expired.
func (b *Budget) CanSend(now time.Duration) bool {
	b.earnedExpiries = dropExpired(b.earnedExpiries, now)
	b.trickleExpiries = dropExpired(b.trickleExpiries, now)
	return len(b.earnedExpiries)+len(b.trickleExpiries) > 0
}

func dropExpired(expiries []time.Duration, now time.Duration) []time.Duration {
	for len(expiries) > 0 && expiries[0] <= now {
		expiries = expiries[1:]
	}
	return expiries
}

// Spend uses one credit. CanSend must have returned true before. Trickle credits are used first, since they expire
// sooner.
func (b *Budget) Spend() {
	if len(b.trickleExpiries) > 0 {
		b.trickleExpiries = b.trickleExpiries[1:]
		return
	}
	b.earnedExpiries = b.earnedExpiries[1:]
}
