package daemon

import (
	"context"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"pinelb.example/pinelb/internal/cluster"
	"pinelb.example/pinelb/internal/config"
)

// syncTimeout is how long a start waits for discovery, where a list is known from before, until it serves by that one.
const syncTimeout = 300 * time.Millisecond

// run serves until terminated is done, and then drains. It returns when the last stream has ended.
func (s *sidecar) run(terminated context.Context, hups <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(context.Background()) // until the last stream has ended: discovery is followed until then
	defer cancel()
	go s.pool.Sweep(ctx)
	s.succession.newServer(s.cfg, s.fronts, s.side, s.limits)

	var succeeding sync.WaitGroup
	defer succeeding.Wait()
	serving := make(chan struct{}) // closed when new streams are accepted
	settled := s.updater.watchPublished(ctx, s.operator.Settings, s.succession.inheritedSettings())
	ready := sync.OnceFunc(func() {
		succeeding.Go(func() {
			<-settled // which is bounded by distributorTimeout
			s.succession.run(ctx, func() {
				close(serving)
				s.httpServer.SetReady()
			}, s.limits)
		})
	})
	if s.hasList { // without any endpoint there is nothing to be ready for
		timeout := time.AfterFunc(s.syncTimeout(), ready)
		defer timeout.Stop()
	}
	go s.updater.run(ctx, hups, s.moves)
	s.spreadCalls()
	go s.watcher.Run(ctx, ready)
	if s.succession.predecessor != nil { // which serves clients until then
		select {
		case <-serving:
		case <-terminated.Done():
		}
	}
	return s.serveAndDrain(ctx, terminated, cancel)
}

// syncTimeout returns how long a start waits for discovery where a list is known from before.
func (s *sidecar) syncTimeout() time.Duration {
	if s.operator.Discovery != nil { // it may be long until this instance's turn to call the service
		return 0
	}
	return syncTimeout
}

// spreadCalls sets when the watcher calls discovery, where the operator's file says that many sidecars call it.
func (s *sidecar) spreadCalls() {
	if s.operator.Discovery != nil {
		s.watcher.Pacing, s.watcher.Rand = newPaced(s.operator.Discovery, s.cfg, s.table)
	}
	if fleet := s.operator.Fleet; fleet != nil && s.hasList {
		s.watcher.InitialDelay = time.Duration(rand.Float64() * float64(fleet.Spread.D()))
	}
}

// newPaced returns how discovery is called where it is one service for many sidecars. The random numbers don't depend on the
// seed alone: sidecars that were given the same seed must not call at the same moments.
func newPaced(options *config.Discovery, cfg *config.Config, table *cluster.Table) (*cluster.Pacing, *rand.Rand) {
	p := &cluster.Pacing{ResyncInterval: options.FullListInterval.D(), Fleet: options.Pacing(cfg.Settings.Instances)}
	if options.Resume {
		p.Revision = table.Snapshot().List.Revision
	}
	return p, rand.New(rand.NewPCG(cfg.Seed^rand.Uint64(), discoveryStream))
}

// serveAndDrain serves the fronts until terminated is done and their last stream has ended. It then cancels ctx, by cancel,
// and waits for the last writes to the disk, but no longer than finalWriteTimeout.
func (s *sidecar) serveAndDrain(ctx, terminated context.Context, cancel context.CancelFunc) error {
	var succeeded atomic.Bool
	written := make(chan struct{})
	go func() {
		defer close(written)
		var auditing sync.WaitGroup
		defer auditing.Wait()
		auditing.Go(func() { s.audit.run(ctx) })
		s.persister.run(ctx)
		s.persister.close(succeeded.Load())
	}()
	err := s.side.Run(terminated, s.fronts...)
	succeeded.Store(s.side.IsSucceeded())
	cancel()
	select {
	case <-written:
	case <-time.After(finalWriteTimeout): // the disk is slow, and SIGKILL may follow
	}
	return err
}
