package loopback

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"pinelb.example/pinelb/internal/lab/model"
	"pinelb.example/pinelb/internal/lab/plan"
	"pinelb.example/pinelb/internal/lab/trace"
)

// box is a stand-in server: the model behind a listening socket. What the model does is carried out as soon as
// it is known, under the lock; what takes time, as writing and calls to the next tier, goes on beside.
type endpoint struct {
	run         *run
	index       int
	plan        *plan.Box
	tier        *tier
	codec       endpointCodec
	idleTimeout time.Duration // after which a connection is closed
	listener    *faultListener
	send        func(context.Context, clientRequest) trace.ClientAttempt // a call to the next tier
	onCollapse  func()                                                   // called once, when it has fallen over

	ctx        context.Context // until it is closed
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	timer      *time.Timer // of what the model does next

	mu               sync.Locker // the tier's where its models share keys
	model            *model.Server
	effects          []model.Effect
	timerAt          time.Duration // when the timer goes off
	random           *rand.Rand    // how answers go wrong
	connections      map[*serverConn]struct{}
	lastConnectionID uint64
	requests         map[uint64]*endpointRequest // that the model has, by number
	requestCounts    map[uint64]int              // so far, by the request's id
	lastJobID        uint64
	absent           bool
	refuseFaults     int // RefuseConns faults that are on
	collapsed        bool
	closed           bool
}

// tier is what the boxes of one tier share.
type tier struct {
	mu   sync.Mutex  // around their models
	keys *model.Keys // nil if no class has keys

	callsMu sync.Mutex
	calls   map[uint64]int // to it, by id: the request that each is for
}

// shared is what the boxes of a tier share. Boxes are made one after the other.
func (r *run) tierState(number int) *tier {
	for len(r.tiers) <= number {
		r.tiers = append(r.tiers, &tier{calls: map[uint64]int{}})
	}
	return r.tiers[number]
}

// newEndpoint makes the plan's box of that index, which listens from now on if the plan doesn't have it absent.
func newEndpoint(r *run, index int) (*endpoint, error) {
	p := &r.plan.Boxes[index]
	b := &endpoint{run: r, index: index, plan: p, tier: r.tierState(p.Tier), codec: newEndpointCodec(r.plan),
		idleTimeout: r.plan.Scenario.Rules.ConnIdle.D(), model: model.New(p.Spec, p.Seed), timerAt: model.Never,
		random: rand.New(rand.NewPCG(p.Seed, 1)), connections: map[*serverConn]struct{}{}, requests: map[uint64]*endpointRequest{},
		requestCounts: map[uint64]int{}, absent: p.Start == "absent"}
	b.send = func(ctx context.Context, q clientRequest) trace.ClientAttempt { return r.transport.roundTrip(ctx, q) }
	b.onCollapse = func() { r.endpointCollapsed(index) }
	b.mu = new(sync.Mutex)
	if p.Spec.KeyWindow > 0 {
		if b.tier.keys == nil {
			b.tier.keys = model.NewKeys(p.Spec.KeyWindow)
		}
		b.model.ShareKeys(b.tier.keys)
		b.mu = &b.tier.mu
	}
	state := stateAccepting
	if b.absent {
		state = stateRefusing
	}
	var err error
	if b.listener, err = newFaultListener(r.addresses.endpoint(index), state, b.accept); err != nil {
		return nil, err
	}
	b.ctx, b.cancel = context.WithCancel(context.Background())
	b.timer = time.NewTimer(time.Hour)
	b.timer.Stop()
	b.goroutines.Go(b.runTimer)
	return b, nil
}

// addr is where it listens.
func (b *endpoint) address() string { return b.listener.address }

// begin is the start of the run's clock, which stood at 0 so far. A box that is to start cold starts now;
// what discovery said of its start before was a guess.
func (b *endpoint) start() {
	b.mu.Lock()
	cold := b.plan.Start == "cold"
	if cold {
		b.model.Start(b.run.elapsed(), true)
	}
	b.advance()
	b.mu.Unlock()
	if !cold {
		return
	}
	for _, l := range b.run.plan.First(b.plan.Tier) {
		for i, a := range b.run.agents {
			if l.Box == b.index && b.run.plan.Sidecars[i].Tier == b.plan.Tier {
				a.update(l)
			}
		}
	}
}

// event is a step of the script that is about this box.
func (b *endpoint) applyEvent(now time.Duration, e plan.Event) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return
	}
	switch e.Kind {
	case plan.BeginFault:
		b.model.Begin(now, e.Fault)
		switch e.Fault.Kind {
		case model.Vanish:
			b.freeze()
		case model.RefuseConns:
			b.refuseFaults++
		}
	case plan.EndFault:
		b.model.End(now, e.Fault.ID)
		if e.Fault.Kind == model.RefuseConns {
			b.refuseFaults--
		}
	case plan.StartBox:
		b.absent = false
		b.model.Start(now, true)
	}
	b.advance()
	b.updateListener()
}

// sample is its state.
func (b *endpoint) sample(now time.Duration) trace.Sample {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.model.Load(now)
	b.advance()
	return trace.Sample{At: now, Endpoint: b.index, Running: l.InWork, Queued: l.Waiting, Connections: l.Connections,
		Capacity: l.Capacity, SentWork: l.SentWork, PossibleWork: l.Could, DoneWork: l.Did, WarmingUp: l.Cold, Collapsed: l.Fallen}
}

