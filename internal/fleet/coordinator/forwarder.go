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
	// ErrOverloaded says that the operation was not executed, and never will be: too many wait for the name, or there are too many names.
	ErrOverloaded = errors.New("coordinator: too many calls wait for the name")
	// ErrNoProposer says that the operation was not executed, and never will be: no core machine is known.
	ErrNoProposer = errors.New("coordinator: no core machine is known")
	// ErrResuming says that the operation was not executed, and never will be: this process has just come out of a pause.
	ErrResuming = errors.New("coordinator: the process was paused")
)

const (
	callTimeout   = 850 * time.Millisecond // of a call: applications turn elsewhere after a second of silence
	firstWait     = 40 * time.Millisecond  // for any answer, before a proposer is sent a copy
	silenceWait   = 60 * time.Millisecond  // for any answer to the copy, before the next proposer is asked
	workingWait   = 350 * time.Millisecond // for the result, from a proposer that says that it works on the call
	suspicionTime = 3 * time.Second        // for which one that did not answer is asked last
)

// forwarder sends calls to proposers.
type forwarder struct {
	service *Service

	mu       sync.Mutex
	pending  map[uint64]chan proposerReply
	suspects map[string]time.Duration // proposers that did not answer: until when others are asked first
	process  map[string]uint64        // of each proposer's machine, as it answered last
}

// proposerReply is a reply and who sent it.
type proposerReply struct {
	proposer string
	*CallReply
}

const maxPendingReplies = 8 // to one call

func (f *forwarder) init(s *Service) {
	f.service = s
	f.pending = map[uint64]chan proposerReply{}
	f.suspects = map[string]time.Duration{}
	f.process = map[string]uint64{}
}

func (f *forwarder) deliver(from string, reply *CallReply) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.suspects, from)
	f.process[from] = reply.Process
	if replies := f.pending[reply.ID]; replies != nil {
		select {
		case replies <- proposerReply{proposer: from, CallReply: reply}:
		default: // more copies are answered than were sent lately
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

// processOf returns the process that answered last at a proposer's address; 0: none has.
func (f *forwarder) processOf(address string) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.process[address]
}

func (f *forwarder) suspect(address string) {
	f.service.Counters.FailedOver.Add(1)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.suspects[address] = f.service.options.Clock() + suspicionTime
}

// Execute has an operation executed. park is how long a watch waits for events. Errors: ErrUnclear, ErrOverloaded, ErrNoProposer and
// ErrResuming.
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
	if f.service.IsResuming() {
		return coordination.Result{}, ErrResuming // its caller may have turned elsewhere
	}
	proposers := f.proposersOf(operation.Name)
	if len(proposers) == 0 {
		return coordination.Result{}, ErrNoProposer
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout+park)
	defer cancel()
	call := f.newCall(operation, park)
	defer f.close(call.request.ID)
	for attempt := 0; ; attempt++ {
		call.proposer = proposers[attempt%len(proposers)]
		result, outcome := call.ask(ctx)
		switch outcome {
		case answered:
			return result, nil
		case notExecuted:
			return coordination.Result{}, ErrOverloaded
		case gaveUp:
			return coordination.Result{}, ErrUnclear
		case silent:
			f.suspect(call.proposer)
		}
	}
}

// forwardedCall is a call on its way.
type forwardedCall struct {
	forwarder *forwarder
	request   CallRequest
	deadline  time.Duration
	replies   chan proposerReply
	proposer  string // that is asked now
	sent      int    // copies, to all proposers
	bound     bool   // the last copy is for one process alone: what that refuses, no later one executes
}

func (f *forwarder) newCall(operation *coordination.Operation, park time.Duration) *forwardedCall {
	call := &forwardedCall{
		forwarder: f, deadline: f.service.options.Clock() + callTimeout, replies: make(chan proposerReply, maxPendingReplies),
		request: CallRequest{ID: rand.Uint64(), Operation: *operation, Park: park},
	}
	call.request.Operation.CallID = call.request.ID
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pending[call.request.ID] = call.replies
	return call
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
	notExecuted            // nowhere, and never will be
	silent                 // no answer of any kind: ask the next one
	busy                   // it works on the call and takes long: ask the next one too
	gaveUp                 // the call's time is over, or its outcome is unclear
)

// ask sends the call to a proposer, and waits for as long as one that is alive may take.
func (c *forwardedCall) ask(ctx context.Context) (coordination.Result, askOutcome) {
	waits := []time.Duration{firstWait, silenceWait}
	if c.request.Park > 0 {
		waits = []time.Duration{firstWait, c.request.Park + firstWait, silenceWait}
	}
	outcome := silent
	for _, wait := range waits {
		c.send()
		var result coordination.Result
		if result, outcome = c.await(ctx, wait); outcome != silent && outcome != busy {
			return result, outcome
		}
	}
	if outcome == silent {
		return coordination.Result{}, silent
	}
	result, outcome := c.await(ctx, workingWait)
	if outcome == silent {
		outcome = busy
	}
	return result, outcome
}

// send sends a copy of the call.
func (c *forwardedCall) send() {
	c.sent++
	request := c.request
	request.Timeout = max(0, c.deadline-c.forwarder.service.options.Clock())
	request.Process = c.forwarder.processOf(c.proposer)
	c.bound = request.Process != 0
	c.forwarder.service.send(c.proposer, 0, &request)
}

// await waits for a reply. The outcome is silent where none comes in time, and busy where the proposer says that it works on the call.
func (c *forwardedCall) await(ctx context.Context, wait time.Duration) (coordination.Result, askOutcome) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	isWorking := false
	for {
		select {
		case <-ctx.Done():
			return coordination.Result{}, gaveUp
		case reply := <-c.replies:
			if result, outcome := c.interpret(reply); outcome != silent && outcome != busy {
				return result, outcome
			} else if outcome == busy {
				isWorking = true
			}
		case <-timer.C:
			if isWorking {
				return coordination.Result{}, busy
			}
			return coordination.Result{}, silent
		}
	}
}

// interpret says what a reply means for the call; silent: nothing. What a former proposer could not do, the present one may.
func (c *forwardedCall) interpret(reply proposerReply) (coordination.Result, askOutcome) {
	switch {
	case reply.Certainty == register.Decided:
		return reply.Result, answered
	case reply.proposer != c.proposer:
		return coordination.Result{}, silent
	case reply.Certainty == 0:
		return coordination.Result{}, busy
	case reply.Certainty == register.NotExecuted && c.sent == 1 && c.bound:
		return coordination.Result{}, notExecuted
	}
	return coordination.Result{}, gaveUp
}
