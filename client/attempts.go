package client

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// The pause before an address is asked again within one call doubles from minBackoff to maxBackoff.
const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
	// jitterDivisor: pauses are longer by up to that part of them, so that callers which failed together do not come back together.
	jitterDivisor = 4
)

// attempts are those of one call that did not decide it.
type attempts struct {
	tried        []int // by address: how often
	last         *attemptError
	unclear      bool // one of them may have taken effect, or may yet
	unclearSince time.Time
}

func (h *attempts) add(address int, failed *attemptError) {
	h.tried[address]++
	h.last = failed
	if failed.unclear && !h.unclear {
		h.unclear, h.unclearSince = true, time.Now()
	}
}

// failure is the error of a call that is not tried again, for a reason.
func (h *attempts) failure(r *request, reason error) error {
	switch {
	case h.unclear:
		return fmt.Errorf("%w: %s %s: %w; the last attempt: %w", ErrUnclear, r.method, r.path, reason, h.last.err)
	case h.last != nil:
		return &RefusedError{Status: h.last.status, Reason: h.last.err.Error(), Err: reason}
	}
	return &RefusedError{Reason: "it was not sent", Err: reason}
}

// next returns the address to be asked next, and the time to wait before: from the preferred one on, the first that may be asked soonest.
func (c *Client) next(h *attempts) (index int, wait time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for i := range c.addresses {
		candidate := (c.preferred + i) % len(c.addresses)
		pause := max(c.notBefore[candidate].Sub(now), backoff(h.tried[candidate]))
		if i == 0 || pause < wait {
			index, wait = candidate, pause
		}
	}
	if wait <= 0 {
		return index, 0
	}
	return index, wait + rand.N(wait/jitterDivisor+1)
}

// backoff is the pause before an address that was asked so often is asked again.
func backoff(tried int) time.Duration {
	if tried == 0 {
		return 0
	}
	return min(minBackoff<<min(tried-1, 10), maxBackoff)
}

// turnFrom has later calls ask the next address first, and leaves this one alone for a while.
func (c *Client) turnFrom(address int, pause time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.preferred == address {
		c.preferred = (address + 1) % len(c.addresses)
	}
	if pause > 0 {
		c.notBefore[address] = time.Now().Add(pause)
	}
}
