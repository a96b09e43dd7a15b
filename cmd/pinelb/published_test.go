package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/tidwall/gjson"

	"pinelb.example/pinelb/internal/auditlog"
	"pinelb.example/pinelb/internal/config"
	"pinelb.example/pinelb/internal/settingsstore"
	"pinelb.example/pinelb/internal/version"
)

const service = "orders"

// fakeDistributor is a distributor: it answers with what is published as the real one does, or otherwise as a test wants.
type fakeDistributor struct {
	addr     string
	requests chan settingsstore.Request
	ended    chan struct{} // gets one for each question that has waited without news

	mu      sync.Mutex
	state   settingsstore.State
	changed chan struct{}
	odd     http.HandlerFunc // nil: none
}

func newFakeDistributor(t *testing.T) *fakeDistributor {
	d := &fakeDistributor{requests: make(chan settingsstore.Request, 10_000), ended: make(chan struct{}, 10_000), changed: make(chan struct{})}
	d.addr = listen(t, d)
	return d
}

func (d *fakeDistributor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q, err := settingsstore.ParseRequest(r.URL)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	d.requests <- q
	late := time.NewTimer(q.Wait)
	defer late.Stop()
	for {
		d.mu.Lock()
		s, changed, odd := d.state, d.changed, d.odd
		d.mu.Unlock()
		if odd != nil {
			odd(w, r)
			return
		}
		if s.Compare(q.NewestSeen()) > 0 {
			_, _ = w.Write(settingsstore.Encode(s))
			return
		}
		select {
		case <-changed:
		case <-late.C:
			w.WriteHeader(http.StatusNoContent)
			if q.Wait > 0 {
				d.ended <- struct{}{}
			}
			return
		case <-r.Context().Done():
			return
		}
	}
}

// publish publishes settings, under an epoch, and answers from then on as odd does, if there is one.
func (d *fakeDistributor) publish(epoch uint64, settings string, odd http.HandlerFunc) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.state, d.odd = settingsstore.NewState(service, version.Edition{Epoch: epoch, By: "d1"}, []byte(settings)), odd
	close(d.changed)
	d.changed = make(chan struct{})
}

// until reads the questions up to one that fits.
func (d *fakeDistributor) until(fits func(settingsstore.Request) bool) settingsstore.Request {
	for q := range d.requests {
		if fits(q) {
			return q
		}
	}
	panic("it is never closed")
}

// followingFile is an operator's file that names the distributors.
func followingFile(t *testing.T, from ...string) string {
	t.Helper()
	return operatorFile(t, fmt.Sprintf("[settings]\nfrom = [\"%s\"]\nservice = %q\n", strings.Join(from, `", "`), service))
}

// follower starts a sidecar that follows the distributors.
func startFollower(t *testing.T, s *testSite, from ...string) *program {
	t.Helper()
	return startFollowerOn(t, configFile(t, configFor(s.addr)), from...)
}

func startFollowerOn(t *testing.T, file string, from ...string) *program {
	t.Helper()
	p := launchOn(t, exec.Command(os.Args[0], "--config="+followingFile(t, from...)), file)
	p.addr = p.await(t, "listening").Get("addr").Str
	return p
}

// expect checks how a request is answered.
func (p *program) expect(t *testing.T, when, target string, want int) {
	t.Helper()
	if res, _ := p.call(t, "GET", target, ""); res.StatusCode != want {
		t.Errorf("%s: %s is answered %d, want %d", when, target, res.StatusCode, want)
	}
}

// keyed checks how a request with a key is answered, of a class that published settings may make unsafe.
func (p *program) keyed(t *testing.T, when string, want int) {
	t.Helper()
	if res, _ := p.call(t, "POST", "/place-order/1", "", "Idempotency-Key", "k"); res.StatusCode != want {
		t.Errorf("%s: a keyed request is answered %d, want %d", when, res.StatusCode, want)
	}
}

// ready waits until it says that it is.
func (p *program) ready(t *testing.T) {
	t.Helper()
	for {
		if res, _ := p.call(t, "GET", "/_health", ""); res.StatusCode == 200 {
			return
		}
	}
}

// with has the settings know a class as well, whose requests tell whether they are in force.
func with(class string) string {
	return strings.Replace(settings, `"classes":[`, `"classes":[{"name":"`+class+`","aim":30000000000,"deadline":60000000000,"idempotency":"read_like","worth":3},`, 1)
}

const (
	taken   = "published settings are in force"
	refused = "published settings are not taken"
	odd     = "a distributor's answer is not taken"
)

