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

// Driver serialises all events of one sidecar into its Balancer.
type Driver struct {
	settings  balance.Settings
	conns     Connections
	log       zerolog.Logger
	start     time.Time     // carries the monotonic clock
	startUnix time.Duration // what the module's clock showed at start

	mu           sync.Mutex
	balancer     *balance.Balancer
	seed         uint64
	generation   int           // how many Balancers there were before this one
	lastPanic    time.Duration // when the last of them did
	actions      []balance.Action
	lastID       balance.RequestID
	streams      map[balance.RequestID]*Stream // until ended and every attempt has its outcome
	members      map[balance.EndpointID]balance.Entry
	cordoned     map[balance.EndpointID]bool          // by an operator's word
	uncordonedAt map[balance.EndpointID]time.Duration // when it was put back: it has not started before
	version      uint32                               // the number of the version that is acted on
}

// New returns an engine with no cluster yet.
func New(settings balance.Settings, seed uint64, conns Connections, log zerolog.Logger) (*Driver, error) {
	b, err := balance.New(settings, seed)
	if err != nil {
		return nil, fmt.Errorf("engine: %w", err)
	}
	now := time.Now()
	return &Driver{settings: settings, conns: conns, log: log, start: now, startUnix: time.Duration(now.UnixNano()),
		balancer: b, seed: seed, streams: map[balance.RequestID]*Stream{}, members: map[balance.EndpointID]balance.Entry{},
		cordoned: map[balance.EndpointID]bool{}, uncordonedAt: map[balance.EndpointID]time.Duration{}}, nil
}

// now is Unix time at the start plus what has passed since by the monotonic clock: the cluster's start
// times compare with it directly, and a step of the wall clock does no harm.
func (e *Driver) now() time.Duration { return e.startUnix + time.Since(e.start) }

// Membership passes on what discovery says. What is sent from then on is sent under that number; 0 is under the same as before.
func (e *Driver) Membership(kind balance.ListKind, entries []balance.Entry, under uint32) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.setVersion(under)
	if kind != balance.ListDelta {
		clear(e.members)
	}
	for _, entry := range entries {
		if entry.State == balance.Gone {
			delete(e.members, entry.Endpoint)
		} else {
			e.members[entry.Endpoint] = entry
		}
	}
	e.handleEvent(&balance.Event{Kind: balance.EventMembership, List: kind, Entries: entries})
}

// SetVersion has what is sent from now on be sent under that number, with nothing else changed.
func (e *Driver) SetVersion(under uint32) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.setVersion(under)
}

func (e *Driver) setVersion(under uint32) {
	if under != 0 {
		e.version = under
	}
}

// Expect says that discovery is asked next in a while, where it is not asked all the time.
func (e *Driver) Expect(in time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.handleEvent(&balance.Event{Kind: balance.EventListExpected, ExpectedIn: in})
}

