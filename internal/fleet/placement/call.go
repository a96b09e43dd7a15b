package placement

import (
	"math/rand/v2"
	"time"
)

// Call is what the choice of an endpoint depends on.
type Call struct {
	Service     string
	Target      time.Duration // target latency of the first token; 0: none
	Spent       time.Duration // of the target, before now
	Prompt      Prompt
	Exclude     []string // ids of endpoints that it must not go to
	Retry       bool     // another endpoint has failed it: endpoints with neither a failure nor an overdue answer come first
	LastAttempt bool     // a failure would be the request's: endpoints without a failure come first
}

// drawKey returns what the draw hashes: calls with the same key go to the same endpoint.
func (c *Call) drawKey(random *rand.Rand) uint64 {
	if len(c.Prompt.Prefixes) > 0 {
		return uint64(c.Prompt.Prefixes[0].Hash) * 0x9e3779b97f4a7c15
	}
	return random.Uint64()
}

// Placement is a call that was sent to an endpoint. Its methods are the [Placer]'s; Release ends it.
type Placement struct {
	Endpoint *Endpoint
	Expected time.Duration // time to first token
	Units    float64       // of the prompt that the endpoint has to prefill, at least 1

	work         work
	wait         float64 // seconds of prefill in front
	prompt       *Prompt // of the Call
	serial       uint64  // of the job in the endpoint's queue
	firstTokenAt time.Duration
}
