package transport

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"
)

// Guards against sending compressed messages to a router of an earlier build, which can't read them, and against receiving
// compressed messages altered or without a size limit.
func TestCompressedMessages(t *testing.T) {
	defer goleak.VerifyNone(t)
	Convey("Two routers of one fleet", t, func() {
		in := newInbox()
		a, aAddress := listen(t, 7, func(*Packet) {})
		b, bAddress := listen(t, 7, in.handle)
		So(a.Serve(), ShouldBeNil)
		So(b.Serve(), ShouldBeNil)
		Reset(func() {
			a.Close()
			b.Close()
		})
		large := strings.Repeat("a large change ", 20_000)
		packetOf := func(gzip bool) []byte {
			packet, err := cbor.Marshal(&Packet{Fleet: 7, Kind: 3, From: bAddress, Body: cbor.RawMessage{0x01}, Gzip: gzip})
			So(err, ShouldBeNil)
			return packet
		}

		Convey("send large messages uncompressed unless the receiver's last packet announced gzip support", func() {
			for _, c := range []struct {
				lastPacket []byte
				encoding   string
			}{{nil, ""}, {packetOf(true), gzipEncoding}, {packetOf(false), ""}} {
				a.receive(c.lastPacket)
				body, encoding := a.encodeBody(bAddress, []byte(large))
				So(encoding, ShouldEqual, c.encoding)
				So(len(body) < len(large)/10, ShouldEqual, encoding != "")
				a.Send(bAddress, 4, 0, large)
				<-in.arrived
				var text string
				So(cbor.Unmarshal(in.packets[len(in.packets)-1].Body, &text), ShouldBeNil)
				So(text == large, ShouldBeTrue)
			}
			So(b.supportsGzip(aAddress), ShouldBeTrue)
		})
		Convey("drop bodies that are truncated, of an unknown encoding, or too long when decompressed", func() {
			b.setGzipSupport(aAddress, true)
			valid, _ := b.encodeBody(aAddress, []byte(large))
			bomb, _ := b.encodeBody(aAddress, bytes.Repeat([]byte{0}, maxBodyBytes+1))
			for i, c := range []struct {
				body     []byte
				encoding string
			}{{valid[:len(valid)/2], gzipEncoding}, {valid[:5], gzipEncoding}, {valid, "br"}, {bomb, gzipEncoding}} {
				request := httptest.NewRequest(http.MethodPost, messagePath, bytes.NewReader(c.body))
				request.Header.Set("Content-Encoding", c.encoding)
				_, ok := b.readBody(httptest.NewRecorder(), request)
				So(fmt.Sprint(i, ok), ShouldEqual, fmt.Sprint(i, false))
			}
			So(b.Counters.Dropped.Load(), ShouldEqual, 4)
		})
	})
}
