package stream

import (
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"pinelb.example/pinelb/internal/budget"
)

// loopsTold is how many different loops are logged, each once.
const loopsTold = 64

// Budget keeps a sidecar's accounts in step with its streams. Nil keeps none: every stream may do as the settings say.
type Budget struct {
	Log zerolog.Logger

	mu       sync.Mutex
	aims     []time.Duration // of the classes: what is answered within them has ended well
	accounts *budget.Tracker
	start    time.Time
	loops    map[string]bool
}

// NewBudget returns a budget whose accounts are kept by s.
func NewBudget(s budget.Settings, seed uint64, aims []time.Duration, log zerolog.Logger) *Budget {
	return &Budget{aims: aims, Log: log, accounts: budget.NewTracker(s, seed), start: time.Now(), loops: map[string]bool{}}
}

// Retune takes over changed aims.
func (b *Budget) Retune(aims []time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.aims = aims
}

// unbound is the account of a stream of which no accounts are kept.
var unbound budget.RequestBudget

func (b *Budget) open(req *Request) *budget.RequestBudget {
	if b == nil {
		req.Baggage = "" // what a caller carries goes no further than where it is read
		return &unbound
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.accounts.Open(time.Since(b.start), req.Deadline.Sub(b.start), req.Baggage, req.Repeated)
}

// sent is a stream's request as one attempt takes it along.
type sent struct {
	*Request
	ended func(budget.AttemptReport) // tells the accounts what the attempt's answer says
}

func (b *Budget) send(a *budget.RequestBudget, req *Request, worth float64) sent {
	if b == nil {
		return sent{req, func(budget.AttemptReport) {}}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	with := *req
	header, n := b.accounts.NextAttempt(a, worth)
	with.Baggage = header
	return sent{&with, func(t budget.AttemptReport) {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.accounts.ReportAttempt(a, n, t)
	}}
}

// close ends a stream's account, and tells the tier above what it took.
func (b *Budget) close(a *budget.RequestBudget, req *Request, res *Response) {
	if b == nil {
		res.Tried = budget.AttemptReport{}
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	good := res.Outcome == Served && req.Class < len(b.aims) && time.Since(req.Arrived) <= b.aims[req.Class]
	res.Tried = b.accounts.Close(a, good)
}

// looped is the answer to a request that has been here before. Each loop is logged once.
func (b *Budget) looped(a *budget.RequestBudget) Response {
	loop := strings.Join(a.Loop, " > ")
	b.mu.Lock()
	told := b.loops[loop] || len(b.loops) >= loopsTold
	if !told {
		b.loops[loop] = true
	}
	b.mu.Unlock()
	if !told {
		b.Log.Error().Str("loop", loop).Msg("a request has come through this service before")
	}
	return Response{Outcome: Looped, Loop: loop}
}
