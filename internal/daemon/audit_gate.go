package daemon

import (
	"time"

	"pinelb.example/pinelb/internal/auditlog"
	"pinelb.example/pinelb/internal/version"
)

// applyVerdict publishes the actor's verdict to the gate. A change of it is logged. The caller holds mu.
func (a *auditAgent) applyVerdict(now time.Duration) {
	v := a.actor.Verdict(now)
	if v.State != a.verdict.State || v.Reason != a.verdict.Reason {
		a.auditLog.Append(auditlog.Entry{Kind: auditlog.VerdictChanged, State: v.State, Reason: v.Reason})
		if a.verdict.State != "" {
			a.log.Warn().Str("state", v.State).Str("why", v.Reason).Msg("the audit's verdict has changed")
		}
	}
	a.verdict = v
	a.verdictExpiry.Store(int64(v.Until))
	a.acceptsStreams.Store(v.AcceptsStreams())
	a.sendsAttempts.Store(v.SendsAttempts())
	retryAfter := v.RetryAfter
	if limit := a.settings.MaxRetryAfter; limit > 0 {
		retryAfter = min(retryAfter, limit)
	}
	if !a.settings.RetryAfter {
		retryAfter = 0
	}
	a.retryAfter.Store(int64(retryAfter))
}

// refreshVerdict updates the verdict where time alone has changed it, or where no heartbeat has come for so long that the
// process may have been stopped. It takes no lock otherwise.
func (a *auditAgent) refreshVerdict() {
	now := int64(a.now())
	if now-a.lastHeartbeat.Load() > int64(version.StopThreshold) || now >= a.verdictExpiry.Load() {
		a.tick()
	}
}

// AcceptsNotes reports whether new streams are accepted, and where not, after what time their clients should retry (0: unknown).
func (a *auditAgent) AcceptsStreams() (accepts bool, retryAfter time.Duration) {
	a.refreshVerdict()
	return a.acceptsStreams.Load(), time.Duration(a.retryAfter.Load())
}

// AllowsAttempts reports whether attempts are sent upstream.
func (a *auditAgent) AllowsAttempts() bool {
	a.refreshVerdict()
	return a.sendsAttempts.Load()
}
