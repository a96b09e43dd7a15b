package audit

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"golang.org/x/sys/unix"

	"pinelb.example/pinelb/internal/auditlog"
	"pinelb.example/pinelb/internal/version"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// serveSidecar is a stand-in for a sidecar's operators' listener.
func serveSidecar(t testing.TB, answer http.HandlerFunc) string {
	t.Helper()
	s := httptest.NewServer(answer)
	s.Config.ErrorLog = nil
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// hanging is the address of a listener that takes connections, and never says anything.
func hangingAddr(t testing.TB) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l.Addr().String()
}

// dead is an address at which nobody listens, and that nobody else gets meanwhile.
func closedAddr(t testing.TB) string {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = unix.Close(fd) })
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	at, err := unix.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("127.0.0.1:%d", at.(*unix.SockaddrInet4).Port)
}

// report is that of a sidecar that acts, and has no trail yet.
func testReport(name string) auditlog.Report {
	return auditlog.Report{Name: name, Zone: "z0", Site: "site", Instances: 1, Incarnation: "life " + name, State: "acts", VersionID: 1, Next: 1, Oldest: 1,
		Version: version.Version{List: version.List{From: "ls", Revision: 7, Digest: 70}, Build: "new"}}
}

// says answers with a report.
func answerWith(r auditlog.Report) http.HandlerFunc {
	text, err := json.Marshal(r)
	return func(w http.ResponseWriter, _ *http.Request) {
		if err != nil {
			w.WriteHeader(http.StatusInternalServerError)
		}
		_, _ = w.Write(text)
	}
}

// newSlowFleet is questions at stand-ins, of which 5% are dead and 5% hang, and how many were asked at once at most.
func newSlowFleet(t testing.TB, fleet int) ([]Request, *atomic.Int64) {
	now, maxInFlight := new(atomic.Int64), new(atomic.Int64)
	questions := make([]Request, fleet)
	for i := range questions {
		switch i % 20 {
		case 7:
			questions[i].Addr = closedAddr(t)
		case 13:
			questions[i].Addr = hangingAddr(t)
		default:
			answer := answerWith(testReport(fmt.Sprint(i)))
			questions[i].Addr = serveSidecar(t, func(w http.ResponseWriter, r *http.Request) {
				n := now.Add(1)
				defer now.Add(-1)
				for old := maxInFlight.Load(); n > old && !maxInFlight.CompareAndSwap(old, n); old = maxInFlight.Load() {
				}
				answer(w, r)
			})
		}
	}
	return questions, maxInFlight
}

// Guards against an audit that a few dead or hanging sidecars hold up, and one that opens connections without bound. The
// time is half of what those that hang take one after the other; what it is on a machine at rest is the benchmark's.
func TestRequestsAreConcurrent(t *testing.T) {
	const fleet, atATime, within = 100, 32, 4 * time.Second
	questions, maxInFlight := newSlowFleet(t, fleet)
	a := NewClient(atATime, within)
	defer a.Close()
	began := time.Now()
	answers := a.Do(t.Context(), questions)
	if took := time.Since(began); took >= fleet/20*within/2 {
		t.Errorf("took %v", took)
	}
	if maxInFlight.Load() > atATime {
		t.Errorf("%d connections at once, %d at most", maxInFlight.Load(), atATime)
	}
	for i, got := range answers {
		if well := i%20 != 7 && i%20 != 13; well != (got.Report != nil) || well && got.Report.Name != fmt.Sprint(i) || !well && got.Err == nil {
			t.Errorf("sidecar %d: %+v", i, got)
		}
	}
}

func BenchmarkRequest400(b *testing.B) {
	questions, _ := newSlowFleet(b, 400)
	a := NewClient(256, time.Second)
	defer a.Close()
	for b.Loop() {
		reached := 0
		for _, got := range a.Do(b.Context(), questions) {
			if got.Report != nil {
				reached++
			}
		}
		b.ReportMetric(float64(reached), "reached")
	}
}

// Guards against calls that outlast their context.
func TestRequestsEndWithContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	addr := serveSidecar(t, func(_ http.ResponseWriter, r *http.Request) {
		cancel()
		<-r.Context().Done()
	})
	a := NewClient(2, time.Hour)
	defer a.Close()
	for _, got := range a.Do(ctx, []Request{{Addr: addr}, {Addr: addr}, {Addr: addr}}) {
		if got.Report != nil || got.Err == nil {
			t.Errorf("%+v", got)
		}
	}
}

