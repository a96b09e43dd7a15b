package coordinator

import (
	"sync/atomic"
	"time"
)

const (
	minPause       = 700 * time.Millisecond // without a tick, after which the process was paused: stopped, or starved of its processor
	resumeDuration = 150 * time.Millisecond // in which what waited in the sockets is read
)

// pauseDetector finds out that the process did not run for a while. Any goroutine may use it.
type pauseDetector struct {
	lastTick    atomic.Int64 // of the monotonic clock
	resumeUntil atomic.Int64
}

func (d *pauseDetector) tick(now time.Duration) {
	last := time.Duration(d.lastTick.Swap(int64(now)))
	if last > 0 && now-last > minPause {
		d.resumeUntil.Store(int64(now + resumeDuration))
	}
}

// isResuming reports whether a pause has just ended, also where no tick has come since.
func (d *pauseDetector) isResuming(now time.Duration) bool {
	last := time.Duration(d.lastTick.Load())
	return now < time.Duration(d.resumeUntil.Load()) || last > 0 && now-last > minPause
}
