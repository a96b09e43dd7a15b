package simprotocol

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"io"
	"math"
	"reflect"
	"strings"
	"testing"
	"time"

	"pinelb.example/pinelb/balance"
)

// raw turns spaced hexadecimal, with +N for N zero bytes, into bytes, as the protocol document writes them.
func raw(t testing.TB, text string) []byte {
	t.Helper()
	var out []byte
	for _, f := range strings.Fields(text) {
		if n, found := strings.CutPrefix(f, "+"); found {
			var count int
			for _, c := range n {
				count = count*10 + int(c-'0')
			}
			out = append(out, make([]byte, count)...)
			continue
		}
		b, err := hex.DecodeString(f)
		if err != nil {
			t.Fatal(err)
		}
		out = append(out, b...)
	}
	return out
}

func decodeAll(t testing.TB, data []byte) []Record {
	t.Helper()
	d := NewDecoder(bytes.NewReader(data))
	var out []Record
	for {
		err := d.Next(func(now time.Duration, r *Record) error {
			out = append(out, *r)
			return nil
		})
		if errors.Is(err, io.EOF) {
			return out
		}
		if err != nil {
			t.Fatal(err)
		}
	}
}

func TestDecodeDocumentBatch(t *testing.T) {
	got := decodeAll(t, raw(t, `00000005 000000f0 00000001f568bf90
		08 00000003 +43
		06 0005a4b45d3a91c4 0000 00000000 91f03b7c55d20a64 000000000e4e1c00 0000000000b71b00 01 +8
		0c 0000004d +43
		08 00000005 +43
		03 0009d1b20e6f2b19 +39`))
	want := []Record{
		{Instance: 3, Event: balance.Event{Kind: balance.EventRequest, Request: 0x0005a4b45d3a91c4,
			Key: 0x91f03b7c55d20a64, Remaining: 240 * time.Millisecond, WorkHint: 12 * time.Millisecond}},
		{Instance: 3, Event: balance.Event{Kind: balance.EventTimer, Token: 0x4d}},
		{Instance: 5, Event: balance.Event{Kind: balance.EventClientDisconnected, Request: 0x0009d1b20e6f2b19}},
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got  %+v\nwant %+v", got, want)
	}
}

func TestDecodeDocumentRecords(t *testing.T) {
	report := balance.LoadReport{N: 2, V: [4]float32{math.Float32frombits(0x3f1eb852), math.Float32frombits(0x41680000)}}
	for name, c := range map[string]struct {
		record, tail string
		want         balance.Event
	}{
		"checked": {"05 2c9011f2 0000 0000000000155cc0 02 3f1eb852 41680000 00000000 00000000 +16", "",
			balance.Event{Kind: balance.EventHealthChecked, Endpoint: 0x2c9011f2, Latency: 1400 * time.Microsecond, Load: report}},
		"headers": {"09 0005a4b45d3a91c4 03124a07 00000000008d24d0 0000 +25", "",
			balance.Event{Kind: balance.EventFirstByte, Request: 0x0005a4b45d3a91c4, Endpoint: 0x03124a07, Latency: 9250 * time.Microsecond}},
		"inbox": {"0a 0002 00000000 00000004 +37", "68692037",
			balance.Event{Kind: balance.EventPeer, From: 2, Data: []byte("hi 7")}},
		"settled": {"04 0005a4b45d3a91c4 03124a07 0000 01 0000 00000000011a49a0 02 3f1eb852 41680000 00000000 00000000 +5", "",
			balance.Event{Kind: balance.EventOutcome, Request: 0x0005a4b45d3a91c4, Endpoint: 0x03124a07, Closed: true,
				Latency: 18500 * time.Microsecond, Load: report}},
	} {
		body := append(raw(t, "08 00000003 +43 "+c.record), raw(t, c.tail)...)
		got := decodeAll(t, frame(2, body))
		if len(got) != 1 || !reflect.DeepEqual(got[0].Event, c.want) {
			t.Errorf("%s: got %+v, want %+v", name, got, c.want)
		}
	}
}

func frame(records int, body []byte) []byte {
	h := make([]byte, headerLen)
	binary.BigEndian.PutUint32(h, uint32(records))
	binary.BigEndian.PutUint32(h[4:], uint32(len(body)))
	return append(h, body...)
}

const documentLists = `08 00000003 +43
	02 0000 00000000 00000002 +37
	07 0000000000000029 02 0000 +36
	01 3f800000 0000 03124a07 0000 00 0000000000000000
	01 3fc00000 0000 2c9011f2 0000 00 000000016b969d00`

