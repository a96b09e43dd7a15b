package result

import (
	"slices"
	"time"

	"pinelb.example/pinelb/internal/lab/auditcheck"
)

// AuditResult compares what the audit of a run found with what is true, and tells what stragglers did. Null where nobody can call the
// sidecars and nothing was late.
type AuditResult struct {
	AuditLogs       *auditcheck.Verdict              `json:"trails"`   // null: none was read
	Auditors        map[string]auditcheck.Stragglers `json:"auditors"` // by name: what each found of stragglers
	Errors          []string                         `json:"faults"`   // what could not be compared
	ResolutionTimes *Quantiles                       `json:"ends"`     // from the list service's telling until a straggler was brought up or shut out
	Unresolved      int                              `json:"goes_on"`  // stragglers that were neither by the end
	LateAttempts    int                              `json:"late"`     // attempts at boxes that had left for longer than the grace and a second
	LateBySidecar   map[string]int                   `json:"late_by"`  // by sidecar
}

const (
	defaultGrace  = 3 * time.Second // of floors, where no auditor raises any
	lateTolerance = time.Second
)

// grace is that of the floors that are raised.
func (r *analysis) auditGrace() time.Duration {
	for _, a := range r.plan.Scenario.Audit {
		if a.Raise {
			return a.Grace.D()
		}
	}
	return defaultGrace
}

// audits is what the run's audit comes to.
func (r *analysis) compareAudit() *AuditResult {
	late := r.auditGrace() + lateTolerance
	out := &AuditResult{Auditors: map[string]auditcheck.Stragglers{}, Errors: []string{}, LateBySidecar: map[string]int{}}
	for sidecar, n := range auditcheck.CountAfterDrain(r.plan, r.log, late) {
		out.LateAttempts += n
		out.LateBySidecar[r.plan.Sidecars[sidecar].Name] = n
	}
	if len(r.log.AuditLogs) > 0 {
		v := auditcheck.CompareAuditLogs(r.plan, r.log, r.log.AuditLogs)
		out.AuditLogs = &v
	}
	for _, a := range r.plan.Scenario.Audit {
		found, err := auditcheck.CompareFindings(r.plan, r.log, r.log.Findings[a.Name], late)
		if err != nil {
			out.Errors = append(out.Errors, err.Error())
		}
		out.Auditors[a.Name] = found
	}
	slices.Sort(out.Errors)
	ends, never := auditcheck.ResolutionTimes(r.plan, r.log, lateTolerance)
	out.ResolutionTimes, out.Unresolved = quantilesOf(ends), never
	return out
}

// measureAudit is one of the measures of an audit; they know no window. Of several auditors the worst counts.
func (r *analysis) measureAudit(what string) (v float64, known bool) {
	a := r.audit
	if a == nil {
		return 0, false
	}
	switch what {
	case "audit_late":
		return float64(a.LateAttempts), true
	case "audit_ends":
		if a.ResolutionTimes == nil {
			return 0, false
		}
		return a.ResolutionTimes.Max, true
	case "audit_wrong", "audit_missing":
		if a.AuditLogs == nil {
			return 0, false
		}
		return float64(map[string]int{"audit_wrong": a.AuditLogs.Contradicted, "audit_missing": a.AuditLogs.Missing + len(a.AuditLogs.UnreadSidecars)}[what]), true
	}
	for _, f := range a.Auditors {
		v = max(v, float64(map[string]int{"audit_hidden": f.Missed + f.Unreached, "audit_false": f.FalsePositives}[what]))
	}
	return v, len(a.Auditors) > 0 && len(a.Errors) == 0
}
