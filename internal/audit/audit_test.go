package audit

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"pinelb.example/pinelb/internal/auditlog"
	"pinelb.example/pinelb/internal/version"
)

// fleet is stand-ins for sidecars, which say what the test sets.
type fleet struct {
	t  *testing.T
	mu sync.Mutex

	reports []auditlog.Report
	orders  [][]version.Order
}

// newFleet has so many, in two zones, all of which act on a list and tell no trail.
func newFleet(t *testing.T, n int) (*fleet, *Inventory) {
	f := &fleet{t: t, reports: make([]auditlog.Report, n), orders: make([][]version.Order, n)}
	r := &Inventory{}
	for i := range n {
		name := fmt.Sprintf("s%d", i)
		f.reports[i] = testReport(name)
		f.reports[i].Zone, f.reports[i].Rank, f.reports[i].Instances = fmt.Sprintf("z%d", i%2), i, n
		r.Sidecars = append(r.Sidecars, Sidecar{Name: name, Addr: serveSidecar(t, func(w http.ResponseWriter, q *http.Request) { f.answer(i, w, q) })})
	}
	return f, r
}

func (f *fleet) answer(i int, w http.ResponseWriter, q *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.reports[i]
	if q.Method == http.MethodPost {
		var o version.Order
		if err := json.NewDecoder(q.Body).Decode(&o); err != nil {
			f.t.Error(err)
		}
		f.orders[i] = append(f.orders[i], o)
		f.reports[i].Minimum, f.reports[i].Version.Epoch = &o.Minimum, o.Minimum.Epoch
	}
	r.Now = millis(time.Now())
	answerWith(r)(w, q)
}

func (f *fleet) set(i int, edit func(r *auditlog.Report)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	edit(&f.reports[i])
}

// options are those of tests: no time is tight.
func testOptions(r *Inventory) Options {
	return Options{Inventory: r, By: "auditor", Concurrency: 8, Timeout: 10 * time.Second, Grace: time.Second, Spread: time.Second, Validity: time.Minute, Share: 0.1}
}

