package settingsstore

import (
	"encoding/json"
	"errors"
	"net/url"
	"reflect"
	"strings"
	"testing"
	"time"
	"unicode/utf8"

	"pinelb.example/pinelb/internal/version"
)

func edition(epoch uint64, by string) version.Edition { return version.Edition{Epoch: epoch, By: by} }

func errorKey(t *testing.T, err error) string {
	t.Helper()
	var faulty KeyError
	if !errors.As(err, &faulty) || faulty.Key == "" {
		t.Fatalf("error %v names no key", err)
	}
	return faulty.Key
}

// Guards against a state that changes on its way, and against one that was cut, spoilt or is too large and is taken.
func TestStates(t *testing.T) {
	settings := json.RawMessage(`{"aim": "<é&>", "n": [1, 2.50]}`)
	s := NewState("pay-1", edition(7, "d2"), settings)
	text := Encode(s)
	got, err := Parse(text)
	if err != nil || !reflect.DeepEqual(got, s) {
		t.Fatalf("%+v, %v, want %+v", got, err, s)
	}
	for n := range text {
		if _, err := Parse(text[:n]); err == nil {
			t.Fatalf("taken, cut to %d of %d bytes", n, len(text))
		}
	}
	large := Encode(NewState("s", edition(1, "d"), json.RawMessage(`{"a":"`+strings.Repeat("x", MaxSettingsBytes)+`"}`)))
	maxSettings := json.RawMessage(`{"a":"` + strings.Repeat("x", MaxSettingsBytes-8) + `"}`)
	name := strings.Repeat("n", MaxNameBytes)
	if _, err := Parse(Encode(NewState(name, edition(version.MaxEpoch, name), maxSettings))); err != nil {
		t.Errorf("the largest: %v", err)
	}
	for _, c := range []struct{ text, key string }{
		{strings.Replace(string(text), "2.50", "2.51", 1), "digest"},
		{strings.Replace(string(text), `"digest":"`, `"digest":"0`, 1), "digest"},
		{strings.Replace(string(text), `"by"`, `"bye"`, 1), "bye"},
		{strings.Replace(string(text), `"epoch":7`, `"epoch":-7`, 1), "epoch"},
		{strings.Replace(string(text), `"epoch":7`, `"epoch":0`, 1), "epoch"},
		{strings.Replace(string(text), `"epoch":7`, `"epoch":9007199254740992`, 1), "epoch"},
		{strings.Replace(string(text), `"by":"d2"`, `"by":"d 2"`, 1), "by"},
		{strings.Replace(string(text), `"pay-1"`, `"../pay"`, 1), "service"},
		{string(text) + "{}", "JSON"},
		{`{}`, "service"}, {`{"service":"s","epoch":1,"by":"d","settings":{}}`, "digest"},
		{string(large), "settings"},
		{`{"service":"s","epoch":1,"by":"d","digest":"0000000000000001","settings":[]}`, "settings"},
		{strings.Repeat(" ", MaxStateBytes) + string(text), "JSON"},
	} {
		_, err := Parse([]byte(c.text))
		if key := errorKey(t, err); key != c.key {
			t.Errorf("%.80s: %v, want %s", c.text, err, c.key)
		}
	}
}

// Guards against a question that is understood as another one.
func TestRequests(t *testing.T) {
	long := strings.Repeat("é", MaxReasonBytes)
	for _, q := range []Request{
		{Service: "s"},
		{Service: "s", Since: edition(3, "d1"), Wait: 2 * time.Second, Name: "a b&c=d/é"},
		{Service: "s-2", Since: edition(3, "d1"), Rejected: edition(4, "d0"), Reason: "settings.aim is wrong & \x00", Name: "x"},
		{Service: "s", Since: edition(3, "d1"), Reason: "settings of t were told"},
		{Service: "s", Rejected: edition(version.MaxEpoch, "d0"), Wait: MaxWait},
	} {
		u, err := url.ParseRequestURI(q.Target())
		if err != nil {
			t.Fatal(err)
		}
		if got, err := ParseRequest(u); err != nil || got != q {
			t.Errorf("%s: %+v, %v, want %+v", u, got, err, q)
		}
	}
	q := Request{Service: "s", Rejected: edition(1, "d"), Reason: long + "\xff"}
	u, _ := url.ParseRequestURI(q.Target())
	if got, err := ParseRequest(u); err != nil || got.Reason != long[:MaxReasonBytes] {
		t.Errorf("a long reason: %q, %v", got.Reason, err)
	}
	for _, c := range []struct{ target, key string }{
		{"/list", "path"}, {"/settings/", "service"}, {"/settings/a/b", "service"}, {"/settings/.a", "service"},
		{"/settings/a?since=x", "since"}, {"/settings/a?since=1", "by"}, {"/settings/a?by=d", "since"},
		{"/settings/a?since=9007199254740992&by=d", "since"}, {"/settings/a?since=1&since=2&by=d", "since"},
		{"/settings/a?refused=1", "refused_by"}, {"/settings/a?why=%ff", "why"}, {"/settings/a?why=x&why=y", "why"}, {"/settings/a?timeout_ms=30001", "timeout_ms"},
		{"/settings/a?timeout_ms=-1", "timeout_ms"}, {"/settings/a?other=1", `"other"`}, {"/settings/a?%2", "query"},
		{"/settings/a?name=" + strings.Repeat("n", MaxSidecarNameBytes+1), "name"}, {"/settings/a?name=%ff", "name"},
	} {
		u, err := url.Parse(c.target)
		if err != nil {
			t.Fatal(err)
		}
		_, err = ParseRequest(u)
		if key := errorKey(t, err); key != c.key {
			t.Errorf("%s: %v, want %s", c.target, err, c.key)
		}
	}
}

// What is read as a state can be written, and is the same then.
func FuzzParse(f *testing.F) {
	f.Add(Encode(NewState("s", edition(1, "d"), json.RawMessage(`{}`))))
	f.Add(Encode(NewState("s", edition(1, "d"), json.RawMessage(`{"a":[1,{"b":null}]}`))))
	f.Add([]byte(`{"service":"s","epoch":1,"by":"d","digest":"","settings":null}`))
	f.Add([]byte(`{"Edition":{"epoch":1}}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := Parse(text)
		if err != nil {
			errorKey(t, err)
			return
		}
		if again, err := Parse(Encode(s)); err != nil || !reflect.DeepEqual(again, s) {
			t.Errorf("%+v, %v, want %+v", again, err, s)
		}
	})
}

// What is read as a question can be written, is the same then, and is bounded.
func FuzzParseRequest(f *testing.F) {
	f.Add("/settings/s?since=3&by=d1&timeout_ms=2000&name=n")
	f.Add("/settings/s?since=3&by=d1&refused=4&refused_by=d0&why=a%20b")
	f.Add("/settings/%2e%2e?since=%31")
	f.Fuzz(func(t *testing.T, target string) {
		u, err := url.ParseRequestURI(target)
		if err != nil {
			return
		}
		q, err := ParseRequest(u)
		if err != nil {
			errorKey(t, err)
			return
		}
		if len(q.Name) > MaxSidecarNameBytes || len(q.Reason) > MaxReasonBytes || q.Wait > MaxWait || !utf8.ValidString(q.Reason) {
			t.Errorf("%+v is beyond the bounds", q)
		}
		if u, err = url.ParseRequestURI(q.Target()); err != nil {
			t.Fatal(err)
		}
		if again, err := ParseRequest(u); err != nil || again != q {
			t.Errorf("%+v, %v, want %+v", again, err, q)
		}
	})
}
