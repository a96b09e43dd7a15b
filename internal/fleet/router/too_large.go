package router

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"pinelb.example/pinelb/internal/fleet/transport"
)

// tooLargeLogInterval is the minimum time between two log lines about messages that are too large: protocols send them again and again.
const tooLargeLogInterval = time.Minute

// tooLargeLog limits the log lines about messages that are too large.
type tooLargeLog struct {
	mu   sync.Mutex
	next time.Duration // on the clock
}

// logTooLarge logs that a message, request or reply was not sent because no router accepts one of that size.
func (r *Router) logTooLarge(e *transport.TooLargeError) {
	now := r.clock()
	r.tooLargeLog.mu.Lock()
	isDue := now >= r.tooLargeLog.next
	if isDue {
		r.tooLargeLog.next = now + tooLargeLogInterval
	}
	r.tooLargeLog.mu.Unlock()
	if isDue {
		r.log.Error("message is too large", zap.String("to", e.To), zap.String("call", e.Path), zap.Uint8("kind", uint8(e.Kind)), zap.Int("bytes", e.Bytes))
	}
}
