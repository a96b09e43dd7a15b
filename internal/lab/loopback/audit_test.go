package loopback_test

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"pinelb.example/pinelb/internal/lab/judge"
	"pinelb.example/pinelb/internal/lab/trace"
)

// auditedFleet is a fleet of twelve in front of six endpoints, of which three are announced to drain in the middle of the play and never
// end: a sidecar without that update goes on sending to them.
const auditedFleet = `
name = "audited"
settle = "0s"
` + scenarioClasses + `
[[class]]
name = "patient"
share = 1
work = "1ms"
aim = "500ms"
deadline = "10s"
[[tier]]
name = "t"
[[tier.kind]]
boxes = 6
cores = 4
[clients]
rate = 120
retries = 0
[fleet]
sidecars = 12
`

// Parts of a play. An auditor gives tickets once it has been followed for 18 s.
const (
	withAuditLog = "operator = \"\"\"\n[audit]\nshare = 0.5\n\"\"\"\n"
	onDisk       = "operator = \"\"\"\n[audit]\nshare = 0.5\n[state]\ndir = \"/{dir}/{name}.state\"\n\"\"\"\n"
	auditor      = "[[audit]]\nname = \"a\"\nevery = \"500ms\"\nlist = true\nraise = true\ngrace = \"1s\"\nspread = \"500ms\"\nshare = 0.5\n"
	shuts        = "shut_out = true\n"
	cutOff       = "[[fault]]\nkind = \"link_cut\"\nof = \"list\"\nat = \"21s\"\n"
	half         = "boxes = 6\n"
)

// drainedEndpoints has three endpoints drain, a second later.
const drainedEndpoints = "[[fault]]\nkind = \"drain\"\nat = \"22s\"\nboxes = 3\ngrace = \"10m\"\n"

func lengthLine(length string) string { return "length = \"" + length + "\"\n" }

func drainAt(at string) string {
	return "[[fault]]\nkind = \"drain\"\nat = \"" + at + "\"\nboxes = 3\ngrace = \"10m\"\n"
}

func faultAt(kind, at, more string) string {
	return "[[fault]]\nkind = \"" + kind + "\"\nat = \"" + at + "\"\n" + more + "\n"
}

// TestAuditWithProcesses plays the program and its auditor as processes, with kills, stops, partitions and full disks. Each row holds
// with the mechanism, and fails in the same play without it.
func TestAuditWithProcesses(t *testing.T) {
	t.Parallel()
	rows := []struct {
		name    string
		with    string
		without string
		holds   func(o *processPlay) bool
	}{
		{"six of twelve are partitioned while endpoints drain", halfShutOut, lengthLine("36s") + auditedFleet + cutOff + half + drainedEndpoints, func(o *processPlay) bool {
			return o.countAfterDrain(30*time.Second) == 0 && o.countServed(30*time.Second) >= 6
		}},
		{"four are stopped while endpoints drain", lengthLine("22s") + auditedFleet + withAuditLog + faultAt("sidecar_pause", "10s", "boxes = 4\nfor = \"6s\"") + drainAt("12s"),
			lengthLine("22s") + auditedFleet + faultAt("sidecar_pause", "10s", "boxes = 4\nfor = \"6s\"") + drainAt("12s"), func(o *processPlay) bool {
				return o.countAfterResume() == 0
			}},
		{"the auditor is killed, and those shut out come back", lengthLine("46s") + auditedFleet + withAuditLog + auditor + shuts + "kill = \"32s\"\n" + cutOff + half + drainedEndpoints,
			halfShutOut, func(o *processPlay) bool {
				return o.countServed(40*time.Second) == 12
			}},
		{"an old order comes late", lengthLine("17s") + auditedFleet + withAuditLog + auditor + drainAt("6s") + faultAt("order_again", "5s", "share = 1.0\nback = \"9s\""),
			lengthLine("17s") + auditedFleet + withAuditLog + auditor + drainAt("6s") + faultAt("order_again", "5s", "share = 1.0\nback = \"9s\"\nsize = 1000"), func(o *processPlay) bool {
				return o.countRejectedOrders() == 12
			}},
		{"an old order comes to a process that has started again",
			lengthLine("18s") + auditedFleet + onDisk + auditor + "kill = \"10s\"\n" + drainAt("6s") + restartedFleet,
			lengthLine("18s") + auditedFleet + withAuditLog + auditor + "kill = \"10s\"\n" + drainAt("6s") + restartedFleet, func(o *processPlay) bool {
				return o.countRejectedOrders() == 12
			}},
		{"all are killed while they adopt", lengthLine("20s") + auditedFleet + onDisk + drainAt("8s") + faultAt("sidecar_kill", "9s", "share = 1.0\nstep = \"30ms\"\nback = \"1s\""),
			lengthLine("20s") + auditedFleet + withAuditLog + drainAt("8s") + faultAt("sidecar_kill", "9s", "share = 1.0\nstep = \"30ms\"\nback = \"1s\""), func(o *processPlay) bool {
				v := o.res.Audit.AuditLogs
				return v.Contradicted == 0 && v.Missing == 0 && len(v.UnreadSidecars) == 0 && v.Unambiguous > 0
			}},
		{"a minimum version that nobody meets shuts nobody out", lengthLine("36s") + auditedFleet + withAuditLog + auditor + shuts + cutOff + drainedEndpoints, halfShutOut, func(o *processPlay) bool {
			return o.countServed(30*time.Second) == 12
		}},
	}
	texts := map[string]bool{}
	for _, r := range rows {
		texts[r.with], texts[r.without] = true, true
	}
	plays := playParallel(t, slices.Collect(maps.Keys(texts)))
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			for how, text := range map[bool]string{true: r.with, false: r.without} {
				if got := r.holds(plays[text]); got != how {
					t.Errorf("with the mechanism %v: it holds %v; %+v; trails %+v", how, got, *plays[text].res.Audit, plays[text].res.Audit.AuditLogs)
				}
			}
		})
	}
}

