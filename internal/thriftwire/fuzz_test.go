package thriftwire

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"testing"

	"github.com/apache/thrift/lib/go/thrift"
	"github.com/google/go-cmp/cmp"
)

// FuzzReader checks that nothing panics, that no more is buffered than the limit (in readAll), that a message gives the same
// however it is split, and that what was read is read again from what Append makes of it.
func FuzzReader(f *testing.F) {
	for i, form := range forms {
		for _, b := range messageCorpus(f, form) {
			f.Add(byte(i), byte(1), b)
		}
	}
	for _, c := range handMadeMessages {
		f.Add(byte(255), byte(3), parseHex(f, c.text))
	}
	for _, c := range malformedMessages {
		f.Add(byte(255), byte(2), parseHex(f, c.text))
	}
	f.Fuzz(func(t *testing.T, which, piece byte, b []byte) {
		var form *Form
		if int(which) < len(forms) {
			form = &forms[which]
		}
		tight := Limits{Message: 512, Depth: 6, Values: 64, Name: 16}
		unsplit := NewReader(tight, form)
		want, wantErr := readAll(t, unsplit, b, max(1, len(b)))
		pieces := NewReader(tight, form)
		got, err := readAll(t, pieces, b, 1+int(piece))
		if err != wantErr || !cmp.Equal(got, want) || unsplit.Pending() != pieces.Pending() {
			t.Fatalf("in pieces %v, %v; the whole %v, %v", got, err, want, wantErr)
		}
		for _, m := range want {
			again, err := readAll(t, NewReader(tight, &m.Form), Append(nil, m.Head, m.Body), 1)
			if err != nil || len(again) != 1 || !cmp.Equal(again[0], m) {
				t.Fatalf("appended and read again: %v, %v, not %v", again, err, m)
			}
			if m.Kind == Exception {
				x, err := ParseException(m.Form.Encoding, m.Body)
				if err != nil {
					t.Fatal(err)
				}
				AppendException(nil, m.Head, x)
			}
		}
		// It must not panic on bytes that no Reader has returned, either.
		for e := range Compact + 1 {
			_, _ = Lookup(e, b, []int16{1, 1})
		}
	})
}

// FuzzSkip compares the verdict and the end with those of apache/thrift's Skip, for bytes that apache/thrift wrote (made) and
// for any others.
func FuzzSkip(f *testing.F) {
	for e := range Compact + 1 {
		for _, b := range messageCorpus(f, Form{Encoding: e}) {
			f.Add(byte(e), false, b)
		}
		for _, c := range choices {
			f.Add(byte(e), true, parseHex(f, c))
		}
		for _, c := range malformedMessages {
			f.Add(byte(e), false, parseHex(f, c.text))
		}
	}
	for depth := 62; depth < 66; depth++ { // apache's is 64
		f.Add(byte(Compact), false, parseHex(f, fmt.Sprintf("82210000 %d*1c %d*00", depth, depth+1)))
		f.Add(byte(Compact), false, parseHex(f, fmt.Sprintf("82210000 %d*1c 11 %d*00", depth, depth+1)))
		f.Add(byte(Compact), false, parseHex(f, fmt.Sprintf("82210000 19 %d*19 03 00", depth)))
		f.Add(byte(Binary), false, parseHex(f, fmt.Sprintf("%s %d*0f000000010f 0f00000000 00", "80010001 8*00 0f0001", depth)))
	}
	f.Fuzz(func(t *testing.T, which byte, made bool, b []byte) {
		e := Encoding(which) % (Compact + 1)
		if made {
			b = Append(nil, Head{Form: Form{Encoding: e}, Kind: Call, Name: "m", Seq: 1}, transcode(newChoiceReader(b), e))
		}
		if len(b) > wideLimits.Message/2 {
			return
		}
		h, body, end, apacheErr := apacheSkip(e, b)
		r := NewReader(wideLimits, &Form{Encoding: e})
		r.Feed(b)
		m, ok, err := r.Next()
		if made && (!ok || end != len(b)) {
			t.Fatalf("refuses what apache has written: %v", err)
		}
		switch {
		case ok && apacheErr != nil:
			t.Fatalf("passes %v, apache refuses: %v", m, apacheErr)
		case ok:
			if m.Head != h || !bytes.Equal(m.Body, b[body:end]) || r.Pending() != len(b)-end {
				t.Fatalf("%v, %d left; apache %v, %d left", m, r.Pending(), h, len(b)-end)
			}
			if len(m.Body) < 4096 { // as it walks once for each field
				expectSameFields(t, m)
			}
		case apacheErr == nil:
			expectStricter(t, e, h, b[:end], b[body:end], err)
		}

		// In a frame every verdict is final.
		framed := NewReader(wideLimits, &Form{Encoding: e, Framed: true})
		framed.Feed(binary.BigEndian.AppendUint32(nil, uint32(len(b))))
		framed.Feed(b)
		_, okFramed, errFramed := framed.Next()
		switch complete := ok && end == len(b); {
		case okFramed != complete, !okFramed && errFramed == nil, ok && !complete && errFramed != ErrTrailingBytes:
			t.Fatalf("in a frame %v, %v; without %v, %v", okFramed, errFramed, ok, err)
		}
	})
}