// Guards against published settings that don't take effect, that do in part, that a signal or a restart undoes, or that are
// refused without a word to the distributor.
func TestPublishedSettings(t *testing.T) {
	b := newTestHost(t, serve("ok"))
	s, d := newTestSite(t, host("s-1", b.addr, "Ready")), newFakeDistributor(t)
	p := startFollower(t, s, d.addr)
	p.await(t, "no settings are published; the file's are in force")
	p.ready(t)
	p.expect(t, "at first", "/one/1", 404)
	d.publish(1, with("one"), nil)
	if line := p.await(t, taken); line.Get("epoch").Uint() != 1 || line.Get("by").Str != "d1" || line.Get("service").Str != service {
		t.Errorf("the log says %s", line.Raw)
	}
	p.expect(t, "once it is published", "/one/1", 200)
	epoch := uint64(1)
	for _, c := range []struct{ old, new, key string }{
		{`"deadline":60000000000`, `"deadline":"long"`, "settings.classes[0].deadline"},
		{`"send_cap":4`, `"send_cap":0`, "settings.allowed.send_cap"},
		{`"kinds":["front-std"],`, ``, "settings.kinds is missing"},
	} {
		epoch++
		d.publish(epoch, strings.Replace(with("faulty"), c.old, c.new, 1), nil)
		if fault := p.await(t, refused).Get("error").Str; !strings.Contains(fault, c.key) {
			t.Errorf("the log says %q, want %s", fault, c.key)
		}
		d.until(func(q settingsstore.Request) bool {
			return q.Since.Epoch == 1 && q.Rejected.Epoch == epoch && strings.Contains(q.Reason, c.key)
		})
	}
	p.expect(t, "after faulty ones", "/one/1", 200)
	p.expect(t, "after faulty ones", "/faulty/1", 404)
	strict := strings.Replace(with("two"), `"idempotency":"idempotency_key","key_scope":"all",`, `"idempotency":"non_idempotent","key_scope":"all",`, 1)
	d.publish(epoch+1, strict, nil)
	p.await(t, taken)
	p.keyed(t, "once it is unsafe", 400)
	if err := p.cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	if line := p.await(t, "configuration read again"); line.Get("published").Str == "none" {
		t.Errorf("the log says %s", line.Raw)
	}
	p.expect(t, "after SIGHUP", "/two/1", 200)
	p.keyed(t, "after SIGHUP", 400)
	d.publish(epoch+2, settings, nil) // as before the first
	p.await(t, taken)
	p.keyed(t, "as before the first", 200)
	d.publish(epoch+3, with("three"), nil)
	p.await(t, taken)
	p.expect(t, "published again", "/three/1", 200)
	q := startFollowerOn(t, p.file, d.addr)
	q.ready(t)
	q.expect(t, "after a restart", "/three/1", 200)
	q.expect(t, "after a restart", "/one/1", 404)
}

// Guards against answers that are taken though they are older, another service's, cut, too long or spoilt, or that are kept out and
// nobody is told; serving goes on by what was in force, and what is published afterwards is found.
func TestFaultyDistributor(t *testing.T) {
	b := newTestHost(t, serve("ok"))
	s, d := newTestSite(t, host("s-1", b.addr, "Ready")), newFakeDistributor(t)
	d.publish(5, with("one"), nil)
	p := startFollower(t, s, d.addr)
	p.await(t, taken)
	p.ready(t)
	state := func(service string, epoch uint64) []byte {
		return settingsstore.Encode(settingsstore.NewState(service, version.Edition{Epoch: epoch, By: "d1"}, []byte(with("odd"))))
	}
	epoch := uint64(5)
	for _, c := range []struct {
		answer []byte
		why    string
	}{
		{state(service, 4), "4 by d1 was told after"},
		{state("others", 99), "settings of others were told"},
		{state(service, 99)[:700], "JSON"},
		{[]byte(strings.Replace(string(state(service, 99)), `"send_cap":4`, `"send_cap":5`, 1)), "digest"},
		{append([]byte(strings.Repeat(" ", settingsstore.MaxStateBytes)), state(service, 99)...), "bytes"},
	} {
		d.publish(epoch, with("one"), func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(c.answer) })
		if line := p.await(t, odd); !strings.Contains(line.Get("error").Str, c.why) || line.Get("distributor").Str != d.addr {
			t.Errorf("the log says %s, want %s", line.Raw, c.why)
		}
		d.until(func(q settingsstore.Request) bool {
			return q.Since.Epoch == epoch && q.Rejected.None() && strings.Contains(q.Reason, c.why)
		})
		p.expect(t, c.why, "/odd/1", 404)
		p.expect(t, c.why, "/one/1", 200)
		epoch++
		d.publish(epoch, with("one"), nil)
		p.await(t, taken)
		p.await(t, "the distributor answers again")
	}
}

