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

// Guards against classes that are not served once they are added, that keep their old effect, or that are removed before
// clients that get the change later have had their responses.
func TestUpdateClasses(t *testing.T) {
	var got stream.Request
	s := newServer(func(_ context.Context, req *stream.Request) stream.Response {
		got = *req
		return stream.Response{}
	})
	statusOf := func(method, target string, headers ...string) int {
		w := httptest.NewRecorder()
		s.ServeHTTP(w, newRequest(method, target, "", append(headers, "X-Txn", "a", "X-Remaining-Ms", "900")...))
		return w.Code
	}
	set := &config.Settings{Settings: balance.Settings{MaxPending: 2, Classes: []balance.Class{
		{Idempotency: balance.Idempotent, Deadline: time.Second}, {Idempotency: balance.NonIdempotent, Deadline: time.Hour},
		{Idempotency: balance.NonIdempotent, Deadline: time.Second}, {Idempotency: balance.Idempotent, Deadline: time.Second}}},
		ClassNames: []string{"look", "order", "charge", "peek"}, Removed: []bool{true, false, false, false}}
	if code := statusOf("GET", "/peek/1"); code != 404 {
		t.Errorf("before it is added: %d", code)
	}
	s.UpdateClasses(set)
	if code := statusOf("GET", "/peek/1"); code != 200 || got.Class != 3 {
		t.Errorf("an added class: %d, class %d", code, got.Class)
	}
	if code := statusOf("POST", "/order/1", "Idempotency-Key", "k"); code != 400 {
		t.Errorf("a key for a class that takes none any more: %d", code)
	}
	if code := statusOf("POST", "/order/1"); code != 200 || got.Class != 1 {
		t.Errorf("a class that has become unsafe: %d, class %d", code, got.Class)
	}
	if code := statusOf("GET", "/look/1"); code != 200 || got.Class != 0 {
		t.Errorf("a class that was just removed: %d, class %d", code, got.Class)
	}
	s.UpdateClasses(set) // a second update does not serve it longer
	if _, taken := s.class("look", time.Now().Add(time.Second)); taken {
		t.Error("a removed class is served beyond its deadline")
	}
	set.Removed = []bool{false, false, false, false}
	s.UpdateClasses(set)
	if _, taken := s.class("look", time.Now().Add(time.Hour)); !taken {
		t.Error("a class that was added again is not served")
	}
}

// Guards against requests of one tenant being taken for another's: by their header, of names that the settings have.
func TestTenants(t *testing.T) {
	var got stream.Request
	s := newServer(func(_ context.Context, req *stream.Request) stream.Response {
		got = *req
		return stream.Response{}
	})
	set := &config.Settings{Settings: balance.Settings{MaxPending: 2, Classes: []balance.Class{{Idempotency: balance.Idempotent, Deadline: time.Second}}},
		ClassNames: []string{"look"}, TenantNames: []string{"north", "süd 1"}}
	s.UpdateClasses(set)
	for _, c := range []struct {
		orgs []string
		code int
		want int
		org  string // what is forwarded to the host
	}{{nil, 200, 0, ""}, {[]string{"north"}, 200, 1, "north"}, {[]string{"süd 1"}, 200, 2, ""}, {[]string{"East"}, 200, 0, "East"},
		{[]string{"North"}, 200, 0, "North"}, {[]string{"north", "süd 1"}, 400, 0, ""}} {
		got = stream.Request{}
		r := newRequest("GET", "/look/1", "", "X-Txn", "a", "X-Remaining-Ms", "900")
		for _, org := range c.orgs {
			r.Header.Add("X-Org", org)
		}
		w := httptest.NewRecorder()
		if s.ServeHTTP(w, r); w.Code != c.code || got.Tenant != c.want || got.TenantName != c.org {
			t.Errorf("%q: %d, tenant %d, %q is forwarded; want %d, %d, %q", c.orgs, w.Code, got.Tenant, got.TenantName, c.code, c.want, c.org)
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
	safe := balance.Class{Idempotency: balance.Idempotent, Deadline: time.Second}
	s.UpdateClasses(&config.Settings{Settings: balance.Settings{MaxPending: 2, Classes: []balance.Class{safe, safe, safe}},
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
		r := newRequest("GET", c.target, "", "X-Txn", "a", "X-Remaining-Ms", "900")
		if c.lane != "" {
			r.Header.Set("X-Lane", c.lane)
		}
		w := httptest.NewRecorder()
		if s.ServeHTTP(w, r); w.Code != c.code || got.ClassName != c.want {
			t.Errorf("%s of %q: %d, class %q, want %d, %q", c.target, c.lane, w.Code, got.ClassName, c.code, c.want)
		}
	}
}
