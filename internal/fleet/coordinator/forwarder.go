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

// Errors returned by Service.Execute.
var (
	// ErrUnclear means that the outcome is unknown: the operation may have taken effect, or may still take effect. The
	// caller may repeat it, but the repetition is a new call: an increment may then be counted twice.
	ErrUnclear = errors.New("coordinator: the outcome is not known")
	// ErrOverloaded means that the operation was not executed and never will be: too many calls are queued for the name, or
	// there are too many registers to create another one.
	ErrOverloaded = errors.New("coordinator: too many calls wait for the name")
	// ErrNoProposer means that the operation was not executed and never will be: no core machine is known.
	ErrNoProposer = errors.New("coordinator: no core machine is known")
	// ErrResuming means that the operation was not executed and never will be: this process has just resumed after a pause.
	ErrResuming = errors.New("coordinator: the process was paused")
)

const (
	callTimeout        = 850 * time.Millisecond // of a call, plus its Park; applications fail over after 1 s without a response
	firstReplyTimeout  = 40 * time.Millisecond  // for any reply to the first copy, before the same proposer is sent another copy
	resendReplyTimeout = 60 * time.Millisecond  // for any reply to the last copy, before the next proposer is tried
	resultTimeout      = 350 * time.Millisecond // for the result, from a proposer that has replied that the call is in progress
	suspicionDuration  = 3 * time.Second        // for which a proposer that did not reply is tried last
)

// forwarder sends calls to proposers and matches their replies.
type forwarder struct {
	service *Service

	mu             sync.Mutex
	pending        map[uint64]chan proposerReply // by call ID
	suspectedUntil map[string]time.Duration      // by address of a proposer that did not reply: when its suspicion ends
	lastProcess    map[string]uint64             // by address of a proposer: CallReply.Process of its last reply
}

// proposerReply is a reply with its sender's address.
type proposerReply struct {
	proposer string
	*CallReply
}

const maxPendingReplies = 8 // replies to one call that are received but not handled yet; more are dropped

func (f *forwarder) init(s *Service) {
	f.service = s
	f.pending = map[uint64]chan proposerReply{}
	f.suspectedUntil = map[string]time.Duration{}
	f.lastProcess = map[string]uint64{}
}

func (f *forwarder) deliver(from string, reply *CallReply) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.suspectedUntil, from)
	f.lastProcess[from] = reply.Process
	if replies := f.pending[reply.ID]; replies != nil {
		select {
		case replies <- proposerReply{proposer: from, CallReply: reply}:
		default: // the buffer is full of replies to other copies of the call
		}
	}
}

// orderedProposers returns the addresses of the core machines in the order in which they are tried for a name: by rendezvous
// hashing, with suspected ones last.
func (f *forwarder) orderedProposers(name coordination.Name) []string {
	proposers := f.service.options.Proposers()
	weight := func(address string) uint64 { return xxhash.Sum64String(name.String() + "\x00" + address) }
	now := f.service.options.Clock()
	f.mu.Lock()
	defer f.mu.Unlock()
	suspected := func(address string) int {
		if now < f.suspectedUntil[address] {
			return 1
		}
		return 0
	}
	slices.SortFunc(proposers, func(a, b string) int {
		return cmp.Or(cmp.Compare(suspected(a), suspected(b)), cmp.Compare(weight(a), weight(b)))
	})
	return proposers
}

// lastProcessOf returns the process that sent the last reply from a proposer's address, or 0 if there was no reply.
func (f *forwarder) lastProcessOf(address string) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastProcess[address]
}

// suspect records that a proposer did not reply in the wait after the last copy, so that it is tried last for
// suspicionDuration.
func (f *forwarder) suspect(address string) {
	f.service.Counters.FailedOver.Add(1)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.suspectedUntil[address] = f.service.options.Clock() + suspicionDuration
}

// Execute has a proposer execute an operation and returns its result. park is the time for which a watch waits for events;
// the call takes at most callTimeout longer. Errors: ErrUnclear, ErrOverloaded, ErrNoProposer and ErrResuming.
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
		return coordination.Result{}, ErrResuming // the caller may already have failed over to another machine
	}
	proposers := f.orderedProposers(operation.Name)
	if len(proposers) == 0 {
		return coordination.Result{}, ErrNoProposer
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout+park)
	defer cancel()
	call := f.newCall(operation, park)
	defer f.removePendingCall(call.request.ID)
	for attempt := 0; ; attempt++ {
		call.proposer = proposers[attempt%len(proposers)]
		result, outcome := call.tryProposer(ctx)
		switch outcome {
		case answered:
			return result, nil
		case notExecuted:
			return coordination.Result{}, ErrOverloaded
		case outcomeUnclear:
			return coordination.Result{}, ErrUnclear
		case noReply:
			f.suspect(call.proposer)
		}
	}
}