// close ends it, notes the visits that it still has and waits for all its goroutines.
func (b *endpoint) close() {
	b.mu.Lock()
	b.closed = true
	b.timer.Stop()
	for _, v := range b.requests {
		b.run.recorder.addEndpointRequest(v.EndpointRequest)
	}
	clear(b.requests)
	b.resetConnections()
	b.cancel()
	b.mu.Unlock()
	b.listener.close()
	b.goroutines.Wait()
}

// tick wakes the model when it has something to do by itself.
func (b *endpoint) runTimer() {
	for {
		select {
		case <-b.timer.C:
			b.mu.Lock()
			b.timerAt = model.Never
			b.advance()
			b.mu.Unlock()
		case <-b.ctx.Done():
			return
		}
	}
}

// advance does what the model has done up to now, and sets the timer. The lock is held.
func (b *endpoint) advance() {
	if b.closed {
		return
	}
	now := b.run.elapsed()
	b.effects = b.model.Advance(now, b.effects[:0])
	broke := false
	for i := range b.effects {
		e := &b.effects[i]
		if e.Kind == model.Reset {
			b.resetConnections()
			broke = true
			continue
		}
		b.applyEffect(e)
	}
	if broke {
		b.updateListener()
		if !b.collapsed && b.model.Load(now).Fallen {
			b.collapsed = true
			b.goroutines.Go(b.onCollapse)
		}
	}
	// The clock stands before the run begins, and then a timer would do so as well.
	if next := b.model.Next(); next != b.timerAt && b.run.startTime.Load() != nil {
		b.timerAt = next
		if next == model.Never {
			b.timer.Stop()
		} else {
			b.timer.Reset(next - now)
		}
	}
}

// turn has new connections met as the box's state is now. The lock is held.
func (b *endpoint) updateListener() {
	phase := b.model.Phase(b.run.elapsed())
	switch {
	case b.absent:
		b.listener.requestState(stateRefusing)
	case phase == model.Silent:
		b.listener.requestState(stateBlackholed)
	case phase == model.Down, b.refuseFaults > 0:
		b.listener.requestState(stateRefusing)
	default:
		b.listener.requestState(stateAccepting)
	}
}

// freeze is the machine's vanishing: nothing is read or written any more, and calls that are out end. The lock
// is held.
func (b *endpoint) freeze() {
	for p := range b.connections {
		p.frozen = true
		_ = p.conn.SetDeadline(time.Unix(1, 0)) // on one that is broken already nothing passes either
	}
	for _, v := range b.requests {
		v.cancel()
	}
}

// reset breaks all connections. The lock is held.
func (b *endpoint) resetConnections() {
	for p := range b.connections {
		delete(b.connections, p)
		p.counted = false
		b.markClosed(p)
		_ = p.conn.SetLinger(0) // on one that is broken already there is no need
		p.conn.Close()
		if p.dripping != nil {
			b.finishDrip(p, b.run.elapsed())
		}
	}
}

// end marks a connection as of no more use. The lock is held.
func (b *endpoint) markClosed(p *serverConn) {
	if !p.isClosed {
		p.isClosed = true
		close(p.closed)
	}
}

// admit takes a new connection, or not.
func (b *endpoint) accept(conn *net.TCPConn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	admission := model.Refused
	if !b.closed {
		admission = b.model.Connect(b.run.elapsed())
		b.advance()
	}
	if admission == model.Refused {
		_ = conn.SetLinger(0)
		conn.Close()
		return
	}
	b.lastConnectionID++
	p := newServerConn(b, conn)
	p.id = uint64(b.index)<<32 | b.lastConnectionID
	b.connections[p] = struct{}{}
	if admission == model.Unanswered { // it came up in the moment in which the machine vanished
		p.frozen = true
		return
	}
	p.counted = true
	b.run.recorder.addConnection(trace.Connection{At: b.run.elapsed(), Endpoint: b.index, Sidecar: -1})
	b.goroutines.Go(p.readLoop)
	b.goroutines.Go(p.writeLoop)
}

// extend sets when a connection's reader next looks whether it is idle, which it isn't if a request has begun.
// It returns false if the connection has been idle for long enough, or is frozen or over.
func (b *endpoint) extendDeadline(p *serverConn, begun bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p.frozen || p.isClosed {
		return false
	}
	now := time.Now()
	p.busy = p.busy || begun
	since := p.idleSince
	if p.busy {
		since = now
	}
	p.deadline = since.Add(b.idleTimeout)
	return now.Before(p.deadline) && p.conn.SetReadDeadline(p.deadline) == nil
}

// closeConnection closes a connection, on which its reader leaves.
func (b *endpoint) closeConnection(p *serverConn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !p.frozen { // a machine that has vanished doesn't say so
		p.conn.Close()
	}
}

func (b *endpoint) isFrozen(p *serverConn) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return p.frozen
}

// answered is a connection's being free for the next request.
func (b *endpoint) markIdle(p *serverConn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p.busy, p.idleSince = false, time.Now()
}

// leave is the end of a connection: its sender has closed it, or the box.
func (b *endpoint) removeConnection(p *serverConn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p.conn.Close()
	b.markClosed(p)
	close(p.responses)
	now := b.run.elapsed()
	if p.dripping != nil {
		b.finishDrip(p, now)
	}
	if p.counted { // otherwise the model has forgotten it by itself
		p.counted = false
		delete(b.connections, p)
		if p.pending != nil {
			b.cancelRequest(p, now)
		}
		b.model.Disconnect(now)
	}
	b.advance()
}
