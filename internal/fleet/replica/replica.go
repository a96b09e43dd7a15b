// Package replica runs one replica of the configuration: the protocol of package replication on a clock, a disk and a
// transport, and the operator's changes on it.
//
// Each Replica has one goroutine, which alone drives the protocol and writes to the disk; other goroutines hand it functions
// to run, and read a status that it publishes after each step. Callbacks (OnCommit, OnViewChange, Send) are called by that
// goroutine and must not wait for the replica.
//
// Invariants: a step's messages are sent after its write is durable; a change is acknowledged after every member of the view
// has stored it; a read is answered after a majority of the witnesses has confirmed the primary.
package replica

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"pinelb.example/pinelb/internal/fleet/config"
	"pinelb.example/pinelb/internal/fleet/replication"
)

const (
	tickInterval = 30 * time.Millisecond
	inboxSize    = 256
)

// Commit is a configuration that has been acknowledged by all members of a view.
type Commit struct {
	View     uint64
	Sequence uint64
	State    *config.State
	Table    *config.Table
	Change   *config.Change // that led to it from the commit before; nil: not known
}

// Options are a replica's surroundings.
type Options struct {
	Address            string   // internal, of this machine
	Directory          string   // empty: no disk
	BootstrapWitnesses []string // the first witnesses' addresses, at the first start of the whole system; else none
	Votes              bool     // this machine counts for the quorum
	Tolerance          replication.Tolerance
	Timing             replication.Timing
	LocalityOf         func(address string) replication.Locality
	Peers              func() []string // addresses that may know the primary
	Send               func(to string, nonce uint64, message replication.Envelope)
	OnCommit           func(Commit)           // called in order, by the replica's goroutine
	OnViewChange       func(replication.View) // called in order, by the replica's goroutine
	Clock              func() time.Duration   // monotonic
	Log                *zap.Logger            // nil: no log
}

// Replica is one replica of the configuration. Its methods may be called by any goroutine.
type Replica struct {
	options Options
	inbox   chan func()
	cancel  context.CancelFunc
	done    chan struct{} // closed when the goroutine has ended

	// Owned by the replica's goroutine:
	node          *replication.Node
	store         *store
	pending       *proposal // nil: none
	published     replication.Position
	table         *config.Table // of the last commit; nil: not the primary
	confirmations []*confirmation
	lastView      replication.View // the last one that was announced
	wasCandidate  bool             // at the last step

	mu     sync.Mutex
	status status
}

// status is what the replica's goroutine publishes for the others.
type status struct {
	isPrimary   bool // and has published a commit
	view        replication.View
	state       *config.State // committed
	table       *config.Table
	sequence    uint64
	confirmedAt time.Duration
	isConfirmed bool
	canStop     bool // it has resigned, and may stop
	// The last confirmation, kept while this replica changes the composition of its own view.
	lastConfirmedAt  time.Duration
	hasLastConfirmed bool
}

// Start reads the disk and starts the replica's goroutine, which Close ends.
func Start(options Options) (*Replica, error) {
	if options.Log == nil {
		options.Log = zap.NewNop()
	}
	store, err := openStore(&options)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &Replica{options: options, store: store, inbox: make(chan func(), inboxSize), cancel: cancel, done: make(chan struct{})}
	r.buildNode()
	go r.run(ctx)
	return r, nil
}

// buildNode makes the protocol's state machine from what the disk holds.
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

// Close ends the replica's goroutine and closes the log. What is pending gets ErrUnavailable.
func (r *Replica) Close() {
	r.cancel()
	<-r.done
}

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

// do has the replica's goroutine run a function. It returns without waiting for that.
func (r *Replica) do(f func()) {
	select {
	case r.inbox <- f:
	case <-r.done:
	}
}

// Deliver hands over a message that came for this replica. It drops the message where the inbox is full. An error says that
// the message can't be decoded.
func (r *Replica) Deliver(from replication.Replica, encoded replication.Envelope) error {
	message, err := replication.Decode(encoded)
	if err != nil {
		return err
	}
	select {
	case r.inbox <- func() { r.execute(r.node.Receive(r.options.Clock(), from, message)) }:
	default:
	}
	return nil
}

// execute makes a step's write durable, and then sends its messages. Where the write fails, the replica is as after a
// restart, with nothing of the step done.
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

// proposedState returns the state that a write of this replica's own proposal leads to: it has been made when the change was checked, and
// a large change takes long. nil: the write is another one.
func (r *Replica) proposedState(w *replication.Write) *config.State {
	if p := r.pending; p != nil && w.Entry != nil && w.Snapshot == nil && w.HardState.Position == p.position {
		return p.state
	}
	return nil
}

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

// Resign says that this replica's machine is about to shut down, so that others take over its part.
func (r *Replica) Resign() {
	r.do(func() { r.execute(r.node.Resign(r.options.Clock())) })
}

// CanStop reports whether a replica that has resigned may stop: its copy and its vote are where they have to be, as far as
// waiting helps.
func (r *Replica) CanStop() bool { return r.currentStatus().canStop }
