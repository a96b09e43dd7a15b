package judge

import (
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"pinelb.example/pinelb/internal/lab/trace"
)

const (
	requestLine = "ask 100 read n1\n"
	servedLines = "visit t1 101 102 110 ok\nend 111 served\n"
)

// TestViolationKinds has each violation beside a near twin that is none.
func TestViolationKinds(t *testing.T) {
	for _, c := range []struct{ name, text, want string }{
		{"served", requestLine + servedLines, ""},
		{"silent", requestLine + "visit t1 101 102 - held\nend 658 silent", "1 lost"},
		{"client left", requestLine + "visit t1 101 102 - held\nend 400 gone", ""},
		{"broken", requestLine + "end 150 broken", "1 lost"},
		{"killed meanwhile", "proc 0 n1 started\nproc 150 n1 killed\n" + requestLine + "end 150 broken", ""},
		{"another was killed", "proc 0 n1 started\nproc 0 n2 started\nproc 150 n2 killed\n" + requestLine + "end 150 broken", "1 lost"},
		{"broken before the kill", "proc 0 n1 started\nproc 400 n1 killed\n" + requestLine + "end 150 broken", "1 lost"},
		{"killed too late", "proc 0 n1 started\nproc 700 n1 killed\n" + requestLine + "end 658 silent", "1 lost"},
		{"sent after the kill", "proc 0 n1 started\nproc 90 n1 killed\nproc 5000 n1 started\n" + requestLine + "end 101 broken", ""},
		{"sent after the restart", "proc 0 n1 started\nproc 90 n1 killed\nproc 95 n1 started\n" + requestLine + "end 101 broken", "1 lost"},
		{"ended after SIGTERM", "proc 0 n1 started\nproc 50 n1 stopping\nproc 150 n1 ended\n" + requestLine + "end 150 broken", "1 lost"},
		{"killed at the end of its grace", "proc 0 n1 started\nproc 50 n1 stopping\nproc 300 n1 killed\n" + requestLine + "end 300 broken", ""},
		{"taken late in its grace", "proc 0 n1 started\nproc 10 n1 stopping\nproc 1200 n1 killed\nask 800 read n1\nend 1200 broken", "1 lost"},
		{"overdue", requestLine + "visit t1 101 102 650 ok\nend 660 served", "1 lost"},
		{"just in time", requestLine + "visit t1 101 102 650 ok\nend 658 served", ""},

		{"two answers", requestLine + "visit t1 101 102 110 ok\nend 111 served twice", "1 answered twice"},
		{"forged", requestLine + "visit t1 101 102 110 ok\nend 111 served forged", "1 forged"},
		{"nobody ran it", requestLine + "visit t1 101 - 102 away\nend 111 served", "1 forged"},

		{"refused after an error", "ask 100 charge n1\nvisit t1 101 102 110 error\nend 111 refused", "1 unsafe refused"},
		{"refused in the waiting room", "ask 100 charge n1\nvisit t1 101 - 200 withdrawn\nend 201 refused", "1 unsafe refused"},
		{"refused unseen", "ask 100 charge n1\nvisit t1 101 - 101 away\nend 111 refused", ""},
		{"failed after an error", "ask 100 charge n1\nvisit t1 101 102 110 error\nend 111 failed", ""},
		{"a key refused", "ask 100 order n1\nvisit t1 101 102 110 error\nend 111 refused", ""},
		{"a key refused too late", "ask 100 order n1\nvisit t1 101 102 - held\nend 560 refused", "1 unsafe refused"},
		{"a read refused", requestLine + "visit t1 101 102 110 error\nend 111 refused", ""},

		{"unsafe sent again", "ask 100 charge n1\nvisit t1 101 102 110 error\nvisit t2 112 113 120 ok\nend 121 served", "1 ran twice"},
		{"unsafe sent again though it waits", "ask 100 charge n1\nvisit t1 101 - 150 withdrawn\nvisit t2 112 - 150 withdrawn\nend 151 failed", "1 ran twice"},
		{"unsafe sent on", "ask 100 charge n1\nvisit t1 101 - 101 away\nvisit t2 112 113 120 ok\nend 121 served", ""},
		{"the client tries again", "ask 100 charge n1\nvisit t1 101 - 101 away\nend 102 refused\nretry 200 n2\nvisit t2 201 202 210 ok\nend 211 served", ""},
		{"and both ran", "ask 100 charge n1\nvisit t1 101 102 110 error\nend 111 refused\nretry 200 n2\nvisit t2 201 202 210 ok\nend 211 served",
			"1 unsafe refused, 1 ran twice"},
		{"a key within its window", "ask 100 order n1\nvisit t1 101 102 110 error\nvisit t2 500 501 510 ok\nend 511 served", ""},
		{"a key beyond it", "ask 100 order n1\nvisit t1 101 102 110 error\nvisit t2 570 571 575 ok\nend 576 served", "1 ran twice"},

		{"many attempts", requestLine + strings.Repeat("visit t1 101 102 110 error\n", 3) + "end 111 failed", ""},
		{"too many", requestLine + strings.Repeat("visit t1 101 102 110 error\n", 5) + "end 111 failed", "2 too many attempts"},

		{"sent when it was over", requestLine + servedLines + "visit t2 170 171 175 ok", "1 after the end"},
		{"on its way then", requestLine + servedLines + "visit t2 165 166 170 ok", ""},

		{"drained", "told 100 n1 t1 draining\nask 400 read n1\nvisit t1 449 449 450 ok\nend 451 served", ""},
		{"after it", "told 100 n1 t1 draining\nask 400 read n1\nvisit t1 451 451 452 ok\nend 453 served", "1 after drain"},
		{"another was told", "told 100 n2 t1 gone\nask 500 read n1\nvisit t1 501 501 502 ok\nend 503 served", ""},
		{"gone counts from the drain on", "told 100 n1 t1 draining\ntold 400 n1 t1 gone\nask 500 read n1\nvisit t1 501 501 502 ok\nend 503 served", "1 after drain"},
		{"listed again", "told 100 n1 t1 gone\ntold 450 n1 t1 ready\nask 500 read n1\nvisit t1 501 501 502 ok\nend 503 served", ""},
		{"nobody listens", "agent 100 n1 t1 gone\nask 6500 read n1\nvisit t1 6501 6501 6502 ok\nend 6503 served", "1 after drain"},
		{"not yet as good as told", "agent 100 n1 t1 gone\nask 6400 read n1\nvisit t1 6401 6401 6402 ok\nend 6403 served", ""},
		{"a new process asks anew", "told 100 n1 t1 gone\nproc 400 n1 started\nask 500 read n1\nvisit t1 501 501 502 ok\nend 503 served", ""},

		{"stray", requestLine + servedLines + "stray t1 150", "1 unknown request"},
		{"crash", "proc 0 n1 started\nproc 50 n1 crashed", "1 crashed"},
		{"planned end", "proc 0 n1 started\nproc 40 n1 stopping\nproc 50 n1 ended", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			v := Judge(parseScript(t, c.text))
			if got := countsText(v); got != c.want {
				t.Errorf("found %q, want %q in\n%s", got, c.want, c.text)
			}
			if v.Passed() != (c.want == "") {
				t.Error("Held says something else")
			}
		})
	}
}

