package calibration

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"pinelb.example/pinelb/internal/accesslog"
	"pinelb.example/pinelb/internal/lab/plan"
	"pinelb.example/pinelb/internal/lab/scenario"
	"pinelb.example/pinelb/internal/lab/simulation"
	"pinelb.example/pinelb/internal/lab/trace"
	"pinelb.example/pinelb/scenarios"
)

// direct leaves the calibration out, which takes most of the time.
var direct = Options{Evaluations: -1}

// observe plays a scenario that comes with the program, with more faults and cut short, and returns what the records
// of its first tier's sidecars say, each read from its text.
func observe(t testing.TB, name, more string, length time.Duration, seed uint64) ([]*accesslog.Recording, *plan.Plan, *trace.Log) {
	t.Helper()
	text, err := scenarios.Files.ReadFile(name + ".toml")
	if err != nil {
		t.Fatal(err)
	}
	s, err := scenario.Parse(name, append(text, more...))
	if err != nil {
		t.Fatal(err)
	}
	if length > 0 {
		s.Length = scenario.Span(length)
	}
	p, err := plan.Build(s, seed, nil)
	if err != nil {
		t.Fatal(err)
	}
	records, log := played(t, p)
	return records, p, log
}

// played plays a plan for observe.
func played(t testing.TB, p *plan.Plan) (out []*accesslog.Recording, log *trace.Log) {
	t.Helper()
	log, err := simulation.Play(p)
	if err != nil {
		t.Fatal(err)
	}
	for i := range p.Sidecars {
		if p.Sidecars[i].Tier > 0 {
			continue
		}
		r, err := Record(p, log, i)
		if err != nil {
			t.Fatal(err)
		}
		out = append(out, read(t, lines(t, r)))
	}
	return out, log
}

// lines are a record's lines.
func lines(t testing.TB, r *accesslog.Recording) string {
	t.Helper()
	var b bytes.Buffer
	if err := accesslog.Write(&b, r); err != nil {
		t.Fatal(err)
	}
	return b.String()
}

