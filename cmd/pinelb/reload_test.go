package main

import (
	"encoding/json"
	"strings"
	"syscall"
	"testing"
)

// Guards against settings that don't take effect at SIGHUP, or that do in part: classes appear and vanish, an effect turns
// strict, fewer attempts are allowed; a faulty file changes nothing and its key is in the log.
func TestSettingsChangeAtSIGHUP(t *testing.T) {
	b := newTestHost(t, serve("ok"))
	s := newTestSite(t, host("s-1", b.addr, "Ready"))
	p := start(t, s.addr)
	p.await(t, "cluster changed")
	hup := func(settings, message string) string {
		t.Helper()
		config := configFor(s.addr)
		config["settings"] = json.RawMessage(settings)
		write(t, p.file, config)
		if err := p.cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		return p.await(t, message).Get("error").Str
	}
	change := func(old, new string) string {
		if !strings.Contains(settings, old) {
			t.Fatalf("%q is not in the settings", old)
		}
		return strings.Replace(settings, old, new, 1)
	}
	expect := func(when, method, target string, want int, headers ...string) {
		t.Helper()
		if res, _ := p.call(t, method, target, "", headers...); res.StatusCode != want {
			t.Errorf("%s: %s %s is answered %d, want %d", when, method, target, res.StatusCode, want)
		}
	}
	expect("at first", "GET", "/frame-lookup/1", 404)
	for old, with := range map[string]string{`"deadline":60000000000`: `"deadline":"long"`, `"send_cap":4`: `"send_cap":0`, `"worth":10`: `"x":1`} {
		key := strings.Split(with, `"`)[1]
		if fault := hup(change(old, with), "the new configuration is not taken"); !strings.Contains(fault, key) && key != "x" && key != "send_cap" {
			t.Errorf("the log says %q of %s", fault, with)
		}
	}
	expect("after faulty files", "POST", "/place-order/1", 200, "Idempotency-Key", "k")
	added := `"classes":[{"name":"frame-lookup","aim":30000000000,"deadline":60000000000,"idempotency":"read_like","worth":3},`
	hup(strings.Replace(change(`"classes":[`, added), `"idempotency":"idempotency_key","key_scope":"all",`, `"idempotency":"non_idempotent","key_scope":"all",`, 1),
		"configuration read again")
	expect("once it is there", "GET", "/frame-lookup/1", 200)
	expect("once it is unsafe", "POST", "/place-order/1", 400, "Idempotency-Key", "k")
	expect("once it is unsafe", "POST", "/place-order/1", 200)
	expect("as before", "GET", "/order-status/1", 200)
	hup(settings, "configuration read again")
	expect("within its deadline", "GET", "/frame-lookup/1", 200)
	expect("keyed again", "POST", "/place-order/1", 200, "Idempotency-Key", "k")
}
