package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"time"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/budget"
)

// Bounds on a response over HTTP.
const (
	maxBufferedBody      = 64 << 10               // bytes; a longer body is streamed
	maxResponseBody      = 64 << 20               // bytes; a host that states more has sent a malformed response
	maxHeadBytes         = 32 << 10               // of all heads of a response, those of 1xx ones included
	maxFramedBody        = 2 * maxResponseBody    // bytes with their chunks' framing: chunks that don't end are cut there
	initialBodyCapacity  = 4 << 10                // bytes
	readStallTimeout     = time.Second            // between two reads of a response: slow hosts write in pieces
	unknownLengthTimeout = 200 * time.Millisecond // from the head of a response of unknown length until its body is streamed
)

// errMalformedResponse is a response that breaks the protocol, or stalls once it has started.
var errMalformedResponse = errors.New("upstream: an answer that breaks the protocol")

// hostResponse is an upstream host's final response, complete or with the beginning of its body.
type hostResponse struct {
	status        int
	shedLoad      bool // the host states that it has not run the request, for want of capacity
	attempted     budget.AttemptReport
	mediaType     string
	body          []byte
	reusable      bool          // the connection may carry another request
	remainder     io.ReadCloser // what follows body and is still to come; nil: nothing is
	keepAlive     bool          // with remainder: the connection may carry another request after it
	contentLength int64         // with remainder: of body and remainder together; negative: not stated
}

// connDisposition is what becomes of a connection when a response has been read.
type connDisposition uint8

const (
	closeConn  connDisposition = iota
	reuseConn                  // it may carry another request
	streamConn                 // the remainder of the response is still to come on it
)

func (resp *hostResponse) disposition() connDisposition {
	switch {
	case resp.remainder != nil:
		return streamConn
	case resp.reusable:
		return reuseConn
	}
	return closeConn
}

// readResponse reads one final response into resp. An error says that there was none, or that it is not known to be
// complete. Heads are bounded in bytes, for a head need not end and 1xx responses need not stop coming; and once a response
// has started, so is the time between two reads, for one that stalls will not go on. resp is filled in and not returned: each
// attempt has a goroutine of its own, whose stack would have to grow for it.
func (c *conn) readResponse(ctx context.Context, deadline time.Time, resp *hostResponse) error {
	c.startReading(ctx, deadline, readStallTimeout)
	c.headLimit.N = maxHeadBytes
	for {
		if _, err := c.reader.Peek(1); err != nil {
			return c.classifyReadError(err)
		}
		res, err := http.ReadResponse(c.reader, nil)
		if err != nil {
			return c.classifyReadError(err)
		}
		if res.StatusCode < http.StatusOK { // the final response may take its time
			c.deadlines.started = c.reader.Buffered() > 0
			c.setReadDeadline(ctx, deadline)
			continue
		}
		if res.ContentLength > maxResponseBody {
			return errMalformedResponse
		}
		c.headLimit.N = maxFramedBody
		body, more, err := readBody(res)
		if err != nil {
			return c.classifyReadError(err)
		}
		resp.status, resp.contentLength, resp.body = res.StatusCode, res.ContentLength, body
		resp.shedLoad, resp.mediaType = res.Header.Get("X-Turned-Away") == "1", res.Header.Get("Content-Type")
		resp.attempted = budget.ParseReport(res.Header.Get(budget.ReportHeader))
		resp.reusable = !res.Close && !more && c.reader.Buffered() == 0
		if more && resp.status == http.StatusOK {
			resp.remainder, resp.keepAlive = res.Body, !res.Close
		}
		return nil
	}
}

// classifyReadError marks a response that breaks the protocol with errMalformedResponse, and leaves other errors of the
// connection as they are.
func (c *conn) classifyReadError(err error) error {
	var broken net.Error
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded) && c.deadlines.started:
	case c.headLimit.N > 0 && (errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &broken)):
		return fmt.Errorf("upstream: read: %w", err)
	}
	return fmt.Errorf("%w: %w", errMalformedResponse, err)
}

// readBody reads a body up to maxBufferedBody. Of a longer one the first bytes are enough, and so is what has come of one of
// unknown length after unknownLengthTimeout. It returns whether more is to come.
func readBody(res *http.Response) (body []byte, more bool, err error) {
	buf := make([]byte, 0, max(0, min(res.ContentLength, initialBodyCapacity))+bytes.MinRead)
	start := time.Now()
	for err == nil {
		switch n := int64(len(buf)); {
		case n > 0 && (res.ContentLength > maxBufferedBody || n > maxBufferedBody || res.ContentLength < 0 && time.Since(start) > unknownLengthTimeout):
			return buf, true, nil
		case len(buf) == cap(buf):
			buf = slices.Grow(buf, cap(buf))
		}
		var n int
		n, err = res.Body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
	}
	if err == io.EOF {
		return buf, false, nil
	}
	return nil, false, err
}

// rejectsRequest reports whether an HTTP status says that the request itself is at fault, at whatever host.
func rejectsRequest(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusTooEarly, http.StatusTooManyRequests: // of the moment, or of the host
		return false
	}
	return status >= 400 && status < 500
}

// responseStatus is the outcome that a response stands for.
func responseStatus(resp *hostResponse) balance.Status {
	switch {
	case resp.status == http.StatusOK:
		return balance.OK
	case resp.shedLoad && (resp.status == http.StatusServiceUnavailable || resp.status == http.StatusGatewayTimeout):
		return balance.Rejected
	}
	return balance.Error
}