// playSlots limits the concurrent plays of all tests: each is a dozen processes and more, mostly idle.
var playSlots = make(chan struct{}, 7)

// playParallel plays scenarios, the longest first, and checks what must hold in all of them.
func playParallel(t *testing.T, texts []string) map[string]*processPlay {
	build := buildProgram(t)
	slices.SortFunc(texts, func(a, b string) int {
		return cmp.Compare(buildPlan(t, b).Scenario.Length, buildPlan(t, a).Scenario.Length)
	})
	var mu sync.Mutex
	var all sync.WaitGroup
	plays := map[string]*processPlay{}
	for _, text := range texts {
		playSlots <- struct{}{}
		all.Go(func() {
			defer func() { <-playSlots }()
			o := playProcesses(t, build, text)
			o.checkFindings()
			mu.Lock()
			defer mu.Unlock()
			plays[text] = o
		})
	}
	all.Wait()
	if t.Failed() {
		t.FailNow()
	}
	return plays
}

// halfShutOut is a play in which six of twelve are shut out from about 25 s on.
const halfShutOut = "length = \"46s\"\n" + auditedFleet + withAuditLog + auditor + shuts + cutOff + half + drainedEndpoints

const restartedFleet = "[[fault]]\nkind = \"sidecar_kill\"\nat = \"10500ms\"\nshare = 1.0\nback = \"1s\"\n" +
	"[[fault]]\nkind = \"order_again\"\nat = \"5s\"\nshare = 1.0\nback = \"10s\"\n"

// TestAuditCausesNoOutage checks that requests are served with a full disk, after the list service has restarted its revisions, and by a
// single sidecar.
func TestAuditCausesNoOutage(t *testing.T) {
	t.Parallel()
	rows := []struct {
		name  string
		text  string
		holds func(o *processPlay) bool
	}{
		{"the disk is full", lengthLine("12s") + auditedFleet + onDisk + drainAt("6s") + faultAt("disk_full", "0s", "share = 1.0"), func(o *processPlay) bool {
			return o.res.Audit.AuditLogs != nil && o.countLogs("no space left") == 12 && o.countServed(8*time.Second) == 12
		}},
		{"the list service counts from 1 again", lengthLine("34s") + auditedFleet + withAuditLog + auditor + shuts + drainAt("4s") +
			listFault("forget", "10s", "1s", "") + "[[fault]]\nkind = \"crash\"\nat = \"13s\"\nboxes = 1\n", func(o *processPlay) bool {
			return o.countServed(24*time.Second) == 12 && strings.Contains(o.lastRound("a"), `"up_to_date":12`)
		}},
		{"one alone, cut off", strings.Replace(lengthLine("32s")+auditedFleet, "sidecars = 12", "sidecars = 1", 1) + withAuditLog + auditor + shuts + cutOff + drainedEndpoints, func(o *processPlay) bool {
			return o.countServed(28*time.Second) == 1
		}},
	}
	var texts []string
	for _, r := range rows {
		texts = append(texts, r.text)
	}
	plays := playParallel(t, texts)
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			if o := plays[r.text]; !r.holds(o) {
				t.Errorf("%+v; %s; %d said that the disk is full, %d served after 8 s; void: %q",
					*o.res.Audit, o.lastRound("a"), o.countLogs("no space left"), o.countServed(8*time.Second), o.res.Harness.Reason)
			}
		})
	}
}

