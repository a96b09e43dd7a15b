// Package engine runs the decision module against real time. It owns the Balancer, its clock and its
// timers, and hands each action to the stream that it is for. It knows nothing of any protocol.
package driver

import (
	"context"
	"fmt"
	"maps"
	"runtime/debug"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"pinelb.example/pinelb/balance"
)

// Connections are the upstream side's part of what the decisions ask for.
type Connections interface {
	// Probe examines an upstream host and returns how that ended.
	Probe(id balance.EndpointID) balance.Status
	// CloseUnused closes the idle connections to an upstream host.
	CloseUnused(id balance.EndpointID)
}

// Engine serialises all events of one sidecar into its Balancer.
type Engine struct {
	settings balance.Settings
	conns    Connections
	log      zerolog.Logger
	start    time.Time     // carries the monotonic clock
	unix     time.Duration // what the module's clock showed at start

	mu      sync.Mutex
	b       *balance.Balancer
	seed    uint64
	life    int           // how many Balancers there were before this one
	failed  time.Duration // when the last of them did
	actions []balance.Action
	last    balance.RequestID
	streams map[balance.RequestID]*Stream // until ended and every attempt has its outcome
	cluster map[balance.EndpointID]balance.Entry
	out     map[balance.EndpointID]bool          // by an operator's word
	back    map[balance.EndpointID]time.Duration // when it was put back: it has not started before
	under   uint32                               // the number of the version that is acted on
}

// New returns an engine with no cluster yet.
func New(settings balance.Settings, seed uint64, conns Connections, log zerolog.Logger) (*Engine, error) {
	b, err := balance.New(settings, seed)
	if err != nil {
		return nil, fmt.Errorf("engine: %w", err)
	}
	now := time.Now()
	return &Engine{settings: settings, conns: conns, log: log, start: now, unix: time.Duration(now.UnixNano()),
		b: b, seed: seed, streams: map[balance.RequestID]*Stream{}, cluster: map[balance.EndpointID]balance.Entry{},
		out: map[balance.EndpointID]bool{}, back: map[balance.EndpointID]time.Duration{}}, nil
}

// now is Unix time at the start plus what has passed since by the monotonic clock: the cluster's start
// times compare with it directly, and a step of the wall clock does no harm.
func (e *Engine) now() time.Duration { return e.unix + time.Since(e.start) }

// Membership passes on what discovery says. What is sent from then on is sent under that number; 0 is under the same as before.
func (e *Engine) Membership(kind balance.ListKind, entries []balance.Entry, under uint32) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.adopt(under)
	if kind != balance.ListDelta {
		clear(e.cluster)
	}
	for _, entry := range entries {
		if entry.State == balance.Gone {
			delete(e.cluster, entry.Endpoint)
		} else {
			e.cluster[entry.Endpoint] = entry
		}
	}
	e.handle(&balance.Event{Kind: balance.EventMembership, List: kind, Entries: entries})
}

// Adopt has what is sent from now on be sent under that number, with nothing else changed.
func (e *Engine) Adopt(under uint32) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.adopt(under)
}

func (e *Engine) adopt(under uint32) {
	if under != 0 {
		e.under = under
	}
}

// Expect says that discovery is asked next in a while, where it is not asked all the time.
func (e *Engine) Expect(in time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.handle(&balance.Event{Kind: balance.EventListExpected, ExpectedIn: in})
}

