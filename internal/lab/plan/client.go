package plan

import (
	"time"

	"pinelb.example/pinelb/internal/lab/trace"
)

// AttemptTimeout is how long a client waits for a try that it sends now: its usual time for one, or what is left of its
// patience. It is not above 0 once that is over.
func (p *Plan) AttemptTimeout(request int, now time.Duration) time.Duration {
	r := &p.Requests[request]
	return min(r.AttemptTimeout, r.Due+r.Timeout-now)
}

// NextRetry is when a client tries again after a try that has ended, if it does. It repeats what is safe after
// any failure, what is keyed within the window of its first send, and anything else only where nothing can
// have run: after a refusal, or when no connection came up.
func (p *Plan) NextRetry(t *trace.ClientAttempt, first time.Duration) (at time.Duration, again bool) {
	r := &p.Requests[t.Request]
	c := &p.Scenario.Classes[r.Class]
	if t.Status == trace.StatusServed || t.Status == trace.StatusCanceled || t.Number >= r.MaxRetries {
		return 0, false
	}
	at = t.Ended + p.Scenario.Clients.Backoff.D()
	if t.Status == trace.StatusRejected && t.RetryAfter > 0 && r.HonorsRetryAfter {
		at = max(at, t.Ended+min(t.RetryAfter, p.Scenario.Rules.MaxRetryAfter.D()))
	}
	unseen := t.Status == trace.StatusRejected || t.Status == trace.StatusConnectFailed
	switch c.Idempotency {
	case "unsafe":
		again = unseen
	case "keyed":
		again = at < first+c.DedupWindow.D()
	default:
		again = true
	}
	return at, again && p.AttemptTimeout(t.Request, at) > 0
}
