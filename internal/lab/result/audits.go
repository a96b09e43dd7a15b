package result

import (
	"slices"
	"time"

	"pinelb.example/pinelb/internal/lab/auditcheck"
)

// Audited compares what the audit of a run found with what is true, and tells what stragglers did. Null where nobody can call the
// sidecars and nothing was late.
type Audited struct {
	Trails   *auditcheck.Verdict              `json:"trails"`   // null: none was read
	Auditors map[string]auditcheck.Stragglers `json:"auditors"` // by name: what each found of stragglers
	Faults   []string                         `json:"faults"`   // what could not be compared
	Ends     *Spread                          `json:"ends"`     // from the list service's telling until a straggler was brought up or shut out
	Goes     int                              `json:"goes_on"`  // stragglers that were neither by the end
	Late     int                              `json:"late"`     // attempts at boxes that had left for longer than the grace and a second
	ByWhom   map[string]int                   `json:"late_by"`  // by sidecar
}

const (
	usualGrace = 3 * time.Second // of floors, where no auditor raises any
	lateBeyond = time.Second
)

// grace is that of the floors that are raised.
func (r *run) grace() time.Duration {
	for _, a := range r.plan.Scenario.Auditors {
		if a.RaisesMinimum {
			return a.Grace.D()
		}
	}
	return usualGrace
}

// audits is what the run's audit comes to.
func (r *run) audits() *Audited {
	late := r.grace() + lateBeyond
	out := &Audited{Auditors: map[string]auditcheck.Stragglers{}, Faults: []string{}, ByWhom: map[string]int{}}
	for sidecar, n := range auditcheck.CountAfterDrain(r.plan, r.log, late) {
		out.Late += n
		out.ByWhom[r.plan.Sidecars[sidecar].Name] = n
	}
	if len(r.log.AuditLogs) > 0 {
		v := auditcheck.CompareAuditLogs(r.plan, r.log, r.log.AuditLogs)
		out.Trails = &v
	}
	for _, a := range r.plan.Scenario.Auditors {
		found, err := auditcheck.CompareFindings(r.plan, r.log, r.log.Findings[a.Name], late)
		if err != nil {
			out.Faults = append(out.Faults, err.Error())
		}
		out.Auditors[a.Name] = found
	}
	slices.Sort(out.Faults)
	ends, never := auditcheck.ResolutionTimes(r.plan, r.log, lateBeyond)
	out.Ends, out.Goes = spreadOf(ends), never
	return out
}

// measureAudit is one of the measures of an audit; they know no window. Of several auditors the worst counts.
func (r *run) measureAudit(what string) (v float64, known bool) {
	a := r.audited
	if a == nil {
		return 0, false
	}
	switch what {
	case "audit_late":
		return float64(a.Late), true
	case "audit_ends":
		if a.Ends == nil {
			return 0, false
		}
		return a.Ends.Max, true
	case "audit_wrong", "audit_missing":
		if a.Trails == nil {
			return 0, false
		}
		return float64(map[string]int{"audit_wrong": a.Trails.Contradicted, "audit_missing": a.Trails.Missing + len(a.Trails.UnreadSidecars)}[what]), true
	}
	for _, f := range a.Auditors {
		v = max(v, float64(map[string]int{"audit_hidden": f.Missed + f.Unreached, "audit_false": f.FalsePositives}[what]))
	}
	return v, len(a.Auditors) > 0 && len(a.Faults) == 0
}
