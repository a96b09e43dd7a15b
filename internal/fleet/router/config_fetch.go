package router

import (
	"context"
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"pinelb.example/pinelb/internal/fleet/config"
	"pinelb.example/pinelb/internal/fleet/dissemination"
)

const (
	buildSpan     = 300 * time.Millisecond // time over which the decoding of a large configuration is spread
	maxBuildPause = 20 * time.Millisecond

	minLoggedLag   = time.Second // lag of the active configuration from which on it is logged
	lagLogInterval = time.Second
)

// fetch requests the configurations that this router lacks from another router, and passes the outcome to the node.
func (g *gossip) fetch(fetch *dissemination.Fetch) {
	ctx, cancel := context.WithTimeout(g.transport.Context(), fetch.Timeout)
	defer cancel()
	var reply dissemination.FetchReply
	requestedAt := g.clock()
	err := g.transport.Call(ctx, fetch.From, fetchPath, fetch.Request, &reply)
	g.step(func(now time.Duration) *dissemination.Output {
		if err != nil {
			return g.node.HandleFetchEnd(now, fetch.From, fetchOutcome(err))
		}
		return g.node.HandleFetchReply(now, requestedAt, fetch.From, reply)
	})
}

// fetchOutcome classifies the error of a failed fetch: time-outs are handled differently from refusals.
func fetchOutcome(err error) dissemination.FetchOutcome {
	if errors.Is(err, context.DeadlineExceeded) {
		return dissemination.FetchTimedOut
	}
	return dissemination.FetchFailed
}

// build decodes a configuration without holding the lock, since a large configuration takes long to decode. It pauses between steps to
// leave most of the processor to requests: on a machine with a fraction of one processor, requests would otherwise wait until the whole
// configuration is decoded.
func (g *gossip) build(build *dissemination.Build) {
	table, err := build.Table(g.buildPace(build))
	g.step(func(now time.Duration) *dissemination.Output { return g.node.HandleBuilt(now, build, table, err) })
}

// buildPace returns a function that pauses between the steps of a build: for at most maxBuildPause each time, and for about buildSpan in
// total at most. It returns nil, for no pauses, if the build is urgent or small.
func (g *gossip) buildPace(build *dissemination.Build) config.Pace {
	steps := config.EstimatePauses(build.Size())
	if build.Urgent() || steps == 0 {
		return nil
	}
	pause := min(maxBuildPause, buildSpan/time.Duration(steps))
	return func() {
		select {
		case <-time.After(pause):
		case <-g.transport.Context().Done():
		}
	}
}

// serveFetch replies to another router's fetch. It returns an error if the request can't be decoded or is refused.
func (g *gossip) serveFetch(body []byte) (any, error) {
	var request dissemination.FetchRequest
	if err := cbor.Unmarshal(body, &request); err != nil {
		return nil, err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.node.ServeFetch(g.clock(), request)
}

// logLag logs, at most once per lagLogInterval, that a newer configuration has been known for minLoggedLag or longer and is not active.
func (g *gossip) logLag() {
	g.mu.Lock()
	now := g.clock()
	lag := g.node.ConfigLag(now)
	due := lag.TimeBehind >= minLoggedLag && now >= g.nextLagLog
	if due {
		g.nextLagLog = now + lagLogInterval
	}
	g.mu.Unlock()
	if !due {
		return
	}
	g.log.Warn("configuration lags",
		zap.Duration("for", lag.TimeBehind),
		zap.Uint64("known", lag.Known),
		zap.Uint64("received", lag.Received),
		zap.Uint64("active", lag.Active),
		zap.Strings("fetchingFrom", lag.Fetching))
}
