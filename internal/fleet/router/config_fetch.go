package router

import (
	"context"
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"pinelb.example/pinelb/internal/fleet/dissemination"
)

const (
	minFetchTimeout      = 1500 * time.Millisecond // of a fetch at first
	maxFetchTimeout      = 12 * time.Second        // of a fetch after others timed out
	fetchHedgeDelay      = 500 * time.Millisecond  // until another router is asked beside one that has not replied
	maxConcurrentFetches = 3
)

// fetchLimiter bounds the fetches in flight. One that takes long, because its router is partitioned off or its link is slow, does
// not prevent another one from another router. The gossip's lock guards it.
type fetchLimiter struct {
	inFlight  int
	lastStart time.Duration
	timeout   time.Duration // of the next fetch
}

// begin reports whether a fetch may start now, and counts it where it may.
func (f *fetchLimiter) begin(now time.Duration) bool {
	if f.inFlight >= maxConcurrentFetches || f.inFlight > 0 && now-f.lastStart < fetchHedgeDelay {
		return false
	}
	f.inFlight++
	f.lastStart = now
	return true
}

// end records that a fetch has ended.
func (f *fetchLimiter) end(elapsed time.Duration, err error) {
	f.inFlight--
	f.timeout = nextFetchTimeout(f.timeout, elapsed, err)
}

// nextFetchTimeout is the time-out of the next fetch: longer after one that timed out, since a large configuration may need more
// time on a slow link, and short after one that succeeded, since the next router that is asked may be partitioned off.
func nextFetchTimeout(timeout, elapsed time.Duration, err error) time.Duration {
	switch {
	case err == nil:
		return min(max(minFetchTimeout, 2*elapsed), maxFetchTimeout)
	case errors.Is(err, context.DeadlineExceeded):
		return min(2*timeout, maxFetchTimeout)
	}
	return timeout
}

// fetch asks a router for the configurations that this one lacks. After a failure the next pull leads to another fetch.
func (g *gossip) fetch(from string) {
	request, timeout := g.fetchRequest()
	ctx, cancel := context.WithTimeout(g.transport.Context(), timeout)
	defer cancel()
	var reply dissemination.FetchReply
	requestedAt := g.clock()
	err := g.transport.Call(ctx, from, fetchPath, request, &reply)
	g.mu.Lock()
	g.fetches.end(g.clock()-requestedAt, err)
	g.mu.Unlock()
	if err != nil {
		return
	}
	g.step(func(now time.Duration) *dissemination.Output {
		output, _, err := g.node.HandleFetchReply(now, requestedAt, reply)
		if err != nil {
			g.log.Error("fetched configuration is invalid", zap.Error(err))
		}
		return output
	})
}

func (g *gossip) fetchRequest() (dissemination.FetchRequest, time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var request dissemination.FetchRequest
	if g.node.Config.Table != nil {
		request.After = g.node.Config.Sequence
	}
	return request, g.fetches.timeout
}

// serveFetch answers another router's fetch.
func (g *gossip) serveFetch(body []byte) (any, error) {
	var request dissemination.FetchRequest
	if err := cbor.Unmarshal(body, &request); err != nil {
		return nil, err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.node.Config.ServeFetch(g.clock(), request)
}
