package coordinator

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"pinelb.example/pinelb/internal/fleet/coordination"
	"pinelb.example/pinelb/internal/fleet/register"
	"pinelb.example/pinelb/internal/fleet/replication"
	"pinelb.example/pinelb/internal/fleet/transport"
)

// Options configure a Service.
type Options struct {
	Address   string   // internal address of this machine
	Zone      string   // of this machine
	Region    string   // of this machine
	Directory string   // where the acceptor stores its registers; empty: in memory only
	Founders  []string // addresses of the first acceptors at the first start of the whole system; empty at any later start
	Core      bool     // this machine has an acceptor and a proposer
	Votes     bool     // this machine may be chosen as an acceptor; if not, its acceptor is replaced once there is a candidate
	Tolerance replication.Tolerance
	State     coordination.Options                       // HasRoom is set by Start
	MaxState  int                                        // size of the registers in bytes from which on this machine's acceptor has no room; 0: unlimited
	MaxLog    int                                        // size of the log on disk in bytes from which on it is compacted; 0: only by its growth
	Peers     func() []string                            // internal addresses of the other core machines, live or not
	Proposers func() []string                            // internal addresses of the live core machines, including this one if it is one
	Leaving   func() bool                                // reports whether this machine is shutting down
	Send      func(to string, nonce uint64, message any) // nonce: of the sending acceptor's identity, else 0
	Clock     func() time.Duration                       // monotonic
	Log       *zap.Logger                                // nil: nothing is logged
}

// Counters count events since the start.
type Counters struct {
	Calls        atomic.Uint64 // calls that this machine received from applications
	Unclear      atomic.Uint64 // those of Calls whose outcome is unknown
	Refused      atomic.Uint64 // those of Calls that were not executed
	FailedOver   atomic.Uint64 // times that a proposer did not reply in the wait after the last copy, so that the next one was tried
	Duplicates   atomic.Uint64 // copies of known calls that the proposer received
	Dropped      atomic.Uint64 // messages that were dropped because an inbox was full
	Syncs        atomic.Uint64 // attempts of the acceptor to write to disk, except those of writeIdentity
	FailedSyncs  atomic.Uint64 // those attempts that failed, including those of writeIdentity
	ExpiredLocks atomic.Uint64 // locks that this proposer granted to another holder because the former holder's lease had expired
}

// Service is one machine's part of the coordination service. Its methods are safe for concurrent use.
type Service struct {
	Counters Counters

	options   Options
	forwarder forwarder
	acceptor  *acceptorLoop         // nil unless this is a core machine
	proposer  *proposerLoop         // nil unless this is a core machine
	queued    transport.QueuedBytes // of both loops' inboxes
	pauses    pauseDetector
	cancel    context.CancelFunc
	tasks     sync.WaitGroup
}

// Start loads the acceptor's state from disk and starts the service; Close stops it. It returns an error if the state can't be
// read or its directory can't be created.
func Start(options Options) (*Service, error) {
	if options.Log == nil {
		options.Log = zap.NewNop()
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Service{options: options, cancel: cancel}
	s.options.State.HasRoom = s.hasRoom
	s.forwarder.init(s)
	if !options.Core {
		return s, nil
	}
	store, err := openStore(&options)
	if err != nil {
		cancel()
		return nil, err
	}
	s.acceptor = newAcceptorLoop(s, store)
	s.proposer = newProposerLoop(s)
	s.tasks.Go(func() { s.acceptor.run(ctx) })
	s.tasks.Go(func() { s.proposer.run(ctx) })
	return s, nil
}

// Tick has to be called at least every 100 ms while the process runs, so that a pause of the process is detected. Pauses
// before the first call are not detected.
func (s *Service) Tick() { s.pauses.tick(s.options.Clock()) }

// IsResuming reports whether the process has just resumed after a pause: messages that it reads now may have been queued in
// its sockets since before the pause.
func (s *Service) IsResuming() bool { return s.pauses.isResuming(s.options.Clock()) }

// hasRoom reports whether the acceptors have room. Only the proposer's goroutine calls it.
func (s *Service) hasRoom() bool { return s.proposer.hasRoom() }

// Close stops the service and closes its files. Calls in progress are not cancelled: they end by their context or time-out.
func (s *Service) Close() {
	s.cancel()
	s.tasks.Wait()
}

// Receive passes a message of another machine's service to the forwarder or the loop that handles it, without blocking.
// message is a pointer to one of the message types of register.Outgoing, a *CallRequest or a *CallReply; size is that of its encoded form, in bytes.
func (s *Service) Receive(from string, nonce uint64, message any, size int) {
	switch m := message.(type) {
	case *CallReply:
		s.forwarder.deliver(from, m)
		return
	case *register.Hello:
		s.deliverHello(from, m, size)
		return
	}
	if s.proposer == nil {
		return
	}
	received := receivedMessage{from: replication.Replica{Address: from, Nonce: nonce}, message: message, size: size}
	switch message.(type) {
	case *register.Reply, *CallRequest:
		s.proposer.deliver(received)
	default:
		s.acceptor.deliver(received)
	}
}

func (s *Service) deliverHello(from string, hello *register.Hello, size int) {
	if s.proposer == nil {
		return
	}
	received := receivedMessage{from: replication.Replica{Address: from}, message: hello, size: size}
	s.proposer.deliver(received)
	if hello.Config.Epoch > s.acceptor.status().Config.Epoch {
		s.acceptor.deliver(received)
	}
}

// send sends a message to a machine, this one included.
func (s *Service) send(to string, nonce uint64, message any) {
	if to == s.options.Address {
		s.Receive(to, nonce, message, 0)
		return
	}
	s.options.Send(to, nonce, message)
}

// newNonce draws the nonce of a new acceptor identity. It is never 0, the nonce of the founders at the first start of the whole
// system.
func newNonce() uint64 { return rand.Uint64() | 1 }