// Guards against a start that waits for distributors which are not there, against one that does not say what is in force, and
// against their return that is not found. One refuses connections, one is silent, one falls silent in its answer.
func TestNoDistributorAnswers(t *testing.T) {
	b := newTestHost(t, serve("ok"))
	d := newFakeDistributor(t)
	back := make(chan struct{})
	mute, half := listen(t, d), ""
	half = listen(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-back:
			d.ServeHTTP(w, r)
			return
		default:
		}
		_, _ = w.Write([]byte(`{"service":`))
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}))
	d.publish(1, with("one"), func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	p := launchOn(t, exec.Command(os.Args[0], "--config="+followingFile(t, "127.0.0.1:1", mute, half)), configFile(t, configFor("127.0.0.1:1", host("s-1", b.addr, "Ready"))))
	p.addr = p.await(t, "listening").Get("addr").Str
	p.await(t, "no distributor has answered; what is in force stays")
	p.ready(t)
	p.expect(t, "with no distributor", "/order-status/1", 200)
	p.expect(t, "with no distributor", "/one/1", 404)
	d.publish(2, with("one"), nil)
	close(back)
	p.await(t, taken)
	p.expect(t, "once one is back", "/one/1", 200)
}

// Guards against a sidecar that is ready before it has the settings which it could have had: a distributor that answers only once it is
// ready has been given up before.
func TestStartWaitsForSettings(t *testing.T) {
	b := newTestHost(t, serve("ok"))
	s, d, at := newTestSite(t, host("s-1", b.addr, "Ready")), newFakeDistributor(t), make(chan string, 1)
	d.publish(1, with("one"), nil)
	addr, serving := "", sync.Mutex{}
	slow := listen(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		serving.Lock()
		defer serving.Unlock()
		if addr == "" {
			addr = <-at
		}
		for ready := false; !ready; {
			res, err := http.Get("http://" + addr + "/_health")
			if err != nil {
				return // it has ended
			}
			res.Body.Close()
			ready = res.StatusCode == http.StatusOK
		}
		d.ServeHTTP(w, r)
	}))
	p := startFollower(t, s, slow)
	at <- p.addr
	given := false
	for p.log.Scan() {
		switch gjson.Get(p.log.Text(), "message").Str {
		case "no distributor has answered; what is in force stays":
			given = true
		case taken:
			if !given {
				t.Error("it was ready before a distributor had answered or was given up")
			}
			return
		}
	}
	t.Error("the log ended")
}

// Guards against distributors whose death ends what is in force, and against changes that are not found at another one.
func TestDistributorDies(t *testing.T) {
	b := newTestHost(t, serve("ok"))
	s, d, e := newTestSite(t, host("s-1", b.addr, "Ready")), newFakeDistributor(t), newFakeDistributor(t)
	for _, one := range []*fakeDistributor{d, e} {
		one.publish(1, with("one"), nil)
	}
	p := startFollower(t, s, d.addr, e.addr)
	p.await(t, taken)
	p.ready(t)
	first, other := d, e // which it follows, and which not
	for watched := false; !watched; {
		var q settingsstore.Request
		select {
		case q = <-d.requests:
			first, other = d, e
		case q = <-e.requests:
			first, other = e, d
		}
		watched = q.Wait > 0
	}
	silence := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	other.publish(2, with("two"), nil)
	first.publish(1, with("one"), silence)
	p.await(t, taken)
	p.expect(t, "at the other one", "/two/1", 200)
	other.publish(2, with("two"), silence)
	first.until(func(q settingsstore.Request) bool { return q.Since.Epoch == 2 }) // which is gone back to, for both are silent
	p.expect(t, "with all silent", "/two/1", 200)
	first.publish(3, with("three"), nil)
	p.await(t, taken)
	p.expect(t, "once one is back", "/three/1", 200)
}

// Guards against a sidecar that was stopped and goes on with old settings: it asks at once, and blames nobody.
func TestStoppedFollower(t *testing.T) {
	b := newTestHost(t, serve("ok"))
	s, d := newTestSite(t, host("s-1", b.addr, "Ready")), newFakeDistributor(t)
	d.publish(1, with("one"), nil)
	p := startFollower(t, s, d.addr)
	p.await(t, taken)
	p.ready(t)
	send := func(signal syscall.Signal) {
		t.Helper()
		if err := p.cmd.Process.Signal(signal); err != nil {
			t.Fatal(err)
		}
	}
	d.until(func(q settingsstore.Request) bool { return q.Since.Epoch == 1 && q.Wait > 0 })
	send(syscall.SIGSTOP)
	<-d.ended // what it waits for is over meanwhile, and it does not ask again
	d.publish(2, with("two"), nil)
	d.publish(3, with("three"), nil)
	send(syscall.SIGCONT)
	if line := p.await(t, taken); line.Get("epoch").Uint() != 3 {
		t.Errorf("after a stop the log says %s", line.Raw)
	}
	p.expect(t, "after a stop", "/three/1", 200)
}

