package dissemination

import (
	"slices"
	"time"
)

// Serving fetches: a router sends a bounded number of copies at a time, so that each arrives soon and its link stays free for requests, and
// names the others those that have one.

const (
	maxConcurrentCopies = 3                      // on this router's link
	maxCopyBacklog      = 100 * time.Millisecond // of its link, beyond which no further copy starts
	maxNamedHolders     = 4                      // in one reply
	maxRememberedCopies = 32
)

// sentCopy is a copy that was sent to a router.
type sentCopy struct {
	to       string
	sequence uint64
	end      time.Duration // when it should have arrived
}

// copyLimiter bounds the copies on this router's link. The zero value is ready, for a link without a known rate.
type copyLimiter struct {
	bytesPerSecond float64 // of this router's link; 0: not known, and copies take no time
	sent           []sentCopy
}

// inFlight returns the copies that are still on the link, and for how long it is busy with them.
func (c *copyLimiter) inFlight(now time.Duration) (copies int, backlog time.Duration) {
	for _, sent := range c.sent {
		if sent.end > now {
			copies++
			backlog = max(backlog, sent.end-now)
		}
	}
	return copies, backlog
}

// maySend reports whether another copy may start now.
func (c *copyLimiter) maySend(now time.Duration) bool {
	copies, backlog := c.inFlight(now)
	return copies < maxConcurrentCopies && backlog <= maxCopyBacklog
}

// add counts a copy of so many bytes.
func (c *copyLimiter) add(now time.Duration, to string, sequence uint64, size int) {
	_, backlog := c.inFlight(now)
	duration := time.Duration(0)
	if c.bytesPerSecond > 0 {
		duration = time.Duration(float64(size) / c.bytesPerSecond * float64(time.Second))
	}
	c.sent = append(c.sent, sentCopy{to: to, sequence: sequence, end: now + backlog + duration})
	if surplus := len(c.sent) - maxRememberedCopies; surplus > 0 {
		c.sent = slices.Delete(c.sent, 0, surplus)
	}
}

// holders are routers that have got a copy with a sequence, the preferred ones first.
func (c *copyLimiter) holders(now time.Duration, sequence uint64, usable, prefers func(address string) bool) []string {
	var near, far []string
	for _, sent := range slices.Backward(c.sent) {
		switch {
		case sent.to == "" || sent.sequence < sequence || sent.end > now || !usable(sent.to):
		case prefers(sent.to):
			near = append(near, sent.to)
		default:
			far = append(far, sent.to)
		}
	}
	all := slices.Concat(near, far)
	return all[:min(len(all), maxNamedHolders)]
}

// ServeFetch answers another router's request. Its error is ErrNoConfiguration where there is nothing to send.
func (n *Gossiper) ServeFetch(now time.Duration, request FetchRequest) (FetchReply, error) {
	if request.Packed && !n.copies.maySend(now) {
		return n.busyReply(now, request), nil
	}
	reply, err := n.Config.serveFetch(now, request)
	if err != nil {
		return FetchReply{}, err
	}
	n.copies.add(now, request.From, reply.Sequence, reply.size())
	return reply, nil
}

// busyReply names the routers in the caller's zone first.
func (n *Gossiper) busyReply(now time.Duration, request FetchRequest) FetchReply {
	zone := n.zoneOf(request.From)
	usable := func(address string) bool { return address != request.From && n.isAlive(address) }
	inZone := func(address string) bool { return n.zoneOf(address) == zone }
	received, _ := n.Config.Received()
	return FetchReply{Sequence: received, Busy: true, Holders: n.copies.holders(now, received, usable, inZone)}
}

// zoneOf returns a router's zone; empty: the router is not known.
func (n *Gossiper) zoneOf(address string) string {
	m, _ := n.Members.Lookup(address)
	return m.Zone
}
