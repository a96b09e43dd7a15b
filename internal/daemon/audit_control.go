package daemon

import (
	"math"
	"time"

	"pinelb.example/pinelb/internal/auditlog"
	"pinelb.example/pinelb/internal/control"
	"pinelb.example/pinelb/internal/persistence"
	"pinelb.example/pinelb/internal/version"
)

// controlAudit returns the agent as the control server calls it; nil where nothing is audited.
func (a *auditAgent) controlAudit() control.Audit {
	if a == nil {
		return nil
	}
	return a
}

// Take accepts an auditor's order, or rejects it with an error, as version.Actor does. Either is logged.
func (a *auditAgent) Take(o version.Order) error {
	a.mu.Lock()
	now := a.now()
	a.heartbeat(now)
	before := a.actor.Minimum(now)
	err := a.actor.Accept(now, time.Duration(a.wallClock().UnixNano()), o)
	e := auditlog.Entry{Kind: auditlog.Ordered, Order: &o}
	switch {
	case err != nil:
		e.Reason = err.Error()
		if a.rejectionLoggedAt == 0 || now-a.rejectionLoggedAt > rejectionLogInterval {
			a.rejectionLoggedAt = now
			a.log.Warn().Err(err).Str("by", o.Minimum.By).Msg("an auditor's order is refused")
		}
	case before == nil || before.Epoch != o.Minimum.Epoch || before.By != o.Minimum.By:
		a.log.Info().Uint64("epoch", o.Minimum.Epoch).Str("by", o.Minimum.By).Dur("grace", o.Minimum.Grace.D()).Msg("a floor is in force")
	}
	if err == nil {
		a.actor.ConfirmByAuditor(now)
	}
	a.auditLog.Append(e)
	a.mu.Unlock()
	a.tick() // what it asks for may be due at once
	return err
}

// Report returns what an auditor is answered, with the audit log's entries from that number on.
func (a *auditAgent) Report(since uint64) auditlog.Report {
	a.tick()
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	r := auditlog.Report{
		Name:           a.name,
		Site:           a.site,
		Rank:           a.settings.Rank,
		Instances:      max(1, a.settings.Instances),
		Incarnation:    a.incarnation,
		Now:            version.Millis(a.wallClock().UnixMilli()),
		Up:             millis(persistence.Now().Up),
		VersionAge:     millis(now - a.adoptedAt),
		ListAge:        never,
		State:          a.verdict.State,
		Reason:         a.verdict.Reason,
		Minimum:        a.actor.Minimum(now),
		Permit:         a.actor.Permit(now),
		NeedsSuccessor: a.needsSuccessor,
	}
	if z := a.settings.Zone; z >= 0 && z < len(a.settings.ZoneNames) {
		r.Zone = a.settings.ZoneNames[z]
	}
	if a.listHeardAt >= 0 {
		r.ListAge = millis(now - a.listHeardAt)
	}
	r.Version, r.VersionID = a.auditLog.Version()
	r.Entries, r.Next, r.Oldest = a.auditLog.EntriesSince(min(since, math.MaxInt64), maxReportEntryBytes)
	return r
}
