// Package stubfleet measures the load that a fleet puts on its list service, and how soon a change is in force at all sidecars, at sizes
// for which no machine has the memory as processes of the daemon. Only the command line of the test lab calls it.
//
// A stub sidecar (Kubernetes' scale tests call the like a hollow node; our pages and the command line say hollow sidecar) follows the
// service by the daemon's own cluster.Watcher (paced by package pacing where the operator's file has [discovery]) on a real
// connection, and applies updates to a cluster.Table, whose digests are those of package version. Many share a process, a rack. A stub
// decides nothing itself; TestLikeness compares it with a real process at the service, call for call.
//
// Left out, and to be added from measurements of their own: requests, with engine, balance, pools and connections to upstream hosts;
// callers' and operators' listeners; log lines; [state], [audit] beyond the digests, [record]; the overhead of a process. The memory and
// CPU of a stub are therefore those of following the list alone.
//
// All processes of a play share the machine's monotonic clock; its times are time.Duration since an arbitrary origin.
package stubfleet

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/cluster"
)

// discoveryStream is the PCG stream from which the daemon draws the jitter of its polls.
const discoveryStream = 2

// Names of zones and kinds in the settings.
var (
	zoneNames = []string{"zone-1", "zone-2", "zone-3", "zone-4", "zone-5", "zone-6", "zone-7"}
	kindNames = []string{"std"}
)

// monotonicNow returns the monotonic time, which all processes of a machine share.
func monotonicNow() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &t); err != nil {
		panic(err) // every Linux has this clock
	}
	return time.Duration(t.Nano())
}

// FleetConfig configures the sidecars of a fleet.
type FleetConfig struct {
	Discovery   string          // address of the list service
	Paced       *cluster.Pacing // nil: it is polled like an agent of the machine
	Seed        uint64          // of the first sidecar; each adds its number
	StartSpread time.Duration   `json:"Spread"` // over which the sidecars start
}

// stub is a stub sidecar, from its start to its end.
type stub struct {
	sink      *sink
	startedAt time.Duration // by monotonicNow
	cancel    context.CancelFunc
	done      chan struct{}
}

// startStub starts a stub that has no list yet.
func startStub(fleet FleetConfig, number int) *stub {
	ctx, cancel := context.WithCancel(context.Background())
	c := &stub{sink: &sink{hosts: map[balance.EndpointID]bool{}}, startedAt: monotonicNow(), cancel: cancel, done: make(chan struct{})}
	table := cluster.NewTable(zoneNames, kindNames, c.sink, c.sink)
	table.Versions, table.StaleCache = c.sink, fleet.Paced != nil
	w := &cluster.Watcher{Addr: fleet.Discovery, Table: table, Log: zerolog.Nop(), Pacing: fleet.Paced,
		Rand: rand.New(rand.NewPCG(fleet.Seed+uint64(number), discoveryStream))}
	if fleet.Paced != nil { // as in the daemon: sidecars of one seed must not poll at the same moments
		w.Rand = rand.New(rand.NewPCG((fleet.Seed+uint64(number))^rand.Uint64(), discoveryStream))
	}
	go func() {
		defer close(c.done)
		w.Run(ctx, func() {})
	}()
	return c
}

// stop stops the stub and waits for it.
func (c *stub) stop() {
	c.cancel()
	<-c.done
}
