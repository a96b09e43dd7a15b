package dissemination

import (
	"slices"
	"time"
)

// Serving fetches: a router sends a bounded number of copies at a time, so that each arrives soon and its link stays free for requests, and
// names the others those that have one.

const (
	maxConcurrentTransfers = 3                      // on this router's link
	maxLinkBacklog         = 100 * time.Millisecond // of its link, beyond which no further copy starts
	maxHoldersPerReply     = 4                      // in one reply
	maxTrackedTransfers    = 32
)

// transfer is a copy that was sent to a router.
type transfer struct {
	to       string
	sequence uint64
	endsAt   time.Duration // when it should have arrived
}

// transferLimiter bounds the copies on this router's link. The zero value is ready, for a link without a known rate.
type transferLimiter struct {
	bytesPerSecond float64 // of this router's link; 0: not known, and copies take no time
	sent           []transfer
}

// inFlight returns the copies that are still on the link, and for how long it is busy with them.
func (l *transferLimiter) inFlight(now time.Duration) (transfers int, backlog time.Duration) {
	for _, sent := range l.sent {
		if sent.endsAt > now {
			transfers++
			backlog = max(backlog, sent.endsAt-now)
		}
	}
	return transfers, backlog
}

// maySend reports whether another copy may start now.
func (l *transferLimiter) maySend(now time.Duration) bool {
	transfers, backlog := l.inFlight(now)
	return transfers < maxConcurrentTransfers && backlog <= maxLinkBacklog
}

// add counts a copy of so many bytes.
func (l *transferLimiter) add(now time.Duration, to string, sequence uint64, size int) {
	_, backlog := l.inFlight(now)
	duration := time.Duration(0)
	if l.bytesPerSecond > 0 {
		duration = time.Duration(float64(size) / l.bytesPerSecond * float64(time.Second))
	}
	l.sent = append(l.sent, transfer{to: to, sequence: sequence, endsAt: now + backlog + duration})
	if surplus := len(l.sent) - maxTrackedTransfers; surplus > 0 {
		l.sent = slices.Delete(l.sent, 0, surplus)
	}
}

// holders are routers that have got a copy with a sequence, the preferred ones first.
func (l *transferLimiter) holders(now time.Duration, sequence uint64, usable, prefers func(address string) bool) []string {
	var preferred, others []string
	for _, sent := range slices.Backward(l.sent) {
		switch {
		case sent.to == "" || sent.sequence < sequence || sent.endsAt > now || !usable(sent.to):
		case prefers(sent.to):
			preferred = append(preferred, sent.to)
		default:
			others = append(others, sent.to)
		}
	}
	all := slices.Concat(preferred, others)
	return all[:min(len(all), maxHoldersPerReply)]
}

// ServeFetch answers another router's request. Its error is ErrNoConfiguration where there is nothing to send.
func (n *Gossiper) ServeFetch(now time.Duration, request FetchRequest) (FetchReply, error) {
	if request.Packed && !n.transfers.maySend(now) {
		return n.busyReply(now, request), nil
	}
	reply, err := n.Config.serveFetch(now, request)
	if err != nil {
		return FetchReply{}, err
	}
	n.transfers.add(now, request.From, reply.Sequence, reply.size())
	return reply, nil
}

// busyReply names the routers in the caller's zone first.
func (n *Gossiper) busyReply(now time.Duration, request FetchRequest) FetchReply {
	zone := n.zoneOf(request.From)
	usable := func(address string) bool { return address != request.From && n.isAlive(address) }
	inZone := func(address string) bool { return n.zoneOf(address) == zone }
	received, _ := n.Config.Received()
	return FetchReply{Sequence: received, Busy: true, Holders: n.transfers.holders(now, received, usable, inZone)}
}

// zoneOf returns a router's zone; empty: the router is not known.
func (n *Gossiper) zoneOf(address string) string {
	m, _ := n.Members.Lookup(address)
	return m.Zone
}
