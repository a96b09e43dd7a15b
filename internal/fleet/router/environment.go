package router

import (
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"pinelb.example/pinelb/internal/fleet/replica"
	"pinelb.example/pinelb/internal/fleet/settings"
	"pinelb.example/pinelb/internal/fleet/transport"
)

// environment is what a router's components share. New completes it except for the transport and the replica; Router.start sets
// those before any component sends or receives, and nothing changes them afterwards.
type environment struct {
	settings  *settings.Settings // as at the start
	log       *zap.Logger
	startedAt time.Time
	transport *transport.Transport
	replica   *replica.Replica // nil where this machine does not count for the quorum and is no founder
	draining  atomic.Bool      // set once this router has begun to shut down
	tasks     sync.WaitGroup   // goroutines that Router.close waits for
}

// clock returns the time since the process started. It is monotonic: changes of the time of day don't affect it.
func (e *environment) clock() time.Duration { return time.Since(e.startedAt) }

// address is this router's internal address.
func (e *environment) address() string { return e.settings.InternalAddress() }
