package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"pinelb.example/pinelb/internal/auditlog"
	"pinelb.example/pinelb/internal/version"
)

// audited starts a sidecar with [audit], and [state] in that directory, and returns where operators call it.
func startAudited(t *testing.T, file, dir, tmp string) (*program, string) {
	t.Helper()
	op := operatorFile(t, fmt.Sprintf("[audit]\nshare = 0.5\n[state]\ndir = %q\n", dir))
	p := launchOn(t, exec.Command(os.Args[0], "--config", op), file, "LB_CONTROL=127.0.0.1:0", "TMPDIR="+tmp)
	p.addr = p.await(t, "listening").Get("addr").Str
	at := p.await(t, "listening for operators").Get("addr").Str
	p.await(t, "cluster changed")
	return p, at
}

// asked is the sidecar's report, or what an order is answered.
func requestAudit(t *testing.T, at, path, body string) (int, auditlog.Report, string) {
	t.Helper()
	method := "GET"
	if body != "" {
		method = "POST"
	}
	req, err := http.NewRequest(method, "http://"+at+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	if res.StatusCode != 200 {
		return res.StatusCode, auditlog.Report{}, string(text)
	}
	r, err := auditlog.ParseReport(text)
	if err != nil {
		t.Fatalf("%s: %v\n%s", path, err, text)
	}
	return 200, r, ""
}

// Guards against an audit that does not say what was done under what: over a change of the list, of the settings, an upgrade, a
// planned end and a kill the trail is one chain, and each attempt stands in it under the version that chose its host; against
// orders that are taken though they are old, after a restart too, or another site's; and against a sidecar that is shut out and
// does not say so, or does not come back by itself.
func TestAudit(t *testing.T) {
	a, b := newTestHost(t, serve("a")), newTestHost(t, serve("b"))
	s := newTestSite(t, host("s-1", a.addr, "Ready"))
	config := configFor(s.addr)
	config["settings"] = json.RawMessage(strings.Replace(settings, `"n_instances":1`, `"n_instances":2`, 1))
	file, dir, tmp := configFile(t, config), filepath.Join(t.TempDir(), "state"), t.TempDir()
	p, at := startAudited(t, file, dir, tmp)
	report := func(since uint64) auditlog.Report {
		t.Helper()
		_, r, _ := requestAudit(t, at, fmt.Sprint("/admin/audit?since=", since), "")
		return r
	}
	expect := func(when, body string, want int) {
		t.Helper()
		if res, got := p.call(t, "GET", "/order-status/1", ""); res.StatusCode != want || want == 200 && got != body {
			t.Errorf("%s: %d %q, want %d %q", when, res.StatusCode, got, want, body)
		}
	}
	for range 3 {
		expect("at first", "a", 200)
	}
	first := report(0)
	s.change(host("s-1", a.addr, "Terminating"), host("s-2", b.addr, "Ready"))
	p.await(t, "cluster changed")
	expect("after a change", "b", 200)
	second := report(0)
	if first.Version.List == second.Version.List || second.VersionID != first.VersionID+1 || second.Version.List.From != s.addr || second.State != version.Active ||
		second.ListAge < 0 || second.Instances != 2 || second.Up <= 0 || second.Up < first.Up {
		t.Errorf("a change of the list: %+v\n%+v", first, second)
	}
	r := report(0)

	order := func(epoch int, ticket string, more string) string {
		return fmt.Sprintf(`{"floor":{"epoch":%d,"by":"a","site":%q,%s"grace_ms":0,"spread_ms":0,"for_ms":60000}%s}`, epoch, r.Site, more, ticket)
	}
	for _, c := range []struct {
		what, body string
		want       int
		says       string
	}{
		{"another site's", strings.Replace(order(7, "", ""), r.Site, "elsewhere", 1), 403, "elsewhere"},
		{"a faulty one", strings.Replace(order(7, "", ""), "60000", "-1", 1), 400, "floor.for_ms"},
		{"one that demands nothing", order(7, "", ""), 200, ""},
		{"an older one", order(6, "", ""), 409, "epoch 6"},
		{"a long one", order(7, "", `"list":"`+strings.Repeat("0", 5000)+`",`), 400, "at most"},
	} {
		if status, _, text := requestAudit(t, at, "/admin/floor", c.body); status != c.want || !strings.Contains(text, c.says) {
			t.Errorf("%s is answered %d %q, want %d", c.what, status, text, c.want)
		}
	}

	// A floor that it can't meet, and a ticket: shut out. Without the ticket it is behind, and acts.
	nowhere := `"list":"00000000000000ff","revision":9007199254740991,`
	if _, got, _ := requestAudit(t, at, "/admin/floor", order(8, "", nowhere)); got.State != version.Behind {
		t.Errorf("under a floor: %+v", got)
	}
	expect("behind, without a ticket", "b", 200)
	if _, got, _ := requestAudit(t, at, "/admin/floor", order(8, fmt.Sprintf(`,"ticket":{"no":0,"issued_ms":%d,"for_ms":5000}`, time.Now().UnixMilli()), nowhere)); got.State != version.ShutOut || got.Permit == nil {
		t.Errorf("with a ticket: %+v", got)
	}
	if res, _ := p.call(t, "GET", "/order-status/1", ""); res.StatusCode != 503 {
		t.Errorf("shut out it answers %d", res.StatusCode)
	}
	for path, where := range map[string]string{"/_health": p.addr, "/admin/health": at} {
		if got := admin(t, "GET", where, path); got != 503 {
			t.Errorf("shut out, %s is %d", path, got)
		}
	}
	if _, got, _ := requestAudit(t, at, "/admin/floor", order(9, "", "")); got.State != version.Active {
		t.Errorf("under a floor that it meets: %+v", got)
	}
	expect("back", "b", 200)

	// Other settings, read because the floor wants them.
	was := report(0)
	config["settings"] = json.RawMessage(strings.Replace(string(config["settings"].(json.RawMessage)), `"send_cap":4`, `"send_cap":3`, 1))
	write(t, file, config)
	requestAudit(t, at, "/admin/floor", order(10, "", `"settings":"00000000000000ff",`))
	p.await(t, "configuration read again")
	if is := report(0); is.VersionID != was.VersionID+1 || is.Version.Settings == was.Version.Settings {
		t.Errorf("other settings: %+v", is)
	}
	expect("with them", "b", 200)

	// An upgrade, and the end of the first.
	q, next := startAudited(t, file, dir, tmp)
	for admin(t, "GET", next, "/admin/health") != 200 {
	}
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	_ = p.cmd.Wait()
	p, at = q, next
	expect("after an upgrade", "b", 200)
	if is := report(0); is.Incarnation == was.Incarnation || is.Version.Epoch != 10 || is.Version.Settings == was.Version.Settings {
		t.Errorf("after an upgrade: %+v", is)
	}
	// And killed, once what it has done is on the disk.
	s.change(host("s-1", a.addr, "Gone"), host("s-2", b.addr, "Ready"))
	p.await(t, "cluster changed")
	third := report(0)
	for len(readBack(t, dir, func(e auditlog.Entry) bool {
		return e.Incarnation == third.Incarnation && e.VersionID == third.VersionID
	})) == 0 {
	}
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
	p, at = startAudited(t, file, dir, tmp)
	if is := report(0); is.Version.Epoch != 10 || is.Version.List.Digest != third.Version.List.Digest {
		t.Errorf("after a kill: %+v", is.Version)
	}
	if status, _, _ := requestAudit(t, at, "/admin/floor", order(9, "", "")); status != 409 {
		t.Errorf("after a restart an older order is answered %d", status)
	}
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	_ = p.cmd.Wait()

	type under struct {
		incarnation string
		n           uint32
	}
	lists, sent, crossed := map[under]version.Digest{}, map[string]int{}, 0
	for _, e := range readBack(t, dir, func(auditlog.Entry) bool { return true }) {
		switch e.Kind {
		case auditlog.Adopted:
			lists[under{e.Incarnation, e.VersionID}] = e.Version.List.Digest
		case auditlog.Counted:
			crossed += e.Crossed
			for _, n := range e.Attempts {
				sent[fmt.Sprint(n.Class, " ", n.Host, " ", lists[under{e.Incarnation, e.VersionID}] == second.Version.List.Digest)] += n.N
			}
		}
	}
	want := map[string]int{"order-status s-1 false": 3, "order-status s-2 true": 5}
	if fmt.Sprint(sent) != fmt.Sprint(want) || crossed != 0 {
		t.Errorf("the trail has %v, %d crossed; want %v", sent, crossed, want)
	}
}

// readBack are those entries of a trail on the disk that are asked for. The trail has to be whole.
func readBack(t *testing.T, dir string, which func(auditlog.Entry) bool) (out []auditlog.Entry) {
	t.Helper()
	entries, faults, err := auditlog.ReadDir(dir)
	if err != nil || len(faults) > 0 {
		t.Fatalf("%v, %v", faults, err)
	}
	for _, e := range entries {
		if which(e) {
			out = append(out, e)
		}
	}
	return out
}
