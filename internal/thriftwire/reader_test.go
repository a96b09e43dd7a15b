package thriftwire

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

var wideLimits = Limits{Message: 1 << 20, Depth: 64, Values: 1 << 20, Name: 1 << 10}

// forms are all forms.
var forms = []Form{
	{Binary, false}, {Binary, true}, {OldBinary, false}, {OldBinary, true}, {Compact, false}, {Compact, true},
}

// parseHex parses bytes in hex, or as text in quotes, separated by spaces; 3*x is x three times.
func parseHex(t testing.TB, text string) []byte {
	t.Helper()
	var out []byte
	for _, word := range strings.Fields(text) {
		times := 1
		if before, after, found := strings.Cut(word, "*"); found {
			if _, err := fmt.Sscan(before, &times); err != nil {
				t.Fatal(err)
			}
			word = after
		}
		b := []byte(strings.Trim(word, "'"))
		if word[0] != '\'' {
			var err error
			if b, err = hex.DecodeString(word); err != nil {
				t.Fatal(err)
			}
		}
		out = append(out, bytes.Repeat(b, times)...)
	}
	return out
}

// readAll feeds b in pieces, and returns copies of all that is read.
func readAll(t testing.TB, r *Reader, b []byte, piece int) (out []Message, err error) {
	t.Helper()
	for {
		n := min(piece, len(b))
		r.Feed(b[:n])
		for {
			m, ok, err := r.Next()
			if err != nil {
				if _, _, again := r.Next(); again != err || r.Pending() != 0 {
					t.Fatalf("after %v: %v, %d bytes kept", err, again, r.Pending())
				}
				return out, err
			}
			if !ok {
				break
			}
			m.Body = bytes.Clone(m.Body)
			out = append(out, m)
		}
		if pending, most := r.Pending(), r.limits.Message+frameLengthSize; pending > most || cap(r.buf) > most+piece {
			t.Fatalf("keeps %d bytes in a buffer of %d, %d at most", pending, cap(r.buf), most)
		}
		if b = b[n:]; len(b) == 0 {
			return out, nil
		}
	}
}

// handMadeMessages are written by the specifications: ping(1: "ab", 2: true, 3: -2 as i32).
var handMadeMessages = []struct {
	form Form
	text string
}{
	{Form{Binary, false}, "80010001 00000004 'ping' 00000007 0b0001 00000002 'ab' 020002 01 080003 fffffffe 00"},
	{Form{Binary, true}, "00000025 80010001 00000004 'ping' 00000007 0b0001 00000002 'ab' 020002 01 080003 fffffffe 00"},
	{Form{OldBinary, false}, "00000004 'ping' 01 00000007 0b0001 00000002 'ab' 020002 01 080003 fffffffe 00"},
	{Form{OldBinary, true}, "00000022 00000004 'ping' 01 00000007 0b0001 00000002 'ab' 020002 01 080003 fffffffe 00"},
	{Form{Compact, false}, "82 21 07 04 'ping' 18 02 'ab' 11 15 03 00"},
	{Form{Compact, true}, "00000010 82 21 07 04 'ping' 18 02 'ab' 11 15 03 00"},
}

func TestHandMadeMessages(t *testing.T) {
	for _, c := range handMadeMessages {
		b := parseHex(t, c.text)
		form := &c.form
		if form.Encoding != OldBinary {
			form = nil // it has to be found
		}
		r := NewReader(wideLimits, form)
		got, err := readAll(t, r, b, len(b))
		if err != nil || len(got) != 1 {
			t.Errorf("%v: %v, %v", c.form, got, err)
			continue
		}
		m := got[0]
		want := Head{Form: c.form, Kind: Call, Name: "ping", Seq: 7}
		if f, known := r.Form(); m.Head != want || f != c.form || !known {
			t.Errorf("%v: %v", c.form, m.Head)
		}
		for path, value := range map[int16]Value{
			1: {Text: []byte("ab"), IsText: true, Present: true}, 2: {Number: 1, Present: true},
			3: {Number: -2, Present: true}, 4: {},
		} {
			if v, err := Lookup(c.form.Encoding, m.Body, []int16{path}); err != nil || !cmp.Equal(v, value) {
				t.Errorf("%v: field %d: %v, %v", c.form, path, v, err)
			}
		}
		if back := Append(nil, m.Head, m.Body); !bytes.Equal(back, b) {
			t.Errorf("%v: appended %x", c.form, back)
		}
		other := m.Head
		other.Seq = -1 << 31
		if again, err := readAll(t, NewReader(wideLimits, form), Append(nil, other, m.Body), 1); err != nil ||
			again[0].Head != other || !bytes.Equal(again[0].Body, m.Body) {
			t.Errorf("%v: with another sequence id: %v, %v", c.form, again, err)
		}
	}
}

