package dissemination

import (
	"slices"
	"time"
)

// Serving fetches: a router bounds the concurrent transfers of the configuration on its link, so that each ends soon and the link keeps
// capacity for requests. A busy router replies with the addresses of other routers that hold the configuration.

const (
	maxConcurrentTransfers = 3                      // on this router's link at the same time
	maxLinkBacklog         = 100 * time.Millisecond // of the link; no transfer starts while the backlog is longer
	maxHoldersPerReply     = 4
	maxTrackedTransfers    = 32
)

// transfer is the sending of a fetch reply to a router.
type transfer struct {
	to       string
	sequence uint64
	endsAt   time.Duration // estimated time of arrival
}

// transferLimiter bounds the transfers on this router's link. The zero value is ready for use, for a link whose rate is not known.
type transferLimiter struct {
	bytesPerSecond float64    // rate of this router's link; 0: not known, transfers count as instantaneous
	sent           []transfer // the latest, up to maxTrackedTransfers
}

// inFlight returns the number of transfers in flight, and the time until all of them should have arrived.
func (l *transferLimiter) inFlight(now time.Duration) (transfers int, backlog time.Duration) {
	for _, sent := range l.sent {
		if sent.endsAt > now {
			transfers++
			backlog = max(backlog, sent.endsAt-now)
		}
	}
	return transfers, backlog
}

// maySend reports whether another transfer may start now.
func (l *transferLimiter) maySend(now time.Duration) bool {
	transfers, backlog := l.inFlight(now)
	return transfers < maxConcurrentTransfers && backlog <= maxLinkBacklog
}

// add records the start of a transfer of size bytes.
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

// holders returns up to maxHoldersPerReply usable routers to which this sequence or a newer one was transferred, preferred ones first.
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

// ServeFetch answers another router's request. Its error is ErrNoConfiguration if there is nothing to send, or wraps ErrBlob.
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

// busyReply returns a Busy reply whose Holders begin with the routers in the caller's zone.
func (n *Gossiper) busyReply(now time.Duration, request FetchRequest) FetchReply {
	zone := n.zoneOf(request.From)
	usable := func(address string) bool { return address != request.From && n.isAlive(address) }
	inZone := func(address string) bool { return n.zoneOf(address) == zone }
	received, _ := n.Config.Received()
	return FetchReply{Sequence: received, Busy: true, Holders: n.transfers.holders(now, received, usable, inZone)}
}

// zoneOf returns a router's zone, empty if the router is not known.
func (n *Gossiper) zoneOf(address string) string {
	m, _ := n.Members.Lookup(address)
	return m.Zone
}