// TestUnlistedEndpoint checks that an endpoint counts as listed by the list that a sidecar had at its start, by discovery's of the run's
// start, or by a notification since.
func TestUnlistedEndpoint(t *testing.T) {
	for told, want := range map[string]string{"": "1 unknown request", "told 90 n1 t3 ready\n": "", "told 300 n1 t3 ready\n": "1 unknown request"} {
		p, log := parseScript(t, told+requestLine+"visit t3 101 102 110 ok\nend 111 served")
		p.Endpoints[2].Start = "absent"
		p.Sidecars[0].InitialList = p.InitialMembers(0)
		if got := countsText(Judge(p, log)); got != want {
			t.Errorf("notification %q: found %q, want %q", told, got, want)
		}
	}
}

func TestHedgesAllowed(t *testing.T) {
	for text, want := range map[string]string{
		"visit t1 101 102 300 ok\nvisit t2 200 201 210 ok\nend 211 served":        "1 second copy",
		"visit t1 101 102 250 withdrawn\nvisit t2 200 201 210 ok\nend 211 served": "",
		"visit t1 101 102 - held\nvisit t2 200 201 210 ok\nend 211 served":        "1 second copy",
	} {
		for _, allowed := range []bool{false, true} {
			p, log := parseScript(t, requestLine+text)
			if p.Scenario.Rules.Hedging = allowed; allowed {
				want = ""
			}
			if got := countsText(Judge(p, log)); got != want {
				t.Errorf("copies allowed %v: found %q, want %q in\n%s", allowed, got, want, text)
			}
		}
	}
}

