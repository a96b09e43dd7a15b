// Package live plays a plan on real sockets: boxes, discovery and clients in this process, the sidecars as
// processes of their own, all on loopback addresses. It gives the same trace as the virtual player.
package loopback

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"pinelb.example/pinelb/internal/lab/plan"
	"pinelb.example/pinelb/internal/lab/trace"
)

// Options are what a run needs beside its plan.
type Options struct {
	Builds   [2]string              // the sidecar's program and, for those of Build 1, the other; empty is the first
	Dir      string                 // where each sidecar's log goes; a temporary folder if empty
	Progress func(at time.Duration) // told about twice a second; nil is nobody
}

// run is one play.
type run struct {
	plan  *plan.Plan
	opts  Options
	began atomic.Pointer[time.Time] // the plan's time 0; nil until the sidecars are ready
	net   *addresses
	trace *collector

	boxes   []*box
	tiers   []*tier  // what boxes of a tier share; filled as they are made
	agents  []*agent // of discovery, one for each sidecar
	whole   *agent   // the list service as auditors ask it; nil without any
	service service  // the list service behind them
	links   map[linkKey]*link
	fleet   *fleet
	callers *callers

	auditors []*auditor // as the scenario has them
	orders   orders

	rotation *rotation       // of the plain policy; nil with sidecars
	life     context.Context // ends when the clients are done
	later    sync.WaitGroup  // what was put off until a time of the plan
}

// start is the plan's time 0. Sidecars start, and hear of the cluster, before that: until then it is the
// present.
func (r *run) start() time.Time {
	if t := r.began.Load(); t != nil {
		return *t
	}
	return time.Now()
}

// now is the plan's time, and 0 before the start.
func (r *run) now() time.Duration {
	if t := r.began.Load(); t != nil {
		return time.Since(*t)
	}
	return 0
}

// collector gathers the trace; any goroutine may add to it.
type collector struct {
	mu  sync.Mutex
	log trace.Log
}

// roomMost is how many entries a list has room for from the start.
const roomMost = 1 << 21

// newCollector has room for what a plan is likely to bring: a list that grows is copied while everyone waits,
// for 10 to 20 ms at 40,000 entries, and by so much the clients would be late.
func newCollector(p *plan.Plan) *collector {
	each := 1.5 // tries and visits of a request, some more than once
	for _, t := range p.Scenario.Tier {
		each += 1.5 * t.Calls
	}
	n := min(roomMost, int(each*float64(len(p.Requests))))
	samples := len(p.Boxes) * int((p.Scenario.Length.D()+openAtMost)/sampleEach)
	return &collector{log: trace.Log{ClientAttempts: make([]trace.ClientAttempt, 0, n), EndpointRequests: make([]trace.EndpointRequest, 0, n),
		Samples: make([]trace.Sample, 0, min(roomMost, samples)), Lateness: make([]time.Duration, 0, len(p.Requests))}}
}

func (c *collector) try(t trace.ClientAttempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.log.ClientAttempts = append(c.log.ClientAttempts, t)
}

func (c *collector) visit(v trace.EndpointRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.log.EndpointRequests = append(c.log.EndpointRequests, v)
}

func (c *collector) told(t trace.Notification) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.log.Notifications = append(c.log.Notifications, t)
}

func (c *collector) change(h trace.SidecarEvent) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.log.SidecarEvents = append(c.log.SidecarEvents, h)
}

func (c *collector) asked(a trace.DiscoveryPoll) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.log.Polls = append(c.log.Polls, a)
}

func (c *collector) dialled(d trace.Connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.log.Connections = append(c.log.Connections, d)
}

func (c *collector) ordered(o trace.ReplayedOrder) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.log.ReplayedOrders = append(c.log.ReplayedOrders, o)
}

func (c *collector) sample(s ...trace.Sample) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.log.Samples = append(c.log.Samples, s...)
}

// query is one request as a caller sends it: a client's try, or a box's call through its own sidecar.
type query struct {
	try      trace.ClientAttempt // Txn, Request, No, Tier, Sidecar, Class and Due are given; the rest is filled in
	direct   int                 // of the plain policy: the box that gets it, instead of a sidecar; -1 is none
	left     time.Duration       // how long the caller waits from its sending on, as it says in X-Remaining-Ms
	leaves   time.Duration       // the plan's time at which the caller goes away; plan's Never if it stays
	key      uint64
	repeated bool
	baggage  string // that the caller passes on
	fresh    bool   // on a connection of its own, closed afterwards
}