func read(t testing.TB, text string) *accesslog.Recording {
	t.Helper()
	r, err := accesslog.Read(strings.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func fitted(t testing.TB, records []*accesslog.Recording, o Options) *Replay {
	t.Helper()
	r, err := Fit(records, o)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// TestMargin replays scenarios of which the fit sees the records alone. REHEARSE_SEEDS=5 plays so many seeds of all of
// them, with trial plays, and logs each count; without it, it plays one seed of bad-morning and one of endpoints that spend
// most of a request's time waiting for the next tier.
func TestMargin(t *testing.T) {
	days, seeds, o := []string{"bad-morning", "two-tiers"}, 1, direct
	if n, err := strconv.Atoi(os.Getenv("REHEARSE_SEEDS")); err == nil {
		days, seeds, o = []string{"bad-morning", "two-tiers", "hang-while-cold", "slow-then-vanish", "flap", "calm"}, n, Options{}
	}
	for _, day := range days {
		for seed := uint64(1); seed <= uint64(seeds); seed++ {
			records, _, _ := observe(t, day, "", 0, seed)
			started := time.Now()
			r := fitted(t, records, o)
			took := time.Since(started)
			c, err := r.Play(r.Seed)
			if err != nil {
				t.Fatal(err)
			}
			line := fmt.Sprintf("%s, seed %d, %.1f s to fit:", day, seed, took.Seconds())
			for _, row := range r.Compare(c) {
				line += fmt.Sprintf(" %s %d for %d", row.Name, row.Replayed, row.Recorded)
				if !row.WithinMargin {
					line += " (BEYOND)"
				}
			}
			t.Log(line)
			if (day == "bad-morning" || day == "two-tiers") && !AllWithinMargin(r.Compare(c)) {
				t.Errorf("beyond the margin; it found\n%s", strings.Join(r.Notes, "\n"))
			}
		}
	}
}

func TestNoFaultsInCalmRecords(t *testing.T) {
	records, _, _ := observe(t, "calm", "", 10*time.Second, 1)
	r := fitted(t, records, direct)
	if len(r.Scenario.Faults) > 0 {
		t.Errorf("faults were found in a calm: %+v", r.Scenario.Faults)
	}
	again := fitted(t, records, direct)
	if d := cmp.Diff(r.Scenario, again.Scenario); d != "" || !cmp.Equal(r.Arrivals, again.Arrivals) || !cmp.Equal(r.Notes, again.Notes) {
		t.Error("the same record gives two fits:", d)
	}
}

// TestFaultsAreFound has nearly every kind of fault at once, each at one endpoint.
func TestFaultsAreFound(t *testing.T) {
	planted := []struct {
		kind, more string
		at, length float64 // length 0: to the end
		found      string  // where the record can't tell it from another kind
	}{{"fail", "size = 0.4", 2, 5, ""}, {"spoil", "size = 0.3", 3, 5, ""}, {"cut", "size = 0.3", 4, 5, ""}, {"mute", "size = 0.3", 5, 5, ""},
		{"slow", "size = 3", 6, 5, ""}, {"hang", "", 7, 4, ""}, {"refuse", "", 8, 4, ""}, {"leave", "", 12, 2, "crash"}, {"crash", "", 9, 3, ""},
		{"vanish", "", 13, 0, ""}}
	more := ""
	for i, f := range planted {
		more += fmt.Sprintf("\n[[fault]]\nkind = %q\nnames = [\"order-%d\"]\nat = \"%gs\"\nfor = \"%gs\"\n%s\n", f.kind, i+1, f.at, f.length, f.more)
	}
	more += "\n[rules]\nconn_idle = \"400ms\"\n" // so that refused connections are tried at all
	records, _, _ := observe(t, "calm", more+"\n[[fault]]\nkind = \"drain\"\nnames = [\"order-11\"]\nat = \"5s\"\ngrace = \"3s\"\nback = \"2s\"\n", 0, 1)
	r := fitted(t, records, direct)
	for i, f := range planted {
		kind, host, seen := f.kind, fmt.Sprint("order-", i+1), 0
		if f.found != "" {
			kind = f.found
		}
		for _, g := range r.Scenario.Faults {
			if len(g.Names) != 1 || g.Names[0] != host {
				continue
			}
			if seen++; g.Kind != kind {
				t.Errorf("%s: %s was found for %s", host, g.Kind, kind)
			}
			// A share of the requests shows its ends only as far as those come, and connections that are refused
			// only when one is tried.
			most := 1.0
			if f.kind == "refuse" {
				most = f.length
			}
			if off := g.At.D().Seconds() - f.at; off < -0.5 || off > most {
				t.Errorf("%s: %s from %v, not from %g s", host, kind, g.At.D(), f.at)
			}
			// A host that left is not back; and once connections are refused hardly any are tried.
			if off := g.Duration.D().Seconds() - f.length; f.kind != "leave" && f.kind != "refuse" && (off < -1.6 || off > 1.6) {
				t.Errorf("%s: %s for %v, not for %g s", host, kind, g.Duration.D(), f.length)
			}
		}
		if seen != 1 {
			t.Errorf("%s: %d faults were found, of which one was planted; all:\n%s", host, seen, strings.Join(r.Notes, "\n"))
		}
	}
	notes := strings.Join(r.Notes, "\n")
	for _, want := range []string{"order-6 took requests and answered none from", "order-11 was told to drain at"} {
		if !strings.Contains(notes, want) {
			t.Errorf("%q is not among the notes\n%s", want, notes)
		}
	}
}

// TestAttainedWork compares the reconstructed work of endpoints with what their models did.
func TestAttainedWork(t *testing.T) {
	records, p, log := observe(t, "calm", "", 10*time.Second, 2)
	v, err := mergeRecords(records)
	if err != nil {
		t.Fatal(err)
	}
	m := &fittedModel{cores: 1, slots: 20, queue: 24, warmup: warmup{initialShare: 1, duration: 1}}
	did, found := 0.0, 0.0
	for _, x := range log.EndpointRequests {
		if x.Outcome == trace.OutcomeOK {
			did += x.Work.Seconds()
		}
	}
	for h := range v.endpoints {
		m.speeds = append(m.speeds, p.Endpoints[h].Spec.Speed)
		if v.endpoints[h].name != p.Endpoints[h].Name {
			t.Fatalf("host %d is %s", h, v.endpoints[h].name)
		}
	}
	for h := range v.endpoints {
		for _, x := range m.pieces(v, h, nil) {
			if !x.censored {
				found += x.work
			}
		}
	}
	// The way there and back, and the pauses, count as work here.
	if found < 0.99*did || found > 1.05*did {
		t.Errorf("%.1f s of work were found, %.1f s were done", found, did)
	}
}

// TestCoresAreFound has endpoints of several cores, as fast in all as the scenario's of one.
func TestCoresAreFound(t *testing.T) {
	for _, cores := range []int{1, 2, 4, 8} {
		_, p, _ := observe(t, "calm", "", 10*time.Second, 3)
		for i := range p.Endpoints {
			p.Endpoints[i].Spec.Cores, p.Endpoints[i].Spec.Speed = cores, p.Endpoints[i].Spec.Speed/float64(cores)
		}
		records, _ := played(t, p)
		r := fitted(t, records, direct)
		if got := r.Scenario.Tiers[0].Kinds[0].Cores; got != cores {
			t.Errorf("%d cores were found for %d", got, cores)
		}
		if len(r.Scenario.Faults) > 0 {
			t.Errorf("faults were found in a calm: %+v", r.Scenario.Faults)
		}
	}
}

func TestWriteRoundTrip(t *testing.T) {
	records, _, _ := observe(t, "slow-then-vanish", "", 9*time.Second, 1)
	r := fitted(t, records, direct)
	dir := t.TempDir()
	if err := r.Write(dir, records); err != nil {
		t.Fatal(err)
	}
	s, err := scenario.Load(dir + "/scenario.toml")
	if err != nil {
		t.Fatal(err)
	}
	copied, err := os.ReadFile(s.Clients.RecordFile)
	if err != nil {
		t.Fatal(err)
	}
	arrivals, err := Arrivals(read(t, string(copied)), s)
	if err != nil {
		t.Fatal(err)
	}
	s.Clients.RecordFile = r.Scenario.Clients.RecordFile
	if d := cmp.Diff(r.Scenario, s, cmpopts.EquateEmpty(), cmpopts.EquateApprox(0, 1e-12)); d != "" {
		t.Error("the file says otherwise:", d)
	}
	if !cmp.Equal(arrivals, r.Arrivals) {
		t.Error("the record's copy gives other arrivals")
	}
}
