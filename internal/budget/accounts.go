package budget

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Settings are what one sidecar's accounts are kept by.
type Settings struct {
	Service   string // that this sidecar sends to
	Edge      bool   // its callers are outside: nothing that they carry is believed
	Leaf      bool   // the service calls no other
	Instances int    // of its tier
	Attempts  int    // beyond the first that a try of a client may cause, 0 to Most
	Reentry   int    // how often a request may have been at the service before
}

// Accounts are one sidecar's: its retry budget, and the pots that its callers brought. They are not safe for concurrent use.
type Accounts struct {
	set     Settings
	retries *RetryBudget
	shared  *SharedAccounts
	rng     *rand.Rand
}

// NewAccounts returns accounts that nothing has been entered in.
func NewAccounts(s Settings, seed uint64) *Accounts {
	return &Accounts{s, NewRetryBudget(s.Instances), NewSharedAccounts(), rand.New(rand.NewPCG(seed, 0xb0b0))}
}

// Account is one request's.
type Account struct {
	Loop []string // the services that it has come to, if this one is among them too often: it may cause nothing

	share    *Share
	granted  int
	most     int
	pot      uint64 // that granted it; 0: the retry budget
	worth    float64
	repeat   bool
	path     []string
	rest     string // of the caller's baggage
	attempts int
}

// Open is a request's arrival, with the header "baggage" that it came with. Repeated is its client's own mark, and until
// when its caller waits.
func (b *Accounts) Open(now, until time.Duration, header string, repeated bool) *Account {
	c, rest, ok := Split(header)
	a := &Account{rest: rest, worth: 1, share: NewShare(0, true)}
	switch {
	case ok && !b.set.Edge:
		if a.path, a.worth = c.Path, c.Worth; Path(c.Path, b.set.Service, b.set.Reentry) {
			a.Loop = append(slices.Clone(c.Path), b.set.Service)
			return a
		}
		a.pot = max(1, c.Pot)
		a.granted, a.most = b.shared.Open(now, until, a.pot, c.Extra), 1
	case repeated:
		a.repeat = true
		if a.granted, ok = b.retries.Repeat(b.set.Attempts); !ok {
			a.most = -1
			return a
		}
	default:
		a.granted = b.retries.First(b.set.Attempts)
	}
	a.share = NewShare(a.granted, b.set.Leaf)
	a.most = Attempts(a.granted, b.set.Leaf)
	return a
}

// Most is how many attempts the request may make here; below 0 is none.
func (a *Account) Most() int { return a.most }

// Worth is what the request is worth of its class's worth, as the tier above had it.
func (a *Account) Worth() float64 { return a.worth }

// Send is the header "baggage" of the next attempt, and its number from 0 on; worth is what the decisions here make of the
// request's worth.
func (b *Accounts) Send(a *Account, worth float64) (header string, n int) {
	extra, _ := a.share.Attempt() // one that was not foreseen takes nothing along
	a.attempts++
	c := Carried{Pot: b.rng.Uint64() | 1, Extra: extra, Worth: worth, Path: With(a.path, b.set.Service)}
	return c.Join(a.rest), a.attempts - 1
}

// Ended is the end of an attempt, with what its answer says of what it took. After Close it changes nothing.
func (b *Accounts) Ended(a *Account, n int, t Tried) { a.share.Ended(n, t) }

// Close is a request's end. Good is an answer within its aim. It returns what the caller is to be told: nothing of a
// failure without an attempt, for somebody else may have room.
func (b *Accounts) Close(a *Account, good bool) Tried {
	t := Tried{good || a.attempts > 0 || a.Loop != nil, a.granted - a.share.Unused()}
	switch {
	case a.Loop != nil || a.most < 0:
	case a.pot != 0:
		b.shared.Close(a.pot, a.share.Unused())
	default:
		b.retries.Ended(t.Extra, a.repeat, good)
	}
	return t
}
