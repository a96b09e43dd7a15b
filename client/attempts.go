package client

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Within one call, the pause before the next attempt at the same address doubles from minBackoff to maxBackoff.
const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
	// Each pause is lengthened by a random part of up to 1/jitterDivisor, so that callers which failed at the same time do not retry at
	// the same time.
	jitterDivisor = 4
)

// failedAttempts are the attempts of one call that did not decide it.
type failedAttempts struct {
	counts       []int // by address index
	last         *attemptError
	unclear      bool // at least one attempt may have taken effect, or may still take effect
	unclearSince time.Time
}

func (f *failedAttempts) add(address int, failure *attemptError) {
	f.counts[address]++
	f.last = failure
	if failure.unclear && !f.unclear {
		f.unclear, f.unclearSince = true, time.Now()
	}
}

// callError returns the error of a call that is not retried any more. The reason says why: the context or the retry limit.
func (f *failedAttempts) callError(r *request, reason error) error {
	switch {
	case f.unclear:
		return fmt.Errorf("%w: %s %s: %w; the last attempt: %w", ErrUnclear, r.method, r.path, reason, f.last.err)
	case f.last != nil:
		return &RefusedError{Status: f.last.status, Reason: f.last.err.Error(), Err: reason}
	}
	return &RefusedError{Reason: "it was not sent", Err: reason}
}

// nextAddress returns the index of the address for the next attempt, and the time to wait before it. It chooses the address with the shortest
// wait; among equal ones, the first in the order of addresses, beginning with the preferred one.
func (c *Client) nextAddress(f *failedAttempts) (index int, wait time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for i := range c.addresses {
		candidate := (c.preferred + i) % len(c.addresses)
		pause := max(c.notBefore[candidate].Sub(now), backoff(f.counts[candidate]))
		if i == 0 || pause < wait {
			index, wait = candidate, pause
		}
	}
	if wait <= 0 {
		return index, 0
	}
	return index, wait + rand.N(wait/jitterDivisor+1)
}

// backoff returns the pause before the next attempt at an address, given the number of failed attempts there.
func backoff(attempts int) time.Duration {
	if attempts == 0 {
		return 0
	}
	return min(minBackoff<<min(attempts-1, 10), maxBackoff)
}

// avoidAddress makes the next address the preferred one if the given address is preferred now. With a pause above 0, no attempt is made at
// the given address before the pause is over.
func (c *Client) avoidAddress(address int, pause time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.preferred == address {
		c.preferred = (address + 1) % len(c.addresses)
	}
	if pause > 0 {
		c.notBefore[address] = time.Now().Add(pause)
	}
}
