package transport

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/fxamacker/cbor/v2"
	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"
)

// freeAddress returns a loopback address whose port is free for TCP, and usually for UDP as well.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// inbox records received packets, and signals each on arrived.
type inbox struct {
	mu      sync.Mutex
	packets []*Packet
	arrived chan struct{}
}

func newInbox() *inbox { return &inbox{arrived: make(chan struct{}, 100)} }

func (i *inbox) handle(p *Packet) {
	i.mu.Lock()
	i.packets = append(i.packets, &Packet{Kind: p.Kind, From: p.From, Nonce: p.Nonce, Body: append(cbor.RawMessage(nil), p.Body...)})
	i.mu.Unlock()
	i.arrived <- struct{}{}
}

// listen returns a Transport of a fleet at a free loopback address, and that address.
func listen(t *testing.T, fleet uint32, handle func(*Packet)) (*Transport, string) {
	t.Helper()
	address := freeAddress(t)
	tr, err := Listen(address, fleet, handle)
	if err != nil {
		t.Fatal(err)
	}
	return tr, address
}

func TestMessagesAndCalls(t *testing.T) {
	defer goleak.VerifyNone(t)
	Convey("Two routers of one fleet and one of another", t, func() {
		in := newInbox()
		a, aAddress := listen(t, 7, func(*Packet) {})
		b, bAddress := listen(t, 7, in.handle)
		otherFleet, _ := listen(t, 8, func(*Packet) {})
		b.HandleCall("/double", func(body []byte) (any, error) {
			var s string
			if err := cbor.Unmarshal(body, &s); err != nil {
				return nil, err
			}
			if s == "" {
				return nil, errors.New("nothing to double")
			}
			return s + s, nil
		})
		for _, tr := range []*Transport{a, b, otherFleet} {
			So(tr.Serve(), ShouldBeNil)
		}
		Reset(func() {
			for _, tr := range []*Transport{a, b, otherFleet} {
				tr.Close()
			}
		})
		Convey("send small messages as datagrams and large ones over TCP", func() {
			a.Send(bAddress, 3, 9, "small")
			<-in.arrived
			a.Send(bAddress, 4, 9, strings.Repeat("large ", 5000))
			<-in.arrived
			So(a.Counters.SentDatagrams.Load(), ShouldEqual, 1)
			So(a.Counters.SentOverTCP.Load(), ShouldEqual, 1)
			So(in.packets[0].From, ShouldEqual, aAddress)
			So(in.packets[0].Nonce, ShouldEqual, 9)
			var text string
			So(cbor.Unmarshal(in.packets[1].Body, &text), ShouldBeNil)
			So(len(text), ShouldEqual, 30000)
		})
		Convey("drop and count packets that are truncated, invalid or of another fleet", func() {
			conn, err := net.Dial("udp4", bAddress)
			So(err, ShouldBeNil)
			defer conn.Close()
			packet, err := cbor.Marshal(&Packet{Fleet: 7, Kind: 3, From: aAddress, Body: cbor.RawMessage{0x01}})
			So(err, ShouldBeNil)
			for cut := range len(packet) {
				_, err := conn.Write(packet[:cut])
				So(err, ShouldBeNil)
			}
			otherFleet.Send(bAddress, 3, 0, "odd")
			_, err = conn.Write(packet)
			So(err, ShouldBeNil)
			<-in.arrived // the complete packet, which was sent last
			So(b.Counters.Dropped.Load(), ShouldBeGreaterThanOrEqualTo, uint64(len(packet)-1))
			So(len(in.packets), ShouldEqual, 1)
		})
		Convey("call each other", func() {
			var reply string
			So(a.Call(context.Background(), bAddress, "/double", "xy", &reply), ShouldBeNil)
			So(reply, ShouldEqual, "xyxy")
			for _, c := range []struct {
				path, request string
				status        int
			}{{"/double", "", http.StatusServiceUnavailable}, {"/none", "x", http.StatusNotFound}} {
				err := a.Call(context.Background(), bAddress, c.path, c.request, &reply)
				var statusError *StatusError
				So(errors.As(err, &statusError), ShouldBeTrue)
				So(statusError.Status, ShouldEqual, c.status)
			}
		})
	})
}

// FuzzReceive looks for packets on which receive panics.
func FuzzReceive(f *testing.F) {
	packet, err := cbor.Marshal(&Packet{Fleet: 7, Kind: 3, From: "a:1", Body: cbor.RawMessage{0x01}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(packet)
	f.Add(packet[:5])
	t := &Transport{fleet: 7, handle: func(*Packet) {}, gzipPeers: map[string]bool{}}
	f.Fuzz(func(_ *testing.T, encoded []byte) { t.receive(encoded) })
}
