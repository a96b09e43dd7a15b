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

// A router that has just started does not know which prompt prefixes the endpoints have cached. Until it has learned them, it would send
// prompts to endpoints that have to prefill them again. It therefore requests the learned state from another router, preferably of the
// core. Routers with a data directory also write their learned state to the disk, in case all routers restart at once.

const (
	learnedFileName        = "learned"
	learnedWriteInterval   = 2 * time.Second
	learnedRequestInterval = 300 * time.Millisecond
	learnedRequestTimeout  = time.Second
	maxLearnedRequests     = 10              // gives up after this many requests without a usable reply
	learnedImportWindow    = 6 * time.Second // after the start: by then a router has learned enough from its own requests
)

// learnedStateExchange imports the learned state of other routers or of the previous process, and exports the state that this process
// learns.
type learnedStateExchange struct {
	*environment
	gossip     *gossip
	dispatcher *proxy.Dispatcher

	// Only the goroutine of Router.Run uses the following fields.
	file            *stateFile              // nil: no data directory is configured
	requests        int                     // number of requests sent
	nextAction      time.Duration           // earliest time of the next request or write
	imported        *placement.LearnedState // last imported state
	importedVersion uint64                  // registry version of the endpoints for which it was imported

	mu         sync.Mutex              // guards the fields below
	received   *placement.LearnedState // from the disk or another router; nil: none, or discarded
	receivedAt time.Duration
}

// start reads the learned state that the previous process wrote.
func (l *learnedStateExchange) start() {
	if l.settings.DataDir == "" {
		return
	}
	l.file = newStateFile(l.settings.DataDir, learnedFileName, l.log)
	var learned placement.LearnedState
	if l.file.read(&learned) {
		l.receive(l.clock(), &learned)
	}
}

// tick imports the received state, or requests it, during learnedImportWindow; afterwards it writes this router's learned state to the
// disk. Endpoints register one after the other, so the state is imported again whenever the list of endpoints has changed.
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

// receive stores the learned state of another process. A state without prefixes is ignored: its sender has just started too.
func (l *learnedStateExchange) receive(now time.Duration, learned *placement.LearnedState) {
	if len(learned.Prefixes) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.received, l.receivedAt = learned, now
}

// latest returns the last received state and the time on the clock at which it was received, or nil if there is none.
func (l *learnedStateExchange) latest() (*placement.LearnedState, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.received, l.receivedAt
}

// discard frees the memory of the received state.
func (l *learnedStateExchange) discard() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.received, l.imported = nil, nil
}

// request requests another router's learned state, at most once per learnedRequestInterval and maxLearnedRequests times in total.
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

// requestFrom requests the learned state of the router with an internal address, and stores the reply.
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

// write writes this router's learned state to the disk, at most once per learnedWriteInterval.
func (l *learnedStateExchange) write(now time.Duration) {
	if now < l.nextAction {
		return
	}
	l.nextAction = now + learnedWriteInterval
	if l.file != nil && l.file.isDue(now) {
		l.file.write(now, l.dispatcher.ExportLearned(), l.tasks.Go)
	}
}

// serve replies to another router's request with this router's learned state.
func (l *learnedStateExchange) serve([]byte) (any, error) { return l.dispatcher.ExportLearned(), nil }

// chooseLearnedSource picks a random live router: a core router in the zone, else any core router, else any router. It returns "" if there
// are no live routers.
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