// UpdateSettings has changed settings take effect, whole or, where they can't be used, not at all. The classes that there were
// have to keep their places. What is sent from then on is sent under that number; 0 is under the same as before.
func (e *Driver) UpdateSettings(s balance.Settings, under uint32) error {
	if err := s.Validate(); err != nil {
		return fmt.Errorf("engine: %w", err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(s.Classes) < len(e.settings.Classes) {
		return fmt.Errorf("engine: %d classes in place of %d", len(s.Classes), len(e.settings.Classes))
	}
	e.setVersion(under)
	s.Processes = e.settings.Processes
	e.settings = s
	e.handleEvent(&balance.Event{Kind: balance.EventSettings, Settings: &s})
	return nil
}

// SetProcesses says of how many processes this sidecar consists from now on: they share what it may send.
func (e *Driver) SetProcesses(processes int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.settings.Processes = processes
	s := e.settings
	e.handleEvent(&balance.Event{Kind: balance.EventSettings, Settings: &s})
}

// Cordon passes on that an operator takes an upstream host out, or puts it back. When it returns, nothing more is sent
// to one that is out.
func (e *Driver) Cordon(id balance.EndpointID, out bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if out {
		e.cordoned[id] = true
	} else if e.cordoned[id] {
		delete(e.cordoned, id)
		now := e.now()
		maps.DeleteFunc(e.uncordonedAt, func(_ balance.EndpointID, at time.Duration) bool { return now > at+e.settings.WarmupDuration }) // warm by now
		e.uncordonedAt[id] = now
	}
	e.handleEvent(&balance.Event{Kind: balance.EventCordon, Endpoint: id, Cordoned: out})
}

// State is what an engine knows beyond the cluster, for the process that succeeds this one.
type State struct {
	UncordonedAt map[balance.EndpointID]time.Duration `json:"Back"` // when each host that was out was put back
	Learned      *balance.LearnedState                `json:"Learned"`
}

// State returns what is known now.
func (e *Driver) State() State {
	e.mu.Lock()
	defer e.mu.Unlock()
	return State{UncordonedAt: maps.Clone(e.uncordonedAt), Learned: e.balancer.LearnedState()}
}

// Restore takes over what another process knew; the cluster has to be there already.
func (e *Driver) Restore(s State) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, at := range s.UncordonedAt {
		e.uncordonedAt[id] = min(at, e.now())
	}
	if s.Learned == nil {
		return
	}
	if e.restoreLearned(s.Learned) != nil {
		e.restart(nil)
	}
}

// handle gives the Balancer one event and carries out its actions; the caller holds the lock.
func (e *Driver) handleEvent(ev *balance.Event) {
	if err := e.decide(ev); err != nil {
		learned := e.learnedBeforePanic()
		e.log.Error().Err(err).Bool("remember", learned != nil).Msg("the decisions failed; they start anew")
		e.restart(learned)
		return
	}
	for i := range e.actions {
		e.carryOut(&e.actions[i])
	}
}

// decide runs the module; a panic there becomes an error, for it must not take other streams along.
func (e *Driver) decide(ev *balance.Event) (err error) {
	defer func() {
		if p := recover(); p != nil {
			e.actions = e.actions[:0]
			err = fmt.Errorf("engine: panic in the decisions: %v\n%s", p, debug.Stack())
		}
	}()
	e.actions = e.balancer.Handle(e.now(), ev, e.actions[:0])
	return nil
}

func (e *Driver) carryOut(a *balance.Action) {
	switch a.Kind {
	case balance.ActSend, balance.ActReject, balance.ActFail, balance.ActCancel:
		if s := e.streams[a.Request]; s != nil {
			s.carryOut(a)
		}
	case balance.ActTimer:
		token, life := a.Token, e.generation
		time.AfterFunc(a.After, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			if life == e.generation {
				e.handleEvent(&balance.Event{Kind: balance.EventTimer, Token: token})
			}
		})
	case balance.ActHealthCheck:
		go e.probe(a.Endpoint, e.generation)
	case balance.ActCloseIdle:
		go e.conns.CloseUnused(a.Endpoint)
	case balance.ActLog:
		e.log.Info().Msg(a.Text)
	case balance.ActFetch, balance.ActSubscribe, balance.ActSendPeer:
		// Discovery is always watched here, and no deployment of ours lets instances talk.
	}
}

func (e *Driver) probe(id balance.EndpointID, life int) {
	from := time.Now()
	status := e.conns.Probe(id)
	e.mu.Lock()
	defer e.mu.Unlock()
	if life == e.generation {
		e.handleEvent(&balance.Event{Kind: balance.EventHealthChecked, Endpoint: id, Status: status, Latency: time.Since(from)})
	}
}

// minStableTime is how long the decisions have to have worked before what they learned is believed after a panic: what they
// failed on may be among it.
const minStableTime = 10 * time.Second

// salvage is what the decisions that have just failed had learned, or nil where that can't be had or be believed.
func (e *Driver) learnedBeforePanic() (learned *balance.LearnedState) {
	defer func() {
		if recover() != nil {
			learned = nil
		}
	}()
	if now := e.now(); e.generation > 0 && now-e.lastPanic < minStableTime {
		return nil
	}
	return e.balancer.LearnedState()
}

