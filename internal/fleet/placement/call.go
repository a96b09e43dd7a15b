package placement

import (
	"math/rand/v2"
	"time"
)

// Call holds the properties of a call that the choice of its endpoint depends on.
type Call struct {
	Service     string
	Target      time.Duration // target time to first token; 0: none
	Spent       time.Duration // part of the target that has passed already
	Prompt      Prompt
	Exclude     []string // ids of endpoints that must not be chosen
	Retry       bool     // an earlier attempt failed: endpoints without recent failures or overdue answers are preferred
	LastAttempt bool     // the request is not retried after this attempt: endpoints without recent failures are preferred
}

// drawKey returns the key for rendezvous hashing: the hash of the longest shared prefix, or a random number where the prompt
// has none. Calls with the same key go to the same endpoint, as long as the candidates and their
// weights are the same.
func (c *Call) drawKey(random *rand.Rand) uint64 {
	if len(c.Prompt.Prefixes) > 0 {
		return uint64(c.Prompt.Prefixes[0].Hash) * 0x9e3779b97f4a7c15
	}
	return random.Uint64()
}

// Placement is a call that was sent to an endpoint. Outcomes are recorded with the methods of [Placer]; [Placer.Release]
// ends it.
type Placement struct {
	Endpoint *Endpoint
	Expected time.Duration // expected time to first token
	Units    float64       // units of the prompt that the endpoint has to prefill, at least 1

	work         work
	wait         float64 // expected seconds until earlier prefills have finished
	prompt       *Prompt // of the call
	serial       uint64  // of the call's job in the endpoint's queue
	firstTokenAt time.Duration
}
