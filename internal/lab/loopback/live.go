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
	LogDir   string                 // where each sidecar's log goes; a temporary folder if empty
	Progress func(at time.Duration) // told about twice a second; nil is nobody
}

// run is one play.
type run struct {
	plan      *plan.Plan
	options   Options
	startTime atomic.Pointer[time.Time] // the plan's time 0; nil until the sidecars are ready
	addresses *addresses
	recorder  *recorder

	endpoints   []*endpoint
	tiers       []*tier         // what boxes of a tier share; filled as they are made
	agents      []*agent        // of discovery, one for each sidecar
	listService *agent          // the list service as auditors ask it; nil without any
	capacity    serviceCapacity // the list service behind them
	links       map[linkKey]*link
	fleet       *fleet
	transport   *transport

	auditors []*auditor // as the scenario has them
	replayer orderReplayer

	roundRobin *roundRobin     // of the plain policy; nil with sidecars
	ctx        context.Context // ends when the clients are done
	scheduled  sync.WaitGroup  // what was put off until a time of the plan
}

// start is the plan's time 0. Sidecars start, and hear of the cluster, before that: until then it is the
// present.
func (r *run) startOrNow() time.Time {
	if t := r.startTime.Load(); t != nil {
		return *t
	}
	return time.Now()
}

// now is the plan's time, and 0 before the start.
func (r *run) elapsed() time.Duration {
	if t := r.startTime.Load(); t != nil {
		return time.Since(*t)
	}
	return 0
}

// collector gathers the trace; any goroutine may add to it.
type recorder struct {
	mu  sync.Mutex
	log trace.Log
}

// maxPreallocated is how many entries a list has room for from the start.
const maxPreallocated = 1 << 21

// newRecorder has room for what a plan is likely to bring: a list that grows is copied while everyone waits,
// for 10 to 20 ms at 40,000 entries, and by so much the clients would be late.
func newRecorder(p *plan.Plan) *recorder {
	each := 1.5 // tries and visits of a request, some more than once
	for _, t := range p.Scenario.Tier {
		each += 1.5 * t.Calls
	}
	n := min(maxPreallocated, int(each*float64(len(p.Requests))))
	samples := len(p.Boxes) * int((p.Scenario.Length.D()+maxOverrun)/sampleInterval)
	return &recorder{log: trace.Log{ClientAttempts: make([]trace.ClientAttempt, 0, n), EndpointRequests: make([]trace.EndpointRequest, 0, n),
		Samples: make([]trace.Sample, 0, min(maxPreallocated, samples)), Lateness: make([]time.Duration, 0, len(p.Requests))}}
}

func (c *recorder) addClientAttempt(t trace.ClientAttempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.log.ClientAttempts = append(c.log.ClientAttempts, t)
}

func (c *recorder) addEndpointRequest(v trace.EndpointRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.log.EndpointRequests = append(c.log.EndpointRequests, v)
}

func (c *recorder) addNotification(t trace.Notification) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.log.Notifications = append(c.log.Notifications, t)
}

func (c *recorder) addSidecarEvent(h trace.SidecarEvent) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.log.SidecarEvents = append(c.log.SidecarEvents, h)
}

func (c *recorder) addPoll(a trace.DiscoveryPoll) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.log.Polls = append(c.log.Polls, a)
}

func (c *recorder) addConnection(d trace.Connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.log.Connections = append(c.log.Connections, d)
}

func (c *recorder) addReplayedOrder(o trace.ReplayedOrder) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.log.ReplayedOrders = append(c.log.ReplayedOrders, o)
}

func (c *recorder) addSamples(s ...trace.Sample) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.log.Samples = append(c.log.Samples, s...)
}

// query is one request as a caller sends it: a client's try, or a box's call through its own sidecar.
type clientRequest struct {
	attempt        trace.ClientAttempt // Txn, Request, No, Tier, Sidecar, Class and Due are given; the rest is filled in
	directEndpoint int                 // of the plain policy: the box that gets it, instead of a sidecar; -1 is none
	timeout        time.Duration       // how long the caller waits from its sending on, as it says in X-Remaining-Ms
	cancelAt       time.Duration       // the plan's time at which the caller goes away; plan's Never if it stays
	idempotencyKey uint64
	retried        bool
	baggage        string // that the caller passes on
	newConnection  bool   // on a connection of its own, closed afterwards
}
