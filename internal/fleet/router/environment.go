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

// environment holds the state that a router's components share. New sets all of it except for the transport and the replica. Router.start
// sets these two before any component sends or receives a message; they don't change afterwards.
type environment struct {
	settings  *settings.Settings // as at the start; Reload does not replace them
	log       *zap.Logger
	startedAt time.Time
	transport *transport.Transport
	replica   *replica.Replica // nil: this machine neither counts for the quorum nor is a founder
	draining  atomic.Bool      // this router is shutting down
	tasks     sync.WaitGroup   // goroutines for which Router.close waits
}

// clock returns the time since the router was created. It is monotonic: changes of the wall clock don't affect it.
func (e *environment) clock() time.Duration { return time.Since(e.startedAt) }

// address returns this router's internal address.
func (e *environment) address() string { return e.settings.InternalAddress() }
