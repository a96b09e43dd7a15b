package loopback_test

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"pinelb.example/pinelb/internal/lab/judge"
	"pinelb.example/pinelb/internal/lab/loopback"
	"pinelb.example/pinelb/internal/lab/result"
	"pinelb.example/pinelb/internal/lab/trace"
)

// overloadScenario is twelve sidecars that start at once, know no endpoint, and poll one list service that responses ten calls a second. Its
// queue is for a machine that stalls for a moment and so brings some of them together.
const overloadScenario = `
name = "crowd"
length = "9s"
settle = "0s"
` + scenarioClasses + `
[[tier]]
name = "t"
[[tier.kind]]
boxes = 3
cores = 4
[clients]
rate = 40
[discovery.service]
calls = 2
call = "200ms"
line = 8
[fleet]
sidecars = 12
start = "with"
`

// pollLimits switches the mechanism on: the operator's limits on polls.
const (
	pollLimits     = "operator = \"\"\"\n[discovery]\ncalls = 5\nburst = 2\nresume = true\n\"\"\"\n"
	noKnownList    = "known = \"none\"\n"
	freshKnownList = "known = \"fresh\"\n"
)

// TestListServiceOverload plays processes of the program and one list service, with faults between them. Each row holds with the mechanism,
// and fails without it: the same play without the section, or without the list that it is given.
func TestListServiceOverload(t *testing.T) {
	build := buildProgram(t)
	for _, c := range []struct {
		name    string
		with    string // of the fleet
		without string
		faults  string
		holds   func(o *processPlay) bool
	}{
		{"the service is back after a while", pollLimits + noKnownList, noKnownList, listFault("down", "0s", "1500ms", ""), func(o *processPlay) bool {
			return o.res.FleetLoad.RejectedPolls == 0 && o.res.FleetLoad.NeverReady == 0 && o.res.FleetLoad.NeverListed == 0
		}},
		{"a third is killed in the middle, and comes again", pollLimits + noKnownList, noKnownList,
			listFault("down", "0s", "1s", "") + "[[fault]]\nkind = \"sidecar_kill\"\nat = \"2s\"\nboxes = 4\nback = \"1s\"\n", func(o *processPlay) bool {
				return o.res.FleetLoad.RejectedPolls == 0 && o.res.FleetLoad.NeverReady == 0 && o.res.FleetLoad.NeverListed == 0 && o.countEvents(trace.SidecarStarted) == 16
			}},
		{"down for good, with a list that is known", pollLimits + freshKnownList, pollLimits + noKnownList, listFault("down", "0s", "20s", ""), func(o *processPlay) bool {
			return o.res.FleetLoad.NeverReady == 0 && o.served() > 0
		}},
		{"all are stopped in the middle of their first call", pollLimits + noKnownList, noKnownList,
			listFault("slow", "0s", "5s", "back = \"3s\"") + "[[fault]]\nkind = \"sidecar_pause\"\nat = \"2500ms\"\nshare = 1.0\nfor = \"4s\"\n", func(o *processPlay) bool {
				return o.canceledPolls() == 0 && o.countLogs("was stopped") >= 6
			}},
		{"half are cut off from the service, and healed", pollLimits + freshKnownList, freshKnownList,
			"[[fault]]\nkind = \"link_cut\"\nof = \"list\"\nat = \"500ms\"\nfor = \"4s\"\nboxes = 6\n", func(o *processPlay) bool {
				return o.res.FleetLoad.RejectedPolls == 0 && o.res.FleetLoad.NeverReady == 0 && o.res.FleetLoad.NeverListed == 0
			}},
		// Each asks again 1.5 s after the empty list, and takes it after 2.5 s where nothing was answered. Without the limits the twelve ask
		// together and the service turns most calls away: how many are answered in that second is chance (4 to 6 of 12 take the list), that
		// some are not is none. With the limits nobody may take it.
		{"an empty list at first", strings.Replace(pollLimits, "calls = 5", "calls = 8", 1) + freshKnownList, freshKnownList,
			listFault("wrong", "0s", "1s", "of = \"empty\""), func(o *processPlay) bool { return o.countLogs(`"complete":true,"members":0,`) == 0 }},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for how, fleet := range map[bool]string{true: c.with, false: c.without} {
				playSlots <- struct{}{}
				o := playProcesses(t, build, overloadScenario+fleet+c.faults)
				<-playSlots
				if o.verdict.Counts[judge.SidecarCrash] > 0 || o.verdict.Counts[judge.LostRequest] > 0 {
					t.Errorf("%v", firstStories(o.verdict))
				}
				if o.res.Harness.Void {
					t.Logf("the rig ran late: %s", o.res.Harness.Reason)
				}
				if !how && o.res.Harness.Void { // a machine that is too busy for an overload shows nothing of what prevents one
					continue
				}
				if got := c.holds(o); got != how {
					t.Errorf("with the mechanism %v: it holds %v; %+v", how, got, *o.res.FleetLoad)
				}
			}
		})
	}
}

func listFault(kind, at, dur, more string) string {
	return "[[fault]]\nkind = \"list_" + kind + "\"\nat = \"" + at + "\"\nfor = \"" + dur + "\"\n" + more + "\n"
}

// processPlay is a play and its results.
type processPlay struct {
	t       *testing.T
	dir     string
	played  *trace.Log
	verdict judge.Verdict
	res     *result.Result
}

func playProcesses(t *testing.T, build, text string) *processPlay {
	t.Helper()
	p, o := buildPlan(t, text), &processPlay{t: t, dir: t.TempDir()}
	var err error
	if o.played, err = loopback.Play(context.Background(), p, loopback.Options{Builds: [2]string{build}, LogDir: o.dir}); err != nil {
		t.Fatal(err)
	}
	o.verdict = judge.Judge(p, o.played)
	o.res = result.New(p, o.played, nil, result.Meta{Player: "sockets"})
	return o
}

func (o *processPlay) countEvents(what trace.SidecarEventKind) (n int) {
	for _, c := range o.played.SidecarEvents {
		if c.Kind == what {
			n++
		}
	}
	return n
}

func (o *processPlay) served() int { return o.res.All.Served.Count + o.res.All.Late.Count }

// canceledPolls counts the polls that were canceled before the run's end.
func (o *processPlay) canceledPolls() (n int) {
	for _, a := range o.played.Polls {
		if a.Outcome == trace.PollAbandoned && a.At+a.Duration < o.played.End {
			n++
		}
	}
	return n
}

// countLogs counts the sidecars whose log has a text.
func (o *processPlay) countLogs(word string) (n int) {
	files, err := filepath.Glob(filepath.Join(o.dir, "*.log"))
	if err != nil {
		o.t.Fatal(err)
	}
	for _, f := range files {
		text, err := os.ReadFile(f)
		if err != nil {
			o.t.Fatal(err)
		}
		if strings.Contains(string(text), word) {
			n++
		}
	}
	return n
}
