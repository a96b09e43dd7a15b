package simulation

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"hash"
	"math"
	"reflect"
	"runtime"
	"slices"
	"testing"

	"pinelb.example/pinelb/internal/lab/scenario"
)

// manyFaults has a fault of nearly every kind that the virtual player has.
const manyFaults = `
[[fault]]
kind = "add"
boxes = 1
at = "2s"
[[fault]]
kind = "hurry"
at = "1s"
for = "2s"
size = 0.4
left = 0.3
[[fault]]
kind = "discovery_late"
at = "1s"
for = "3s"
size = 0.5
back = "700ms"
[[fault]]
kind = "sidecar_kill"
at = "2s"
back = "500ms"
share = 0.5
step = "300ms"
[[fault]]
kind = "sidecar_upgrade"
at = "3s"
[[fault]]
kind = "sidecar_pause"
at = "3s"
for = "200ms"
share = 1.0
[[fault]]
kind = "drain"
at = "1s"
boxes = 2
back = "1s"
[[fault]]
kind = "flap"
of = "vanish"
at = "2s"
for = "5s"
up = "300ms"
down = "400ms"
boxes = 1
[[fault]]
kind = "mute"
at = "2s"
share = 0.5
size = 0.3
by = "connection"
for = "1s"
`

// TestGoldenTraces guards the promise that a plan gives the same trace, byte for byte, from one version of the code to
// the next. The hashes are of the values alone: names of types and fields don't enter them, their order does. A hash
// changes only with a deliberate change of the model, the planner or the balancing decisions; say so in that commit. Other
// processors may fuse multiplications and additions, and so come to other last bits.
func TestGoldenTraces(t *testing.T) {
	if runtime.GOARCH != "amd64" {
		t.Skip("the hashes are of amd64")
	}
	for _, c := range []struct {
		scenario, more, policy string
		seed                   uint64
		plan, trace            string
	}{
		{"bad-morning", "", "pinelb", 5, "4691e39951671e0f6af19ed4", "f6f394ba41dba4c1ddaa08a3"},
		{"two-tiers", "", "pinelb", 7, "de2bc038addd4562caa223be", "e8d4dc32a6f424cff0515765"},
		{"rolling-restart", "", "pinelb", 11, "49c77aeb61c9a361aa98eb18", "935a1b3f08beef8988dac41c"},
		{"flap", "", "plain", 13, "61fe8ebc0fa4aceeb472c3ff", "e2bcf2f3925387ab065c3c14"},
		{"calm", manyFaults, "pinelb", 17, "26655c4a7290786d809f12ee", "9390405f34451ef0be997679"},
	} {
		s := load(t, c.scenario, c.more)
		s.Fleet.Policy = c.policy
		p, l := play(t, s, c.seed)
		if got := valueHash(p); got != c.plan {
			t.Errorf("%s, %s: the plan's hash is %s, want %s", c.scenario, c.policy, got, c.plan)
		}
		if got := valueHash(l); got != c.trace {
			t.Errorf("%s, %s: the trace's hash is %s, want %s", c.scenario, c.policy, got, c.trace)
		}
	}
}

// valueHash is a hash of all exported and unexported values that v points at, in the order of their declaration. The
// scenario is left out: it is the input.
func valueHash(v any) string {
	h := sha256.New()
	hashValue(h, reflect.ValueOf(v))
	return hex.EncodeToString(h.Sum(nil)[:12])
}

func hashValue(h hash.Hash, v reflect.Value) {
	number := func(n uint64) {
		var b [8]byte
		binary.LittleEndian.PutUint64(b[:], n)
		h.Write(b[:])
	}
	switch v.Kind() {
	case reflect.Bool:
		if v.Bool() {
			number(1)
		} else {
			number(0)
		}
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		number(uint64(v.Int()))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		number(v.Uint())
	case reflect.Float32, reflect.Float64:
		number(math.Float64bits(v.Float()))
	case reflect.String:
		number(uint64(v.Len()))
		h.Write([]byte(v.String()))
	case reflect.Slice, reflect.Array:
		number(uint64(v.Len()))
		for i := range v.Len() {
			hashValue(h, v.Index(i))
		}
	case reflect.Map:
		keys := v.MapKeys()
		slices.SortFunc(keys, func(a, b reflect.Value) int { return cmp.Compare(fmt.Sprint(a), fmt.Sprint(b)) })
		number(uint64(len(keys)))
		for _, k := range keys {
			hashValue(h, k)
			hashValue(h, v.MapIndex(k))
		}
	case reflect.Struct:
		for i := range v.NumField() {
			hashValue(h, v.Field(i))
		}
	case reflect.Pointer, reflect.Interface:
		if v.IsNil() || v.Type() == reflect.TypeFor[*scenario.Scenario]() {
			number(0)
			return
		}
		number(1)
		hashValue(h, v.Elem())
	default:
		panic("no hash of a " + v.Kind().String())
	}
}