func TestDecodeLists(t *testing.T) {
	got := decodeAll(t, frame(3, raw(t, documentLists)))
	want := balance.Event{Kind: balance.EventMembership, List: balance.ListCached, Entries: []balance.Entry{
		{Endpoint: 0x03124a07, State: balance.Ready, Weight: 1},
		{Endpoint: 0x2c9011f2, State: balance.Ready, Weight: 1.5, StartedAt: 0x16b969d00},
	}}
	if len(got) != 1 || !reflect.DeepEqual(got[0].Event, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// TestListSlotsAreReused: a number means the list that came last before the event.
func TestListSlotsAreReused(t *testing.T) {
	body := raw(t, `08 00000003 +43
		02 0000 00000000 00000001 +37
		07 0000000000000001 01 0000 +36
		02 0000 00000016 00000001 +37
		07 0000000000000002 00 0000 +36
		01 3f800000 0000 00000001 0000 00 0000000000000000
		02 3f800000 0000 00000002 0000 00 0000000000000000`)
	got := decodeAll(t, frame(5, body))
	if len(got) != 2 || got[0].Event.Entries[0].Endpoint != 1 || got[1].Event.Entries[0].Endpoint != 2 {
		t.Errorf("got %+v", got)
	}
}

func TestEncodeDocumentReply(t *testing.T) {
	var e Encoder
	e.Begin()
	e.Add(3, []balance.Action{
		{Kind: balance.ActSend, Request: 0x0005a4b45d3a91c4, Endpoint: 0x03124a07, After: 80 * time.Millisecond},
		{Kind: balance.ActTimer, Token: 0x4d, After: 500 * time.Millisecond},
	})
	e.Add(5, []balance.Action{{Kind: balance.ActLog, Text: "two servers stand"}})
	want := raw(t, `00000005 00000089
		4c 00000003 +19
		44 0005a4b45d3a91c4 03124a07 0000000004c4b400 +3
		43 0000004d 000000001dcd6500 +11
		4c 00000005 +19
		4a 00000000 00000011 +15
		74776f2073657276657273207374616e64`)
	if got := e.Finish(); !bytes.Equal(got, want) {
		t.Errorf("got  %x\nwant %x", got, want)
	}
	e.Begin()
	if got := e.Finish(); !bytes.Equal(got, make([]byte, replyHeaderLen)) {
		t.Errorf("empty reply %x", got)
	}
}

func TestEncodeDocumentActions(t *testing.T) {
	for name, c := range map[string]struct {
		action balance.Action
		want   string
	}{
		"busy":     {balance.Action{Kind: balance.ActReject, Request: 0x0009d1b20e6f2b19, After: 250 * time.Millisecond}, "46 0009d1b20e6f2b19 000000000ee6b280 +7"},
		"give_up":  {balance.Action{Kind: balance.ActFail, Request: 0x0009d1b20e6f2b19}, "45 0009d1b20e6f2b19 +15"},
		"refresh":  {balance.Action{Kind: balance.ActFetch}, "4d +23"},
		"check":    {balance.Action{Kind: balance.ActHealthCheck, Endpoint: 0x2c9011f2}, "41 2c9011f2 +19"},
		"call_off": {balance.Action{Kind: balance.ActCancel, Request: 0x0005a4b45d3a91c4}, "47 0005a4b45d3a91c4 0000 +13"},
		"close":    {balance.Action{Kind: balance.ActCloseIdle, Endpoint: 0x2c9011f2}, "4b 2c9011f2 +19"},
		"announce": {balance.Action{Kind: balance.ActSendPeer, Peer: -1, Data: []byte("hi 7")}, "49 ffffffff 00000000 00000004 +11"},
		"observe":  {balance.Action{Kind: balance.ActSubscribe}, "48 01 +22"},
	} {
		var e Encoder
		e.Begin()
		e.Add(1, []balance.Action{c.action})
		got := e.Finish()[replyHeaderLen+actionLen:]
		if want := raw(t, c.want); !bytes.Equal(got[:actionLen], want) {
			t.Errorf("%s: got %x, want %x", name, got[:actionLen], want)
		}
	}
}

func TestInvalidBatches(t *testing.T) {
	huge := frame(1, nil)
	binary.BigEndian.PutUint32(huge[4:], 0xffffffff)
	short := frame(0, nil)
	binary.BigEndian.PutUint32(short[4:], 1<<29) // promises what never comes
	many := frame(1000, make([]byte, 48))
	for name, data := range map[string][]byte{
		"half a header":      make([]byte, 7),
		"huge":               huge,
		"cut off":            short,
		"too many records":   many,
		"unknown code":       frame(2, raw(t, "08 00000003 +43 63 +47")),
		"no instance":        frame(1, raw(t, "0c 0000004d +43")),
		"unknown outcome":    frame(2, raw(t, "08 00000003 +43 04 +15 0001 +30")),
		"list out of range":  frame(2, raw(t, "08 00000003 +43 02 0063 +45")),
		"tail out of range":  frame(2, raw(t, "08 00000003 +43 0a 0002 00000000 00000004 +37")),
		"entries too many":   frame(2, raw(t, "08 00000003 +43 02 0000 00000000 ffffffff +37")),
		"five report values": frame(2, raw(t, "08 00000003 +43 05 00000000 0000 0000000000000000 05 +32")),
	} {
		err := NewDecoder(bytes.NewReader(data)).Next(func(time.Duration, *Record) error { return nil })
		if err == nil || err == io.EOF || !errors.Is(err, ErrInvalidBatch) {
			t.Errorf("%s: error %v", name, err)
		}
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(frame(3, raw(f, documentLists)))
	f.Add(frame(2, raw(f, "08 00000003 +43 0c 0000004d +43")))
	f.Fuzz(func(t *testing.T, data []byte) {
		d := NewDecoder(bytes.NewReader(data))
		for d.Next(func(time.Duration, *Record) error { return nil }) == nil {
		}
	})
}