// Every message of the corpus gives the same wherever it is split.
func TestPartialReads(t *testing.T) {
	for _, form := range forms {
		var all []byte
		var want []Message
		for i, b := range messageCorpus(t, form) {
			m, err := readAll(t, NewReader(wideLimits, &form), b, len(b))
			if err != nil || len(m) != 1 || !bytes.Equal(Append(nil, m[0].Head, m[0].Body), b) {
				t.Fatalf("%v: message %d: %v, %v", form, i, m, err)
			}
			for cut := range b {
				r := NewReader(wideLimits, &form)
				if early, err := readAll(t, r, b[:cut], max(1, cut)); len(early) != 0 || err != nil || r.Pending() != cut {
					t.Fatalf("%v: message %d cut at %d: %v, %v, %d pending", form, i, cut, early, err, r.Pending())
				}
				if rest, err := readAll(t, r, b[cut:], len(b)); err != nil || !reflect.DeepEqual(rest, m) {
					t.Fatalf("%v: message %d cut at %d, rest: %v, %v", form, i, cut, rest, err)
				}
			}
			all, want = append(all, b...), append(want, m...)
		}
		for _, piece := range []int{1, 2, 3, 7, len(all)} {
			if got, err := readAll(t, NewReader(wideLimits, &form), all, piece); err != nil || !cmp.Equal(got, want) {
				t.Errorf("%v in pieces of %d: %s, %v", form, piece, cmp.Diff(want, got), err)
			}
		}
	}
}

// narrowLimits are the limits for malformedMessages.
var narrowLimits = Limits{Message: 4096, Depth: 8, Values: 100, Name: 16}

const binaryHeadHex, compactHeadHex = "80010001 00000000 00000000 ", "82 21 00 00 "

