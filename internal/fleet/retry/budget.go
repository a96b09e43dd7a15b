// Package retry limits the retries and hedged requests that routers send. Each service has a token bucket: each client request
// adds a fraction of a token, and each retry takes one token. This is the retry budget of Finagle
// (com.twitter.finagle.service.RetryBudget), with initial tokens in place of a minimum number of retries per second, and a
// small bucket in place of the expiry of tokens.
//
// Each router has its own budgets, filled only by the requests that it receives, so that routers need no coordination. The
// package is pure: it does no I/O and reads no clock. A Budget is not safe for concurrent use; its owner has to lock it.
package retry

import "time"

// Settings limit the retries of all routers together: in any Window they may send Ratio retries for each client request, and
// Slack retries in addition.
type Settings struct {
	Ratio  float64       // retries for each client request
	Window time.Duration // period over which the limit applies; not used by Budget, whose small bucket keeps the limit without a clock
	Slack  float64       // additional retries of all routers together
}

const (
	// usedRatioShare is the fraction of Settings.Ratio that budgets use. The rest is a margin, since the limit counts requests
	// in a window, while routers count only requests that have reached them.
	usedRatioShare = 0.6

	// initialSlackShare is the fraction of Settings.Slack that the initial tokens of all routers add up to. A restarted
	// process starts with its initial tokens again, so that restarts within a window have to stay within Slack.
	initialSlackShare = 0.25
)

// Budget is the retry budget of one router for one service.
type Budget struct {
	deposit float64 // tokens added for each client request
	tokens  float64
	size    float64 // maximum number of tokens
}

// New returns the budget of one router in a fleet with the given number of routers.
func New(settings Settings, routers int) *Budget {
	initial := initialSlackShare * settings.Slack / float64(max(1, routers))
	return &Budget{deposit: usedRatioShare * settings.Ratio, tokens: initial, size: max(1, initial)}
}

// RecordRequest adds the tokens for a client request. It is called once for each request, at the first attempt.
func (b *Budget) RecordRequest() { b.tokens = min(b.tokens+b.deposit, b.size) }

// Withdraw takes the token for a retry. It returns false if none is available; the retry must not be sent then.
func (b *Budget) Withdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Refund puts back the token of a retry that was not sent.
func (b *Budget) Refund() { b.tokens = min(b.tokens+1, b.size) }
