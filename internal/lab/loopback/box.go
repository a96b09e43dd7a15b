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
type box struct {
	run   *run
	index int
	plan  *plan.Box
	tier  *tier
	codec codec
	idle  time.Duration // after which a connection is closed
	door  *door
	send  func(context.Context, query) trace.ClientAttempt // a call to the next tier
	fell  func()                                           // called once, when it has fallen over

	ctx     context.Context // until it is closed
	cancel  context.CancelFunc
	working sync.WaitGroup
	timer   *time.Timer // of what the model does next

	mu       sync.Locker // the tier's where its models share keys
	model    *model.Server
	effects  []model.Effect
	armed    time.Duration // when the timer goes off
	chance   *rand.Rand    // how answers go wrong
	peers    map[*peer]struct{}
	peerIDs  uint64
	jobs     map[uint64]*visit // that the model has, by number
	visits   map[uint64]int    // so far, by the request's id
	numbers  uint64
	absent   bool
	refusing int // RefuseConns faults that are on
	hasFall  bool
	closed   bool
}

// tier is what the boxes of one tier share.
type tier struct {
	mu   sync.Mutex  // around their models
	keys *model.Keys // nil if no class has keys

	callsMu sync.Mutex
	calls   map[uint64]int // to it, by id: the request that each is for
}

// shared is what the boxes of a tier share. Boxes are made one after the other.
func (r *run) shared(number int) *tier {
	for len(r.tiers) <= number {
		r.tiers = append(r.tiers, &tier{calls: map[uint64]int{}})
	}
	return r.tiers[number]
}

// newBox makes the plan's box of that index, which listens from now on if the plan doesn't have it absent.
func newBox(r *run, index int) (*box, error) {
	p := &r.plan.Boxes[index]
	b := &box{run: r, index: index, plan: p, tier: r.shared(p.Tier), codec: newCodec(r.plan),
		idle: r.plan.Scenario.Rules.ConnIdle.D(), model: model.New(p.Spec, p.Seed), armed: model.Never,
		chance: rand.New(rand.NewPCG(p.Seed, 1)), peers: map[*peer]struct{}{}, jobs: map[uint64]*visit{},
		visits: map[uint64]int{}, absent: p.Start == "absent"}
	b.send = func(ctx context.Context, q query) trace.ClientAttempt { return r.callers.do(ctx, q) }
	b.fell = func() { r.fell(index) }
	b.mu = new(sync.Mutex)
	if p.Spec.KeyWindow > 0 {
		if b.tier.keys == nil {
			b.tier.keys = model.NewKeys(p.Spec.KeyWindow)
		}
		b.model.ShareKeys(b.tier.keys)
		b.mu = &b.tier.mu
	}
	state := open
	if b.absent {
		state = shut
	}
	var err error
	if b.door, err = newDoor(r.net.box(index), state, b.admit); err != nil {
		return nil, err
	}
	b.ctx, b.cancel = context.WithCancel(context.Background())
	b.timer = time.NewTimer(time.Hour)
	b.timer.Stop()
	b.working.Go(b.tick)
	return b, nil
}

// addr is where it listens.
func (b *box) addr() string { return b.door.addr }

// begin is the start of the run's clock, which stood at 0 so far. A box that is to start cold starts now;
// what discovery said of its start before was a guess.
func (b *box) begin() {
	b.mu.Lock()
	cold := b.plan.Start == "cold"
	if cold {
		b.model.Start(b.run.now(), true)
	}
	b.carryOut()
	b.mu.Unlock()
	if !cold {
		return
	}
	for _, l := range b.run.plan.First(b.plan.Tier) {
		for i, a := range b.run.agents {
			if l.Box == b.index && b.run.plan.Sidecars[i].Tier == b.plan.Tier {
				a.tell(l)
			}
		}
	}
}

// event is a step of the script that is about this box.
func (b *box) event(now time.Duration, e plan.Event) {
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
			b.refusing++
		}
	case plan.EndFault:
		b.model.End(now, e.Fault.ID)
		if e.Fault.Kind == model.RefuseConns {
			b.refusing--
		}
	case plan.StartBox:
		b.absent = false
		b.model.Start(now, true)
	}
	b.carryOut()
	b.turn()
}

// sample is its state.
func (b *box) sample(now time.Duration) trace.Sample {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.model.Load(now)
	b.carryOut()
	return trace.Sample{At: now, Endpoint: b.index, Running: l.InWork, Queued: l.Waiting, Connections: l.Connections,
		Capacity: l.Capacity, SentWork: l.SentWork, PossibleWork: l.Could, DoneWork: l.Did, WarmingUp: l.Cold, Collapsed: l.Fallen}
}

