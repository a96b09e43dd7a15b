package router

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"pinelb.example/pinelb/internal/fleet/membership"
	"pinelb.example/pinelb/internal/fleet/placement"
	"pinelb.example/pinelb/internal/fleet/proxy"
)

// A router that has just started does not know which prefixes the endpoints have cached, and would have prompts prefilled again
// until it has learned that. It requests the learned state of a router of the core; those write theirs to the disk, for the case
// that all have ended.

const (
	learnedName            = "learned"
	learnedWriteInterval   = 2 * time.Second
	learnedRequestInterval = 300 * time.Millisecond
	learnedRequestTimeout  = time.Second
	maxLearnedRequests     = 10              // where replies are empty or don't come
	learnedImportWindow    = 6 * time.Second // after the start: by then a router has learned for itself
)

// learnedStateExchange imports what was learned before this process, and exports what this one learns.
type learnedStateExchange struct {
	*environment
	gossip     *gossip
	dispatcher *proxy.Dispatcher

	// Only the goroutine of Router.Run uses these.
	file            *stateFile    // nil: no disk
	requests        int           // sent so far
	nextAction      time.Duration // earliest time of the next request, or write
	imported        *placement.LearnedState
	importedVersion uint64 // of the endpoints that it was imported for

	mu         sync.Mutex              // guards what follows
	received   *placement.LearnedState // from the disk or another router; nil: none, or discarded
	receivedAt time.Duration
}

// start reads what the process before this one wrote.
func (l *learnedStateExchange) start() {
	if l.settings.DataDir == "" {
		return
	}
	l.file = newStateFile(l.settings.DataDir, learnedName, l.log)
	var learned placement.LearnedState
	if l.file.read(&learned) {
		l.receive(l.clock(), &learned)
	}
}

// tick imports what was received, or requests it, while the process is young; later it writes what this router has learned.
// Endpoints become known one after the other: the state is imported again for those that are new.
func (l *learnedStateExchange) tick() {
	now := l.clock()
	if now >= learnedImportWindow {
		l.discard()
		l.write(now)
		return
	}
	received, at := l.latest()
	if received == nil {
		l.request(now)
		return
	}
	if version := l.gossip.appliedVersion(); received != l.imported || version != l.importedVersion {
		l.imported, l.importedVersion = received, version
		l.dispatcher.ImportLearned(at, received)
	}
}

// receive takes over the learned state of another process. One without prefixes is ignored: that process has just started too.
func (l *learnedStateExchange) receive(now time.Duration, learned *placement.LearnedState) {
	if len(learned.Prefixes) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.received, l.receivedAt = learned, now
}

// latest returns the state that was received last, and when; nil: none.
func (l *learnedStateExchange) latest() (*placement.LearnedState, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.received, l.receivedAt
}

// discard frees the memory of what was received.
func (l *learnedStateExchange) discard() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.received, l.imported = nil, nil
}

// request asks another router for its state, unless one was asked just now.
func (l *learnedStateExchange) request(now time.Duration) {
	if now < l.nextAction || l.requests >= maxLearnedRequests {
		return
	}
	from := chooseLearnedSource(l.gossip.liveMembers(), l.settings.Zone)
	if from == "" {
		return
	}
	l.nextAction = now + learnedRequestInterval
	l.requests++
	l.tasks.Go(func() { l.requestFrom(from) })
}

func (l *learnedStateExchange) requestFrom(address string) {
	ctx, cancel := context.WithTimeout(l.transport.Context(), learnedRequestTimeout)
	defer cancel()
	var learned placement.LearnedState
	if err := l.transport.Call(ctx, address, learnedPath, struct{}{}, &learned); err != nil {
		l.log.Debug("request for learned state failed", zap.String("router", address), zap.Error(err))
		return
	}
	l.receive(l.clock(), &learned)
}

func (l *learnedStateExchange) write(now time.Duration) {
	if now < l.nextAction {
		return
	}
	l.nextAction = now + learnedWriteInterval
	if l.file != nil && l.file.isDue(now) {
		l.file.write(now, l.dispatcher.ExportLearned(), l.tasks.Go)
	}
}

// serve answers another router's request with what this one has learned.
func (l *learnedStateExchange) serve([]byte) (any, error) { return l.dispatcher.ExportLearned(), nil }

// chooseLearnedSource picks a router at random: one of the core in the zone, else one of the core, else any; empty: there is none.
func chooseLearnedSource(live []membership.Member, zone string) string {
	best, highest := "", -1.0
	for i := range live {
		weight := rand.Float64()
		if live[i].Core {
			weight++
			if live[i].Zone == zone {
				weight++
			}
		}
		if weight > highest {
			best, highest = live[i].Address, weight
		}
	}
	return best
}
