package budget

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Settings configure a Tracker.
type Settings struct {
	Service          string // that this sidecar sends to
	Edge             bool   // its callers are outside: grants that they carry are not trusted
	Leaf             bool   // the service calls no other
	Instances        int    // of its tier
	MaxExtraAttempts int    // attempts beyond the first that a client's attempt may cause, 0 to the constant MaxExtra
	MaxReentries     int    // how often a request may have been at the service before
}

// Tracker tracks the budgets of one sidecar: its retry budget, and the pools that its callers brought.
type Tracker struct {
	settings Settings
	retries  *RetryBudget
	shared   *SharedPools
	rng      *rand.Rand
}

// NewTracker returns a tracker that knows no requests; seed is for the numbers of pools.
func NewTracker(s Settings, seed uint64) *Tracker {
	return &Tracker{
		settings: s,
		retries:  NewRetryBudget(s.Instances),
		shared:   NewSharedPools(),
		rng:      rand.New(rand.NewPCG(seed, 0xb0b0)),
	}
}

// RequestBudget is the budget of one request.
type RequestBudget struct {
	Loop []string // the services that it has come through, if it is in a loop: it may make no attempt

	allowance    *Allowance
	granted      int
	maxAttempts  int
	poolID       uint64 // that granted it; 0: the retry budget
	valueShare   float64
	clientRetry  bool
	path         []string
	otherBaggage string // of the caller's
	attempts     int
}

// Open takes in a request's arrival at a time now, with the header "baggage" that it came with. ClientRetry is its client's own
// mark, and until deadline its caller waits.
func (t *Tracker) Open(now, deadline time.Duration, header string, clientRetry bool) *RequestBudget {
	grant, rest, ok := Split(header)
	r := &RequestBudget{otherBaggage: rest, valueShare: 1, allowance: NewAllowance(0, true)}
	switch {
	case ok && !t.settings.Edge:
		r.path = grant.Path
		r.valueShare = grant.ValueShare
		if HasLoop(grant.Path, t.settings.Service, t.settings.MaxReentries) {
			r.Loop = append(slices.Clone(grant.Path), t.settings.Service)
			return r
		}
		r.poolID = max(1, grant.PoolID)
		r.granted = t.shared.Open(now, deadline, r.poolID, grant.ExtraAttempts)
	case clientRetry:
		r.clientRetry = true
		if r.granted, ok = t.retries.GrantRetry(t.settings.MaxExtraAttempts); !ok {
			r.maxAttempts = -1
			return r
		}
	default:
		r.granted = t.retries.GrantFirst(t.settings.MaxExtraAttempts)
	}
	r.allowance = NewAllowance(r.granted, t.settings.Leaf)
	r.maxAttempts = MaxAttempts(r.granted, t.settings.Leaf)
	return r
}

// MaxAttempts is how many attempts the request may make here; below 0 is none.
func (r *RequestBudget) MaxAttempts() int { return r.maxAttempts }

// ValueShare is the share of its class's value that the tier above gave the request; 0 is none stated.
func (r *RequestBudget) ValueShare() float64 { return r.valueShare }

// NextAttempt is the header "baggage" of the next attempt, and its number from 0 on. ValueShare is the request's as the
// decisions here have it.
func (t *Tracker) NextAttempt(r *RequestBudget, valueShare float64) (header string, n int) {
	extra, _ := r.allowance.NextAttempt() // an attempt that was not foreseen takes nothing along
	r.attempts++
	grant := Grant{
		PoolID:        t.rng.Uint64() | 1,
		ExtraAttempts: extra,
		ValueShare:    valueShare,
		Path:          AppendService(r.path, t.settings.Service),
	}
	return grant.Join(r.otherBaggage), r.attempts - 1
}

// ReportAttempt takes in the end of an attempt, with what its answer reports. After Close it changes nothing.
func (t *Tracker) ReportAttempt(r *RequestBudget, n int, report AttemptReport) {
	r.allowance.ReturnUnused(n, report)
}

// Close takes in a request's end. Good is an answer within its target latency. It returns the report for the caller, which is
// empty for a failure without an attempt, for another instance may have capacity.
func (t *Tracker) Close(r *RequestBudget, good bool) AttemptReport {
	report := AttemptReport{
		Known:         good || r.attempts > 0 || r.Loop != nil,
		ExtraAttempts: r.granted - r.allowance.Unused(),
	}
	switch {
	case r.Loop != nil || r.maxAttempts < 0:
	case r.poolID != 0:
		t.shared.Close(r.poolID, r.allowance.Unused())
	default:
		t.retries.Finish(report.ExtraAttempts, r.clientRetry, good)
	}
	return report
}
