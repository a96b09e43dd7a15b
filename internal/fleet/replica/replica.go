// Package replica runs one replica of the configuration: it connects the protocol of package replication to a clock, a disk
// and a transport, and submits the operator's changes to it.
//
// Each Replica has one goroutine, which alone drives the protocol and writes to the disk. Other goroutines pass functions to it
// and read the status that it publishes after each step. The replica's goroutine also calls the callbacks (OnCommit,
// OnViewChange, Send), which must not wait for the replica.
//
// Invariants: a step's messages are sent only after its write is durable; a change is acknowledged only after every member of
// the view has stored it; a read is answered only after a majority of the witnesses has confirmed the primary.
package replica

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"pinelb.example/pinelb/internal/fleet/config"
	"pinelb.example/pinelb/internal/fleet/replication"
	"pinelb.example/pinelb/internal/fleet/transport"
)

const (
	tickInterval = 30 * time.Millisecond
	inboxSize    = 256
)

// Commit is a configuration that all members of a view have stored.
type Commit struct {
	View     uint64
	Sequence uint64
	State    *config.State
	Table    *config.Table
	Change   *config.Change // applied to the previous commit; nil: unknown
}

// Options configures a replica and connects it to its environment.
type Options struct {
	Address            string   // this machine's internal address
	Directory          string   // holds the log; empty: no disk, all state is in memory
	BootstrapWitnesses []string // addresses of the first witnesses, at the first start of the whole system; otherwise empty
	Votes              bool     // this machine counts for the quorum, so its replica requests to join the view
	Tolerance          replication.Tolerance
	Timing             replication.Timing
	LocalityOf         func(address string) replication.Locality
	Peers              func() []string // addresses of machines that may know the primary
	Send               func(to string, nonce uint64, message replication.Envelope)
	OnCommit           func(Commit)           // called in order, by the replica's goroutine
	OnViewChange       func(replication.View) // called in order, by the replica's goroutine
	Clock              func() time.Duration   // monotonic
	Log                *zap.Logger            // nil: nothing is logged
}

// Replica is one replica of the configuration. Its methods are safe for concurrent use.
type Replica struct {
	options Options
	inbox   chan func()           // for the replica's goroutine to run
	queued  transport.QueuedBytes // of the messages in the inbox
	cancel  context.CancelFunc
	done    chan struct{} // closed when the replica's goroutine has ended
	checks  chan struct{} // capacity 1; full while a change is being checked, whose parsed form takes many times its size

	// Owned by the replica's goroutine:
	node          *replication.Node
	store         *store
	pending       *proposal            // the change that is being replicated; nil: none
	published     replication.Position // of the last published commit
	table         *config.Table        // of the last published commit; nil: not the primary, or nothing published yet
	confirmations []*confirmation      // requests that wait for a heartbeat round
	lastView      replication.View     // the newest published view
	wasCandidate  bool                 // at the previous step

	mu     sync.Mutex
	status status
}

// status is the state that the replica's goroutine publishes for other goroutines.
type status struct {
	isPrimary   bool // the replica is the primary and has published a commit
	view        replication.View
	state       *config.State // committed
	table       *config.Table
	sequence    uint64
	confirmedAt time.Duration // when the last heartbeat round was sent that confirmed the primary
	isConfirmed bool
	canStop     bool // the replica has resigned and may stop
	// The last confirmation as the primary, which stays valid while this replica changes the composition of its own view.
	lastConfirmedAt  time.Duration
	hasLastConfirmed bool
}

// Start reads the log from the disk and starts the replica's goroutine, which Close ends. It fails if the log can't be read or
// applied. A corrupt log is no error: the replica starts without state, under a new identity.
func Start(options Options) (*Replica, error) {
	if options.Log == nil {
		options.Log = zap.NewNop()
	}
	store, err := openStore(&options)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &Replica{options: options, store: store, inbox: make(chan func(), inboxSize), cancel: cancel, done: make(chan struct{}), checks: make(chan struct{}, 1)}
	r.buildNode()
	go r.run(ctx)
	return r, nil
}

