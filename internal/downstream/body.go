package downstream

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

// Bounds on a request's body.
const (
	maxBufferedBody     = 64 << 10        // bytes; a longer body is streamed
	initialBodyCapacity = 4 << 10         // bytes
	maxUploadBytes      = 64 << 20        // of a streamed body
	bodyTimeout         = 4 * time.Second // for any body, and beyond that
	minBodyRate         = 32 << 10        // bytes a second: clients send at twice that
)

var errBodyTooLarge = errors.New("downstream: the body is too large")

// readBody reads a body of up to maxBufferedBody bytes. It allocates as the body comes, so that a stated length alone takes no
// memory, and reserves what it allocates; the caller releases the capacity of the returned slice. Of a longer body it returns
// the beginning, and a reader of the rest.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *timedBody, *localReply) {
	in := &timedBody{body: r.Body, control: http.NewResponseController(w), start: time.Now()}
	switch {
	case r.ContentLength > maxUploadBytes:
		return nil, nil, bodyTooLarge
	case r.ContentLength > maxBufferedBody && !s.ReserveBytes(copyBufferSize):
		return nil, nil, bodyMemoryExhausted
	case r.ContentLength > maxBufferedBody:
		return make([]byte, 0, copyBufferSize), in, nil
	case r.ContentLength == 0:
		return nil, nil, nil
	}
	var body []byte
	length := int(r.ContentLength)
	if length < 0 {
		length = maxBufferedBody + 1 // one byte more than is buffered shows that the body is longer
	}
	for len(body) < length {
		if len(body) == cap(body) {
			growth := min(max(initialBodyCapacity, cap(body)), length-cap(body))
			if !s.ReserveBytes(growth) {
				return body, nil, bodyMemoryExhausted
			}
			body = append(make([]byte, 0, cap(body)+growth), body...)
		}
		n, err := in.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case err == io.EOF && (r.ContentLength < 0 || len(body) == length):
			return body, nil, nil
		case err != nil:
			return body, nil, truncatedBody
		}
	}
	if len(body) > maxBufferedBody {
		return body, in, nil
	}
	return body, nil, nil
}

// timedBody reads a body within bodyTimeout and what minBodyRate adds to it, and no more than maxUploadBytes.
type timedBody struct {
	body        io.Reader
	control     *http.ResponseController
	start       time.Time
	read        int64 // bytes
	complete    atomic.Bool
	interrupted atomic.Bool
}

func (b *timedBody) Read(buf []byte) (int, error) {
	if b.read > maxUploadBytes {
		return 0, errBodyTooLarge
	}
	_ = b.control.SetReadDeadline(b.start.Add(bodyTimeout + time.Duration(b.read)*time.Second/minBodyRate))
	if b.interrupted.Load() {
		_ = b.control.SetReadDeadline(expiredDeadline)
	}
	n, err := b.body.Read(buf)
	if b.read += int64(n); err == io.EOF {
		b.complete.Store(true)
		// The deadline ends with the request: expiring later, it would be taken for the client's leaving.
		_ = b.control.SetReadDeadline(time.Time{})
	}
	return n, err
}

// interrupt ends a Read that is under way, which would delay the response: net/http writes none while a body is being read. It
// reports whether the body was read to its end.
func (b *timedBody) interrupt() (complete bool) {
	if b.complete.Load() {
		return true
	}
	b.interrupted.Store(true)
	_ = b.control.SetReadDeadline(expiredDeadline)
	return b.complete.Load()
}
