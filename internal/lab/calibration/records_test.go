package calibration

import (
	"errors"
	"flag"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/accesslog"
	"pinelb.example/pinelb/internal/stream"
)

// CI has to come to the same result every time; -rapid.seed=0 searches further.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// short is the first record of a short run, which is fitted quickly.
func short(t testing.TB) string {
	records, _, _ := observe(t, "calm", "", 4*time.Second, 1)
	return lines(t, records[0])
}

func noted(t *testing.T, r *Replay, want string) {
	t.Helper()
	if notes := strings.Join(r.Notes, "\n"); !strings.Contains(notes, want) {
		t.Errorf("%q is not among the notes\n%s", want, notes)
	}
}

func TestIncompleteRecords(t *testing.T) {
	complete := short(t)
	at := strings.LastIndex(complete[:len(complete)*2/3], `"tries"`)
	cut := fitted(t, []*accesslog.Recording{read(t, complete[:at+9])}, direct)
	noted(t, cut, "1 lines that are not whole were left out")
	noted(t, cut, "records of 1 sidecars of 2")

	lossy := fitted(t, []*accesslog.Recording{read(t, complete+`{"rec":"lost","t":100,"until":900,"rate":300}`+"\n")}, direct)
	noted(t, lossy, "300 of the streams are missing")
}

func TestUnusableRecords(t *testing.T) {
	complete := short(t)
	change := func(how func(run *accesslog.Run)) []*accesslog.Recording {
		r := read(t, complete)
		how(r.Runs[0])
		return []*accesslog.Recording{r}
	}
	for want, records := range map[string][]*accesslog.Recording{
		"no record holds a run": nil,
		"holds no stream":       change(func(run *accesslog.Run) { run.Streams = nil }),
		"too short to tell":     change(func(run *accesslog.Run) { run.Streams = run.Streams[:20] }),
		"only 0 of": change(func(run *accesslog.Run) {
			for i := range run.Streams {
				run.Streams[i].Outcome = stream.Failed
				for k := range run.Streams[i].Attempts {
					run.Streams[i].Attempts[k].Status = balance.Timeout
				}
			}
		}),
		"15m0s at most": change(func(run *accesslog.Run) { run.Streams[len(run.Streams)-1].Arrival += time.Hour }),
		"tier 1":        append(change(func(*accesslog.Run) {}), change(func(run *accesslog.Run) { run.Header.Settings.Tier = 1 })...),
		`class "other", which n1 lacks`: append(change(func(*accesslog.Run) {}), change(func(run *accesslog.Run) {
			run.Header.Settings.ClassNames = append([]string{"other"}, run.Header.Settings.ClassNames[1:]...)
		})...),
	} {
		_, err := Fit(records, direct)
		var unusable *RecordError
		if !errors.As(err, &unusable) || !strings.Contains(err.Error(), want) {
			t.Errorf("%q is not in the error %v, or it is no RecordError", want, err)
		}
	}
}

// TestSidecarRestart has a sidecar's record that continues after a restart, with half an hour without requests before.
func TestSidecarRestart(t *testing.T) {
	records, _, _ := observe(t, "calm", "", 8*time.Second, 1)
	records = records[:1]
	first := records[0].Runs[0]
	second := *first
	second.Header.Start = first.Header.Start.Add(5 * time.Second)
	move := func(streams []accesslog.Stream, by time.Duration) (out []accesslog.Stream) {
		for _, s := range streams {
			s.Arrival += by
			out = append(out, s)
		}
		return out
	}
	n := 0
	for n < len(first.Streams) && first.Streams[n].Arrival < 4*time.Second {
		n++
	}
	second.Streams = move(first.Streams[n:], 2*time.Second-5*time.Second) // what followed came 2 s later
	first.Streams = first.Streams[:n]
	second.Lists = []accesslog.EndpointList{{Kind: accesslog.ListCached, Hosts: first.Lists[0].Hosts}}
	quiet := 30 * time.Minute
	first.Header.Start = first.Header.Start.Add(-quiet)
	first.Streams = move(first.Streams, quiet)
	for i := range first.Lists {
		if i > 0 {
			first.Lists[i].At += quiet
		}
	}
	records[0].Runs = append(records[0].Runs, &second)
	r := fitted(t, []*accesslog.Recording{read(t, lines(t, records[0]))}, direct)
	noted(t, r, "n1 was not running from")
	if a := r.Arrivals; a[0].At > 2*time.Second || len(a) != n+len(second.Streams) {
		t.Errorf("%d of %d streams are played, the first at %v", len(a), n+len(second.Streams), a[0].At)
	}
	for _, f := range r.Scenario.Faults {
		if f.Kind == "sidecar_kill" && f.Names[0] == "n1" && f.RecoveryDelay > 0 {
			return
		}
	}
	t.Errorf("no sidecar is stopped: %+v", r.Scenario.Faults)
}

// TestMaxScoringSegment compares the single pass with all segments of a sequence.
func TestMaxScoringSegment(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		scores := rapid.SliceOfN(rapid.Float64Range(-3, 3), 0, 40).Draw(t, "scores")
		got, best := maxScoringSegment(scores), 0.0
		for i := range scores {
			sum := 0.0
			for _, x := range scores[i:] {
				sum += x
				best = max(best, sum)
			}
		}
		sum := 0.0
		for _, x := range scores[got.from:got.to] {
			sum += x
		}
		if got.score < best-1e-9 || sum < best-1e-9 || got.score > best+1e-9 {
			t.Fatalf("%+v is not the best of %v, %v", got, scores, best)
		}
	})
}

// TestDistributionsUnderCensoring fits distributions to work of which many pieces are censored.
func TestDistributionsUnderCensoring(t *testing.T) {
	for i, truth := range []workDistribution{{mu: -4, sigma: 0.3}, {mu: -3, sigma: 0.55}, {mu: -2, sigma: 0.9}, {exponential: true, mean: 0.03}, {exponential: true, mean: 0.03, noise: 0.3}} {
		rng := rand.New(rand.NewPCG(uint64(i), 1))
		var of []workPiece
		for range 4000 {
			work, middle := math.Exp(truth.mu+truth.sigma*rng.NormFloat64()), math.Exp(truth.mu)
			if truth.exponential {
				middle = truth.mean
				work = middle * rng.ExpFloat64() * math.Exp(truth.noise*rng.NormFloat64()-truth.noise*truth.noise/2)
			}
			limit := middle * math.Exp(1+0.5*rng.NormFloat64())
			of = append(of, workPiece{work: min(work, limit), censored: work > limit})
		}
		var got workDistribution
		got.fit(of)
		off := math.Abs(got.mu-truth.mu) + math.Abs(got.sigma-truth.sigma)
		if truth.exponential {
			off = math.Abs(math.Log(got.mean / truth.mean))
		}
		if got.exponential != truth.exponential || off > 0.08 {
			t.Errorf("%+v was found for %+v", got, truth)
		}
	}
}
