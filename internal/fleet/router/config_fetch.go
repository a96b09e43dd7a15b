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
	buildSpan     = 300 * time.Millisecond // over which the decoding of a large change is spread
	maxBuildPause = 20 * time.Millisecond

	reportedLag        = time.Second // of the configuration, from which on it is logged
	lagReportsInterval = time.Second
)

// fetch asks a router for the configurations that this one lacks.
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

func fetchOutcome(err error) dissemination.FetchOutcome {
	if errors.Is(err, context.DeadlineExceeded) {
		return dissemination.FetchTimedOut
	}
	return dissemination.FetchFailed
}

// build decodes a configuration without the lock, since a large one takes long. It leaves most of the processor to requests: on a machine
// with a share of one, they would have to wait for the whole of it.
func (g *gossip) build(build *dissemination.Build) {
	table, err := build.Table(g.buildPace(build))
	g.step(func(now time.Duration) *dissemination.Output { return g.node.HandleBuilt(now, build, table, err) })
}

// buildPace spreads the work over buildSpan; nil: it is urgent, or short.
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

// serveFetch answers another router's fetch.
func (g *gossip) serveFetch(body []byte) (any, error) {
	var request dissemination.FetchRequest
	if err := cbor.Unmarshal(body, &request); err != nil {
		return nil, err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.node.ServeFetch(g.clock(), request)
}

// reportLag logs that a newer configuration has been known for long and is not active.
func (g *gossip) reportLag() {
	g.mu.Lock()
	now := g.clock()
	lag := g.node.ConfigLag(now)
	due := lag.TimeBehind >= reportedLag && now >= g.nextLagReport
	if due {
		g.nextLagReport = now + lagReportsInterval
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
