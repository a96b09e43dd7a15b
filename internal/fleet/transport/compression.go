package transport

import (
	"bytes"
	"compress/gzip"
	"io"
	"net/http"
)

// Large messages over TCP travel compressed (gzip, RFC 1952) to routers whose packets say that they understand it: on a link of 100 Mbit/s a
// change of 4,000 routes takes 83 ms to each of the others. Builds up to 79c0b7a say nothing, and get messages as they are.

const (
	minCompressedBytes = 4 << 10 // of a body: what is smaller is sent as it is
	gzipEncoding       = "gzip"
)

// recordPeer remembers whether a router understands compressed messages, as its last packet says.
func (t *Transport) recordPeer(address string, understandsGzip bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.gzipPeers[address] == understandsGzip {
		return
	}
	if !understandsGzip {
		delete(t.gzipPeers, address)
		return
	}
	t.gzipPeers[address] = true
}

func (t *Transport) understandsGzip(address string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.gzipPeers[address]
}

// encodeBody returns a message's body as it is sent to a router, and the name of its encoding; empty: none.
func (t *Transport) encodeBody(to string, body []byte) (encoded []byte, encoding string) {
	if len(body) < minCompressedBytes || !t.understandsGzip(to) {
		return body, ""
	}
	var out bytes.Buffer
	w, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	if err != nil {
		panic(err) // the level is valid
	}
	_, _ = w.Write(body) // a buffer takes everything
	_ = w.Close()
	return out.Bytes(), gzipEncoding
}

// decodedBody returns a request's body without its encoding. An error says that the encoding is not known, or its header is damaged.
func decodedBody(r *http.Request) (io.Reader, error) {
	switch r.Header.Get("Content-Encoding") {
	case "":
		return r.Body, nil
	case gzipEncoding:
		return gzip.NewReader(r.Body)
	}
	return nil, http.ErrNotSupported
}
