package budget

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Settings are what one sidecar's accounts are kept by.
type Settings struct {
	Service      string // that this sidecar sends to
	Edge         bool   // its callers are outside: nothing that they carry is believed
	Leaf         bool   // the service calls no other
	Instances    int    // of its tier
	MaxExtra     int    // beyond the first that a try of a client may cause, 0 to Most
	MaxReentries int    // how often a request may have been at the service before
}

// Tracker are one sidecar's: its retry budget, and the pots that its callers brought. They are not safe for concurrent use.
type Tracker struct {
	settings Settings
	retries  *RetryBudget
	shared   *SharedPools
	rng      *rand.Rand
}

// NewTracker returns accounts that nothing has been entered in.
func NewTracker(s Settings, seed uint64) *Tracker {
	return &Tracker{s, NewRetryBudget(s.Instances), NewSharedPools(), rand.New(rand.NewPCG(seed, 0xb0b0))}
}

// RequestBudget is one request's.
type RequestBudget struct {
	Loop []string // the services that it has come to, if this one is among them too often: it may cause nothing

	allowance    *Allowance
	granted      int
	maxAttempts  int
	poolID       uint64 // that granted it; 0: the retry budget
	valueShare   float64
	clientRetry  bool
	path         []string
	otherBaggage string // of the caller's baggage
	attempts     int
}

// Open is a request's arrival, with the header "baggage" that it came with. Repeated is its client's own mark, and until
// when its caller waits.
func (b *Tracker) Open(now, until time.Duration, header string, repeated bool) *RequestBudget {
	c, rest, ok := Split(header)
	a := &RequestBudget{otherBaggage: rest, valueShare: 1, allowance: NewAllowance(0, true)}
	switch {
	case ok && !b.settings.Edge:
		if a.path, a.valueShare = c.Path, c.ValueShare; HasLoop(c.Path, b.settings.Service, b.settings.MaxReentries) {
			a.Loop = append(slices.Clone(c.Path), b.settings.Service)
			return a
		}
		a.poolID = max(1, c.PoolID)
		a.granted, a.maxAttempts = b.shared.Open(now, until, a.poolID, c.Extra), 1
	case repeated:
		a.clientRetry = true
		if a.granted, ok = b.retries.GrantRetry(b.settings.MaxExtra); !ok {
			a.maxAttempts = -1
			return a
		}
	default:
		a.granted = b.retries.GrantFirst(b.settings.MaxExtra)
	}
	a.allowance = NewAllowance(a.granted, b.settings.Leaf)
	a.maxAttempts = MaxAttempts(a.granted, b.settings.Leaf)
	return a
}

// MaxExtra is how many attempts the request may make here; below 0 is none.
func (a *RequestBudget) MaxAttempts() int { return a.maxAttempts }

// ValueShare is what the request is worth of its class's worth, as the tier above had it.
func (a *RequestBudget) ValueShare() float64 { return a.valueShare }

// NextAttempt is the header "baggage" of the next attempt, and its number from 0 on; worth is what the decisions here make of the
// request's worth.
func (b *Tracker) NextAttempt(a *RequestBudget, worth float64) (header string, n int) {
	extra, _ := a.allowance.NextAttempt() // one that was not foreseen takes nothing along
	a.attempts++
	c := Grant{PoolID: b.rng.Uint64() | 1, Extra: extra, ValueShare: worth, Path: AppendService(a.path, b.settings.Service)}
	return c.Join(a.otherBaggage), a.attempts - 1
}

// ReturnUnused is the end of an attempt, with what its answer says of what it took. After Close it changes nothing.
func (b *Tracker) ReportAttempt(a *RequestBudget, n int, t AttemptReport) {
	a.allowance.ReturnUnused(n, t)
}

// Close is a request's end. Good is an answer within its aim. It returns what the caller is to be told: nothing of a
// failure without an attempt, for somebody else may have room.
func (b *Tracker) Close(a *RequestBudget, good bool) AttemptReport {
	t := AttemptReport{good || a.attempts > 0 || a.Loop != nil, a.granted - a.allowance.Unused()}
	switch {
	case a.Loop != nil || a.maxAttempts < 0:
	case a.poolID != 0:
		b.shared.Close(a.poolID, a.allowance.Unused())
	default:
		b.retries.Finish(t.Extra, a.clientRetry, good)
	}
	return t
}