var malformedMessages = []struct {
	what, text string
	want       error
}{
	{"frame of 2 GB", "7fffffff", ErrTooLong},
	{"frame one byte too long", "00001001", ErrTooLong},
	{"second frame negative", "00000011 " + binaryHeadHex + "00 ffffffff", ErrTrailingBytes},
	{"second frame negative", "0000000d " + binaryHeadHex + "00 ffffffff", ErrMalformed},
	{"empty frame", "00000000", ErrUnknownForm},
	{"second frame empty", "0000000d " + binaryHeadHex + "00 00000000", ErrMalformed},
	{"frame ends in the head", "00000005 " + binaryHeadHex, ErrMalformed},
	{"frame ends in the body", "0000000f " + binaryHeadHex + "0b0001", ErrMalformed},
	{"frame ends in a string", "00000014 " + binaryHeadHex + "0b0001 00000002", ErrMalformed},
	{"HTTP", "'GET' 20 '/'", ErrUnknownForm},
	{"TLS", "16030100", ErrTooLong},
	{"negative", "ffffffff", ErrUnknownForm},
	{"old binary", "00000004 'ping' 01 00000007 00", ErrUnknownForm},
	{"another binary version", "80020001", ErrUnknownForm},
	{"another compact version", "82 22", ErrUnknownForm},
	{"form changes", binaryHeadHex + "00 82", nil},
	{"form changes", binaryHeadHex + "00 8221", ErrUnknownForm},
	{"kind 0", "80010000", ErrMalformed},
	{"kind 5", "80010005", ErrMalformed},
	{"kind 5, compact", "82 a1", ErrMalformed},
	{"name negative", "80010001 ffffffff", ErrMalformed},
	{"name too long", "80010001 00000011", ErrTooLong},
	{"name too long, compact", "82 21 00 11", ErrTooLong},
	{"sequence id overlong", "82 21 5*80", ErrMalformed},
	{"sequence id of 33 bits", "82 21 4*ff 10", ErrMalformed},
	{"unknown type", binaryHeadHex + "01", ErrMalformed},
	{"unknown type, compact", compactHeadHex + "1e", ErrMalformed},
	{"string negative", binaryHeadHex + "0b0001 80000000", ErrMalformed},
	{"string too long", binaryHeadHex + "0b0001 00001000", ErrTooLong},
	{"string of 2^31, compact", compactHeadHex + "18 8080808008", ErrMalformed},
	{"list of 2^31", binaryHeadHex + "0f0001 03 80000000", ErrMalformed},
	{"list of 2^31-1", binaryHeadHex + "0f0001 02 7fffffff", ErrTooManyValues},
	{"list of 2^31-1 empty structs", compactHeadHex + "19 fc ffffffff07", ErrTooManyValues},
	{"list of 2^31-1 bools", compactHeadHex + "19 f1 ffffffff07", ErrTooManyValues},
	{"map of 51", binaryHeadHex + "0d0001 0202 00000033", ErrTooManyValues},
	{"map of uuids", binaryHeadHex + "0d0001 1010 00000031 1568*77 00", nil},
	{"list beyond the message", "0000001f " + binaryHeadHex + "0f0001 0a 00000002", ErrMalformed},
	{"101 fields", compactHeadHex + "101*11", ErrTooManyValues},
	{"list of stops", binaryHeadHex + "0f0001 00 00000001", ErrMalformed},
	{"list of unknown", binaryHeadHex + "0f0001 11 00000001", ErrMalformed},
	{"empty list of unknown", binaryHeadHex + "0f0001 11 00000000 00", nil},
	{"empty list of unknown, compact", compactHeadHex + "19 0e", ErrMalformed},
	{"empty map, compact", compactHeadHex + "1b 00 00", nil},
	{"map of unknown, compact", compactHeadHex + "1b 01 1f", ErrMalformed},
	{"10,000 structs", binaryHeadHex + "10000*0c0001", ErrTooDeep},
	{"10,000 structs, compact", compactHeadHex + "10000*1c", ErrTooDeep},
	{"10,000 lists", compactHeadHex + "19 10000*19", ErrTooDeep},
	{"8 levels", compactHeadHex + "7*1c 8*00", nil},
	{"9 levels", compactHeadHex + "7*1c 11", ErrTooDeep},
	{"i32 of 6 bytes", compactHeadHex + "15 5*80", ErrMalformed},
	{"i32 of 33 bits", compactHeadHex + "15 4*80 10", ErrMalformed},
	{"i32 with needless zeros", compactHeadHex + "15 4*80 00 00", nil},
	{"i16 of 17 bits", compactHeadHex + "14 8080 04", ErrMalformed},
	{"i64 of 11 bytes", compactHeadHex + "16 10*80", ErrMalformed},
	{"i64 of 65 bits", compactHeadHex + "16 9*80 02", ErrMalformed},
	{"i64 of 64 bits", compactHeadHex + "16 9*ff 01 00", nil},
	{"field id beyond 32,767", compactHeadHex + "01 feff03 11", ErrMalformed},
	{"uuid", compactHeadHex + "1d 16*77 00", nil},
}

func TestMalformedMessages(t *testing.T) {
	for _, c := range malformedMessages {
		b := parseHex(t, c.text)
		for _, piece := range []int{1, 7, len(b)} {
			if _, err := readAll(t, NewReader(narrowLimits, nil), b, piece); !errors.Is(err, c.want) {
				t.Errorf("%s in pieces of %d: %v, not %v", c.what, piece, err, c.want)
			}
		}
	}
}

// A MiB that comes byte by byte allocates nothing but the growing buffer, and is walked in linear time: from its beginning for
// each byte it would take minutes.
func TestByteByByte(t *testing.T) {
	body := append(parseHex(t, "19 f8 ffff1f"), bytes.Repeat([]byte{1, 'a'}, 1<<19-1)...)
	b := append(Append(nil, Head{Form: Form{Compact, false}, Kind: Call}, body), 0)
	limits := Limits{Message: 2 << 20, Depth: 3, Values: 1 << 20}
	r := NewReader(limits, nil)
	allocs := testing.AllocsPerRun(1, func() {
		if got, err := readAll(t, r, b, 1); err != nil || len(got) != 1 || !bytes.Equal(got[0].Body, b[len(b)-len(body)-1:]) {
			t.Fatalf("%d messages, %v", len(got), err)
		}
	})
	if allocs > 20 {
		t.Errorf("%v allocations", allocs)
	}
}

// Levels beyond those in the walker's array move in memory while it is in them.
func TestDeepNesting(t *testing.T) {
	b := parseHex(t, compactHeadHex+"16*1c 0cf0ff03 1c 00 00 f1")
	if _, err := readAll(t, NewReader(wideLimits, nil), b, len(b)); err != ErrMalformed {
		t.Errorf("id 32,760 and 15 more: %v", err)
	}
}

