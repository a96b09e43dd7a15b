package live_test

import (
	"strings"
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
rate = 240
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
	build := program(t)
	for _, c := range []struct {
		name    string
		with    string
		without string
		holds   func(o *together) bool
	}{
		{"six of twelve are cut off while boxes leave", lasts("36s") + audited + trails + auditor + shuts + cutOff + half + leaveAt("22s"),
			lasts("36s") + audited + cutOff + half + leaveAt("22s"), func(o *together) bool {
				return o.late(30*time.Second) == 0 && o.servedBy(30*time.Second) >= 6
			}},
		{"four are stopped while boxes leave", lasts("22s") + audited + trails + faultAt("sidecar_pause", "10s", "boxes = 4\nfor = \"6s\"") + leaveAt("12s"),
			lasts("22s") + audited + faultAt("sidecar_pause", "10s", "boxes = 4\nfor = \"6s\"") + leaveAt("12s"), func(o *together) bool {
				return o.onWaking() == 0
			}},
		{"the auditor is killed, and those shut out come back", lasts("46s") + audited + trails + auditor + shuts + "kill = \"30s\"\n" + cutOff + half + leaveAt("22s"),
			lasts("46s") + audited + trails + auditor + shuts + cutOff + half + leaveAt("22s"), func(o *together) bool {
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
		{"a floor that nobody meets shuts nobody out", lasts("36s") + audited + trails + auditor + shuts + cutOff + leaveAt("22s"),
			lasts("36s") + audited + trails + auditor + shuts + cutOff + half + leaveAt("22s"), func(o *together) bool {
				return o.servedBy(30*time.Second) == 12
			}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for how, text := range map[bool]string{true: c.with, false: c.without} {
				t.Run(map[bool]string{true: "with", false: "without"}[how], func(t *testing.T) {
					t.Parallel()
					o := playTogether(t, build, text)
					o.wellTold()
					if got := c.holds(o); got != how {
						t.Errorf("it holds: %v; %+v", got, *o.res.Audited)
					}
				})
			}
		})
	}
}

const restarted = "[[fault]]\nkind = \"sidecar_kill\"\nat = \"10500ms\"\nshare = 1.0\nback = \"1s\"\n" +
	"[[fault]]\nkind = \"order_again\"\nat = \"5s\"\nshare = 1.0\nback = \"10s\"\n"

// What is owed at a full disk, after the list service has counted from 1 anew, and by one that is alone.
func TestAuditIsNoOutage(t *testing.T) {
	build := program(t)
	for _, c := range []struct {
		name  string
		text  string
		holds func(o *together) bool
	}{
		{"the disk is full", lasts("12s") + audited + onDisk + leaveAt("6s") + faultAt("disk_full", "0s", "share = 1.0"), func(o *together) bool {
			return o.res.Audited.Trails != nil && o.log("no space left") == 12 && o.servedBy(8*time.Second) == 12
		}},
		{"the list service counts from 1 again", lasts("34s") + audited + trails + auditor + shuts + leaveAt("4s") +
			list("forget", "10s", "1s", "") + "[[fault]]\nkind = \"crash\"\nat = \"13s\"\nboxes = 1\n", func(o *together) bool {
			return o.servedBy(24*time.Second) == 12 && strings.Contains(o.lastRound("a"), `"up_to_date":12`)
		}},
		{"one alone, cut off", strings.Replace(lasts("32s")+audited, "sidecars = 12", "sidecars = 1", 1) + trails + auditor + shuts + cutOff + leaveAt("22s"), func(o *together) bool {
			return o.servedBy(28*time.Second) == 1
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			o := playTogether(t, build, c.text)
			o.wellTold()
			if !c.holds(o) {
				t.Errorf("%+v; %s", *o.res.Audited, o.lastRound("a"))
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
func (o *together) each(after time.Duration, f func(t *trace.Try, v *trace.Visit)) {
	visits := map[uint64]*trace.Visit{}
	for i := range o.played.Visits {
		visits[o.played.Visits[i].Txn] = &o.played.Visits[i]
	}
	for i := range o.played.Tries {
		if t := &o.played.Tries[i]; t.Due > after {
			f(t, visits[t.Txn])
		}
	}
}

// left are the boxes that discovery has told to leave.
func (o *together) left() map[int]bool {
	out := map[int]bool{}
	for _, told := range o.played.Told {
		if told.Phase == trace.Terminating {
			out[told.Box] = true
		}
	}
	return out
}

// late counts the requests due after a time that came to a box that had left.
func (o *together) late(after time.Duration) (n int) {
	left := o.left()
	o.each(after, func(_ *trace.Try, v *trace.Visit) {
		if v != nil && left[v.Box] {
			n++
		}
	})
	return n
}

// onWaking counts the requests that came while their sidecars were stopped and were sent to boxes that had left.
func (o *together) onWaking() (n int) {
	left := o.left()
	o.each(12*time.Second, func(t *trace.Try, v *trace.Visit) {
		if v != nil && left[v.Box] && t.Due < 16*time.Second && v.Begun > 16*time.Second {
			n++
		}
	})
	return n
}

// servedBy is how many sidecars served something that was due after a time.
func (o *together) servedBy(after time.Duration) int {
	by := map[int]bool{}
	o.each(after, func(t *trace.Try, _ *trace.Visit) {
		if t.Status == trace.Served {
			by[t.Sidecar] = true
		}
	})
	return len(by)
}

// refusedOrders counts the orders that came again and were refused as old.
func (o *together) refusedOrders() (n int) {
	for _, r := range o.played.Ordered {
		if r.Code == 409 {
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
