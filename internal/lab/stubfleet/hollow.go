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
func clock() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &t); err != nil {
		panic(err) // every Linux has it
	}
	return time.Duration(t.Nano())
}

// Told is what the sidecars of a fleet are told at their start.
type Told struct {
	Discovery string          // the list service's address
	Paced     *cluster.Pacing // nil: it is asked as an agent of the machine's own
	Seed      uint64          // of the first sidecar; each has one of its own
	Spread    time.Duration   // over which they start
}

// Acted is that a sidecar has come to act on a list.
type Acted struct {
	At       time.Duration  `json:"a"` // by clock
	Revision int64          `json:"r"`
	Digest   version.Digest `json:"d"` // of the members that it acts on; 0 is unknown
}

// sink stands for the decisions and the pools: it notes which hosts may be sent to, and since when.
type sink struct {
	mu    sync.Mutex
	hosts map[balance.EndpointID]bool // whether something new may go there
	acted []Acted
	under uint32
}

func (s *sink) Set(id balance.EndpointID, _ string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts[id] = true
}

func (s *sink) SetDraining(id balance.EndpointID, on bool) {
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
	s.under++
	apply(s.under)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.acted = append(s.acted, Acted{clock(), l.Revision, l.Digest})
}

// last is what is acted on; the revision is 0 before any list.
func (s *sink) last() Acted {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.acted) == 0 {
		return Acted{}
	}
	return s.acted[len(s.acted)-1]
}

// sidecar is a hollow one, from its start to its end.
type sidecar struct {
	sink  *sink
	begun time.Duration // by clock
	end   context.CancelFunc
	ended chan struct{}
}

// start starts a sidecar that knows nothing yet.
func start(told Told, number int) *sidecar {
	life, end := context.WithCancel(context.Background())
	c := &sidecar{sink: &sink{hosts: map[balance.EndpointID]bool{}}, begun: clock(), end: end, ended: make(chan struct{})}
	table := cluster.NewTable(zoneNames, kindNames, c.sink, c.sink)
	table.Versions, table.StaleCache = c.sink, told.Paced != nil
	w := &cluster.Watcher{Addr: told.Discovery, Table: table, Log: zerolog.Nop(), Pacing: told.Paced,
		Rand: rand.New(rand.NewPCG(told.Seed+uint64(number), discoveryStream))}
	if told.Paced != nil { // as in the daemon: sidecars of one seed must not ask in the same moments
		w.Rand = rand.New(rand.NewPCG((told.Seed+uint64(number))^rand.Uint64(), discoveryStream))
	}
	go func() {
		defer close(c.ended)
		w.Run(life, func() {})
	}()
	return c
}

func (c *sidecar) stop() {
	c.end()
	<-c.ended
}
