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

// audited is a fleet of twelve before six boxes, of which three are told to leave in the middle of the play and never go: whoever
// has not heard of it goes on sending to them.
const audited = `
name = "audited"
settle = "0s"
` + classes + `
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
	trails  = "operator = \"\"\"\n[audit]\nshare = 0.5\n\"\"\"\n"
	onDisk  = "operator = \"\"\"\n[audit]\nshare = 0.5\n[state]\ndir = \"/{dir}/{name}.state\"\n\"\"\"\n"
	auditor = "[[audit]]\nname = \"a\"\nevery = \"500ms\"\nlist = true\nraise = true\ngrace = \"1s\"\nspread = \"500ms\"\nshare = 0.5\n"
	shuts   = "shut_out = true\n"
	cutOff  = "[[fault]]\nkind = \"link_cut\"\nof = \"list\"\nat = \"21s\"\n"
	half    = "boxes = 6\n"
)

// leaves is three boxes that are told to leave, a second later.
const leaves = "[[fault]]\nkind = \"drain\"\nat = \"22s\"\nboxes = 3\ngrace = \"10m\"\n"

func lasts(length string) string { return "length = \"" + length + "\"\n" }

func leaveAt(at string) string {
	return "[[fault]]\nkind = \"drain\"\nat = \"" + at + "\"\nboxes = 3\ngrace = \"10m\"\n"
}

func faultAt(kind, at, more string) string {
	return "[[fault]]\nkind = \"" + kind + "\"\nat = \"" + at + "\"\n" + more + "\n"
}

// Real processes of the program and of its auditor, with kills, stops, cut links and full disks between them. Each row holds
// with the mechanism, and fails in the same play with it taken out.
func TestAuditedProcesses(t *testing.T) {
	t.Parallel()
	rows := []struct {
		name    string
		with    string
		without string
		holds   func(o *together) bool
	}{
		{"six of twelve are cut off while boxes leave", shutHalf, lasts("36s") + audited + cutOff + half + leaves, func(o *together) bool {
			return o.late(30*time.Second) == 0 && o.servedBy(30*time.Second) >= 6
		}},
		{"four are stopped while boxes leave", lasts("22s") + audited + trails + faultAt("sidecar_pause", "10s", "boxes = 4\nfor = \"6s\"") + leaveAt("12s"),
			lasts("22s") + audited + faultAt("sidecar_pause", "10s", "boxes = 4\nfor = \"6s\"") + leaveAt("12s"), func(o *together) bool {
				return o.onWaking() == 0
			}},
		{"the auditor is killed, and those shut out come back", lasts("46s") + audited + trails + auditor + shuts + "kill = \"32s\"\n" + cutOff + half + leaves,
			shutHalf, func(o *together) bool {
				return o.servedBy(40*time.Second) == 12
			}},
		{"an old order comes late", lasts("17s") + audited + trails + auditor + leaveAt("6s") + faultAt("order_again", "5s", "share = 1.0\nback = \"9s\""),
			lasts("17s") + audited + trails + auditor + leaveAt("6s") + faultAt("order_again", "5s", "share = 1.0\nback = \"9s\"\nsize = 1000"), func(o *together) bool {
				return o.refusedOrders() == 12
			}},
		{"an old order comes to a process that has started again",
			lasts("18s") + audited + onDisk + auditor + "kill = \"10s\"\n" + leaveAt("6s") + restarted,
			lasts("18s") + audited + trails + auditor + "kill = \"10s\"\n" + leaveAt("6s") + restarted, func(o *together) bool {
				return o.refusedOrders() == 12
			}},
		{"all are killed while they adopt", lasts("20s") + audited + onDisk + leaveAt("8s") + faultAt("sidecar_kill", "9s", "share = 1.0\nstep = \"30ms\"\nback = \"1s\""),
			lasts("20s") + audited + trails + leaveAt("8s") + faultAt("sidecar_kill", "9s", "share = 1.0\nstep = \"30ms\"\nback = \"1s\""), func(o *together) bool {
				v := o.res.Audited.Trails
				return v.Wrong == 0 && v.Missing == 0 && len(v.Unread) == 0 && v.Sure > 0
			}},
		{"a floor that nobody meets shuts nobody out", lasts("36s") + audited + trails + auditor + shuts + cutOff + leaves, shutHalf, func(o *together) bool {
			return o.servedBy(30*time.Second) == 12
		}},
	}
	texts := map[string]bool{}
	for _, r := range rows {
		texts[r.with], texts[r.without] = true, true
	}
	plays := playAll(t, slices.Collect(maps.Keys(texts)))
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			for how, text := range map[bool]string{true: r.with, false: r.without} {
				if got := r.holds(plays[text]); got != how {
					t.Errorf("with the mechanism %v: it holds %v; %+v; trails %+v", how, got, *plays[text].res.Audited, plays[text].res.Audited.Trails)
				}
			}
		})
	}
}

// room is for so many plays at a time, of all tests together: each is a dozen processes and more, which do little.
var room = make(chan struct{}, 7)

// playAll plays scenarios, the longest first, and checks what must hold in all of them.
func playAll(t *testing.T, texts []string) map[string]*together {
	build := program(t)
	slices.SortFunc(texts, func(a, b string) int {
		return cmp.Compare(planned(t, b).Scenario.Length, planned(t, a).Scenario.Length)
	})
	var mu sync.Mutex
	var all sync.WaitGroup
	plays := map[string]*together{}
	for _, text := range texts {
		room <- struct{}{}
		all.Go(func() {
			defer func() { <-room }()
			o := playTogether(t, build, text)
			o.wellTold()
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

// shutHalf is a play in which six of twelve are shut out from about 25 s on.
const shutHalf = "length = \"46s\"\n" + audited + trails + auditor + shuts + cutOff + half + leaves

const restarted = "[[fault]]\nkind = \"sidecar_kill\"\nat = \"10500ms\"\nshare = 1.0\nback = \"1s\"\n" +
	"[[fault]]\nkind = \"order_again\"\nat = \"5s\"\nshare = 1.0\nback = \"10s\"\n"

// What is owed at a full disk, after the list service has counted from 1 anew, and by one that is alone.
func TestAuditIsNoOutage(t *testing.T) {
	t.Parallel()
	rows := []struct {
		name  string
		text  string
		holds func(o *together) bool
	}{
		{"the disk is full", lasts("12s") + audited + onDisk + leaveAt("6s") + faultAt("disk_full", "0s", "share = 1.0"), func(o *together) bool {
			return o.res.Audited.Trails != nil && o.log("no space left") == 12 && o.servedBy(8*time.Second) == 12
		}},
		{"the list service counts from 1 again", lasts("34s") + audited + trails + auditor + shuts + leaveAt("4s") +
			listResponse("forget", "10s", "1s", "") + "[[fault]]\nkind = \"crash\"\nat = \"13s\"\nboxes = 1\n", func(o *together) bool {
			return o.servedBy(24*time.Second) == 12 && strings.Contains(o.lastRound("a"), `"up_to_date":12`)
		}},
		{"one alone, cut off", strings.Replace(lasts("32s")+audited, "sidecars = 12", "sidecars = 1", 1) + trails + auditor + shuts + cutOff + leaves, func(o *together) bool {
			return o.servedBy(28*time.Second) == 1
		}},
	}
	var texts []string
	for _, r := range rows {
		texts = append(texts, r.text)
	}
	plays := playAll(t, texts)
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			if o := plays[r.text]; !r.holds(o) {
				t.Errorf("%+v; %s; %d said that the disk is full, %d served after 8 s; void: %q",
					*o.res.Audited, o.lastRound("a"), o.log("no space left"), o.servedBy(8*time.Second), o.res.Rig.Why)
			}
		})
	}
}

// wellTold checks what must hold in every play: nobody crashed, and what trails and auditors say is true.
func (o *together) wellTold() {
	o.t.Helper()
	if o.verdict.Counts[judge.Crashed] > 0 {
		o.t.Errorf("%v", told(o.verdict))
	}
	if o.res.Rig.Void {
		o.t.Logf("the rig ran late: %s", o.res.Rig.Why)
	}
	a := o.res.Audited
	if a == nil {
		return
	}
	if v := a.Trails; v != nil && v.Wrong > 0 {
		o.t.Errorf("trails: %+v", *v)
	}
	for name, f := range a.Auditors {
		if f.Hidden > 0 || f.False > 0 {
			o.t.Errorf("auditor %s: %+v", name, f)
		}
	}
}

// each calls f with the tries that were due after a time, and the boxes that have left by then are those of the drain.
func (o *together) each(after time.Duration, f func(t *trace.ClientAttempt, v *trace.EndpointRequest)) {
	visits := map[uint64]*trace.EndpointRequest{}
	for i := range o.played.EndpointRequests {
		visits[o.played.EndpointRequests[i].TransactionID] = &o.played.EndpointRequests[i]
	}
	for i := range o.played.ClientAttempts {
		if t := &o.played.ClientAttempts[i]; t.Due > after {
			f(t, visits[t.TransactionID])
		}
	}
}

// left are the boxes that discovery has told to leave.
func (o *together) left() map[int]bool {
	out := map[int]bool{}
	for _, told := range o.played.Notifications {
		if told.Phase == trace.PhaseTerminating {
			out[told.Endpoint] = true
		}
	}
	return out
}

// late counts the requests due after a time that came to a box that had left.
func (o *together) late(after time.Duration) (n int) {
	left := o.left()
	o.each(after, func(_ *trace.ClientAttempt, v *trace.EndpointRequest) {
		if v != nil && left[v.Endpoint] {
			n++
		}
	})
	return n
}

// onWaking counts the requests that came while their sidecars were stopped and were sent to boxes that had left.
func (o *together) onWaking() (n int) {
	left := o.left()
	o.each(12*time.Second, func(t *trace.ClientAttempt, v *trace.EndpointRequest) {
		if v != nil && left[v.Endpoint] && t.Due < 16*time.Second && v.FirstByte > 16*time.Second {
			n++
		}
	})
	return n
}

// servedBy is how many sidecars served something that was due after a time.
func (o *together) servedBy(after time.Duration) int {
	by := map[int]bool{}
	o.each(after, func(t *trace.ClientAttempt, _ *trace.EndpointRequest) {
		if t.Status == trace.StatusServed {
			by[t.Sidecar] = true
		}
	})
	return len(by)
}

// refusedOrders counts the orders that came again and were refused as old.
func (o *together) refusedOrders() (n int) {
	for _, r := range o.played.ReplayedOrders {
		if r.StatusCode == 409 {
			n++
		}
	}
	return n
}

// lastRound is how an auditor summed up its last round.
func (o *together) lastRound(name string) string {
	lines := strings.Split(strings.TrimSpace(string(o.played.Findings[name])), "\n")
	return lines[len(lines)-1]
}