// The buffer of a large message is released once it is empty; small ones reuse theirs.
func TestBufferIsReleased(t *testing.T) {
	r, h := NewReader(wideLimits, nil), Head{Form: Form{Binary, true}, Kind: Call}
	for _, size := range []int{100, maxIdleBufferSize / 2, 4 * maxIdleBufferSize} {
		body := append(binary.BigEndian.AppendUint32([]byte{typeString, 0, 1}, uint32(size)), make([]byte, size+1)...)
		b := Append(nil, h, body)
		if got, err := readAll(t, r, b, 1000); err != nil || len(got) != 1 || cap(r.buf) > maxIdleBufferSize {
			t.Errorf("%d bytes: %d messages, %v, %d bytes kept", size, len(got), err, cap(r.buf))
		}
	}
}

func TestLookup(t *testing.T) {
	for _, c := range []struct {
		what string
		e    Encoding
		text string
		path []int16
		want Value
	}{
		{"nested", Binary, "0c0001 0a0002 00000000000000ff 00 00", []int16{1, 2}, Value{Number: 255, Present: true}},
		{"the last one", Binary, "060001 0001 060001 fffe 00", []int16{1}, Value{Number: -2, Present: true}},
		{"the last struct", Binary, "0c0001 030001 07 00 0c0001 00 00", []int16{1, 1}, Value{}},
		{"a list is passed over", Compact, "13 fd 09 02 15 00 00", []int16{1}, Value{Number: -3, Present: true}},
		{"after a struct", Compact, "1c 7803 'xyz' 00 11 00", []int16{2}, Value{Number: 1, Present: true}},
		{"in it", Compact, "1c 7803 'xyz' 00 12 00", []int16{1, 7}, Value{Text: []byte("xyz"), IsText: true, Present: true}},
		{"false", Compact, "12 00", []int16{1}, Value{Present: true}},
		{"i64", Compact, "16 9*ff 01 00", []int16{1}, Value{Number: -1 << 63, Present: true}},
		{"double", Compact, "17 8*00 00", []int16{1}, Value{}},
		{"a list on the way", Binary, "0f0001 0c 00000001 00 00", []int16{1, 1}, Value{}},
		{"no path", Binary, "00", nil, Value{}},
	} {
		if got, err := Lookup(c.e, parseHex(t, c.text), c.path); err != nil || !cmp.Equal(got, c.want) {
			t.Errorf("%s: %v, %v", c.what, got, err)
		}
	}
	if _, err := Lookup(Binary, parseHex(t, "0b0001 00000009"), []int16{1}); err != ErrMalformed {
		t.Errorf("broken body: %v", err)
	}
	body := parseHex(t, "1c 7803 'xyz' 00 11 00")
	if n := testing.AllocsPerRun(100, func() { _, _ = Lookup(Compact, body, []int16{1, 7}) }); n > 0 {
		t.Errorf("%v allocations", n)
	}
}

func TestException(t *testing.T) {
	for _, form := range forms {
		for _, e := range []ApplicationException{
			{TypeUnknownMethod, "no such method"}, {-1 << 31, ""}, {1<<31 - 1, strings.Repeat("x", 300)},
		} {
			h := Head{Form: form, Kind: Call, Name: "s:m", Seq: -5}
			got, err := readAll(t, NewReader(wideLimits, &form), AppendException(nil, h, e), 1)
			if err != nil || len(got) != 1 {
				t.Fatalf("%v: %v, %v", form, got, err)
			}
			h.Kind = Exception
			if back, err := ParseException(form.Encoding, got[0].Body); err != nil || back != e || got[0].Head != h {
				t.Errorf("%v: %v with %v, %v", form, got[0].Head, back, err)
			}
			if m := apacheException(t, form, got[0].Body); m != e && e.Message != "" {
				t.Errorf("%v: apache reads %v", form, m)
			}
		}
	}
}

func TestMethod(t *testing.T) {
	for name, want := range map[string][2]string{
		"m": {"", "m"}, "s:m": {"s", "m"}, "s:m:n": {"s", "m:n"}, "": {"", ""},
	} {
		if s, m := (Head{Name: name}).Method(); [2]string{s, m} != want {
			t.Errorf("%q: %q, %q", name, s, m)
		}
	}
}
