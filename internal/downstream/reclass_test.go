package downstream

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/config"
	"pinelb.example/pinelb/internal/stream"
)

// Guards against classes that are not taken once they have appeared, that change their effect for what is said of them,
// or that vanish before those who were told later have had their answers.
func TestReclass(t *testing.T) {
	var got stream.Request
	s := newServer(func(_ context.Context, req *stream.Request) stream.Response {
		got = *req
		return stream.Response{}
	})
	ask := func(method, target string, headers ...string) int {
		w := httptest.NewRecorder()
		s.ServeHTTP(w, message(method, target, "", append(headers, "X-Txn", "a", "X-Remaining-Ms", "900")...))
		return w.Code
	}
	set := &config.Settings{Settings: balance.Settings{MaxHeld: 2, Classes: []balance.Class{
		{Effect: balance.Safe, Deadline: time.Second}, {Effect: balance.Unsafe, Deadline: time.Hour},
		{Effect: balance.Unsafe, Deadline: time.Second}, {Effect: balance.Safe, Deadline: time.Second}}},
		ClassNames: []string{"look", "order", "charge", "peek"}, Removed: []bool{true, false, false, false}}
	if code := ask("GET", "/peek/1"); code != 404 {
		t.Errorf("before it appears: %d", code)
	}
	s.Reclass(set)
	if code := ask("GET", "/peek/1"); code != 200 || got.Class != 3 {
		t.Errorf("a class that appeared: %d, class %d", code, got.Class)
	}
	if code := ask("POST", "/order/1", "Idempotency-Key", "k"); code != 400 {
		t.Errorf("a key for a class that takes none any more: %d", code)
	}
	if code := ask("POST", "/order/1"); code != 200 || got.Class != 1 {
		t.Errorf("a class that has become unsafe: %d, class %d", code, got.Class)
	}
	if code := ask("GET", "/look/1"); code != 200 || got.Class != 0 {
		t.Errorf("a class that has just vanished: %d, class %d", code, got.Class)
	}
	s.Reclass(set) // told twice, it goes no later
	if _, taken := s.class("look", time.Now().Add(time.Second)); taken {
		t.Error("a class that vanished is taken beyond its deadline")
	}
	set.Removed = []bool{false, false, false, false}
	s.Reclass(set)
	if _, taken := s.class("look", time.Now().Add(time.Hour)); !taken {
		t.Error("a class that came back is not taken")
	}
}

// Guards against requests of one tenant passing for another's: by their header, of names that the settings have.
func TestTenants(t *testing.T) {
	var got stream.Request
	s := newServer(func(_ context.Context, req *stream.Request) stream.Response {
		got = *req
		return stream.Response{}
	})
	set := &config.Settings{Settings: balance.Settings{MaxHeld: 2, Classes: []balance.Class{{Effect: balance.Safe, Deadline: time.Second}}},
		ClassNames: []string{"look"}, TenantNames: []string{"north", "süd 1"}}
	s.Reclass(set)
	for _, c := range []struct {
		orgs []string
		code int
		want int
		on   string // what goes on to the host
	}{{nil, 200, 0, ""}, {[]string{"north"}, 200, 1, "north"}, {[]string{"süd 1"}, 200, 2, ""}, {[]string{"East"}, 200, 0, "East"},
		{[]string{"North"}, 200, 0, "North"}, {[]string{"north", "süd 1"}, 400, 0, ""}} {
		got = stream.Request{}
		r := message("GET", "/look/1", "", "X-Txn", "a", "X-Remaining-Ms", "900")
		for _, org := range c.orgs {
			r.Header.Add("X-Org", org)
		}
		w := httptest.NewRecorder()
		if s.ServeHTTP(w, r); w.Code != c.code || got.Tenant != c.want || got.Org != c.on {
			t.Errorf("%q: %d, tenant %d, %q goes on; want %d, %d, %q", c.orgs, w.Code, got.Tenant, got.Org, c.code, c.want, c.on)
		}
	}
}

// Guards against a class whose name has a slash being unknown, or taken for one whose name it begins with.
func TestClassesWithSlashes(t *testing.T) {
	var got stream.Request
	s := newServer(func(_ context.Context, req *stream.Request) stream.Response {
		got = *req
		return stream.Response{}
	})
	safe := balance.Class{Effect: balance.Safe, Deadline: time.Second}
	s.Reclass(&config.Settings{Settings: balance.Settings{MaxHeld: 2, Classes: []balance.Class{safe, safe, safe}},
		ClassNames: []string{"open", "open/gate", "a.b/c/d"}})
	for _, c := range []struct {
		target, lane string
		code         int
		want         string
	}{
		{"/open/gate/1", "open/gate", 200, "open/gate"}, {"/open/gate/1", "", 200, "open/gate"}, {"/open/gate", "", 200, "open/gate"},
		{"/open/gate/1", "open", 200, "open"}, {"/open/gates/1", "", 200, "open"}, {"/open/1", "open/gate", 400, ""},
		{"/a.b/c/d/x/y", "a.b/c/d", 200, "a.b/c/d"}, {"/a.b/c", "", 404, ""}, {"/a.b/c", "a.b/c", 404, ""}, {"/opened/1", "", 404, ""},
	} {
		got = stream.Request{}
		r := message("GET", c.target, "", "X-Txn", "a", "X-Remaining-Ms", "900")
		if c.lane != "" {
			r.Header.Set("X-Lane", c.lane)
		}
		w := httptest.NewRecorder()
		if s.ServeHTTP(w, r); w.Code != c.code || got.ClassName != c.want {
			t.Errorf("%s of %q: %d, class %q, want %d, %q", c.target, c.lane, w.Code, got.ClassName, c.code, c.want)
		}
	}
}
