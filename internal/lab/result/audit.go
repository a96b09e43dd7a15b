package result

import (
	"slices"
	"time"

	"pinelb.example/pinelb/internal/lab/auditcheck"
)

// AuditResult compares what the run's auditors found with the trace, and reports how stragglers (sidecars with an outdated
// configuration) were dealt with. It is null where operators can't call the sidecars and no attempt was late.
type AuditResult struct {
	AuditLogs       *auditcheck.Verdict              `json:"trails"`   // null: none was read
	Auditors        map[string]auditcheck.Stragglers `json:"auditors"` // by the auditor's name: the stragglers it found
	Errors          []string                         `json:"faults"`   // findings that could not be compared, sorted
	ResolutionTimes *Quantiles                       `json:"ends"`     // from the discovery service's update until a straggler was updated or excluded
	Unresolved      int                              `json:"goes_on"`  // stragglers neither updated nor excluded by the end
	LateAttempts    int                              `json:"late"`     // attempts at endpoints drained for longer than the grace period and lateTolerance
	LateBySidecar   map[string]int                   `json:"late_by"`  // LateAttempts by the sidecar's name
}

const (
	defaultGrace  = 3 * time.Second // where no auditor raises the minimum version
	lateTolerance = time.Second     // beyond the grace period
)

// auditGrace returns the grace period of the first auditor that raises the minimum version.
func (r *analysis) auditGrace() time.Duration {
	for _, a := range r.plan.Scenario.Auditors {
		if a.RaisesMinimum {
			return a.Grace.D()
		}
	}
	return defaultGrace
}

// compareAudit compares the audit's findings with the trace.
func (r *analysis) compareAudit() *AuditResult {
	late := r.auditGrace() + lateTolerance
	out := &AuditResult{
		Auditors:      map[string]auditcheck.Stragglers{},
		Errors:        []string{},
		LateBySidecar: map[string]int{},
	}
	for sidecar, n := range auditcheck.CountAfterDrain(r.plan, r.log, late) {
		out.LateAttempts += n
		out.LateBySidecar[r.plan.Sidecars[sidecar].Name] = n
	}
	if len(r.log.AuditLogs) > 0 {
		verdict := auditcheck.CompareAuditLogs(r.plan, r.log, r.log.AuditLogs)
		out.AuditLogs = &verdict
	}
	for _, auditor := range r.plan.Scenario.Auditors {
		found, err := auditcheck.CompareFindings(r.plan, r.log, r.log.Findings[auditor.Name], late)
		if err != nil {
			out.Errors = append(out.Errors, err.Error())
		}
		out.Auditors[auditor.Name] = found
	}
	slices.Sort(out.Errors)
	times, unresolved := auditcheck.ResolutionTimes(r.plan, r.log, lateTolerance)
	out.ResolutionTimes = quantilesOf(times)
	out.Unresolved = unresolved
	return out
}

// measureAudit returns one of the audit measures, which cover the whole run. Where there are several auditors, the worst
// one counts. known is false where there is nothing to measure.
func (r *analysis) measureAudit(measure string) (value float64, known bool) {
	a := r.audit
	if a == nil {
		return 0, false
	}
	switch measure {
	case "audit_late":
		return float64(a.LateAttempts), true
	case "audit_ends":
		if a.ResolutionTimes == nil {
			return 0, false
		}
		return a.ResolutionTimes.Max, true
	case "audit_wrong":
		if a.AuditLogs == nil {
			return 0, false
		}
		return float64(a.AuditLogs.Contradicted), true
	case "audit_missing":
		if a.AuditLogs == nil {
			return 0, false
		}
		return float64(a.AuditLogs.Missing + len(a.AuditLogs.UnreadSidecars)), true
	}
	for _, found := range a.Auditors {
		switch measure {
		case "audit_hidden":
			value = max(value, float64(found.Missed+found.Unreached))
		case "audit_false":
			value = max(value, float64(found.FalsePositives))
		}
	}
	return value, len(a.Auditors) > 0 && len(a.Errors) == 0
}
