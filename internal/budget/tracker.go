package budget

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Settings configure a Tracker.
type Settings struct {
	Service          string // name of the service that this sidecar sends to
	Edge             bool   // its callers are outside the fleet, so their grants are not trusted
	Leaf             bool   // the service calls no other service
	Instances        int    // number of sidecars of its tier
	MaxExtraAttempts int    // attempts beyond the first that a client's attempt may cause, 0 to the constant MaxExtraAttempts
	MaxReentries     int    // how often a request may already have passed the service
}

// Tracker tracks the budgets of one sidecar: its retry budget, and the pools of its callers.
type Tracker struct {
	settings Settings
	retries  *RetryBudget
	shared   *SharedPools
	rng      *rand.Rand
}

// NewTracker returns a tracker without requests. seed is the seed of the random pool numbers.
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
	Loop []string // the services that the request has passed if it is in a loop, in which case no attempt may be made

	allowance    *Allowance
	granted      int
	maxAttempts  int
	poolID       uint64 // pool that granted the extra attempts; 0: the retry budget did
	valueShare   float64
	clientRetry  bool
	path         []string
	otherBaggage string // other members of the caller's baggage
	attempts     int
}

// Open returns the budget of a request that arrives at now. header is its header "baggage", deadline the time until
// which its caller waits, and clientRetry whether its client marked it as a retry.
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

// MaxAttempts returns the number of attempts that may be made for the request here; a negative number means none.
func (r *RequestBudget) MaxAttempts() int { return r.maxAttempts }

// ValueShare returns the request's share of its class's value, as set by the tier above, or 1 if the request came without
// a trusted grant. Package balance treats 0 as not set.
func (r *RequestBudget) ValueShare() float64 { return r.valueShare }

// NextAttempt starts the request's next attempt and returns its header "baggage" and its number, counted from 0.
// valueShare is the request's share of its class's value by the decisions of this sidecar.
func (t *Tracker) NextAttempt(r *RequestBudget, valueShare float64) (header string, n int) {
	extra, _ := r.allowance.NextAttempt() // an attempt beyond the allowance passes no extra attempts down
	r.attempts++
	grant := Grant{
		PoolID:        t.rng.Uint64() | 1,
		ExtraAttempts: extra,
		ValueShare:    valueShare,
		Path:          AppendService(r.path, t.settings.Service),
	}
	return grant.Join(r.otherBaggage), r.attempts - 1
}

// ReportAttempt records the end of attempt n with the report of its answer. It has no effect after Close.
func (t *Tracker) ReportAttempt(r *RequestBudget, n int, report AttemptReport) {
	r.allowance.ReturnUnused(n, report)
}

// Close records the end of a request and returns the report for its caller. good means an answer within its target
// latency. A failure without any attempt reports nothing, because another instance may have capacity for a retry.
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
