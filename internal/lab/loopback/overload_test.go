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

// crowd is twelve sidecars that start at once, know nothing, and ask one list service of ten calls a second. That a
// machine that stands still for a moment brings some of them together is what the line is for.
const crowd = `
name = "crowd"
length = "9s"
settle = "0s"
` + classes + `
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

// spared switches the mechanism on.
const (
	spared    = "operator = \"\"\"\n[discovery]\ncalls = 5\nburst = 2\nresume = true\n\"\"\"\n"
	nothing   = "known = \"none\"\n"
	something = "known = \"fresh\"\n"
)

// Several processes of the program and one list service, with faults between them. Each row holds with the mechanism, and
// fails with it taken out: the same play without the section, or without the list that it is given.
func TestProcessesTogether(t *testing.T) {
	build := program(t)
	for _, c := range []struct {
		name    string
		with    string // of the fleet
		without string
		faults  string
		holds   func(o *together) bool
	}{
		{"the service is back after a while", spared + nothing, nothing, listResponse("down", "0s", "1500ms", ""), func(o *together) bool {
			return o.res.Together.Turned == 0 && o.res.Together.Unready == 0 && o.res.Together.Unheard == 0
		}},
		{"a third is killed in the middle, and comes again", spared + nothing, nothing,
			listResponse("down", "0s", "1s", "") + "[[fault]]\nkind = \"sidecar_kill\"\nat = \"2s\"\nboxes = 4\nback = \"1s\"\n", func(o *together) bool {
				return o.res.Together.Turned == 0 && o.res.Together.Unready == 0 && o.res.Together.Unheard == 0 && o.count(trace.SidecarStarted) == 16
			}},
		{"down for good, with a list that is known", spared + something, spared + nothing, listResponse("down", "0s", "20s", ""), func(o *together) bool {
			return o.res.Together.Unready == 0 && o.served() > 0
		}},
		{"all are stopped in the middle of their first call", spared + nothing, nothing,
			listResponse("slow", "0s", "5s", "back = \"3s\"") + "[[fault]]\nkind = \"sidecar_pause\"\nat = \"2500ms\"\nshare = 1.0\nfor = \"4s\"\n", func(o *together) bool {
				return o.given() == 0 && o.log("was stopped") >= 6
			}},
		{"half are cut off from the service, and healed", spared + something, something,
			"[[fault]]\nkind = \"link_cut\"\nof = \"list\"\nat = \"500ms\"\nfor = \"4s\"\nboxes = 6\n", func(o *together) bool {
				return o.res.Together.Turned == 0 && o.res.Together.Unready == 0 && o.res.Together.Unheard == 0
			}},
		// Each asks again 1.5 s after the empty list, and would take it after 2.5 s: most must have come to that.
		{"an empty list at first", strings.Replace(spared, "calls = 5", "calls = 8", 1) + something, something,
			listResponse("wrong", "0s", "1s", "of = \"empty\""), func(o *together) bool { return o.log(`"complete":true,"members":0,`) < 6 }},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for how, fleet := range map[bool]string{true: c.with, false: c.without} {
				room <- struct{}{}
				o := playTogether(t, build, crowd+fleet+c.faults)
				<-room
				if o.verdict.Counts[judge.Crashed] > 0 || o.verdict.Counts[judge.Lost] > 0 {
					t.Errorf("%v", told(o.verdict))
				}
				if o.res.Rig.Void {
					t.Logf("the rig ran late: %s", o.res.Rig.Why)
				}
				if !how && o.res.Rig.Void { // a machine that is too busy for a storm says nothing of what keeps one off
					continue
				}
				if got := c.holds(o); got != how {
					t.Errorf("with the mechanism %v: it holds %v; %+v", how, got, *o.res.Together)
				}
			}
		})
	}
}

func listResponse(kind, at, dur, more string) string {
	return "[[fault]]\nkind = \"list_" + kind + "\"\nat = \"" + at + "\"\nfor = \"" + dur + "\"\n" + more + "\n"
}

// together is a play and what came of it.
type together struct {
	t       *testing.T
	dir     string
	played  *trace.Log
	verdict judge.Verdict
	res     *result.Result
}

func playTogether(t *testing.T, build, text string) *together {
	t.Helper()
	p, o := planned(t, text), &together{t: t, dir: t.TempDir()}
	var err error
	if o.played, err = loopback.Play(context.Background(), p, loopback.Options{Builds: [2]string{build}, LogDir: o.dir}); err != nil {
		t.Fatal(err)
	}
	o.verdict = judge.Judge(p, o.played)
	o.res = result.Of(p, o.played, nil, result.Meta{Player: "sockets"})
	return o
}

func (o *together) count(what trace.SidecarEventKind) (n int) {
	for _, c := range o.played.SidecarEvents {
		if c.Kind == what {
			n++
		}
	}
	return n
}

func (o *together) served() int { return o.res.All.Served.Count + o.res.All.Late.Count }

// given is how many calls at the service were given up before the run's end.
func (o *together) given() (n int) {
	for _, a := range o.played.Polls {
		if a.Outcome == trace.PollAbandoned && a.At+a.Duration < o.played.End {
			n++
		}
	}
	return n
}

// log is how many sidecars have said something.
func (o *together) log(word string) (n int) {
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
