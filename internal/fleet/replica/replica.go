// Package replica runs one copy of the replicated configuration: the protocol of package replication on a clock, a disk
// and a transport, and the operator's orders on it.
package replica

import (
	"context"
	"errors"
	"math/rand/v2"
	"path/filepath"
	"sync"
	"time"

	"go.uber.org/zap"

	"pinelb.example/pinelb/internal/fleet/config"
	"pinelb.example/pinelb/internal/fleet/replication"
	"pinelb.example/pinelb/internal/fleet/storage"
)

const (
	tickEvery = 30 * time.Millisecond
	inboxSize = 256
	logFolder = "control"
)

// Commit is a configuration that has been acknowledged by all members of a view.
type Commit struct {
	View     uint64
	Sequence uint64
	State    *config.State
	Table    *config.Table
	Change   *config.Change // that made it of the one before; nil: not known
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
	OnViewChange       func(replication.View) // the same, when a view is learned
	Clock              func() time.Duration   // steady
	Log                *zap.Logger
}

// Replica is one copy. Its methods may be called by any goroutine.
type Replica struct {
	options Options
	inbox   chan func()
	cancel  context.CancelFunc
	ended   chan struct{}

	// Of the replica's goroutine alone:
	machine   *replication.Node
	durable   replication.HardState // as the disk has it
	log       *storage.Log
	stored    *config.State // at the machine's position, committed or not
	candidate *proposal     // under way
	published replication.Position
	table     *config.Table // of the last commit
	waiting   []*confirmation
	viewKnown uint64

	mu   sync.Mutex
	seen status
}

// status is what other goroutines may look at.
type status struct {
	leading   bool
	view      replication.View
	state     *config.State // committed
	table     *config.Table
	sequence  uint64
	confirmed time.Duration
	current   bool
	released  bool // it has resigned, and may end
	// The last confirmation, kept while this replica changes the composition of its own view.
	lastConfirmed time.Duration
	hasConfirmed  bool
}

// proposal is an order under way.
type proposal struct {
	position replication.Position
	order    *config.Change
	state    *config.State
	table    *config.Table
	done     chan error
}

// confirmation waits for a round of the witnesses that began later.
type confirmation struct {
	since time.Duration
	done  chan error
}

// Start reads the disk and begins.
func Start(options Options) (*Replica, error) {
	r := &Replica{options: options, inbox: make(chan func(), inboxSize), ended: make(chan struct{})}
	if options.Log == nil {
		r.options.Log = zap.NewNop()
	}
	durable, err := r.restore()
	if err != nil {
		return nil, err
	}
	r.durable = durable
	r.build(durable)
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	go r.run(ctx)
	return r, nil
}

// restore reads the disk; an empty one, or none, makes a new identity.
func (r *Replica) restore() (replication.HardState, error) {
	r.stored = config.EmptyState()
	nonce := uint64(0)
	if len(r.options.BootstrapWitnesses) == 0 {
		nonce = rand.Uint64() | 1 // 0 is that of the first start
	}
	durable := replication.InitialHardState(r.options.Address, nonce, r.options.BootstrapWitnesses)
	if r.options.Directory == "" {
		return durable, nil
	}
	log, records, err := storage.Open(filepath.Join(r.options.Directory, logFolder))
	var damaged *storage.CorruptLogError
	if errors.As(err, &damaged) {
		r.options.Log.Error("the log is damaged: this replica starts without what it held, as a new one", zap.Error(err))
		r.log = log
		return replication.InitialHardState(r.options.Address, rand.Uint64()|1, nil), nil
	}
	if err != nil {
		return durable, err
	}
	r.log = log
	for _, record := range records {
		if err := r.take(record.Entry, record.Snapshot); err != nil {
			return durable, err
		}
		durable = record.HardState
	}
	return durable, nil
}

// take applies what a write holds to the stored state.
func (r *Replica) take(entry, snapshot []byte) error {
	if snapshot != nil {
		state, err := config.DecodeState(snapshot)
		if err != nil {
			return err
		}
		r.stored = state
	}
	if entry == nil {
		return nil
	}
	order, err := config.DecodeChange(entry)
	if err != nil {
		return err
	}
	state, err := r.stored.Apply(order)
	if err != nil {
		return err
	}
	r.stored = state
	return nil
}

// build makes the protocol's machine of what the disk holds.
func (r *Replica) build(durable replication.HardState) {
	r.machine = replication.New(r.options.Clock(), durable, replication.Options{
		Timing: r.options.Timing, Tolerance: r.options.Tolerance, LocalityOf: r.options.LocalityOf,
		JoinTargets: r.options.Peers, RequestsJoin: r.options.Votes,
		Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
}

// Close ends the replica.
func (r *Replica) Close() {
	r.cancel()
	<-r.ended
}

func (r *Replica) run(ctx context.Context) {
	defer close(r.ended)
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			r.failAll(ErrUnavailable)
			if r.log != nil {
				r.log.Close()
			}
			return
		case do := <-r.inbox:
			do()
		case <-ticker.C:
			r.carryOut(r.machine.Tick(r.options.Clock()))
		}
		r.settle()
	}
}

// Deliver hands a message over that came for this replica. It is dropped where too many wait.
func (r *Replica) Deliver(from replication.Replica, encoded replication.Envelope) error {
	message, err := replication.Decode(encoded)
	if err != nil {
		return err
	}
	select {
	case r.inbox <- func() { r.carryOut(r.machine.Receive(r.options.Clock(), from, message)) }:
	default:
	}
	return nil
}

// carryOut makes a step's output durable, and then sends its messages. It returns false where the disk failed: then the
// replica is as after a restart, with nothing of the step done.
func (r *Replica) carryOut(out *replication.Output) bool {
	if out.Write != nil && !r.write(out.Write) {
		return false
	}
	for _, outgoing := range out.Send {
		message := outgoing.Message
		if outgoing.AttachSnapshot {
			snapshot, err := r.stored.Encode()
			if err != nil {
				r.options.Log.Error("the state can't be encoded", zap.Error(err))
				continue
			}
			message = replication.WithSnapshot(message, snapshot)
		}
		encoded, err := replication.Encode(message)
		if err != nil {
			r.options.Log.Error("a message can't be encoded", zap.Error(err))
			continue
		}
		r.options.Send(outgoing.To, r.machine.Self().Nonce, encoded)
	}
	return true
}

// write makes a step's write durable. The state that is held follows it.
func (r *Replica) write(w *replication.Write) bool {
	before := r.stored
	err := r.take(w.Entry, w.Snapshot)
	if err == nil && r.log != nil {
		err = r.writeLog(w)
	}
	if err != nil {
		r.options.Log.Warn("what has to be kept can't be written", zap.Error(err))
		r.stored = before
		r.failAll(ErrUnavailable)
		r.build(r.durable)
		return false
	}
	r.durable = w.HardState
	return true
}

func (r *Replica) writeLog(w *replication.Write) error {
	if r.log.NeedsCompaction() {
		return r.begin(w.HardState)
	}
	return r.log.Append(storage.Record{HardState: w.HardState, Entry: w.Entry, Snapshot: w.Snapshot})
}

func (r *Replica) begin(durable replication.HardState) error {
	snapshot, err := r.stored.Encode()
	if err != nil {
		return err
	}
	return r.log.StartGeneration(durable, snapshot)
}
