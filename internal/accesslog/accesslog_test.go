package accesslog

import (
	"bytes"
	"errors"
	"io"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/cluster"
	"pinelb.example/pinelb/internal/config"
	"pinelb.example/pinelb/internal/stream"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const site = `{"allowed": {"send_cap": 4}, "n_instances": 2, "tier": 1, "classes": [
 {"name":"look","aim":1000000,"deadline":2000000000,"idempotency":"read_like"},
 {"name":"b\"uy","aim":1000000,"deadline":3000000000,"idempotency":"non_idempotent"}]}`

func newRecorder(t testing.TB, to string, most config.Size, out io.Writer) *Recorder {
	t.Helper()
	settings, err := config.ParseSettings([]byte(site))
	if err != nil {
		t.Fatal(err)
	}
	return New(&config.Config{Name: "n0", Limits: config.Limits{Cores: 0.5, MemoryMB: 64, Sockets: 128}, RawSettings: site, Settings: settings},
		&config.AccessLog{Destination: to, MaxBytes: most, MaxLinesPerSecond: math.MaxInt}, out)
}

// life is a stream that came after that much time, and had two attempts.
func testStream(r *Recorder, at time.Duration) *stream.Record {
	from := r.start.Add(at)
	return &stream.Record{Request: &stream.Request{ClassName: "look", Arrived: from, Deadline: from.Add(2 * time.Second)},
		Response: stream.Response{Outcome: stream.Served}, AnsweredAt: from.Add(9 * time.Millisecond), Attempts: []stream.Attempt{
			{Endpoint: 1, StartedAt: from.Add(300 * time.Microsecond), EndedAt: from.Add(30 * time.Millisecond), Status: balance.Cancelled},
			{Endpoint: 2, StartedAt: from.Add(5 * time.Millisecond), EndedAt: from.Add(9 * time.Millisecond), Status: balance.OK}}}
}

func mustRead(t *testing.T, text string) *Recording {
	t.Helper()
	rec, err := Read(strings.NewReader(text))
	if err != nil {
		t.Fatalf("%v in\n%.3000s", err, text)
	}
	return rec
}

// Guards against a record that can't be read once the settings have changed: classes appear and vanish, in one file and in
// the next, while streams of the former settings are under way.
func TestSettingsChange(t *testing.T) {
	dir := t.TempDir()
	r := newRecorder(t, filepath.Join(dir, "r"), 2<<20, io.Discard)
	other := strings.Replace(site, `"look"`, `"find"`, 1)
	settings, err := config.ParseSettings([]byte(other))
	if err != nil {
		t.Fatal(err)
	}
	r.SetConfig(&config.Config{Name: "n0", RawSettings: other, Settings: settings})
	for _, class := range []string{"look", "find"} {
		l := testStream(r, 0)
		l.Request.ClassName = class
		r.Ended(l)
	}
	r.Start(zerolog.Nop())
	if err := r.Close(); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(filepath.Join(dir, "r"))
	if err != nil {
		t.Fatal(err)
	}
	rec := mustRead(t, string(text))
	if len(rec.Runs) != 1 || !strings.Contains(rec.Runs[0].Header.Site, "find") || len(rec.Runs[0].Streams) != 2 {
		t.Fatalf("%d runs, %+v", len(rec.Runs), rec.Runs[0].Streams)
	}
	for i, s := range rec.Runs[0].Streams {
		if name := rec.Runs[0].Header.Settings.ClassNames[s.Class]; name != []string{"look", "find"}[i] {
			t.Errorf("stream %d is of class %s", i, name)
		}
	}
}

// Guards against a record that does not come back as it was written, from the middle of a log.
func TestRoundTrip(t *testing.T) {
	var out bytes.Buffer
	r := newRecorder(t, "log", 0, &out)
	r.Open = func() int { return 3 }
	members := []cluster.Member{
		{ID: "s-1", Endpoint: 1, Zone: "z", Kind: "k", Cell: 2, State: balance.Ready, Weight: 1.5, UpSince: 1796124514172 * time.Millisecond},
		{ID: "s\"2\x01", Endpoint: 2, State: balance.Draining, Weight: 1}}
	r.Listed(balance.ListCached, members)
	r.Listed(balance.ListDelta, []cluster.Member{{ID: "s-1", Endpoint: 1, State: balance.Removed}})
	plain := testStream(r, 1234567*time.Microsecond)
	r.Ended(plain)
	r.Ended(&stream.Record{Request: &stream.Request{ClassName: "b\"uy", Arrived: r.start, Deadline: r.start.Add(time.Second),
		ClientRetry: true, Body: []byte("xyz")}, AnsweredAt: r.start, Response: stream.Response{Outcome: stream.RejectedLocally, RetryAfter: 250 * time.Millisecond}})
	r.Start(zerolog.Nop())
	log := zerolog.New(r.Log())
	log.Info().Msg(`{"rec":"stream"`)
	if err := r.Close(); err != nil {
		t.Fatal(err)
	}
	r.Ended(plain) // after the end: nothing
	rec := mustRead(t, "something else\n"+out.String())
	if rec.Other != 2 || rec.Skipped != 0 || rec.Truncated || len(rec.Runs) != 1 {
		t.Fatalf("%+v", rec)
	}
	run := rec.Runs[0]
	h := run.Header
	if h.Name != "n0" || !h.Start.Equal(r.start.Truncate(time.Millisecond)) || h.Limits != r.eras[0].Limits ||
		cmp.Diff(h.Settings, r.eras[0].Settings) != "" {
		t.Errorf("header %+v", h)
	}
	for i := range members {
		members[i].Endpoint = 0
	}
	for _, want := range []EndpointList{{Kind: ListCached, Hosts: members},
		{Kind: ListDelta, Hosts: []cluster.Member{{ID: "s-1"}}}, {Kind: ListCurrent, Hosts: members[1:]}} {
		i := slices.IndexFunc(run.Lists, func(c EndpointList) bool { return c.Kind == want.Kind }) // all may be of one time
		want.At = run.Lists[i].At
		if diff := cmp.Diff(want, run.Lists[i]); diff != "" {
			t.Error(diff)
		}
	}
	const tenth = 100 * time.Microsecond
	want := []Stream{
		{Class: 1, TimeLeft: time.Second, Retry: true, Body: 3, Outcome: stream.RejectedLocally, RetryAfter: 250 * time.Millisecond},
		{Arrival: 12346 * tenth, TimeLeft: 2 * time.Second, Answered: 90 * tenth, Attempts: []Attempt{
			{"s-1", 3 * tenth, 297 * tenth, balance.Cancelled}, {"s\"2\x01", 50 * tenth, 40 * tenth, balance.OK}}},
	}
	if diff := cmp.Diff(want, run.Streams); diff != "" {
		t.Error(diff)
	}
	if len(run.Losses) != 1 || run.Losses[0].LostLines != (LostLines{Open: 3}) {
		t.Errorf("lost %+v", run.Losses)
	}
}

// gate is a log that takes nothing until it is opened, as a pipe that nobody reads.
type blockingWriter struct {
	bytes.Buffer
	once          sync.Once
	entered, open chan struct{} // something is being written; it may be
}

func (g *blockingWriter) Write(b []byte) (int, error) {
	g.once.Do(func() { close(g.entered) })
	<-g.open
	return g.Buffer.Write(b)
}

// Guards against a blocked sink that keeps a stream or the end waiting, or takes memory without bound, and
// against lines that are lost and not counted.
func TestBlockedSink(t *testing.T) {
	const many = 10000
	g := &blockingWriter{entered: make(chan struct{}), open: make(chan struct{})}
	r := newRecorder(t, "log", 0, g)
	log := zerolog.New(r.Log())
	r.Start(log)
	<-g.entered
	for i := range many { // each would wait for ever if it waited for the sink
		r.Ended(testStream(r, time.Duration(i)*time.Millisecond))
	}
	r.Listed(balance.ListFull, []cluster.Member{{ID: "late", Endpoint: 9, State: balance.Ready, Weight: 1}}) // lost, and owed
	log.Info().Msg("there is room for this still")
	for range many {
		log.Info().Msg("but not for all of these")
	}
	if len(r.queue.pending) > maxQueueBytes+maxLogBytes {
		t.Errorf("%d bytes wait", len(r.queue.pending))
	}
	if err := r.Close(); !errors.Is(err, errSinkBlocked) {
		t.Errorf("the end of a blocked recorder: %v", err)
	}
	close(g.open)
	<-r.queue.done
	rec := mustRead(t, g.String())
	run := rec.Runs[0]
	lost := run.Losses[0].LostLines
	if len(run.Losses) != 1 || lost.Sink == 0 || lost.Log == 0 || len(run.Streams)+lost.Sink != many || rec.Other+lost.Log != many+1 {
		t.Errorf("%d streams and %d other lines were written; lost %+v of %d each", len(run.Streams), rec.Other, lost, many)
	}
	if len(run.Lists) != 1 || run.Lists[0].Hosts[0].ID != "late" {
		t.Errorf("the list that was lost was not made up for: %+v", run.Lists)
	}
}

// faulty is a log that takes a part of the first batch.
type failingWriter struct {
	bytes.Buffer
	takes int
}

func (f *failingWriter) Write(b []byte) (int, error) {
	if n := f.takes; n > 0 {
		f.takes = 0
		f.Buffer.Write(b[:n])
		return n, errors.New("no space left")
	}
	return f.Buffer.Write(b)
}

// Guards against faults of the sink that are not told, or that leave what a reader takes for whole lines; and
// against bounds that do not hold. The clock is the test's.
func TestSinkFaultsAndRateLimit(t *testing.T) {
	out := &failingWriter{takes: len(prefix) + 250}
	r := newRecorder(t, "log", 0, out)
	var now time.Duration
	var faults []error
	r.queue.now, r.queue.onFault, r.queue.perSecond = func() time.Duration { return now }, func(err error) { faults = append(faults, err) }, 3
	for _, step := range []struct {
		at      time.Duration
		streams int
	}{{0, 5}, {999, 1}, {1000, 2}, {1500, 9}} { // it fails in the header, is not tried, is, and tells nothing more yet
		now = step.at * time.Millisecond
		for range step.streams {
			r.Ended(testStream(r, now))
		}
		r.queue.flush(false)
	}
	r.queue.flush(true)
	rec := mustRead(t, out.String())
	run := rec.Runs[0]
	if len(run.Streams) != 3 || rec.Skipped != 1 || rec.Other != 0 || rec.Truncated {
		t.Errorf("%d streams, %+v", len(run.Streams), rec)
	}
	want := []Loss{{0, time.Second, LostLines{Rate: 3, Sink: 3}}, {1500 * time.Millisecond, 1500 * time.Millisecond, LostLines{Rate: 8}}}
	if diff := cmp.Diff(want, run.Losses); diff != "" {
		t.Error(diff)
	}
	if len(faults) != 2 || faults[0] == nil || faults[1] != nil {
		t.Errorf("told of faults %v", faults)
	}
}

// Guards against files beyond their bound, without a header, or that two sidecars write; and against a
// restart that loses what was there.
func TestFileRotation(t *testing.T) {
	const most = 64 << 10
	path := filepath.Join(t.TempDir(), "streams")
	if err := os.WriteFile(path, []byte(`{"rec":"stre`), 0o600); err != nil { // somebody ended in the middle
		t.Fatal(err)
	}
	r := newRecorder(t, path, most, nil)
	r.Listed(balance.ListFull, []cluster.Member{{ID: "s-1", Endpoint: 1, State: balance.Ready}})
	for i := range 2000 {
		r.Ended(testStream(r, time.Duration(i)*time.Millisecond))
		if i%50 > 0 {
			continue
		}
		r.queue.flush(false)
		a, _ := os.ReadFile(path)
		b, _ := os.ReadFile(path + ".1")
		runs := mustRead(t, string(b)+string(a)).Runs
		if s := runs[0].Streams; len(a)+len(b) > most || len(runs) != 1 || s[len(s)-1].Arrival != time.Duration(i)*time.Millisecond {
			t.Fatalf("%d and %d bytes after stream %d, the last is %+v", len(a), len(b), i, s[len(s)-1])
		}
		if last := mustRead(t, string(a)).Runs[0].Lists; len(last) == 0 || len(last[0].Hosts) != 1 {
			t.Fatalf("a file's list is %+v", last)
		}
	}
	for _, c := range []struct {
		to   string
		most config.Size
		want string
	}{{path, most, "another process"}, {path + ".2", 100, errFull.Error()}, {os.DevNull, most, "no regular file"}, {path + "/x", most, "directory"}} {
		other := newRecorder(t, c.to, c.most, nil)
		fault := error(nil)
		other.queue.onFault = func(err error) { fault = err }
		other.queue.flush(false)
		other.queue.sink.close()
		if fault == nil || !strings.Contains(fault.Error(), c.want) {
			t.Errorf("%s: %v, want %s", c.to, fault, c.want)
		}
	}
	r.queue.sink.close()
	again := newRecorder(t, path, most, nil)
	again.queue.flush(true)
	again.queue.sink.close()
	if whole, err := os.ReadFile(path); err != nil || len(mustRead(t, string(whole)).Runs) != 2 {
		t.Errorf("after a restart: %v\n%s", err, whole)
	}
}

// Guards against names that are kept for ever, or lost while a stream may still need them.
func TestNamesOfRemovedEndpoints(t *testing.T) {
	r := newRecorder(t, "log", 0, io.Discard)
	r.Listed(balance.ListFull, []cluster.Member{{ID: "s-1", Endpoint: 1, State: balance.Ready}})
	r.Listed(balance.ListFull, nil)
	soon := r.endpointID(1)
	r.start = r.start.Add(-r.nameRetention - time.Hour)
	r.Listed(balance.ListDelta, nil)
	if soon != "s-1" || r.endpointID(1) != "#1" || len(r.hosts) != 0 {
		t.Errorf("the host that went is %q and long after %q; %d are kept", soon, r.endpointID(1), len(r.hosts))
	}
}

const head = `{"rec":"start","v":1,"name":"n","at":5,"cores":1,"memory_mb":32,"sockets":64,"settings":{"classes":[{"name":"a","idempotency":"read_like"}]}}` + "\n"

func TestReadErrors(t *testing.T) {
	for text, want := range map[string]string{
		"":                         "no header in 0 lines",
		"a log\nof something else": "no header in 2 lines",
		`{"rec":"stream","t":1}`:   "line 1: it stands before any header",
		`{"rec":"start","v":2}`:    "line 1: v: version 2 is unknown",
		`{"rec":"start"}`:          "line 1: v: version none",
		`{"rec":"start","v":1,"settings":{"classes":7}}`:                             "classes",
		head + "\n" + `{"rec":"stream","class":"b"}`:                                 `line 3: class "b" is none of ["a"]`,
		head + `{"rec":"stream","class":"a","end":"eaten"}`:                          `line 2: end "eaten"`,
		head + `{"rec":"stream","class":"a","end":"served","t":"1"}`:                 "line 2: t must be a number",
		head + `{"rec":"stream","class":"a","end":"served","t":1e300}`:               "line 2: t must be a time",
		head + `{"rec":"stream","class":"a","end":"served","body":-1}`:               "line 2: body must be a whole number",
		head + `{"rec":"stream","class":"a","end":"served","tries":[["s",1,2]]}`:     "line 2: tries[0] must be",
		head + `{"rec":"stream","class":"a","end":"served","tries":[["s",1,2,"x"]]}`: `line 2: tries[0].3 "x"`,
		head + `{"rec":"cluster","list":"whole","hosts":[{"phase":"Lost"}]}`:         `line 2: hosts[0].phase "Lost"`,
		head + `{"rec":"coffee"}`:                                                    `line 2: rec: "coffee" is unknown`,
	} {
		if _, err := Read(strings.NewReader(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v, want %s", text, err, want)
		}
	}
}

// Guards against a cut that costs more than its line, wherever it falls.
func TestTruncatedLines(t *testing.T) {
	line := `{"rec":"stream","t":1,"class":"a","end":"served"}`
	for n := range len(line) {
		rec := mustRead(t, head+line+"\n"+line[:n])
		if len(rec.Runs[0].Streams) != 1 || rec.Truncated != (n > 0) || rec.Skipped != 0 {
			t.Errorf("cut at %d: %+v", n, rec)
		}
		if rec = mustRead(t, head+line[:n]+"\n"+line); len(rec.Runs[0].Streams) != 1 || rec.Truncated || rec.Skipped != min(n, 1) {
			t.Errorf("cut at %d and gone on: %+v", n, rec)
		}
	}
}

// Guards against a record that its collector's marks hide.
func TestCollectedLog(t *testing.T) {
	const stream = `{"rec":"stream","t":1,"class":"a","end":"served"}` + "\n"
	rec := mustRead(t, "[0.24] "+head+"n1 | "+stream+`{"message":"{\"rec\":\"stream\""}`+"\n")
	if len(rec.Runs) != 1 || len(rec.Runs[0].Streams) != 1 || rec.Other != 1 {
		t.Errorf("read %+v", rec)
	}
}

func FuzzRead(f *testing.F) {
	f.Add("a log\n" + head + head + `{"rec":"lost","t":1,"until":2,"rate":3}` + "\n" + `{"rec":"str`)
	f.Add(head + `{"rec":"cluster","t":0.1,"list":"whole","hosts":[{"id":"s-1","phase":"Ready","weight":1,"up":1796124514172}]}` + "\n" +
		`{"rec":"stream","t":1500,"class":"a","left":2000,"tries":[["s-1",0.3,29.7,"cancelled"]],"end":"gone","after":9}`)
	f.Fuzz(func(t *testing.T, text string) {
		rec, err := Read(strings.NewReader(text))
		if err != nil {
			return
		}
		for _, run := range rec.Runs {
			for _, s := range run.Streams {
				if s.Class < 0 || s.Class >= len(run.Header.Settings.ClassNames) || int(s.Outcome) >= len(outcomes) {
					t.Errorf("stream %+v", s)
				}
			}
		}
	})
}
