package coordination

import (
	"sync"
	"time"
)

// acknowledgements tells faults when a caller has just been acknowledged something.
type acknowledgements struct {
	mu      sync.Mutex
	waiters []chan struct{}
}

// announce wakes the faults that wait.
func (a *acknowledgements) announce() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, w := range a.waiters {
		close(w)
	}
	a.waiters = nil
}

// await waits for the next acknowledgement, if it is wanted; for so long at most.
func (a *acknowledgements) await(wanted bool, timeout time.Duration) {
	if !wanted {
		return
	}
	next := make(chan struct{})
	a.mu.Lock()
	a.waiters = append(a.waiters, next)
	a.mu.Unlock()
	select {
	case <-next:
	case <-time.After(timeout):
	}
}