func runRound(t *testing.T, a *Audit) *View {
	t.Helper()
	v, err := a.Round(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return v
}

// status is the row of a sidecar.
func (v *View) row(name string) Row {
	for _, r := range v.Rows {
		if r.Name == name {
			return r
		}
	}
	return Row{}
}

// Guards against stragglers that are taken for up to date, and against who was not reached being counted at all.
func TestRound(t *testing.T) {
	f, r := newFleet(t, 6)
	f.set(1, func(r *auditlog.Report) { r.Version.List = version.List{From: "ls", Revision: 6, Digest: 60} })
	f.set(2, func(r *auditlog.Report) { r.Name = "s9" }) // its address is another one's now
	r.Sidecars[3].Addr = closedAddr(t)
	f.set(4, func(r *auditlog.Report) { r.Rank = 0; r.Instances = 8 })
	a := New(testOptions(r))
	defer a.Close()
	v := runRound(t, a)
	for name, want := range map[string]Status{"s0": UpToDate, "s1": Behind, "s2": NotReached, "s3": NotReached, "s4": UpToDate, "s5": UpToDate} {
		if got := v.row(name); got.Status != want {
			t.Errorf("%s: %+v, want %s", name, got, want)
		}
	}
	if v.Exit() != ExitNotUpToDate || v.Count(UpToDate) != 3 || v.row("s1").Reason != "list" {
		t.Errorf("%d, %s, %+v", v.Exit(), v.Verdict(), v.row("s1"))
	}
	faults := strings.Join(v.InventoryFaults, "\n")
	for _, want := range []string{`s2: ` + r.Sidecars[2].Addr + ` answers as "s9"`, "s0 and s4 have the same rank, 0", "6 sidecars are listed, and their settings tell of 8"} {
		if !strings.Contains(faults, want) {
			t.Errorf("no %q among %s", want, faults)
		}
	}
	var table, lines, page bytes.Buffer
	for _, err := range []error{v.Table(&table, false), v.JSON(&lines), v.Page(&page)} {
		if err != nil {
			t.Error(err)
		}
	}
	if !strings.Contains(table.String(), "3 of 6 up to date, 1 behind, 2 not reached") || strings.Contains(table.String(), "\ns0 ") {
		t.Error(table.String())
	}
	if got := bytes.Count(lines.Bytes(), []byte("\n")); got != 7 {
		t.Errorf("%d lines: %s", got, lines.String())
	}
	for l := range bytes.Lines(lines.Bytes()) {
		if !json.Valid(l) {
			t.Errorf("%s", l)
		}
	}
	if text := page.String(); strings.Contains(text, "<script") || strings.Count(text, `class="away" title`) != 2 {
		t.Error("the page has a script, or not two who were not reached")
	}
}

func TestExit(t *testing.T) {
	f, r := newFleet(t, 2)
	a := New(testOptions(r))
	defer a.Close()
	if v := runRound(t, a); v.Exit() != ExitAllUpToDate || v.Contradictions != nil || v.InventoryFaults != nil {
		t.Errorf("%d: %s, %q", v.Exit(), v.Verdict(), v.InventoryFaults)
	}
	f.set(0, func(r *auditlog.Report) { r.Name = "other" })
	if v := runRound(t, a); v.Exit() != ExitNotUpToDate {
		t.Error("one of two was not reached")
	}
	f.set(1, func(r *auditlog.Report) { r.Name = "other" })
	if v := runRound(t, a); v.Exit() != ExitNoneReached || v.row("s1").LastAnswer == 0 || v.row("s1").Version == nil {
		t.Errorf("%d: %+v", v.Exit(), v.row("s1"))
	}
}

// Guards against a reference that is not the list service's, and one that is forgotten while that does not answer.
func TestListService(t *testing.T) {
	f, r := newFleet(t, 3)
	down := false
	o := testOptions(r)
	o.List = serveSidecar(t, func(w http.ResponseWriter, _ *http.Request) {
		f.mu.Lock()
		defer f.mu.Unlock()
		if down {
			http.Error(w, "", http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte(`{"revision":9,"complete":true,"members":[{"id":"a","host_port":"127.0.0.1:1","phase":"Ready"}]}`))
	})
	a := New(o)
	defer a.Close()
	v := runRound(t, a)
	if v.Count(Behind) != 3 || v.Reference.Revision != 9 || v.Reference.Digest == 0 {
		t.Errorf("%s by %+v", v.Verdict(), v.Reference)
	}
	f.set(0, func(r *auditlog.Report) { r.Version.List = v.Reference })
	f.mu.Lock()
	down = true
	f.mu.Unlock()
	if v := runRound(t, a); v.Count(UpToDate) != 1 || v.Count(Behind) != 2 {
		t.Error(v.Verdict())
	}
}

// Guards against floors that don't go out, and audits that end before they have.
func TestRaisesMinimum(t *testing.T) {
	f, r := newFleet(t, 3)
	o := testOptions(r)
	o.RaiseMinimum, o.Builds = true, []string{"new"}
	f.set(2, func(r *auditlog.Report) { r.Version.Build = "old" })
	var out bytes.Buffer
	kept := filepath.Join(t.TempDir(), "kept")
	if exit, err := Run(t.Context(), o, Output{To: &out, StateFile: kept, Rounds: 2, Interval: time.Millisecond}); exit != ExitNotUpToDate || err != nil {
		t.Errorf("%d, %v", exit, err)
	}
	f.mu.Lock()
	epoch := uint64(0)
	for i, orders := range f.orders {
		if len(orders) != 1 || orders[0].Minimum.Builds[0] != "new" || orders[0].Minimum.Site != "site" || orders[0].Minimum.List != 70 || orders[0].Permit != nil {
			t.Errorf("sidecar %d: %+v", i, orders)
			continue
		}
		epoch = orders[0].Minimum.Epoch
		f.reports[i].Minimum, f.reports[i].Version.Epoch = nil, 0 // all have forgotten it
	}
	f.mu.Unlock()
	// Who continues goes on from the epoch that was given.
	o.By = "another"
	if _, err := Run(t.Context(), o, Output{To: &out, StateFile: kept, Rounds: 1}); err != nil {
		t.Error(err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if got := f.orders[0]; len(got) != 2 || got[1].Minimum.Epoch <= epoch {
		t.Errorf("after epoch %d: %+v", epoch, got)
	}
}

// Guards against dead sidecars whose trail is not read, and against them counting as reached because it is.
func TestUnreachableSidecars(t *testing.T) {
	_, r := newFleet(t, 3)
	s := (&logScript{incarnation: "l", ahead: millis(time.Now())}).adopt(100, 1, 6, 60).count(200, 1, 5, 0)
	var text []byte
	for _, e := range s.entries {
		line, err := json.Marshal(e)
		if err != nil {
			t.Fatal(err)
		}
		text = append(append(text, line...), '\n')
	}
	dirs := []string{t.TempDir(), t.TempDir()}
	for i, dir := range dirs {
		if err := os.WriteFile(filepath.Join(dir, "trail-000000001"), text[i:], 0o600); err != nil { // the second's first line is cut
			t.Fatal(err)
		}
	}
	r.Sidecars[1].Addr, r.Sidecars[1].Dir = closedAddr(t), dirs[0]
	r.Sidecars[2].Addr = closedAddr(t)
	o := testOptions(r)
	o.Dirs = map[string]string{"s2": dirs[1], "unlisted": dirs[0], "nowhere": dirs[0] + "/none"}
	a := New(o)
	defer a.Close()
	v := runRound(t, a)
	if v.Count(NotReached) != 2 || v.Count(UpToDate) != 1 {
		t.Error(v.Verdict())
	}
	for name, want := range map[string]int{"s1": 2, "s2": 1, "unlisted": 2} {
		if got := a.history.Sidecars[name]; got == nil || len(got.Entries) != want {
			t.Errorf("%s: %+v, want %d entries", name, got, want)
		}
	}
	if got := contradictionText(&a.history); !strings.HasPrefix(got, MissingEntries+" s2 ") || strings.Contains(got, "s1") {
		t.Error(got)
	}
	if got := strings.Join(v.InventoryFaults, "\n"); !strings.Contains(got, "nowhere: its trail can't be read") {
		t.Error(got)
	}
	if v.Lists[0].List.Revision != 6 || v.Lists[0].Adopted != 2 {
		t.Errorf("%+v", v.Lists)
	}
}

// Guards against a file that is taken for another's, or for none where it can't be read.
func TestStateFile(t *testing.T) {
	_, r := newFleet(t, 1)
	a := New(testOptions(r))
	defer a.Close()
	for text, want := range map[string]string{
		"":              "unexpected end",
		`{"version":2}`: "version: 2",
		`{"version":1}`: "history is missing",
		`{"version":1,"history":{"Sidecars":{"a":null}}}`: `nothing stands under "a"`,
	} {
		if err := a.restore([]byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %s", text, err, want)
		}
	}
	a.options.Site = "mine"
	if err := a.restore([]byte(`{"version":1,"history":{},"site":"its"}`)); err == nil {
		t.Error("another site's")
	}
}

// BenchmarkRound is what a round costs beside asking, where all that may be held of so many sidecars is.
func BenchmarkRound(b *testing.B) {
	for _, fleet := range []int{400, 5000} {
		b.Run(fmt.Sprint(fleet), func(b *testing.B) {
			r, answers := &Inventory{}, make([]Answer, fleet)
			for i := range fleet {
				name := fmt.Sprintf("s%d", i)
				r.Sidecars = append(r.Sidecars, Sidecar{Name: name, Addr: "127.0.0.1:1"})
				s := &logScript{incarnation: name}
				for k := range min(maxEntries, maxTotalEntries/fleet) {
					if at := version.Millis(1000 * k); k%4 == 0 {
						s.adopt(at, uint32(k), int64(k), version.Digest(k+1))
					} else {
						s.count(at, uint32(k-k%4), 9, 0)
					}
				}
				rep := testReport(name)
				rep.Entries, rep.Now, rep.Up, rep.Next = s.entries, 600_000, 600_000, uint64(len(s.entries)+1)
				answers[i] = Answer{Report: &rep, Midpoint: 600_000, ReceivedAt: time.UnixMilli(600_000)}
			}
			a := New(testOptions(r))
			defer a.Close()
			questions := make([]Request, fleet)
			at := func(t time.Time) time.Duration { return time.Duration(t.UnixNano()) }
			round := func() {
				a.now += time.Second
				a.history.RecordMinimum(60_000, version.MinimumVersion{Epoch: 1, List: 9, Revision: 1 << 40, Validity: 600_000})
				decided, _ := a.decide(questions, answers, &version.Reference{}, at, time.UnixMilli(600_000))
				if v := a.view(answers, &decided, time.UnixMilli(600_000)); len(v.Rows) != fleet {
					b.Fatal(v.Verdict())
				}
				for i := range answers { // from then on the last entry comes again
					r := answers[i].Report
					r.Entries = r.Entries[len(r.Entries)-1:]
					questions[i].Since = r.Next - 1
				}
			}
			began := time.Now()
			round()
			b.Logf("the first round: %v", time.Since(began))
			for b.Loop() {
				round()
			}
			var m runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&m)
			b.ReportMetric(float64(m.HeapAlloc)/(1<<20), "MB-held")
		})
	}
}

// FuzzMerge has sidecars tell anything, twice: nothing panics, what is held is bounded, and who was not reached is not up to date.
func FuzzMerge(f *testing.F) {
	for _, s := range []*logScript{
		(&logScript{incarnation: "l"}).add(100, auditlog.Entry{Kind: auditlog.Started}).adopt(200, 1, 5, 50).count(300, 1, 9, 1),
		(&logScript{incarnation: "m", ahead: -5000}).adopt(900, 1, 6, 60).adopt(950, 2, 4, 40),
	} {
		r := s.answer(1000, 1).Report
		r.Name, r.Site, r.Version.List = "a", "site", s.entries[len(s.entries)-2].Version.List
		text, err := json.Marshal(r)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text, text, true)
		f.Add(text, []byte(`{"name":"b","entries":[{"kind":"ordered","order":{}},{"kind":"adopted","version":{}}]}`), false)
	}
	roster := &Inventory{Sidecars: []Sidecar{{Name: "a", Addr: "127.0.0.1:1"}, {Name: "b", Addr: "127.0.0.1:2"}}}
	began := time.Unix(1000, 0)
	f.Fuzz(func(t *testing.T, first, second []byte, bothReached bool) {
		a := New(testOptions(roster))
		defer a.Close()
		for i := range 3 {
			answers := make([]Answer, 2)
			for j, text := range [][]byte{first, second} {
				answers[j] = Answer{ReceivedAt: began, Midpoint: millis(began), Err: fmt.Errorf("none")}
				r := auditlog.Report{}
				if json.Unmarshal(text, &r) == nil && (bothReached || j == i%2) {
					answers[j].Report = &r
				}
			}
			at := began.Add(time.Duration(i) * time.Second)
			a.now = time.Duration(i) * time.Second
			decided, _ := a.decide([]Request{a.request(roster.Sidecars[0], nil), a.request(roster.Sidecars[1], nil)}, answers, &version.Reference{},
				func(m time.Time) time.Duration { return m.Sub(began) }, at)
			v := a.view(answers, &decided, at)
			for j := range answers {
				if got := v.row(roster.Sidecars[j].Name).Status; (answers[j].Report == nil) != (got == NotReached) {
					t.Errorf("sidecar %d is %s: %+v", j, got, answers[j])
				}
			}
			var b bytes.Buffer
			if err := errors.Join(v.Table(&b, true), v.JSON(&b), v.Page(&b)); err != nil {
				t.Error(err)
			}
			text, err := json.Marshal(storedAudit{stateVersion, 0, a.site, a.epoch, &a.history, a.records})
			if err == nil {
				err = a.restore(text)
			}
			if err != nil {
				t.Error(err)
			}
		}
		for name, p := range a.history.Sidecars {
			if len(p.Entries) > maxEntries || len(a.history.Contradictions) > maxContradictions {
				t.Errorf("%s: %d entries and %d contradictions are held", name, len(p.Entries), len(a.history.Contradictions))
			}
		}
	})
}