// Retune has changed settings take effect, whole or, where they can't be used, not at all. The classes that there were
// have to keep their places. What is sent from then on is sent under that number; 0 is under the same as before.
func (e *Engine) Retune(s balance.Settings, under uint32) error {
	if err := s.Validate(); err != nil {
		return fmt.Errorf("engine: %w", err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(s.Classes) < len(e.settings.Classes) {
		return fmt.Errorf("engine: %d classes in place of %d", len(s.Classes), len(e.settings.Classes))
	}
	e.adopt(under)
	s.Processes = e.settings.Processes
	e.settings = s
	e.handle(&balance.Event{Kind: balance.EventSettings, Settings: &s})
	return nil
}

// Share says of how many processes this sidecar consists from now on: they share what it may send.
func (e *Engine) Share(processes int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.settings.Processes = processes
	s := e.settings
	e.handle(&balance.Event{Kind: balance.EventSettings, Settings: &s})
}

// Cordon passes on that an operator takes an upstream host out, or puts it back. When it returns, nothing more is sent
// to one that is out.
func (e *Engine) Cordon(id balance.EndpointID, out bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if out {
		e.out[id] = true
	} else if e.out[id] {
		delete(e.out, id)
		now := e.now()
		maps.DeleteFunc(e.back, func(_ balance.EndpointID, at time.Duration) bool { return now > at+e.settings.WarmupDuration }) // warm by now
		e.back[id] = now
	}
	e.handle(&balance.Event{Kind: balance.EventCordon, Endpoint: id, Cordoned: out})
}

// State is what an engine knows beyond the cluster, for the process that succeeds this one.
type State struct {
	Back    map[balance.EndpointID]time.Duration `json:"Back"` // when each host that was out was put back
	Learned *balance.LearnedState                `json:"Learned"`
}

// State returns what is known now.
func (e *Engine) State() State {
	e.mu.Lock()
	defer e.mu.Unlock()
	return State{Back: maps.Clone(e.back), Learned: e.b.LearnedState()}
}

// Take takes over what another process knew; the cluster has to be there already.
func (e *Engine) Take(s State) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, at := range s.Back {
		e.back[id] = min(at, e.now())
	}
	if s.Learned == nil {
		return
	}
	if e.learn(s.Learned) != nil {
		e.restart(nil)
	}
}

// handle gives the Balancer one event and carries out its actions; the caller holds the lock.
func (e *Engine) handle(ev *balance.Event) {
	if err := e.decide(ev); err != nil {
		learned := e.salvage()
		e.log.Error().Err(err).Bool("remember", learned != nil).Msg("the decisions failed; they start anew")
		e.restart(learned)
		return
	}
	for i := range e.actions {
		e.carryOut(&e.actions[i])
	}
}

// decide runs the module; a panic there becomes an error, for it must not take other streams along.
func (e *Engine) decide(ev *balance.Event) (err error) {
	defer func() {
		if p := recover(); p != nil {
			e.actions = e.actions[:0]
			err = fmt.Errorf("engine: panic in the decisions: %v\n%s", p, debug.Stack())
		}
	}()
	e.actions = e.b.Handle(e.now(), ev, e.actions[:0])
	return nil
}

func (e *Engine) carryOut(a *balance.Action) {
	switch a.Kind {
	case balance.ActSend, balance.ActReject, balance.ActFail, balance.ActCancel:
		if s := e.streams[a.Request]; s != nil {
			s.carryOut(a)
		}
	case balance.ActTimer:
		token, life := a.Token, e.life
		time.AfterFunc(a.After, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			if life == e.life {
				e.handle(&balance.Event{Kind: balance.EventTimer, Token: token})
			}
		})
	case balance.ActHealthCheck:
		go e.probe(a.Endpoint, e.life)
	case balance.ActCloseIdle:
		go e.conns.CloseUnused(a.Endpoint)
	case balance.ActLog:
		e.log.Info().Msg(a.Text)
	case balance.ActFetch, balance.ActSubscribe, balance.ActSendPeer:
		// Discovery is always watched here, and no deployment of ours lets instances talk.
	}
}

func (e *Engine) probe(id balance.EndpointID, life int) {
	from := time.Now()
	status := e.conns.Probe(id)
	e.mu.Lock()
	defer e.mu.Unlock()
	if life == e.life {
		e.handle(&balance.Event{Kind: balance.EventHealthChecked, Endpoint: id, Status: status, Latency: time.Since(from)})
	}
}

// trustAfter is how long the decisions have to have worked before what they learned is believed after a panic: what they
// failed on may be among it.
const trustAfter = 10 * time.Second

// salvage is what the decisions that have just failed had learned, or nil where that can't be had or be believed.
func (e *Engine) salvage() (learned *balance.LearnedState) {
	defer func() {
		if recover() != nil {
			learned = nil
		}
	}()
	if now := e.now(); e.life > 0 && now-e.failed < trustAfter {
		return nil
	}
	return e.b.LearnedState()
}

