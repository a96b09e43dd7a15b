package daemon

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// maxCordonCalls bounds of how many hosts the last call is known: beyond it all are forgotten, and what was called moments ago may
// cross once more.
const maxCordonCalls = 4096

// calls knows the last operator's call about each host. Of two that reach two processes at once the later one holds at both
// in the end, whichever hears of the other's first. All processes of a sidecar read one machine's clock.
type cordonCalls struct {
	mu    sync.Mutex
	lastByEndpoint  map[string]peerMessage
	clock func() int64 // nanoseconds, the same at all processes of a sidecar; nil: the machine's
}

// here stamps a call that was made at this process and has it applied. It returns the call as the others are to be told, and
// whether it could be.
func (c *cordonCalls) applyLocal(w peerMessage, apply func(peerMessage) bool) (peerMessage, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := uptime
	if c.clock != nil {
		now = c.clock
	}
	w.At = max(now(), c.lastByEndpoint[w.Name].At+1)
	return w, c.apply(w, apply)
}

// there has a call that was made at another process applied, unless a later one is known. It returns whether it was, and
// whether there is such a host.
func (c *cordonCalls) applyRemote(w peerMessage, apply func(peerMessage) bool) (news, known bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w.At > 0 && !w.supersedes(c.lastByEndpoint[w.Name]) { // a process of an older kind stamps none
		return false, true
	}
	known = c.apply(w, apply)
	return known, known
}

func (c *cordonCalls) apply(w peerMessage, apply func(peerMessage) bool) bool {
	if !apply(w) {
		return false
	}
	if c.lastByEndpoint == nil || len(c.lastByEndpoint) >= maxCordonCalls {
		c.lastByEndpoint = map[string]peerMessage{}
	}
	c.lastByEndpoint[w.Name] = w
	return true
}

// after tells whether a call is the later of two about one host. Of two at the same moment, that which takes the host out is.
func (w peerMessage) supersedes(v peerMessage) bool { return w.At > v.At || w.At == v.At && w.Out && !v.Out }

// uptime is the time since the machine's start, in nanoseconds; the wall's clock where that can't be had.
func uptime() int64 {
	var up unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &up) != nil {
		return time.Now().UnixNano()
	}
	return up.Nano()
}
