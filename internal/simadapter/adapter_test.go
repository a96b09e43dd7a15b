package simadapter

import (
	"bytes"
	"encoding/binary"
	"strings"
	"testing"

	"pinelb.example/pinelb/internal/simprotocol"
)

// batch builds a frame of 48-byte records with a tail.
func batch(tail string, records ...[]byte) []byte {
	out := make([]byte, 16)
	binary.BigEndian.PutUint32(out, uint32(len(records)))
	binary.BigEndian.PutUint32(out[4:], uint32(48*len(records)+len(tail)))
	for _, r := range records {
		out = append(out, append(r, make([]byte, 48-len(r))...)...)
	}
	return append(out, tail...)
}

const settings = `{"allowed": {"send_cap": 3}, "n_instances": 1, "rules": {"cold_share": 0.2, "fall": 1000000000, "tip_multiple": 3},
	"classes": [{"aim": 400000000, "deadline": 1000000000, "idempotency": "read_like", "worth": 1}]}`

func startRecord(size int) []byte {
	r := make([]byte, 17)
	r[0] = 11
	binary.BigEndian.PutUint32(r[13:], uint32(size))
	return r
}

func TestAnswersBatches(t *testing.T) {
	in := append(batch(""), batch(settings, []byte{8, 0, 0, 0, 1}, startRecord(len(settings)), []byte{12, 0, 0, 0, 9})...)
	var out bytes.Buffer
	if err := Run(bytes.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(out.Bytes()[:8], make([]byte, 8)) {
		t.Errorf("an empty batch was answered %x", out.Bytes()[:8])
	}
	if n := binary.BigEndian.Uint32(out.Bytes()[8:]); n != 2 || out.Bytes()[16] != 76 || out.Bytes()[40] != 67 {
		t.Errorf("a first event was answered with %d records: %x", n, out.Bytes()[16:])
	}
}

func TestBadInputEndsWithAnError(t *testing.T) {
	for name, in := range map[string][]byte{
		"cut off":             batch("")[:9],
		"not running":         batch("", []byte{8, 0, 0, 0, 1}, []byte{12, 0, 0, 0, 9}),
		"settings not JSON":   batch("nonsense", []byte{8, 0, 0, 0, 1}, startRecord(8)),
		"settings incomplete": batch("{}", []byte{8, 0, 0, 0, 1}, startRecord(2)),
	} {
		err := Run(bytes.NewReader(in), &bytes.Buffer{})
		if err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v, want one plain line", name, err)
		}
	}
}

// TestPanicIsReported: a panic in the decisions becomes a crash action with its text.
func TestPanicIsReported(t *testing.T) {
	a := &adapter{}
	a.reply.Begin()
	a.decide(nil, 0, &simprotocol.Record{Instance: 1}) // no Balancer at all: the first use of it panics
	reply := a.reply.Finish()
	if reply[8+24] != 66 || !bytes.Contains(reply, []byte("nil pointer")) {
		t.Errorf("reply %x has no crash with the panic's text", reply)
	}
}