// buildNode creates the protocol's state machine from the stored hard state.
func (r *Replica) buildNode() {
	r.node = replication.New(r.options.Clock(), r.store.hardState, replication.Options{
		Timing:       r.options.Timing,
		Tolerance:    r.options.Tolerance,
		LocalityOf:   r.options.LocalityOf,
		JoinTargets:  r.options.Peers,
		RequestsJoin: r.options.Votes,
		Random:       rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
}

// Close ends the replica's goroutine and closes the log. Pending calls return ErrUnavailable.
func (r *Replica) Close() {
	r.cancel()
	<-r.done
}

// run is the replica's goroutine. It publishes the status after each function from the inbox and each tick.
func (r *Replica) run(ctx context.Context) {
	defer close(r.done)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			r.failPending(ErrUnavailable)
			r.store.close()
			return
		case f := <-r.inbox:
			f()
		case <-ticker.C:
			r.execute(r.node.Tick(r.options.Clock()))
		}
		r.publishStep()
	}
}

// enqueue passes a function to the replica's goroutine and returns without waiting for it to run. It blocks while the inbox is
// full. After Close the function does not run.
func (r *Replica) enqueue(f func()) {
	select {
	case r.inbox <- f:
	case <-r.done:
	}
}

// Deliver passes a received message to the protocol. It drops the message if the inbox is full, or holds too many bytes. An error means that the message
// can't be decoded.
func (r *Replica) Deliver(from replication.Replica, encoded replication.Envelope) error {
	size := len(encoded.Body)
	if !r.queued.Reserve(size) {
		return nil
	}
	message, err := replication.Decode(encoded)
	if err != nil {
		r.queued.Release(size)
		return err
	}
	receive := func() {
		r.queued.Release(size)
		r.execute(r.node.Receive(r.options.Clock(), from, message))
	}
	select {
	case r.inbox <- receive:
	default:
		r.queued.Release(size)
	}
	return nil
}

// execute makes a step's write durable, and then sends the step's messages. If the write fails, it sends nothing and rebuilds
// the protocol's state machine from the stored hard state, as after a restart.
func (r *Replica) execute(out *replication.Output) {
	if out.Write != nil {
		if err := r.store.write(out.Write, r.proposedState(out.Write)); err != nil {
			r.options.Log.Warn("can't write the replica's log", zap.Error(err))
			r.failPending(ErrUnavailable)
			r.buildNode()
			return
		}
	}
	for _, outgoing := range out.Send {
		r.send(outgoing)
	}
}

// proposedState returns the state after a write of this replica's own proposal, and nil for any other write. The state was already
// computed when the change was checked; computing it again would take long for a large change.
func (r *Replica) proposedState(w *replication.Write) *config.State {
	if p := r.pending; p != nil && w.Entry != nil && w.Snapshot == nil && w.HardState.Position == p.position {
		return p.state
	}
	return nil
}

// send encodes a message, with a snapshot of the stored state if the message needs one, and sends it. It logs errors.
func (r *Replica) send(outgoing replication.Outgoing) {
	message := outgoing.Message
	if outgoing.AttachSnapshot {
		snapshot, err := r.store.state.Encode()
		if err != nil {
			r.options.Log.Error("can't encode the snapshot", zap.Error(err))
			return
		}
		message = replication.WithSnapshot(message, snapshot)
	}
	encoded, err := replication.Encode(message)
	if err != nil {
		r.options.Log.Error("can't encode a message", zap.Error(err))
		return
	}
	r.options.Send(outgoing.To, r.node.Self().Nonce, encoded)
}

// Resign starts handing over this replica's roles, because its machine is about to shut down. It returns without waiting.
func (r *Replica) Resign() {
	r.enqueue(func() { r.execute(r.node.Resign(r.options.Clock())) })
}

// CanStop reports whether a replica that has resigned may stop: its copy of the state and its vote are not needed any more, or
// no other replica can take them over.
func (r *Replica) CanStop() bool { return r.currentStatus().canStop }