// restart begins again with a fresh Balancer, the cluster as it is known and what the old one had learned: after a panic
// the rest of its state can't be relied on. What was open is answered now; late outcomes of it are told to nobody.
func (e *Driver) restart(learned *balance.LearnedState) {
	e.generation++
	e.lastPanic = e.now()
	old := e.streams
	e.streams = map[balance.RequestID]*Stream{}
	for _, s := range old {
		s.abandon()
	}
	if !e.replaceBalancer(learned) && learned != nil { // it can't be used: without it, then
		e.generation++
		e.replaceBalancer(nil)
	}
}

// renew puts a fresh Balancer in place, and returns whether it takes what it is told.
func (e *Driver) replaceBalancer(learned *balance.LearnedState) bool {
	b, err := balance.New(e.settings, e.seed+uint64(e.generation))
	if err != nil {
		e.log.Error().Err(err).Msg("the decisions do not start anew")
		return false
	}
	e.balancer = b
	events := []balance.Event{{Kind: balance.EventMembership, List: balance.ListFull, Entries: e.entries()}}
	for id := range e.cordoned {
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
	return learned == nil || e.restoreLearned(learned) == nil
}

// learn has the Balancer take over what another one knew; a panic there becomes an error.
func (e *Driver) restoreLearned(l *balance.LearnedState) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("engine: panic on what was learned: %v", p)
			e.log.Error().Err(err).Msg("what was learned is not taken over")
		}
	}()
	e.balancer.Restore(e.now(), l)
	return nil
}

// entries is the cluster as it is known. A host that was put back has not started before that, whatever the list says.
func (e *Driver) entries() []balance.Entry {
	entries := make([]balance.Entry, 0, len(e.members))
	for _, entry := range e.members {
		entry.StartedAt = max(entry.StartedAt, e.uncordonedAt[entry.Endpoint])
		entries = append(entries, entry)
	}
	return entries
}

// Request is what the decisions are told of a stream.
type Request struct {
	Class            int
	Tenant           int           // 1 is the settings' first; 0: none that they know, which has no share to be over
	Remaining        time.Duration // until the client gives up
	Uploading        bool          // its message still comes: Left runs from Stream.Whole on
	ClientRetry      bool          // the client's own retry
	MaxAttempts      int           // attempts that it may make; 0: as the settings have it, below 0: none
	ValueShare       float64       // share of its class's worth that it is worth; 0: all of it
	EarlierAttemptAt time.Time     // when its effect was first asked for, at EarlierEndpoint, by an earlier stream, and may have taken place; zero: never
	EarlierEndpoint  balance.EndpointID
}

// Class is what the settings say of a class.
func (e *Driver) Class(class int) balance.Class {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.settings.Classes[min(class, len(e.settings.Classes)-1)]
}

// Open tells the decisions of a new stream. The caller has to call Close once it has its answer.
func (e *Driver) Open(ctx context.Context, c Request) *Stream {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastID++
	most := e.settings.MaxAttempts
	s := &Stream{driver: e, ctx: ctx, id: e.lastID, generation: e.generation, sends: make(chan Send, most), localReply: make(chan LocalReply, 1),
		attempts: make([]attempt, 0, most)}
	e.streams[s.id] = s
	ev := balance.Event{Kind: balance.EventRequest, Request: s.id, Class: c.Class, Remaining: c.Remaining, Uploading: c.Uploading, ClientRetry: c.ClientRetry,
		MaxAttempts: c.MaxAttempts, ValueShare: c.ValueShare, Tenant: c.Tenant - 1}
	if c.Tenant == 0 {
		ev.Tenant = len(e.settings.Tenants)
	}
	if !c.EarlierAttemptAt.IsZero() {
		ev.EarlierAttemptAt, ev.Endpoint = max(1, e.startUnix+c.EarlierAttemptAt.Sub(e.start)), c.EarlierEndpoint
	}
	e.handleEvent(&ev)
	return s
}
