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

// Budget tracks the retry budgets of a sidecar's streams. A nil Budget tracks none: every stream may retry as the settings say.
type Budget struct {
	Log zerolog.Logger

	mu              sync.Mutex
	targetLatencies []time.Duration // by class: an answer within it counts as good
	tracker         *budget.Tracker
	start           time.Time
	loops           map[string]bool // that were logged
}

// NewBudget returns a Budget; seed is for the numbers of pools.
func NewBudget(s budget.Settings, seed uint64, targetLatencies []time.Duration, log zerolog.Logger) *Budget {
	return &Budget{
		targetLatencies: targetLatencies,
		Log:             log,
		tracker:         budget.NewTracker(s, seed),
		start:           time.Now(),
		loops:           map[string]bool{},
	}
}

// UpdateTargets takes over changed target latencies, by class.
func (b *Budget) UpdateTargets(targetLatencies []time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.targetLatencies = targetLatencies
}

// unlimited is the budget of a stream whose budget is not tracked.
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

// attemptRequest is a stream's request as one attempt takes it along.
type attemptRequest struct {
	*Request
	reportAttempt func(budget.AttemptReport) // takes in what the attempt's answer reports
}

func (b *Budget) send(r *budget.RequestBudget, req *Request, valueShare float64) attemptRequest {
	if b == nil {
		return attemptRequest{req, func(budget.AttemptReport) {}}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	carrying := *req
	header, n := b.tracker.NextAttempt(r, valueShare)
	carrying.Baggage = header
	return attemptRequest{&carrying, func(report budget.AttemptReport) {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.tracker.ReportAttempt(r, n, report)
	}}
}

// close ends a stream's budget, and puts the report for the tier above into the response.
func (b *Budget) close(r *budget.RequestBudget, req *Request, res *Response) {
	if b == nil {
		res.Report = budget.AttemptReport{}
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	good := res.Outcome == Served && req.Class < len(b.targetLatencies) && time.Since(req.Arrived) <= b.targetLatencies[req.Class]
	res.Report = b.tracker.Close(r, good)
}

// looped is the answer to a request that is in a loop. Each loop is logged once.
func (b *Budget) looped(r *budget.RequestBudget) Response {
	loop := strings.Join(r.Loop, " > ")
	if b.firstSeen(loop) {
		b.Log.Error().Str("loop", loop).Msg("a request has come through this service before")
	}
	return Response{Outcome: LoopDetected, Loop: loop}
}

// firstSeen reports whether a loop is to be logged.
func (b *Budget) firstSeen(loop string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.loops[loop] || len(b.loops) >= maxLoggedLoops {
		return false
	}
	b.loops[loop] = true
	return true
}
