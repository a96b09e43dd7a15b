package version

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const goodOrder = `{"floor":{"epoch":7,"by":"east","site":"s","list":"00000000000000aa","revision":12,"settings":"",
"file":"00000000000000bb","builds":["b1"],"grace_ms":3000,"spread_ms":1000,"for_ms":60000},
"ticket":{"no":1,"issued_ms":1700000000000,"for_ms":4000}}`

// Each faulty order names its key.
func TestParseOrder(t *testing.T) {
	if _, err := ParseOrder([]byte(goodOrder)); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ from, to, key string }{
		{`"epoch":7`, `"epoch":0`, "floor.epoch"},
		{`"epoch":7`, `"epoch":-7`, "floor.epoch"},
		{`"epoch":7`, `"epoch":9007199254740992`, "floor.epoch"},
		{`"epoch":7`, `"epoch":"7"`, "floor.epoch"},
		{`"by":"east",`, ``, "floor.by"},
		{`"site":"s",`, ``, "floor.site"},
		{`"00000000000000aa"`, `"aa"`, "floor.list"},
		{`"00000000000000aa"`, `7`, "floor.list"},
		{`"00000000000000aa"`, `""`, "floor.revision"},
		{`"revision":12`, `"revision":-1`, "floor.revision"},
		{`"settings":""`, `"settings":"x"`, "floor.settings"},
		{`"00000000000000bb"`, `"00000000000000bg"`, "floor.file"},
		{`["b1"]`, `[""]`, "floor.builds"},
		{`["b1"]`, `["` + strings.Repeat(`b","`, 16) + `b"]`, "floor.builds"},
		{`"grace_ms":3000`, `"grace_ms":-1`, "floor.grace_ms"},
		{`"grace_ms":3000`, `"grace_ms":60001`, "floor.grace_ms"},
		{`"spread_ms":1000`, `"spread_ms":-1`, "floor.spread_ms"},
		{`"for_ms":60000`, `"for_ms":3600001`, "floor.for_ms"},
		{`"for_ms":60000`, `"for_ms":0`, "floor.for_ms"},
		{`"no":1`, `"no":-1`, "ticket.no"},
		{`"no":1`, `"no":0.1`, "ticket.no"},
		{`"issued_ms":1700000000000`, `"issued_ms":-1`, "ticket.issued_ms"},
		{`"issued_ms":1700000000000`, `"issued_ms":9000000000000`, "ticket.issued_ms"},
		{`"for_ms":4000`, `"for_ms":5001`, "ticket.for_ms"},
		{`"no":1`, `"no":1,"share":0.1`, "share"},
		{`4000}}`, `4000}} 1`, "JSON"},
		{`{"floor"`, `["floor"`, "JSON"},
		{`"east"`, `"` + strings.Repeat("e", MaxOrderBytes) + `"`, "JSON"},
	} {
		text := strings.Replace(goodOrder, c.from, c.to, 1)
		var faulty KeyError
		if _, err := ParseOrder([]byte(text)); text == goodOrder || !errors.As(err, &faulty) || faulty.Key != c.key {
			t.Errorf("%s for %s: %v, should name %s", c.to, c.from, err, c.key)
		}
	}
}

// What is read can be, is written as it was read, and every refusal names a key.
func FuzzParseOrder(f *testing.F) {
	f.Add([]byte(goodOrder))
	f.Add([]byte(`{"floor":{"epoch":1,"by":"a","site":"s","for_ms":1}}`))
	f.Add([]byte(`{"floor":{"Floor":{"epoch":1}},"ticket":null}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		o, err := ParseOrder(text)
		if err != nil {
			if faulty := (KeyError{}); !errors.As(err, &faulty) || faulty.Key == "" {
				t.Fatalf("%v names no key", err)
			}
			return
		}
		again, err := json.Marshal(o)
		if err != nil {
			t.Fatal(err)
		}
		if back, err := ParseOrder(again); len(again) <= MaxOrderBytes && (err != nil || !cmp.Equal(o, back)) {
			t.Fatalf("%s is read as %+v, %v; it was %+v", again, back, err, o)
		}
	})
}
