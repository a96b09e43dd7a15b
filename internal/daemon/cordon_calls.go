package daemon

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// maxCordonCalls bounds the endpoints whose last call is known. Beyond it all calls are forgotten, and of two that cross at
// that moment the earlier one may hold.
const maxCordonCalls = 4096

// cordonCalls knows the last operator's call about each endpoint. Of two calls that reach two processes at once, the later one
// holds at both in the end, whichever process hears of the other's first: the last writer wins, by the one clock of the machine
// that all processes of a sidecar read.
type cordonCalls struct {
	mu             sync.Mutex
	lastByEndpoint map[string]peerMessage
	clock          func() int64 // nanoseconds, the same at all processes of a sidecar; nil: the machine's
}

// applyLocal stamps a call that was made at this process and applies it. It returns the call as the other processes are to be
// sent it, and whether it could be applied.
func (c *cordonCalls) applyLocal(call peerMessage, apply func(peerMessage) bool) (peerMessage, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := uptime
	if c.clock != nil {
		now = c.clock
	}
	call.CalledAt = max(now(), c.lastByEndpoint[call.Endpoint].CalledAt+1)
	return call, c.apply(call, apply)
}

// applyRemote applies a call that was made at another process, unless a later one is known. It returns whether it was applied,
// and whether there is such an endpoint.
func (c *cordonCalls) applyRemote(call peerMessage, apply func(peerMessage) bool) (applied, known bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if call.CalledAt > 0 && !call.supersedes(c.lastByEndpoint[call.Endpoint]) { // processes of older releases stamp none
		return false, true
	}
	known = c.apply(call, apply)
	return known, known
}

func (c *cordonCalls) apply(call peerMessage, apply func(peerMessage) bool) bool {
	if !apply(call) {
		return false
	}
	if c.lastByEndpoint == nil || len(c.lastByEndpoint) >= maxCordonCalls {
		c.lastByEndpoint = map[string]peerMessage{}
	}
	c.lastByEndpoint[call.Endpoint] = call
	return true
}

// supersedes reports whether a call is the later of two about one endpoint. Of two at the same moment, the one that cordons is.
func (call peerMessage) supersedes(other peerMessage) bool {
	return call.CalledAt > other.CalledAt || call.CalledAt == other.CalledAt && call.Cordoned && !other.Cordoned
}

// uptime returns the nanoseconds since the machine started (CLOCK_MONOTONIC), or the wall clock's where that can't be read.
func uptime() int64 {
	var up unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &up) != nil {
		return time.Now().UnixNano()
	}
	return up.Nano()
}