// Guards against answers that are taken for reports, and answers without bound.
func TestInvalidAnswers(t *testing.T) {
	a := NewClient(1, 10*time.Second)
	defer a.Close()
	for name, c := range map[string]struct {
		answer http.HandlerFunc
		want   string
	}{
		"long": {func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(`{"name":"` + strings.Repeat("x", maxAnswerBytes) + `"}`))
		}, "longer than 262144 bytes"},
		"no audit": {func(w http.ResponseWriter, _ *http.Request) {
			http.Error(w, "unknown path: there are", http.StatusNotFound)
		}, "answer 404"},
		"no JSON": {func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok")) }, "report"},
		"moved": {func(w http.ResponseWriter, r *http.Request) {
			http.Redirect(w, r, "http://"+r.Host+"/elsewhere", http.StatusFound)
		}, "answer 302"},
	} {
		got := a.Do(t.Context(), []Request{{Addr: serveSidecar(t, c.answer)}})[0]
		if got.Report != nil || got.Err == nil || !strings.Contains(got.Err.Error(), c.want) {
			t.Errorf("%s: %v, want %q", name, got.Err, c.want)
		}
	}
}

// Guards against orders that are lost, or refused unseen, and trails of which only the beginning is read.
func TestOrdersAndPages(t *testing.T) {
	var orders, pages atomic.Int64
	long := &logScript{incarnation: "l"}
	for range 3 {
		long.add(1000, auditlog.Entry{Kind: auditlog.Counted, Attempts: slices.Repeat([]auditlog.Attempts{{Class: "c", Host: strings.Repeat("h", 250), N: 1}}, 512)})
	}
	addr := serveSidecar(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			orders.Add(1)
			var o version.Order
			if err := json.NewDecoder(r.Body).Decode(&o); err != nil || r.URL.Path != "/admin/floor" || o.Minimum.Epoch != 7 {
				t.Errorf("%s: %+v, %v", r.URL, o, err)
			}
			http.Error(w, "an older epoch", http.StatusConflict)
			return
		}
		pages.Add(1)
		var since uint64
		_, _ = fmt.Sscanf(r.URL.RawQuery, "since=%d", &since)
		rep := testReport("a")
		if rep.Next = since + 1; since < 4 {
			rep.Entries = long.entries[since-1 : since]
		}
		answerWith(rep)(w, r)
	})
	a := NewClient(1, 10*time.Second)
	defer a.Close()
	got := a.Do(t.Context(), []Request{{Addr: addr, Since: 2, Order: &version.Order{Minimum: version.MinimumVersion{Epoch: 7}}}})[0]
	if got.OrderErr == nil || !strings.Contains(got.OrderErr.Error(), "409") || orders.Load() != 1 {
		t.Errorf("%d orders, %v", orders.Load(), got.OrderErr)
	}
	if got.Report == nil || len(got.Report.Entries) != 2 || got.Report.Next != 5 || pages.Load() != 3 {
		t.Errorf("%d pages, %+v", pages.Load(), got)
	}
}

// Guards against a trail that has begun anew, and has grown as long as the former one, being read from its middle.
func TestRestartedLog(t *testing.T) {
	s := (&logScript{incarnation: "m"}).add(100, auditlog.Entry{Kind: auditlog.Started}).adopt(200, 1, 5, 50).adopt(300, 2, 6, 60)
	addr := serveSidecar(t, func(w http.ResponseWriter, r *http.Request) {
		rep, since := testReport("a"), 0
		_, _ = fmt.Sscanf(r.URL.RawQuery, "since=%d", &since)
		rep.Entries, rep.Next = s.entries[since-1:], 4
		answerWith(rep)(w, r)
	})
	a := NewClient(2, 10*time.Second)
	defer a.Close()
	got := a.Do(t.Context(), []Request{{Addr: addr, Since: 3, Sum: strings.Repeat("0", 32)}, {Addr: addr, Since: 3, Sum: s.entries[2].Sum}})
	for i, want := range []int{3, 1} {
		if got[i].Report == nil || len(got[i].Report.Entries) != want {
			t.Errorf("%+v, want %d entries", got[i], want)
		}
	}
}

// Guards against rounds that grow with the fleet times the time-out, in virtual time: of 5,000 sidecars 5% don't answer, and
// 5% take connections and say nothing. Where that is known from the round before they begin it.
func TestScheduler(t *testing.T) {
	const fleet, atATime = 5000, 256
	takes := make([]time.Duration, fleet)
	for i := range takes {
		takes[i] = 5 * time.Millisecond
		if i >= fleet*9/10 { // the last of the roster: the worst order
			takes[i] = time.Second
		}
	}
	round := func(last []time.Duration) (end time.Duration, maxInFlight int) {
		due := newScheduler(last, atATime)
		var under []time.Duration // when calls end, in order
		for now := time.Duration(0); ; {
			for who, ok := due.next(); ok; who, ok = due.next() {
				at, _ := slices.BinarySearch(under, now+takes[who])
				under = slices.Insert(under, at, now+takes[who])
			}
			maxInFlight = max(maxInFlight, len(under))
			if len(under) == 0 {
				return now, maxInFlight
			}
			now, under = under[0], under[1:]
			due.done()
		}
	}
	first, maxInFlight := round(make([]time.Duration, fleet))
	second, _ := round(takes)
	t.Logf("first round %v, the next %v", first, second)
	if first > 2100*time.Millisecond || second > 2100*time.Millisecond || second >= first || maxInFlight != atATime {
		t.Errorf("%v, then %v; %d at once", first, second, maxInFlight)
	}
}