// restart begins again with a fresh Balancer, the cluster as it is known and what the old one had learned: after a panic
// the rest of its state can't be relied on. What was open is answered now; late outcomes of it are told to nobody.
func (e *Engine) restart(learned *balance.LearnedState) {
	e.life++
	e.failed = e.now()
	old := e.streams
	e.streams = map[balance.RequestID]*Stream{}
	for _, s := range old {
		s.abandon()
	}
	if !e.renew(learned) && learned != nil { // it can't be used: without it, then
		e.life++
		e.renew(nil)
	}
}

// renew puts a fresh Balancer in place, and returns whether it takes what it is told.
func (e *Engine) renew(learned *balance.LearnedState) bool {
	b, err := balance.New(e.settings, e.seed+uint64(e.life))
	if err != nil {
		e.log.Error().Err(err).Msg("the decisions do not start anew")
		return false
	}
	e.b = b
	events := []balance.Event{{Kind: balance.EventMembership, List: balance.ListFull, Entries: e.entries()}}
	for id := range e.out {
		events = append(events, balance.Event{Kind: balance.EventCordon, Endpoint: id, Cordoned: true})
	}
	for i := range events {
		if err := e.decide(&events[i]); err != nil {
			e.log.Error().Err(err).Msg("the decisions failed on the known cluster")
			return false
		}
		for i := range e.actions {
			e.carryOut(&e.actions[i])
		}
	}
	return learned == nil || e.learn(learned) == nil
}

// learn has the Balancer take over what another one knew; a panic there becomes an error.
func (e *Engine) learn(l *balance.LearnedState) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("engine: panic on what was learned: %v", p)
			e.log.Error().Err(err).Msg("what was learned is not taken over")
		}
	}()
	e.b.Restore(e.now(), l)
	return nil
}

// entries is the cluster as it is known. A host that was put back has not started before that, whatever the list says.
func (e *Engine) entries() []balance.Entry {
	entries := make([]balance.Entry, 0, len(e.cluster))
	for _, entry := range e.cluster {
		entry.StartedAt = max(entry.StartedAt, e.back[entry.Endpoint])
		entries = append(entries, entry)
	}
	return entries
}

// Call is what the decisions are told of a stream.
type Call struct {
	Class    int
	Tenant   int           // 1 is the settings' first; 0: none that they know, which has no share to be over
	Left     time.Duration // until the client gives up
	Coming   bool          // its message still comes: Left runs from Stream.Whole on
	Repeated bool          // the client's own retry
	Most     int           // attempts that it may make; 0: as the settings have it, below 0: none
	Worth    float64       // share of its class's worth that it is worth; 0: all of it
	Ran      time.Time     // when its effect was first asked for, at RanAt, by an earlier stream, and may have taken place; zero: never
	RanAt    balance.EndpointID
}

// Class is what the settings say of a class.
func (e *Engine) Class(class int) balance.Class {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.settings.Classes[min(class, len(e.settings.Classes)-1)]
}

// Open tells the decisions of a new stream. The caller has to call Close once it has its answer.
func (e *Engine) Open(ctx context.Context, c Call) *Stream {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.last++
	most := e.settings.MaxAttempts
	s := &Stream{e: e, ctx: ctx, id: e.last, life: e.life, sends: make(chan Send, most), verdict: make(chan Verdict, 1),
		tries: make([]try, 0, most)}
	e.streams[s.id] = s
	ev := balance.Event{Kind: balance.EventRequest, Request: s.id, Class: c.Class, Remaining: c.Left, Uploading: c.Coming, ClientRetry: c.Repeated,
		MaxAttempts: c.Most, ValueShare: c.Worth, Tenant: c.Tenant - 1}
	if c.Tenant == 0 {
		ev.Tenant = len(e.settings.Tenants)
	}
	if !c.Ran.IsZero() {
		ev.EarlierAttemptAt, ev.Endpoint = max(1, e.unix+c.Ran.Sub(e.start)), c.RanAt
	}
	e.handle(&ev)
	return s
}
