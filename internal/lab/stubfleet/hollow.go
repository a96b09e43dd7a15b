// Package hollow measures what a fleet costs its list service, and how soon a change is in force everywhere, at sizes for which
// no machine has room as processes of the daemon.
//
// A hollow sidecar follows the service by the daemon's own cluster.Watcher (spared by pace where the operator's file has
// [discovery]) on a real connection, and applies what it hears to a cluster.Table, whose digests are version's. Many share a
// process, a rack. It decides nothing itself; TestLikeness shows it and a real process at the service, call for call.
//
// Left out, and to be added from slopes of their own: requests, with engine, balance, pools and connections to upstream hosts;
// callers' and operators' listeners; the log's lines; [state], [audit] beyond the digests, [record]; what a process costs by
// being one. A sidecar's memory and CPU here are so those of following the list alone.
package stubfleet

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/cluster"
	"pinelb.example/pinelb/internal/version"
)

// discoveryStream is which of the seed's random numbers the daemon spreads its calls by.
const discoveryStream = 2

// The names that the settings have of zones and kinds.
var (
	zoneNames = []string{"zone-1", "zone-2", "zone-3", "zone-4", "zone-5", "zone-6", "zone-7"}
	kindNames = []string{"std"}
)

// clock is a time that all processes of a machine share and that never goes back.
func monotonicNow() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &t); err != nil {
		panic(err) // every Linux has it
	}
	return time.Duration(t.Nano())
}

// Fleet is what the sidecars of a fleet are told at their start.
type FleetConfig struct {
	Discovery string         // the list service's address
	Paced     *cluster.Paced // nil: it is asked as an agent of the machine's own
	Seed      uint64         // of the first sidecar; each has one of its own
	StartSpread    time.Duration  `json:"Spread"` // over which they start
}

// Applied is that a sidecar has come to act on a list.
type Applied struct {
	At       time.Duration  `json:"a"` // by clock
	Revision int64          `json:"r"`
	Digest   version.Digest `json:"d"` // of the members that it acts on; 0 is unknown
}

// sink stands for the decisions and the pools: it notes which hosts may be sent to, and since when.
type sink struct {
	mu    sync.Mutex
	hosts map[balance.EndpointID]bool // whether something new may go there
	applied []Applied
	generation uint32
}

func (s *sink) Set(id balance.EndpointID, _ string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts[id] = true
}

func (s *sink) Shut(id balance.EndpointID, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts[id] = !on
}

func (s *sink) Remove(id balance.EndpointID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.hosts, id)
}

func (s *sink) Membership(balance.ListKind, []balance.Entry, uint32) {}
func (s *sink) Cordon(balance.EndpointID, bool)                      {}
func (s *sink) Expect(time.Duration)                                 {}

// Listed notes the list that is acted on once it has been applied.
func (s *sink) Listed(l version.List, apply func(under uint32)) {
	s.generation++
	apply(s.generation)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applied = append(s.applied, Applied{monotonicNow(), l.Revision, l.Digest})
}

// last is what is acted on; the revision is 0 before any list.
func (s *sink) last() Applied {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.applied) == 0 {
		return Applied{}
	}
	return s.applied[len(s.applied)-1]
}

// sidecar is a hollow one, from its start to its end.
type stub struct {
	sink  *sink
	startedAt time.Duration // by clock
	cancel   context.CancelFunc
	done chan struct{}
}

// start starts a sidecar that knows nothing yet.
func startStub(told FleetConfig, number int) *stub {
	life, end := context.WithCancel(context.Background())
	c := &stub{sink: &sink{hosts: map[balance.EndpointID]bool{}}, startedAt: monotonicNow(), cancel: end, done: make(chan struct{})}
	table := cluster.NewTable(zoneNames, kindNames, c.sink, c.sink)
	table.Versions, table.Old = c.sink, told.Paced != nil
	w := &cluster.Watcher{Addr: told.Discovery, Table: table, Log: zerolog.Nop(), Paced: told.Paced,
		Rand: rand.New(rand.NewPCG(told.Seed+uint64(number), discoveryStream))}
	if told.Paced != nil { // as in the daemon: sidecars of one seed must not ask in the same moments
		w.Rand = rand.New(rand.NewPCG((told.Seed+uint64(number))^rand.Uint64(), discoveryStream))
	}
	go func() {
		defer close(c.done)
		w.Run(life, func() {})
	}()
	return c
}

func (c *stub) stop() {
	c.cancel()
	<-c.done
}
