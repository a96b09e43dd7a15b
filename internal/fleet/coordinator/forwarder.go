package coordinator

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"pinelb.example/pinelb/internal/fleet/coordination"
	"pinelb.example/pinelb/internal/fleet/register"
)

// Errors of Execute.
var (
	// ErrUnclear says that the operation may have taken effect, or may yet. It may be repeated.
	ErrUnclear = errors.New("coordinator: the outcome is not known")
	// ErrOverloaded says that the operation was not executed, and never will be: too many wait for the name.
	ErrOverloaded = errors.New("coordinator: too many calls wait for the name")
	// ErrNoProposer says that the operation was not executed, and never will be: no core machine is known.
	ErrNoProposer = errors.New("coordinator: no core machine is known")
)

const (
	callTimeout    = 850 * time.Millisecond // of a call: applications turn elsewhere after a second of silence
	resendInterval = 90 * time.Millisecond  // before a proposer is sent the same again
	sendsEach      = 2                      // copies that a proposer is sent before the next one is asked
	suspicionTime  = 1500 * time.Millisecond
)

// forwarder sends calls to proposers.
type forwarder struct {
	service *Service

	mu       sync.Mutex
	pending  map[uint64]chan *CallReply
	suspects map[string]time.Duration // proposers that did not answer: until when others are asked first
}

func (f *forwarder) init(s *Service) {
	f.service = s
	f.pending = map[uint64]chan *CallReply{}
	f.suspects = map[string]time.Duration{}
}

func (f *forwarder) deliver(from string, reply *CallReply) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.suspects, from)
	if replies := f.pending[reply.ID]; replies != nil {
		select {
		case replies <- reply:
		default: // the call is answered already
		}
	}
}

// proposersOf returns the core machines in the order in which they are asked for a name: by rendezvous hashing, those that did not answer
// lately last.
func (f *forwarder) proposersOf(name coordination.Name) []string {
	proposers := f.service.options.Proposers()
	weight := func(address string) uint64 { return xxhash.Sum64String(name.String() + "\x00" + address) }
	now := f.service.options.Clock()
	f.mu.Lock()
	defer f.mu.Unlock()
	suspected := func(address string) int {
		if now < f.suspects[address] {
			return 1
		}
		return 0
	}
	slices.SortFunc(proposers, func(a, b string) int {
		return cmp.Or(cmp.Compare(suspected(a), suspected(b)), cmp.Compare(weight(a), weight(b)))
	})
	return proposers
}

func (f *forwarder) suspect(address string) {
	f.service.Counters.FailedOver.Add(1)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.suspects[address] = f.service.options.Clock() + suspicionTime
}

// Execute has an operation executed. park is how long a watch waits for events. Errors: ErrUnclear, ErrOverloaded, ErrNoProposer.
func (s *Service) Execute(ctx context.Context, operation *coordination.Operation, park time.Duration) (coordination.Result, error) {
	s.Counters.Calls.Add(1)
	result, err := s.forwarder.execute(ctx, operation, park)
	switch {
	case errors.Is(err, ErrUnclear):
		s.Counters.Unclear.Add(1)
	case err != nil:
		s.Counters.Refused.Add(1)
	}
	return result, err
}

func (f *forwarder) execute(ctx context.Context, operation *coordination.Operation, park time.Duration) (coordination.Result, error) {
	proposers := f.proposersOf(operation.Name)
	if len(proposers) == 0 {
		return coordination.Result{}, ErrNoProposer
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout+park)
	defer cancel()
	request := &CallRequest{ID: rand.Uint64(), Operation: *operation, Timeout: callTimeout, Park: park}
	replies := f.open(request.ID)
	defer f.close(request.ID)
	for attempt := 0; ; attempt++ {
		proposer := proposers[attempt%len(proposers)]
		result, outcome := f.ask(ctx, proposer, request, replies)
		switch outcome {
		case answered:
			return result, nil
		case notExecuted:
			if attempt == 0 {
				return coordination.Result{}, ErrOverloaded
			}
			return coordination.Result{}, ErrUnclear // an earlier proposer may have executed it
		case gaveUp:
			return coordination.Result{}, ErrUnclear
		}
		f.suspect(proposer)
	}
}

func (f *forwarder) open(id uint64) chan *CallReply {
	replies := make(chan *CallReply, 1)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pending[id] = replies
	return replies
}

func (f *forwarder) close(id uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.pending, id)
}

// askOutcome is how the asking of one proposer ended.
type askOutcome uint8

const (
	answered    askOutcome = iota + 1
	notExecuted            // by this proposer
	silent                 // ask the next one
	gaveUp                 // the call's time is over, or its outcome is unclear
)

// ask sends a call to a proposer, and waits for as long as a proposer that is alive may take.
func (f *forwarder) ask(ctx context.Context, proposer string, request *CallRequest, replies chan *CallReply) (coordination.Result, askOutcome) {
	for sent := 1; ; sent++ {
		f.service.send(proposer, 0, request)
		wait := resendInterval
		if sent == sendsEach {
			wait += request.Park
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return coordination.Result{}, gaveUp
		case reply := <-replies:
			timer.Stop()
			return interpret(reply)
		case <-timer.C:
		}
		if sent == sendsEach {
			return coordination.Result{}, silent
		}
	}
}

func interpret(reply *CallReply) (coordination.Result, askOutcome) {
	switch reply.Certainty {
	case register.Decided:
		return reply.Result, answered
	case register.NotExecuted:
		return coordination.Result{}, notExecuted
	}
	return coordination.Result{}, gaveUp
}
