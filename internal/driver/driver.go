// Package driver runs the decision module (package balance) in real time. It owns the Balancer, its clock and its timers,
// serialises all events of a sidecar into it, and hands each action to the stream that it is for. It knows no protocol.
//
// Its methods may be called by many goroutines. One mutex guards the Balancer and the streams; nothing that waits is called
// under it. A stream gets one final answer and every Send one outcome, also after a panic in the decisions.
package driver

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"pinelb.example/pinelb/balance"
)

// Connections are the upstream side's part of what the decisions ask for. Its methods are called on goroutines of their own.
type Connections interface {
	// Probe checks an endpoint's health and returns how that ended.
	Probe(id balance.EndpointID) balance.Status
	// CloseUnused closes the idle connections to an endpoint.
	CloseUnused(id balance.EndpointID)
}

// ErrClassesRemoved is the error of settings with fewer classes than before, whose requests may be under way.
var ErrClassesRemoved = errors.New("fewer classes than before")

// Driver serialises all events of one sidecar into its Balancer.
type Driver struct {
	settings  balance.Settings
	conns     Connections
	log       zerolog.Logger
	start     time.Time     // carries the monotonic clock
	startUnix time.Duration // the Balancer's clock at start

	mu           sync.Mutex
	balancer     *balance.Balancer
	seed         uint64
	generation   int           // Balancers that there were before this one
	lastPanic    time.Duration // of the last of them
	actions      []balance.Action
	lastID       balance.RequestID
	streams      map[balance.RequestID]*Stream // until ended and without open attempts
	members      map[balance.EndpointID]balance.Entry
	cordoned     map[balance.EndpointID]bool          // by operators
	uncordonedAt map[balance.EndpointID]time.Duration // the endpoint has restarted since: it has not started before that
	version      uint32                               // of the configuration that the decisions act on
}

// New returns a driver without members. An error is a *balance.SettingError.
func New(settings balance.Settings, seed uint64, conns Connections, log zerolog.Logger) (*Driver, error) {
	b, err := balance.New(settings, seed)
	if err != nil {
		return nil, fmt.Errorf("driver: %w", err)
	}
	now := time.Now()
	return &Driver{
		settings:     settings,
		conns:        conns,
		log:          log,
		start:        now,
		startUnix:    time.Duration(now.UnixNano()),
		balancer:     b,
		seed:         seed,
		streams:      map[balance.RequestID]*Stream{},
		members:      map[balance.EndpointID]balance.Entry{},
		cordoned:     map[balance.EndpointID]bool{},
		uncordonedAt: map[balance.EndpointID]time.Duration{},
	}, nil
}

// now is Unix time at the start plus what has passed since by the monotonic clock: start times of discovery's compare with it
// directly, and a step of the wall clock does no harm.
func (d *Driver) now() time.Duration { return d.startUnix + time.Since(d.start) }

// Membership takes over a list of discovery's. What is sent from then on is sent under version; 0 keeps the version.
func (d *Driver) Membership(kind balance.ListKind, entries []balance.Entry, version uint32) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.setVersion(version)
	if kind != balance.ListDelta {
		clear(d.members)
	}
	for _, entry := range entries {
		if entry.State == balance.Removed {
			delete(d.members, entry.Endpoint)
		} else {
			d.members[entry.Endpoint] = entry
		}
	}
	d.handleEvent(&balance.Event{Kind: balance.EventMembership, List: kind, Entries: entries})
}

// SetVersion has what is sent from now on be sent under version, with nothing else changed.
func (d *Driver) SetVersion(version uint32) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.setVersion(version)
}

func (d *Driver) setVersion(version uint32) {
	if version != 0 {
		d.version = version
	}
}

// Expect reports that discovery is polled next after so long, where it isn't watched all the time.
func (d *Driver) Expect(in time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.handleEvent(&balance.Event{Kind: balance.EventListExpected, ExpectedIn: in})
}

// UpdateSettings has changed settings take effect, all of them or, with an error, none. The classes that there were keep
// their indices; ErrClassesRemoved says that some are missing, a *balance.SettingError that a setting is out of range. What
// is sent from then on is sent under version; 0 keeps the version.
func (d *Driver) UpdateSettings(settings balance.Settings, version uint32) error {
	if err := settings.Validate(); err != nil {
		return fmt.Errorf("driver: %w", err)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(settings.Classes) < len(d.settings.Classes) {
		return fmt.Errorf("driver: %w: %d classes in place of %d", ErrClassesRemoved, len(settings.Classes), len(d.settings.Classes))
	}
	d.setVersion(version)
	settings.Processes = d.settings.Processes
	d.settings = settings
	d.handleEvent(&balance.Event{Kind: balance.EventSettings, Settings: &settings})
	return nil
}

// SetProcesses reports of how many processes this sidecar consists from now on: they share what it may send.
func (d *Driver) SetProcesses(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.settings.Processes = n
	settings := d.settings
	d.handleEvent(&balance.Event{Kind: balance.EventSettings, Settings: &settings})
}

// Cordon cordons an endpoint for an operator, or uncordons it. When it returns, nothing more is sent to a cordoned one.
func (d *Driver) Cordon(id balance.EndpointID, cordoned bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if cordoned {
		d.cordoned[id] = true
	} else if d.cordoned[id] {
		delete(d.cordoned, id)
		now := d.now()
		maps.DeleteFunc(d.uncordonedAt, func(_ balance.EndpointID, at time.Duration) bool {
			return now > at+d.settings.WarmupDuration // it is warm by now
		})
		d.uncordonedAt[id] = now
	}
	d.handleEvent(&balance.Event{Kind: balance.EventCordon, Endpoint: id, Cordoned: cordoned})
}

// State is what a driver knows beyond the membership, for the process that succeeds this one. The JSON names are those of
// stored snapshots.
type State struct {
	UncordonedAt map[balance.EndpointID]time.Duration `json:"Back"` // Unix time
	Learned      *balance.LearnedState                `json:"Learned"`
}

// State returns what is known now.
func (d *Driver) State() State {
	d.mu.Lock()
	defer d.mu.Unlock()
	return State{UncordonedAt: maps.Clone(d.uncordonedAt), Learned: d.balancer.LearnedState()}
}

// Restore takes over what another process knew. It is called after Membership.
func (d *Driver) Restore(s State) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, at := range s.UncordonedAt {
		d.uncordonedAt[id] = min(at, d.now())
	}
	if s.Learned != nil && d.restoreLearned(s.Learned) != nil {
		d.restart(nil)
	}
}

