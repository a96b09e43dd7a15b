package coordinator

import (
	"time"

	"go.uber.org/zap"
)

const (
	fullTTL         = 3 * helloInterval // how long a Hello of an acceptor without room counts
	fullLogInterval = time.Minute       // minimum time between two log lines about a lack of room
)

// acceptorRoom records which acceptors have no room for further puts. Only the proposer's goroutine uses it. Its zero value is ready to use.
type acceptorRoom struct {
	fullAt  map[string]time.Duration // by address: when the acceptor last reported that it has no room
	nextLog time.Duration
}

// observe records an acceptor's report.
func (r *acceptorRoom) observe(now time.Duration, address string, isFull bool) {
	if !isFull {
		delete(r.fullAt, address)
		return
	}
	if r.fullAt == nil {
		r.fullAt = map[string]time.Duration{}
	}
	r.fullAt[address] = now
}

// isFull reports whether an acceptor reported within fullTTL that it has no room.
func (r *acceptorRoom) isFull(now time.Duration, address string) bool {
	at, reported := r.fullAt[address]
	return reported && now-at < fullTTL
}

// isFull reports whether this machine's acceptor has no room.
func (s *Service) isFull(status *AcceptorStatus) bool {
	return s.options.MaxState > 0 && status.StoredBytes >= s.options.MaxState
}

// hasRoom reports whether all acceptors have room for further puts, as far as this machine knows.
func (l *proposerLoop) hasRoom() bool {
	config := l.proposer.Config()
	for _, acceptor := range config.Acceptors {
		if l.room.isFull(l.now(), acceptor.Address) {
			return false
		}
	}
	status := l.service.acceptor.status()
	return !l.service.isFull(&status)
}

// observeRoom logs, at most once per fullLogInterval, that an acceptor has no room.
func (l *proposerLoop) observeRoom(now time.Duration) {
	if now < l.room.nextLog || l.hasRoom() {
		return
	}
	l.room.nextLog = now + fullLogInterval
	l.service.options.Log.Warn("the registers are full: puts are not executed", zap.Int("maxBytes", l.service.options.MaxState),
		zap.Int("bytes", l.service.acceptor.status().StoredBytes))
}
