package stream

import (
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"pinelb.example/pinelb/internal/budget"
)

// maxLoggedLoops is how many different loops are logged, each once.
const maxLoggedLoops = 64

// Budget keeps a sidecar's accounts in step with its streams. Nil keeps none: every stream may do as the settings say.
type Budget struct {
	Log zerolog.Logger

	mu              sync.Mutex
	targetLatencies []time.Duration // of the classes: what is answered within them has ended well
	tracker         *budget.Tracker
	start           time.Time
	loops           map[string]bool
}

// NewBudget returns a budget whose accounts are kept by s.
func NewBudget(s budget.Settings, seed uint64, aims []time.Duration, log zerolog.Logger) *Budget {
	return &Budget{targetLatencies: aims, Log: log, tracker: budget.NewTracker(s, seed), start: time.Now(), loops: map[string]bool{}}
}

// UpdateTargets takes over changed aims.
func (b *Budget) UpdateTargets(aims []time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.targetLatencies = aims
}

// unbound is the account of a stream of which no accounts are kept.
var unlimited budget.RequestBudget

func (b *Budget) open(req *Request) *budget.RequestBudget {
	if b == nil {
		req.Baggage = "" // what a caller carries goes no further than where it is read
		return &unlimited
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tracker.Open(time.Since(b.start), req.Deadline.Sub(b.start), req.Baggage, req.ClientRetry)
}

// sent is a stream's request as one attempt takes it along.
type attemptRequest struct {
	*Request
	reportAttempt func(budget.AttemptReport) // tells the accounts what the attempt's answer says
}

func (b *Budget) send(a *budget.RequestBudget, req *Request, worth float64) attemptRequest {
	if b == nil {
		return attemptRequest{req, func(budget.AttemptReport) {}}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	with := *req
	header, n := b.tracker.NextAttempt(a, worth)
	with.Baggage = header
	return attemptRequest{&with, func(t budget.AttemptReport) {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.tracker.ReportAttempt(a, n, t)
	}}
}

// close ends a stream's account, and tells the tier above what it took.
func (b *Budget) close(a *budget.RequestBudget, req *Request, res *Response) {
	if b == nil {
		res.Report = budget.AttemptReport{}
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	good := res.Outcome == Served && req.Class < len(b.targetLatencies) && time.Since(req.Arrived) <= b.targetLatencies[req.Class]
	res.Report = b.tracker.Close(a, good)
}

// looped is the answer to a request that has been here before. Each loop is logged once.
func (b *Budget) looped(a *budget.RequestBudget) Response {
	loop := strings.Join(a.Loop, " > ")
	b.mu.Lock()
	told := b.loops[loop] || len(b.loops) >= maxLoggedLoops
	if !told {
		b.loops[loop] = true
	}
	b.mu.Unlock()
	if !told {
		b.Log.Error().Str("loop", loop).Msg("a request has come through this service before")
	}
	return Response{Outcome: LoopDetected, Loop: loop}
}