// handleEvent gives the Balancer one event and carries out its actions; the caller holds the lock.
func (d *Driver) handleEvent(ev *balance.Event) {
	if err := d.decide(ev); err != nil {
		learned := d.learnedBeforePanic()
		d.log.Error().Err(err).Bool("remember", learned != nil).Msg("the decisions failed; they start anew")
		d.restart(learned)
		return
	}
	for i := range d.actions {
		d.carryOut(&d.actions[i])
	}
}

func (d *Driver) carryOut(a *balance.Action) {
	switch a.Kind {
	case balance.ActSend, balance.ActReject, balance.ActFail, balance.ActCancel:
		if s := d.streams[a.Request]; s != nil {
			s.carryOut(a)
		}
	case balance.ActTimer:
		d.startTimer(a.Token, a.After)
	case balance.ActHealthCheck:
		go d.checkHealth(a.Endpoint, d.generation)
	case balance.ActCloseIdle:
		go d.conns.CloseUnused(a.Endpoint)
	case balance.ActLog:
		d.log.Info().Msg(a.Text)
	case balance.ActFetch, balance.ActSubscribe, balance.ActSendPeer:
		// Discovery is always watched here, and no deployment lets instances send each other messages.
	}
}

// startTimer delivers a timer event after a delay, unless the Balancer has been replaced by then.
func (d *Driver) startTimer(token balance.Token, delay time.Duration) {
	generation := d.generation
	time.AfterFunc(delay, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		if generation == d.generation {
			d.handleEvent(&balance.Event{Kind: balance.EventTimer, Token: token})
		}
	})
}

func (d *Driver) checkHealth(id balance.EndpointID, generation int) {
	start := time.Now()
	status := d.conns.Probe(id)
	d.mu.Lock()
	defer d.mu.Unlock()
	if generation == d.generation {
		d.handleEvent(&balance.Event{Kind: balance.EventHealthChecked, Endpoint: id, Status: status, Latency: time.Since(start)})
	}
}

// Request is what the decisions are told of a stream.
type Request struct {
	Class            int
	Tenant           int           // 1 is the settings' first; 0: none that they know, which has no quota
	Remaining        time.Duration // until the client gives up
	Uploading        bool          // its body still comes: Remaining runs from Stream.UploadDone on
	ClientRetry      bool          // the client's own retry
	MaxAttempts      int           // granted to it; 0: as the settings have it, below 0: none
	ValueShare       float64       // share of its class's value; 0: all of it
	EarlierAttemptAt time.Time     // when an earlier stream's attempt at its effect was sent, to EarlierEndpoint, that may have run; zero: none
	EarlierEndpoint  balance.EndpointID
}

// Class is what the settings say of a class.
func (d *Driver) Class(class int) balance.Class {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.settings.Classes[min(class, len(d.settings.Classes)-1)]
}

// Open passes a new stream to the decisions. Attempts' contexts are children of ctx. The caller has to call Close once it has
// its answer.
func (d *Driver) Open(ctx context.Context, r Request) *Stream {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastID++
	maxAttempts := d.settings.MaxAttempts
	s := &Stream{
		driver:     d,
		ctx:        ctx,
		id:         d.lastID,
		generation: d.generation,
		sends:      make(chan Send, maxAttempts),
		localReply: make(chan LocalReply, 1),
		attempts:   make([]attempt, 0, maxAttempts),
	}
	d.streams[s.id] = s
	ev := balance.Event{
		Kind:        balance.EventRequest,
		Request:     s.id,
		Class:       r.Class,
		Tenant:      r.Tenant - 1,
		Remaining:   r.Remaining,
		Uploading:   r.Uploading,
		ClientRetry: r.ClientRetry,
		MaxAttempts: r.MaxAttempts,
		ValueShare:  r.ValueShare,
	}
	if r.Tenant == 0 {
		ev.Tenant = len(d.settings.Tenants)
	}
	if !r.EarlierAttemptAt.IsZero() {
		ev.EarlierAttemptAt = max(1, d.startUnix+r.EarlierAttemptAt.Sub(d.start))
		ev.Endpoint = r.EarlierEndpoint
	}
	d.handleEvent(&ev)
	return s
}