// checkFindings checks what must hold in every play: no crash, and audit logs and findings that are true.
func (o *processPlay) checkFindings() {
	o.t.Helper()
	if o.verdict.Counts[judge.SidecarCrash] > 0 {
		o.t.Errorf("%v", firstStories(o.verdict))
	}
	if o.res.Harness.Void {
		o.t.Logf("the rig ran late: %s", o.res.Harness.Reason)
	}
	a := o.res.Audit
	if a == nil {
		return
	}
	if v := a.AuditLogs; v != nil && v.Contradicted > 0 {
		o.t.Errorf("trails: %+v", *v)
	}
	for name, f := range a.Auditors {
		if f.Missed > 0 || f.FalsePositives > 0 {
			o.t.Errorf("auditor %s: %+v", name, f)
		}
	}
}

// eachFirstTierRequest calls f with the client attempts that were due after a time and the request that an endpoint received, nil if none.
func (o *processPlay) eachFirstTierRequest(after time.Duration, f func(t *trace.ClientAttempt, v *trace.EndpointRequest)) {
	requests := map[uint64]*trace.EndpointRequest{}
	for i := range o.played.EndpointRequests {
		requests[o.played.EndpointRequests[i].TransactionID] = &o.played.EndpointRequests[i]
	}
	for i := range o.played.ClientAttempts {
		if t := &o.played.ClientAttempts[i]; t.Due > after {
			f(t, requests[t.TransactionID])
		}
	}
}

// drainingEndpoints are the endpoints that discovery announced to drain.
func (o *processPlay) drainingEndpoints() map[int]bool {
	out := map[int]bool{}
	for _, notification := range o.played.Notifications {
		if notification.Phase == trace.PhaseTerminating {
			out[notification.Endpoint] = true
		}
	}
	return out
}

// countAfterDrain counts the requests due after a time that reached a draining endpoint.
func (o *processPlay) countAfterDrain(after time.Duration) (n int) {
	draining := o.drainingEndpoints()
	o.eachFirstTierRequest(after, func(_ *trace.ClientAttempt, v *trace.EndpointRequest) {
		if v != nil && draining[v.Endpoint] {
			n++
		}
	})
	return n
}

// countAfterResume counts the requests that came while their sidecars were stopped and were sent to draining endpoints.
func (o *processPlay) countAfterResume() (n int) {
	draining := o.drainingEndpoints()
	o.eachFirstTierRequest(12*time.Second, func(t *trace.ClientAttempt, v *trace.EndpointRequest) {
		if v != nil && draining[v.Endpoint] && t.Due < 16*time.Second && v.FirstByte > 16*time.Second {
			n++
		}
	})
	return n
}

// countServed counts the sidecars that served a request due after a time.
func (o *processPlay) countServed(after time.Duration) int {
	by := map[int]bool{}
	o.eachFirstTierRequest(after, func(t *trace.ClientAttempt, _ *trace.EndpointRequest) {
		if t.Status == trace.StatusServed {
			by[t.Sidecar] = true
		}
	})
	return len(by)
}

// countRejectedOrders counts the replayed orders that were rejected as old.
func (o *processPlay) countRejectedOrders() (n int) {
	for _, r := range o.played.ReplayedOrders {
		if r.StatusCode == 409 {
			n++
		}
	}
	return n
}

// lastRound is an auditor's summary of its last round.
func (o *processPlay) lastRound(name string) string {
	lines := strings.Split(strings.TrimSpace(string(o.played.Findings[name])), "\n")
	return lines[len(lines)-1]
}