// TestColdOverload has a cold endpoint of half a core, which collapses at 2.5 times that. It was down, started at 1000 and was sent 1.5 s
// of work by 1300: within the window it counts as able to do 0.5 s of it, since it was never better.
func TestColdOverload(t *testing.T) {
	const (
		box   = "start 1000 t1\nsample 900 t1 0 0\nsample 1100 t1 500 50 cold\nsample 1200 t1 1000 100 cold\nsample 1300 t1 1500 150 fallen\n"
		sends = "ask 1050 read n1\nvisit t1 1051 1052 1290 lost\nend 1291 failed\nask 1100 read n2\nvisit t1 1101 1102 1290 lost\nend 1291 failed\n" +
			"ask 1200 read n1\nvisit t1 1201 1202 1290 lost\nend 1291 failed\n"
		one = "told 1010 n1 t1 ready 1000\n"
	)
	for text, want := range map[string]string{box + sends: "", box + one + sends: "1 pushed over"} {
		v := Judge(parseScript(t, text))
		if got := countsText(v); got != want {
			t.Errorf("found %q, want %q in\n%s", got, want, text)
		}
		if b := v.Endpoints[0]; b.CollapsedAt != 1300*time.Millisecond || math.Abs(b.Max-1.2) > 0.001 {
			t.Errorf("load %+v, want a collapse at 1.3 s at 1.2 times its limit", b)
		}
	}
	if v := Judge(parseScript(t, "sample 0 t1 0 0 cold\nsample 100 t1 200 50 cold\nsample 1100 t1 700 550 cold\nsample 1200 t1 800 600")); math.Abs(v.Endpoints[0].Max-0.44) > 0.001 ||
		v.Endpoints[0].CollapsedAt != trace.Unset || v.Endpoints[1].Max != 0 {
		t.Errorf("near miss: %+v, want 550 ms in a window that stands 2.5 x 500 ms", v.Endpoints)
	}
}

// TestTimeline checks that a timeline has both ends.
func TestTimeline(t *testing.T) {
	v := Judge(parseScript(t, `
told 20 n1 t1 ready
proc 0 n1 started
ask 100 charge n1
visit t1 101 102 110 error
visit t2 112 113 120 ok
end 121 served
ask 100 read n2
visit t3 101 102 110 ok
end 111 served`))
	if len(v.Violations) != 1 {
		t.Fatalf("%+v", v.Violations)
	}
	want := []string{
		"+  0.000 s  sidecar n1: started",
		"+  0.020 s  discovery tells sidecar n1 that box t-1 is Ready",
		"+  0.100 s  request 0 is due: charge (unsafe), its client waits 1s",
		"+  0.100 s  try 1 is written to sidecar n1, with 500ms left",
		"+  0.101 s  box t-1 has an attempt of try 1, on connection 0, since +0.101 s",
		"+  0.102 s  box t-1 begins to run it",
		"+  0.110 s  box t-1 is done with it: error",
		"+  0.112 s  box t-2 has an attempt of try 1, on connection 0, since +0.112 s",
		`+  0.112 s  here "ran twice": it was sent to box t-2 11ms after it may have run at box t-1, and it ran again`,
		"+  0.113 s  box t-2 begins to run it",
		"+  0.120 s  box t-2 is done with it: ok",
		"+  0.121 s  try 1 ends: served",
	}
	if got := v.Violations[0].Timeline; !slices.Equal(got, want) {
		t.Errorf("got\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
}

// TestRecordedViolationsAreLimited checks that all are counted, and the earliest of each kind recorded.
func TestRecordedViolationsAreLimited(t *testing.T) {
	v := Judge(parseScript(t, strings.Repeat("ask 300 read n1\nend 400 broken\n", 30)+"ask 100 read n1\nend 110 broken\nproc 500 n1 crashed"))
	if v.Counts[LostRequest] != 31 || len(v.Violations) != maxRecorded+1 || v.Violations[0].Request != 30 || v.Violations[maxRecorded].Kind != SidecarCrash {
		t.Errorf("%d lost, %d recorded, the first of request %d", v.Counts[LostRequest], len(v.Violations), v.Violations[0].Request)
	}
}

// TestPlainPolicy checks that there is no sidecar to blame where clients go straight to the endpoints.
func TestPlainPolicy(t *testing.T) {
	p, log := parseScript(t, requestLine+"end 150 broken")
	p.Scenario.Fleet.Policy = "plain"
	if got := countsText(Judge(p, log)); got != "" {
		t.Errorf("found %q", got)
	}
}
