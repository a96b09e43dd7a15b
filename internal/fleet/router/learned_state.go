package router

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"pinelb.example/pinelb/internal/fleet/membership"
	"pinelb.example/pinelb/internal/fleet/placement"
)

// A router that has just started knows nothing of which shared parts of prompts endpoints keep, and would have them read
// again for as long as its process before it took to learn. It asks a router of the core for what that has learned; those
// keep it on the disk, for a time at which all have ended.

const (
	learnedPath            = "/learned"
	learnedName            = "learned"
	learnedWriteInterval   = 2 * time.Second        // between writes
	learnedRequestInterval = 300 * time.Millisecond // between questions
	learnedRequestTimeout  = time.Second            // for an answer
	maxLearnedRequests     = 10                     // questions, where answers are empty or do not come
	learnedImportWindow    = 6 * time.Second        // after the start: by then a router has learned itself
)

// learnedStateExchange is a router's side of it.
type learnedStateExchange struct {
	file            *stateFile // nil: no disk
	requests        int
	nextAction      time.Duration // question, or write
	imported        *placement.LearnedState
	importedVersion uint64 // of the endpoints to which it was applied last

	mu         sync.Mutex
	received   *placement.LearnedState // from the disk or another router; nil: nothing yet
	receivedAt time.Duration           // when
}

// offer notes what was learned before this process.
func (l *learnedStateExchange) receive(now time.Duration, learned *placement.LearnedState) {
	if len(learned.Prefixes) == 0 {
		return // it has just started too
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.received, l.receivedAt = learned, now
}

func (l *learnedStateExchange) latest() (*placement.LearnedState, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.received, l.receivedAt
}

// forget gives up the memory of what was offered.
func (l *learnedStateExchange) discard() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.received, l.imported = nil, nil
}

// startLearned reads what the process before this one has left.
func (r *Router) startLearned() {
	if r.settings.DataDir == "" {
		return
	}
	r.learned.file = newStateFile(r.settings.DataDir, learnedName, r.log)
	var read placement.LearnedState
	if r.learned.file.read(&read) {
		r.learned.receive(r.clock(), &read)
	}
}

// tickLearned takes over what was learned before this process, and writes what it learns. Endpoints become known one after
// the other: what is told of one that is not known yet is taken over when it is.
func (r *Router) tickLearned() {
	l, now := &r.learned, r.clock()
	if now >= learnedImportWindow {
		l.discard()
		r.writeLearned(now)
		return
	}
	came, at := l.latest()
	if came == nil {
		r.maybeRequestLearned(now)
		return
	}
	if came != l.imported || r.appliedRegistryVersion != l.importedVersion {
		l.imported, l.importedVersion = came, r.appliedRegistryVersion
		r.dispatcher.ImportLearned(at, came)
	}
}

// maybeRequestLearned asks another router, unless one was asked just now.
func (r *Router) maybeRequestLearned(now time.Duration) {
	l := &r.learned
	if now < l.nextAction || l.requests >= maxLearnedRequests {
		return
	}
	from := r.chooseLearnedSource()
	if from == "" {
		return
	}
	l.nextAction = now + learnedRequestInterval
	l.requests++
	r.tasks.Go(func() { r.requestLearned(from) })
}

func (r *Router) writeLearned(now time.Duration) {
	l := &r.learned
	if now < l.nextAction {
		return
	}
	l.nextAction = now + learnedWriteInterval
	if l.file != nil && l.file.isDue(now) {
		l.file.write(now, r.dispatcher.ExportLearned(), r.tasks.Go)
	}
}

// chooseLearnedSource is the router that is asked: one of the core, of this router's zone if there is one; empty: none lives.
func (r *Router) chooseLearnedSource() string {
	r.mu.Lock()
	live := r.node.Members.LiveMembers()
	r.mu.Unlock()
	return pickLearnedSource(live, r.settings.Zone)
}

func pickLearnedSource(live []membership.Member, zone string) string {
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

// requestLearned asks a router for what it has learned.
func (r *Router) requestLearned(from string) {
	ctx, cancel := context.WithTimeout(r.transport.Context(), learnedRequestTimeout)
	defer cancel()
	var learned placement.LearnedState
	if err := r.transport.Call(ctx, from, learnedPath, struct{}{}, &learned); err != nil {
		r.log.Debug("a router has not told what it has learned", zap.String("router", from), zap.Error(err))
		return
	}
	r.learned.receive(r.clock(), &learned)
}

// answerLearned tells another router what this one has learned.
func (r *Router) answerLearned([]byte) (any, error) { return r.dispatcher.ExportLearned(), nil }
