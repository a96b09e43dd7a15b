package plan

import (
	"time"

	"pinelb.example/pinelb/internal/lab/trace"
)

// AttemptTimeout returns how long a client waits for an attempt that it sends now: the attempt's time-out, or what
// remains of the request's. Once that has passed it is 0 or below.
func (p *Plan) AttemptTimeout(request int, now time.Duration) time.Duration {
	r := &p.Requests[request]
	return min(r.AttemptTimeout, r.Due+r.Timeout-now)
}

// NextRetry returns when a client retries after an attempt that has ended, if it does. First is when it sent its first
// attempt. It retries safe requests after any failure, keyed ones within the deduplication window from the first send,
// and others only where nothing can have run: after a rejection, or if no connection came up.
func (p *Plan) NextRetry(attempt *trace.ClientAttempt, first time.Duration) (at time.Duration, retries bool) {
	r := &p.Requests[attempt.Request]
	class := &p.Scenario.Classes[r.Class]
	if attempt.Status == trace.StatusServed || attempt.Status == trace.StatusCanceled || attempt.Number >= r.MaxRetries {
		return 0, false
	}
	at = attempt.Ended + p.Scenario.Clients.Backoff.D()
	if attempt.Status == trace.StatusRejected && attempt.RetryAfter > 0 && r.HonorsRetryAfter {
		at = max(at, attempt.Ended+min(attempt.RetryAfter, p.Scenario.Rules.MaxRetryAfter.D()))
	}
	switch class.Idempotency {
	case "unsafe":
		retries = attempt.Status == trace.StatusRejected || attempt.Status == trace.StatusConnectFailed
	case "keyed":
		retries = at < first+class.DedupWindow.D()
	default:
		retries = true
	}
	return at, retries && p.AttemptTimeout(attempt.Request, at) > 0
}
