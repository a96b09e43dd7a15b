// Package retry bounds the retries and hedged requests that routers send: a token bucket for each service, to which each
// request of a client adds a part of a token and from which each retry takes one. This is the retry budget of Finagle
// (com.twitter.finagle.service.RetryBudget), with tokens at the start in place of its minimum of retries a second, and a
// small bucket in place of its expiry of tokens.
//
// Each router has budgets of its own, which it fills by the requests that it gets itself, so that no agreement among routers
// is needed. The package is pure: no I/O, no clock. A Budget is not safe for concurrent use: its owner locks.
package retry

import "time"

// Settings are the bounds that the retries of all routers together are held to: in a Window, Ratio times the requests of
// clients, and Slack in addition.
type Settings struct {
	Ratio  float64       // retries for each request
	Window time.Duration // over which the bound counts; a Budget, whose bucket is small, keeps it without a clock
	Slack  float64       // retries in addition, of all routers together
}

const (
	// usedRatio is the part of Settings.Ratio that is spent: the bound counts requests in a window, of which routers see
	// only those that reached them.
	usedRatio = 0.6

	// initialSlack is the part of Settings.Slack that all routers together start with. Each process starts with its part
	// again, so that restarts within a window have to stay within Slack.
	initialSlack = 0.25
)

// Budget is the retry budget of one router for one service. New makes one.
type Budget struct {
	deposit float64 // tokens that a request adds
	tokens  float64
	size    float64 // maximum of tokens
}

// New returns the budget of one router of so many.
func New(settings Settings, routers int) *Budget {
	initial := initialSlack * settings.Slack / float64(max(1, routers))
	return &Budget{deposit: usedRatio * settings.Ratio, tokens: initial, size: max(1, initial)}
}

// RecordRequest adds the tokens for a request of a client, when it is sent for the first time.
func (b *Budget) RecordRequest() { b.tokens = min(b.tokens+b.deposit, b.size) }

// Withdraw takes the token for a retry and reports whether there was one: else the retry may not be sent.
func (b *Budget) Withdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Refund returns the token of a retry that was not sent.
func (b *Budget) Refund() { b.tokens = min(b.tokens+1, b.size) }