// close ends it, notes the visits that it still has and waits for all its goroutines.
func (b *box) close() {
	b.mu.Lock()
	b.closed = true
	b.timer.Stop()
	for _, v := range b.jobs {
		b.run.trace.visit(v.EndpointRequest)
	}
	clear(b.jobs)
	b.reset()
	b.cancel()
	b.mu.Unlock()
	b.door.close()
	b.working.Wait()
}

// tick wakes the model when it has something to do by itself.
func (b *box) tick() {
	for {
		select {
		case <-b.timer.C:
			b.mu.Lock()
			b.armed = model.Never
			b.carryOut()
			b.mu.Unlock()
		case <-b.ctx.Done():
			return
		}
	}
}

// carryOut does what the model has done up to now, and sets the timer. The lock is held.
func (b *box) carryOut() {
	if b.closed {
		return
	}
	now := b.run.now()
	b.effects = b.model.Advance(now, b.effects[:0])
	broke := false
	for i := range b.effects {
		e := &b.effects[i]
		if e.Kind == model.Reset {
			b.reset()
			broke = true
			continue
		}
		b.effect(e)
	}
	if broke {
		b.turn()
		if !b.hasFall && b.model.Load(now).Fallen {
			b.hasFall = true
			b.working.Go(b.fell)
		}
	}
	// The clock stands before the run begins, and then a timer would do so as well.
	if next := b.model.Next(); next != b.armed && b.run.began.Load() != nil {
		b.armed = next
		if next == model.Never {
			b.timer.Stop()
		} else {
			b.timer.Reset(next - now)
		}
	}
}

// turn has new connections met as the box's state is now. The lock is held.
func (b *box) turn() {
	phase := b.model.Phase(b.run.now())
	switch {
	case b.absent:
		b.door.want(shut)
	case phase == model.Silent:
		b.door.want(blind)
	case phase == model.Down, b.refusing > 0:
		b.door.want(shut)
	default:
		b.door.want(open)
	}
}

// freeze is the machine's vanishing: nothing is read or written any more, and calls that are out end. The lock
// is held.
func (b *box) freeze() {
	for p := range b.peers {
		p.frozen = true
		_ = p.conn.SetDeadline(time.Unix(1, 0)) // on one that is broken already nothing passes either
	}
	for _, v := range b.jobs {
		v.drop()
	}
}

// reset breaks all connections. The lock is held.
func (b *box) reset() {
	for p := range b.peers {
		delete(b.peers, p)
		p.known = false
		b.end(p)
		_ = p.conn.SetLinger(0) // on one that is broken already there is no need
		p.conn.Close()
		if p.dripping != nil {
			b.dripped(p, b.run.now())
		}
	}
}

// end marks a connection as of no more use. The lock is held.
func (b *box) end(p *peer) {
	if !p.ended {
		p.ended = true
		close(p.over)
	}
}

// admit takes a new connection, or not.
func (b *box) admit(conn *net.TCPConn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	admission := model.Refused
	if !b.closed {
		admission = b.model.Connect(b.run.now())
		b.carryOut()
	}
	if admission == model.Refused {
		_ = conn.SetLinger(0)
		conn.Close()
		return
	}
	b.peerIDs++
	p := newPeer(b, conn)
	p.id = uint64(b.index)<<32 | b.peerIDs
	b.peers[p] = struct{}{}
	if admission == model.Unanswered { // it came up in the moment in which the machine vanished
		p.frozen = true
		return
	}
	p.known = true
	b.run.trace.dialled(trace.Connection{At: b.run.now(), Endpoint: b.index, Sidecar: -1})
	b.working.Go(p.read)
	b.working.Go(p.write)
}

// extend sets when a connection's reader next looks whether it is idle, which it isn't if a request has begun.
// It returns false if the connection has been idle for long enough, or is frozen or over.
func (b *box) extend(p *peer, begun bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p.frozen || p.ended {
		return false
	}
	now := time.Now()
	p.busy = p.busy || begun
	since := p.idleSince
	if p.busy {
		since = now
	}
	p.deadline = since.Add(b.idle)
	return now.Before(p.deadline) && p.conn.SetReadDeadline(p.deadline) == nil
}

// hangUp closes a connection, on which its reader leaves.
func (b *box) hangUp(p *peer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !p.frozen { // a machine that has vanished doesn't say so
		p.conn.Close()
	}
}

func (b *box) isFrozen(p *peer) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return p.frozen
}

// answered is a connection's being free for the next request.
func (b *box) answered(p *peer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p.busy, p.idleSince = false, time.Now()
}

// leave is the end of a connection: its sender has closed it, or the box.
func (b *box) leave(p *peer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p.conn.Close()
	b.end(p)
	close(p.out)
	now := b.run.now()
	if p.dripping != nil {
		b.dripped(p, now)
	}
	if p.known { // otherwise the model has forgotten it by itself
		p.known = false
		delete(b.peers, p)
		if p.held != nil {
			b.withdraw(p, now)
		}
		b.model.Disconnect(now)
	}
	b.carryOut()
}
