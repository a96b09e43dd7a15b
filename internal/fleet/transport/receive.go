package transport

import (
	"errors"
	"io"
	"net"
	"net/http"

	"github.com/fxamacker/cbor/v2"
)

const maxUDPBytes = 64 << 10 // of any datagram

func (t *Transport) receiveDatagrams() {
	buffer := make([]byte, maxUDPBytes)
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

func (t *Transport) receiveOverTCP(w http.ResponseWriter, r *http.Request) {
	if body, ok := t.readBody(w, r); ok {
		t.receive(body)
	}
}

// readBody reads a request's body. One that is truncated or too long is dropped and counted.
func (t *Transport) readBody(w http.ResponseWriter, r *http.Request) (body []byte, ok bool) {
	decoded, err := decodedBody(r)
	if err == nil {
		body, err = io.ReadAll(http.MaxBytesReader(w, io.NopCloser(decoded), maxBodyBytes))
	}
	if err != nil {
		t.Counters.Dropped.Add(1)
		return nil, false
	}
	return body, true
}

// receive decodes a packet and has it handled.
func (t *Transport) receive(encoded []byte) {
	var p Packet
	if err := cbor.Unmarshal(encoded, &p); err != nil || p.Fleet != t.fleet || p.From == "" {
		t.Counters.Dropped.Add(1)
		return
	}
	t.Counters.Received.Add(1)
	t.recordPeer(p.From, p.Gzip)
	t.handle(&p)
}
