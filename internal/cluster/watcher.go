package cluster

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// Watcher follows discovery over HTTP/1.1 and applies its lists to a Table.
type Watcher struct {
	Addr         string
	AddrChanges  <-chan string // addresses that replace Addr, one after the other
	InitialDelay time.Duration // before the first call
	Table        *Table
	Rand         *rand.Rand // jitter of the calls, so that many sidecars don't make them in step
	Log          zerolog.Logger
	Pacing       *Pacing // for a list service that a fleet shares; nil: an agent on the same machine is called
	// OnUpdate is called when a response was taken over, with the time at which its request was sent. Nil: it is not.
	OnUpdate func(sentAt time.Time)

	refresh refreshRequests
	dial    dialFunc // nil: net.Dialer's
}

// Refresh requests the complete list out of turn: at once, or from a paced list service at this instance's next turn. A call
// that waits for changes is interrupted. It may be called from any goroutine.
func (w *Watcher) Refresh() { w.refresh.request() }

// Run follows discovery until ctx ends, and calls synced once the first list was taken over. When discovery's address changes, the
// old watch ends at once and the complete list is fetched: the new agent's revisions may not compare with the old one's. The
// present list stays in force meanwhile.
func (w *Watcher) Run(ctx context.Context, synced func()) {
	once := sync.OnceFunc(synced)
	pacing := w.Pacing
	addr := w.waitInitialDelay(ctx)
	if pacing != nil && addr != w.Addr {
		pacing = pacing.withoutRevision()
	}
	for addr != "" {
		watchCtx, cancel := context.WithCancel(ctx)
		done := make(chan struct{})
		go func() {
			defer close(done)
			agent := &watch{addr: addr, table: w.Table, rand: w.Rand, log: w.Log, refresh: &w.refresh, onUpdate: w.OnUpdate, dial: w.dial}
			if pacing == nil {
				agent.run(watchCtx, once)
				return
			}
			agent.newPacedWatch(*pacing).run(watchCtx, once)
		}()
		addr = w.waitAddrChange(ctx, addr)
		cancel()
		<-done
		if pacing != nil {
			pacing = pacing.withoutRevision()
		}
	}
}

// waitInitialDelay waits for InitialDelay, and returns discovery's address by then; empty if ctx has ended. Changes of the
// address are received meanwhile.
func (w *Watcher) waitInitialDelay(ctx context.Context) string {
	delay := time.NewTimer(w.InitialDelay)
	defer delay.Stop()
	for addr := w.Addr; ; {
		select {
		case addr = <-w.AddrChanges:
		case <-delay.C:
			return addr
		case <-ctx.Done():
			return ""
		}
	}
}

// waitAddrChange waits until discovery has another address, and returns it; empty if ctx has ended.
func (w *Watcher) waitAddrChange(ctx context.Context, addr string) string {
	for {
		select {
		case newAddr := <-w.AddrChanges:
			if newAddr != addr {
				w.Log.Info().Str("from", addr).Str("to", newAddr).Msg("discovery moves")
				return newAddr
			}
		case <-ctx.Done():
			return ""
		}
	}
}
