package coordinator

import (
	"sync/atomic"
	"time"
)

const (
	minPause       = 700 * time.Millisecond // without a tick: a longer gap means that the process was stopped or got no CPU time
	resumeDuration = 150 * time.Millisecond // from the first tick after a pause: time to read messages queued in the sockets
)

// pauseDetector detects that the process did not run for longer than minPause. It is safe for concurrent use.
type pauseDetector struct {
	lastTick    atomic.Int64 // nanoseconds of the monotonic clock; 0: no tick yet
	resumeUntil atomic.Int64 // nanoseconds of the monotonic clock
}

func (d *pauseDetector) tick(now time.Duration) {
	last := time.Duration(d.lastTick.Swap(int64(now)))
	if last > 0 && now-last > minPause {
		d.resumeUntil.Store(int64(now + resumeDuration))
	}
}

// isResuming reports whether a pause has just ended, even if there was no tick since its end.
func (d *pauseDetector) isResuming(now time.Duration) bool {
	last := time.Duration(d.lastTick.Load())
	return now < time.Duration(d.resumeUntil.Load()) || last > 0 && now-last > minPause
}
