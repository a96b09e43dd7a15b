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
)

const inboxSize = 1024 // messages; more are dropped, and sent again by the protocol

// Options are a service's surroundings.
type Options struct {
	Address   string   // internal, of this machine
	Zone      string   // of this machine
	Region    string   // of this machine
	Directory string   // empty: no disk
	Founders  []string // addresses of the first acceptors, at the first start of the whole system; else none
	Core      bool     // this machine has an acceptor and a proposer
	Votes     bool     // this machine counts for the quorum
	Tolerance replication.Tolerance
	State     coordination.Options
	Peers     func() []string // internal addresses of the other core machines, alive or not
	Proposers func() []string // internal addresses of the core machines that are alive, this one included where it is one
	Leaving   func() bool     // this machine shuts down
	Send      func(to string, nonce uint64, message any)
	Clock     func() time.Duration // monotonic
	Log       *zap.Logger          // nil: no log
}

// Counters count since the start.
type Counters struct {
	Calls        atomic.Uint64 // that this machine took from applications
	Unclear      atomic.Uint64 // of them: whose outcome is not known
	Refused      atomic.Uint64 // of them: that were not executed
	FailedOver   atomic.Uint64 // times that another proposer was asked because the one before did not answer
	Duplicates   atomic.Uint64 // calls that came to the proposer again
	Dropped      atomic.Uint64 // messages that found an inbox full
	Syncs        atomic.Uint64 // writes of the acceptor
	FailedSyncs  atomic.Uint64 // writes of the acceptor that failed
	ExpiredLocks atomic.Uint64 // locks that this proposer gave to another because their holder\'s time had run out
}

// Service is one machine's part of the coordination service. Its methods may be called by any goroutine.
type Service struct {
	Counters Counters

	options   Options
	forwarder forwarder
	acceptor  *acceptorLoop // nil unless this is a core machine
	proposer  *proposerLoop // nil unless this is a core machine
	pauses    pauseDetector
	cancel    context.CancelFunc
	tasks     sync.WaitGroup
}

// Start reads the disk and starts the service; Close ends it.
func Start(options Options) (*Service, error) {
	if options.Log == nil {
		options.Log = zap.NewNop()
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Service{options: options, cancel: cancel}
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

// Tick is called at least every 100 ms while the process runs, so that a pause of the process is noticed: from the first call on.
func (s *Service) Tick() { s.pauses.tick(s.options.Clock()) }

// IsResuming reports whether the process has just come out of a pause: what it reads now may have waited in its sockets all the while.
func (s *Service) IsResuming() bool { return s.pauses.isResuming(s.options.Clock()) }

// Close ends the service and closes its files. Calls that are under way end with their context.
func (s *Service) Close() {
	s.cancel()
	s.tasks.Wait()
}

// Receive hands over a message of another machine's service, without waiting. The pointers are those of register.Outgoing, *CallRequest and
// *CallReply.
func (s *Service) Receive(from string, nonce uint64, message any) {
	switch m := message.(type) {
	case *CallReply:
		s.forwarder.deliver(from, m)
		return
	case *register.Hello:
		s.deliverHello(from, m)
		return
	}
	if s.proposer == nil {
		return
	}
	sender := replication.Replica{Address: from, Nonce: nonce}
	switch m := message.(type) {
	case *register.Reply, *CallRequest:
		s.proposer.deliver(sender, m)
	default:
		s.acceptor.deliver(sender, m)
	}
}

func (s *Service) deliverHello(from string, hello *register.Hello) {
	if s.proposer == nil {
		return
	}
	sender := replication.Replica{Address: from}
	s.proposer.deliver(sender, hello)
	if hello.Config.Epoch > s.acceptor.status().Config.Epoch {
		s.acceptor.deliver(sender, hello)
	}
}

// send sends a message to a machine, this one included.
func (s *Service) send(to string, nonce uint64, message any) {
	if to == s.options.Address {
		s.Receive(to, nonce, message)
		return
	}
	s.options.Send(to, nonce, message)
}

// received is a message with its sender.
type receivedMessage struct {
	from    replication.Replica
	message any
}

// enqueue puts a message into an inbox, or drops it where that is full.
func (s *Service) enqueue(inbox chan receivedMessage, from replication.Replica, message any) {
	select {
	case inbox <- receivedMessage{from: from, message: message}:
	default:
		s.Counters.Dropped.Add(1)
	}
}

// newNonce draws the nonce of a new identity; 0 is that of the first start of the whole system.
func newNonce() uint64 { return rand.Uint64() | 1 }