// Guards against a successor that serves by the file's settings although others are in force, also where no distributor answers it.
func TestSuccessorFollows(t *testing.T) {
	b := newTestHost(t, serve("ok"))
	s, d, tmp := newTestSite(t, host("s-1", b.addr, "Ready")), newFakeDistributor(t), t.TempDir()
	d.publish(1, with("one"), nil)
	file, operator := configFile(t, configFor(s.addr)), followingFile(t, d.addr)
	begin := func() *program {
		p := launchOn(t, exec.Command(os.Args[0], "--config="+operator), file, "LB_CONTROL=127.0.0.1:0", "TMPDIR="+tmp)
		p.addr = p.await(t, "listening").Get("addr").Str
		return p
	}
	ends := func(p *program) {
		t.Helper()
		if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		p.await(t, "drained")
	}
	p := begin()
	p.await(t, taken)
	p.ready(t)
	d.publish(2, with("two"), func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	q := begin()
	if line := q.await(t, "the former process's settings are in force"); line.Get("in_force").Str != "1 by d1" {
		t.Errorf("the log says %s", line.Raw)
	}
	q.await(t, "no distributor has answered; what is in force stays")
	ends(p)
	q.expect(t, "after an upgrade without distributors", "/one/1", 200)
	q.expect(t, "after an upgrade without distributors", "/two/1", 404)
	d.publish(2, with("two"), nil)
	q.await(t, taken)
	r := begin()
	r.await(t, "the former process's settings are in force")
	ends(q)
	r.expect(t, "after another upgrade", "/two/1", 200)
	d.publish(3, with("three"), nil)
	r.await(t, taken)
	r.expect(t, "after another upgrade", "/three/1", 200)
}

// Guards against an audit that does not see published settings, or by whom they came, and against a floor that brings the file's back:
// it has distributors be asked.
func TestAuditSeesPublishedSettings(t *testing.T) {
	b := newTestHost(t, serve("ok"))
	s, d := newTestSite(t, host("s-1", b.addr, "Ready")), newFakeDistributor(t)
	op := operatorFile(t, fmt.Sprintf("[audit]\nshare = 0.5\n[settings]\nfrom = [%q]\nservice = %q\n", d.addr, service))
	p := launchOn(t, exec.Command(os.Args[0], "--config="+op), configFile(t, configFor(s.addr)), "LB_CONTROL=127.0.0.1:0")
	p.addr = p.await(t, "listening").Get("addr").Str
	at := p.await(t, "listening for operators").Get("addr").Str
	p.ready(t)
	digest := func(settings string) version.Digest { return (&config.Config{RawSettings: settings}).Digest() }
	report := func() auditlog.Report {
		t.Helper()
		_, r, _ := requestAudit(t, at, "/admin/audit?since=0", "")
		return r
	}
	if r := report(); r.Version.Settings != digest(settings) {
		t.Errorf("at first: %+v", r.Version)
	}
	d.publish(1, with("one"), nil)
	p.await(t, taken)
	r := report()
	last := r.Entries[len(r.Entries)-1]
	for _, e := range r.Entries {
		if e.Kind == auditlog.Adopted {
			last = e
		}
	}
	if r.Version.Settings != digest(with("one")) || last.From != "distributor" || last.Version.Settings != r.Version.Settings {
		t.Errorf("once they are published: %+v, %+v", r.Version, last)
	}
	floor := func(epoch int, settings string) {
		t.Helper()
		text, err := digest(settings).MarshalText()
		if err != nil {
			t.Fatal(err)
		}
		order := fmt.Sprintf(`{"floor":{"epoch":%d,"by":"a","site":%q,"settings":%q,"grace_ms":60000,"spread_ms":0,"for_ms":60000}}`, epoch, r.Site, text)
		if status, _, text := requestAudit(t, at, "/admin/floor", order); status != 200 {
			t.Fatalf("a floor is answered %d %s", status, text)
		}
	}
	// The watch tells nothing; who is asked without a wait knows.
	d.publish(2, with("two"), func(w http.ResponseWriter, r *http.Request) {
		q, err := settingsstore.ParseRequest(r.URL)
		if err != nil || q.Wait > 0 || q.Since.Epoch != 1 {
			<-r.Context().Done()
			return
		}
		_, _ = w.Write(settingsstore.Encode(settingsstore.NewState(service, version.Edition{Epoch: 2, By: "d1"}, []byte(with("two")))))
	})
	floor(1, with("two"))
	p.await(t, taken)
	p.expect(t, "under a floor", "/two/1", 200)
	floor(2, settings) // the file's: nobody tells them, and they are not taken from there
	d.publish(3, with("three"), nil)
	p.await(t, taken)
	if r := report(); r.Version.Settings != digest(with("three")) {
		t.Errorf("under a floor that wants the file's: %+v", r.Version)
	}
}
