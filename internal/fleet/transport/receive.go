package transport

import (
	"errors"
	"io"
	"net"
	"net/http"

	"github.com/fxamacker/cbor/v2"

	"pinelb.example/pinelb/internal/overload"
)

const receiveBufferBytes = 64 << 10 // no UDP datagram is longer

// receiveDatagrams receives packets over UDP until the socket is closed.
func (t *Transport) receiveDatagrams() {
	buffer := make([]byte, receiveBufferBytes)
	for {
		n, _, err := t.udp.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			t.receive(buffer[:n])
		}
	}
}

// receiveOverTCP handles a POST request that carries a packet.
func (t *Transport) receiveOverTCP(w http.ResponseWriter, r *http.Request) {
	if body, ok := t.readBody(w, r); ok {
		t.receive(body)
	}
}

// unknownLength is announced for a body that may be compressed.
const unknownLength = -1

// readBody reads and decompresses a request's body. If it is truncated, too long or of an unknown encoding, or doesn't fit beside what others hold, the
// request is answered with 503, and counted as dropped, and ok is false.
func (t *Transport) readBody(w http.ResponseWriter, r *http.Request) (body []byte, ok bool) {
	decoded, err := decodedBody(r)
	if err == nil {
		body, err = overload.ConnOf(r.Context()).ReadBody(http.MaxBytesReader(w, io.NopCloser(decoded), maxBodyBytes), unknownLength, 0)
	}
	if err != nil {
		t.Counters.Dropped.Add(1)
		w.WriteHeader(http.StatusServiceUnavailable)
		return nil, false
	}
	return body, true
}

// receive decodes a packet and passes it to the handler. It drops and counts invalid packets and those of other fleets.
func (t *Transport) receive(encoded []byte) {
	var p Packet
	if err := cbor.Unmarshal(encoded, &p); err != nil || p.Fleet != t.fleet || p.From == "" {
		t.Counters.Dropped.Add(1)
		return
	}
	t.Counters.Received.Add(1)
	t.setGzipSupport(p.From, p.Gzip)
	t.handle(&p)
}