// forwardedCall is a call that has been forwarded and has no result yet.
type forwardedCall struct {
	forwarder      *forwarder
	request        CallRequest
	deadline       time.Duration // by the service's clock, excluding request.Park
	replies        chan proposerReply
	proposer       string // address of the proposer that is being tried
	copiesSent     int    // to all proposers
	boundToProcess bool   // the last copy sent names the only process that may execute it (CallRequest.Process)
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

func (f *forwarder) removePendingCall(id uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.pending, id)
}

// attemptOutcome is the result of trying one proposer.
type attemptOutcome uint8

const (
	answered       attemptOutcome = iota + 1
	notExecuted                   // not executed by any proposer, and never will be
	noReply                       // no reply from the proposer in the wait after the last copy: fail over to the next one
	inProgress                    // the proposer is alive but sent no result in time: try the next proposer too
	outcomeUnclear                // the context has ended, or a reply leaves open whether a copy of the call takes effect
)

// tryProposer sends the call to the current proposer, and resends it if no result comes. If the proposer replies
// during the last wait, but without a result, tryProposer waits resultTimeout longer for the result. For a watch,
// the wait after the second copy is Park plus firstReplyTimeout, and a third copy is sent if it ends without a result.
func (c *forwardedCall) tryProposer(ctx context.Context) (coordination.Result, attemptOutcome) {
	replyTimeouts := []time.Duration{firstReplyTimeout, resendReplyTimeout}
	if c.request.Park > 0 {
		replyTimeouts = []time.Duration{firstReplyTimeout, c.request.Park + firstReplyTimeout, resendReplyTimeout}
	}
	outcome := noReply
	for _, replyTimeout := range replyTimeouts {
		c.send()
		var result coordination.Result
		if result, outcome = c.await(ctx, replyTimeout); outcome != noReply && outcome != inProgress {
			return result, outcome
		}
	}
	if outcome == noReply {
		return coordination.Result{}, noReply
	}
	result, outcome := c.await(ctx, resultTimeout)
	if outcome == noReply {
		outcome = inProgress
	}
	return result, outcome
}

// send sends a copy of the call to the current proposer.
func (c *forwardedCall) send() {
	c.copiesSent++
	request := c.request
	request.Timeout = max(0, c.deadline-c.forwarder.service.options.Clock())
	request.Process = c.forwarder.lastProcessOf(c.proposer)
	c.boundToProcess = request.Process != 0
	c.forwarder.service.send(c.proposer, 0, &request)
}

// await waits for a reply that decides the outcome. If none comes in time, the outcome is inProgress if the proposer has
// replied that the call is in progress, and noReply otherwise.
func (c *forwardedCall) await(ctx context.Context, replyTimeout time.Duration) (coordination.Result, attemptOutcome) {
	timer := time.NewTimer(replyTimeout)
	defer timer.Stop()
	isInProgress := false
	for {
		select {
		case <-ctx.Done():
			return coordination.Result{}, outcomeUnclear
		case reply := <-c.replies:
			if result, outcome := c.interpret(reply); outcome != noReply && outcome != inProgress {
				return result, outcome
			} else if outcome == inProgress {
				isInProgress = true
			}
		case <-timer.C:
			if isInProgress {
				return coordination.Result{}, inProgress
			}
			return coordination.Result{}, noReply
		}
	}
}

// interpret returns the outcome that a reply gives the call. It is noReply for a reply to be ignored: unless the call was
// decided, a reply of an earlier proposer says nothing about the current one, which may still execute the call.
func (c *forwardedCall) interpret(reply proposerReply) (coordination.Result, attemptOutcome) {
	switch {
	case reply.Certainty == register.Decided:
		return reply.Result, answered
	case reply.proposer != c.proposer:
		return coordination.Result{}, noReply
	case reply.Certainty == 0:
		return coordination.Result{}, inProgress
	case reply.Certainty == register.NotExecuted && c.copiesSent == 1 && c.boundToProcess:
		return coordination.Result{}, notExecuted
	}
	return coordination.Result{}, outcomeUnclear
}