// expectStricter checks that a message that apache/thrift alone accepts is one of those in walker's table.
func expectStricter(t *testing.T, e Encoding, h Head, message, body []byte, err error) {
	t.Helper()
	switch {
	case !h.Kind.isValid() && err == ErrMalformed:
	case len(h.Name) > wideLimits.Name && err == ErrTooLong:
	case e == OldBinary && message[0] >= 0x80 && err == ErrUnknownForm:
	case e == Compact && err == ErrMalformed:
		// Its varints and ids are at fault: as apache/thrift itself writes the same message, it passes.
		r, again := NewReader(wideLimits, nil), Append(nil, h, transcode(apacheProtocol(e, inMemory(body)), e))
		r.Feed(again)
		if _, ok, err := r.Next(); !ok || bytes.Equal(again, message) {
			t.Fatalf("refuses %x, and %x: %v", message, again, err)
		}
	default:
		t.Fatalf("refuses %v, apache passes %v", err, h)
	}
}

// expectSameFields checks that Lookup finds what apache/thrift reads last.
func expectSameFields(t *testing.T, m Message) {
	t.Helper()
	p := apacheProtocol(m.Form.Encoding, inMemory(m.Body))
	want := map[int16]Value{}
	_, _ = p.ReadStructBegin(ctx)
	_, of, id, _ := p.ReadFieldBegin(ctx)
	for ; of != thrift.STOP; _, of, id, _ = p.ReadFieldBegin(ctx) {
		switch of {
		case thrift.BOOL:
			truth, _ := p.ReadBool(ctx)
			want[id] = Value{Number: map[bool]int64{true: 1}[truth], Present: true}
		case thrift.BYTE:
			want[id] = readNumber(p.ReadByte)
		case thrift.I16:
			want[id] = readNumber(p.ReadI16)
		case thrift.I32:
			want[id] = readNumber(p.ReadI32)
		case thrift.I64:
			want[id] = readNumber(p.ReadI64)
		case thrift.STRING:
			text, _ := p.ReadBinary(ctx)
			want[id] = Value{Text: text, IsText: true, Present: true}
		default:
			if _, found := want[id]; !found { // a Value that is not Present
				want[id] = Value{}
			}
			_ = thrift.SkipDefaultDepth(ctx, p, of)
		}
	}
	for id, v := range want {
		if got, err := Lookup(m.Form.Encoding, m.Body, []int16{id}); err != nil || !cmp.Equal(got, v) {
			t.Fatalf("field %d of %x: %v, %v; apache %v", id, m.Body, got, err, v)
		}
	}
}

func readNumber[T int8 | int16 | int32 | int64](read func(context.Context) (T, error)) Value {
	n, _ := read(ctx)
	return Value{Number: int64(n), Present: true}
}
