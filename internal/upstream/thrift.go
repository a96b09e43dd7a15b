package upstream

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/stream"
	"pinelb.example/pinelb/internal/thriftwire"
)

const (
	thriftReplyTimeout = 300 * time.Millisecond // from a reply's first byte to its last: more than the retransmission of a lost packet takes
	thriftReadSize     = 4 << 10                // bytes of a reply that are read at once
	binaryVersionBit   = 0x80                   // in the first byte of a message of the strict binary encoding, and of no old one
	frameLengthSize    = 4                      // bytes
)

// Thrift carries out requests over Thrift, on connections of a Pool. A call is forwarded in the form that its client chose,
// with the arguments as they came and a sequence id of the connection's own. A connection serves one form, and either calls
// or oneways: what a host replies to a oneway can then be taken for no call's reply, and no call waits behind one.
type Thrift struct {
	Pool              *Pool
	Port              uint16 // of every host; 0: the one that discovery lists
	Limits            thriftwire.Limits
	OverloadException int32 // type of the exception by which a host states that it has not run the call; 0: there is none
}

var thriftReadBuffers = sync.Pool{New: func() any { return new([thriftReadSize]byte) }}

// Do carries out one attempt of a call on one connection, as Pool.Do does over HTTP.
func (t *Thrift) Do(ctx context.Context, id balance.EndpointID, deadline time.Time, req *stream.Request) (balance.Status, stream.Response) {
	res := stream.Response{Outcome: stream.Failed}
	form, known := thriftwire.ParseMediaType(req.MediaType)
	if !known { // no frontend makes such a request
		return balance.NotSent, res
	}
	call := thriftwire.Head{Form: form, Kind: thriftwire.Call, Name: req.Target}
	oneway := req.Operation == thriftwire.Oneway.String()
	if oneway {
		call.Kind = thriftwire.Oneway
	}
	c, err := t.Pool.acquireToSend(ctx, id, deadline, connKind{port: t.Port, protocol: req.MediaType, oneway: oneway}, req)
	if err != nil {
		return notSentStatus(ctx, err), res
	}
	c.lastSeq++
	call.Seq = c.lastSeq
	buf := requestBuffers.Get().(*[]byte)
	*buf = thriftwire.Append((*buf)[:0], call, req.Body)
	status := t.Pool.roundTrip(ctx, c, deadline, *buf, func() (balance.Status, connDisposition, error) {
		if oneway { // its last byte is written and no reply comes: no evidence for the host either
			res = stream.Response{Outcome: stream.Oneway}
			return balance.Cancelled, reuseConn, nil
		}
		reply, err := t.readReply(ctx, c, deadline, form)
		if err != nil {
			return 0, closeConn, err
		}
		result, err := t.interpret(call, reply)
		if err == nil {
			res = result.response
		}
		then := closeConn
		if result.reusable {
			then = reuseConn
		}
		return result.status, then, err
	})
	requestBuffers.Put(buf)
	return status, res
}

// callResult is what a reply stands for.
type callResult struct {
	status   balance.Status
	response stream.Response
	reusable bool // the connection; servers of the common libraries close it after most exceptions of their own
}

// interpret returns what a message stands for. The error says that it is no reply to this call.
func (t *Thrift) interpret(call thriftwire.Head, reply thriftwire.Message) (callResult, error) {
	if _, method := call.Method(); reply.Seq != call.Seq || reply.Name != call.Name && reply.Name != method {
		return callResult{}, fmt.Errorf("%w: a reply to another call", errMalformedResponse)
	}
	mediaType := call.Form.MediaType()
	switch reply.Kind {
	case thriftwire.Reply:
		// Also one with an exception that the IDL declares: that is a result for the caller.
		return callResult{balance.OK, stream.Response{Outcome: stream.Served, MediaType: mediaType, Body: reply.Body}, true}, nil
	case thriftwire.Exception:
	default:
		return callResult{}, fmt.Errorf("%w: no reply", errMalformedResponse)
	}
	e, err := thriftwire.ParseException(reply.Form.Encoding, reply.Body)
	switch {
	case err != nil:
		return callResult{}, fmt.Errorf("%w: %w", errMalformedResponse, err)
	case e.Type == thriftwire.TypeUnknownMethod:
		// The host is healthy and the call is not: no evidence against the host, and no other host for the call.
		return callResult{balance.Cancelled, stream.Response{Outcome: stream.InvalidRequest, MediaType: mediaType, Body: reply.Body}, true}, nil
	case t.OverloadException != 0 && e.Type == t.OverloadException:
		return callResult{balance.Rejected, stream.Response{Outcome: stream.Failed}, true}, nil
	}
	return callResult{balance.Error, stream.Response{Outcome: stream.Failed}, false}, nil
}

// readReply reads one reply to a call of that form. An error says that there was none, or that it is not known to be complete.
// Once a reply has started it has to be complete within thriftReplyTimeout, for one that stalls will not go on. Bytes beyond
// it are an error.
func (t *Thrift) readReply(ctx context.Context, c *conn, deadline time.Time, form thriftwire.Form) (thriftwire.Message, error) {
	buf := thriftReadBuffers.Get().(*[thriftReadSize]byte)
	defer thriftReadBuffers.Put(buf)
	var in *thriftwire.Reader // nil until the reply's form is known
	for buffered, started := 0, false; ; {
		n, err := c.Read(buf[buffered:])
		if buffered += n; n > 0 && !started {
			started = true
			if replyDeadline := time.Now().Add(thriftReplyTimeout); replyDeadline.Before(deadline) {
				c.setReadDeadline(ctx, replyDeadline)
			}
		}
		if f, known := replyForm(form, buf[:buffered]); in == nil && known {
			in = thriftwire.NewReader(t.Limits, &f)
		}
		if in != nil {
			in.Feed(buf[:buffered])
			buffered = 0
			m, complete, malformed := in.Next()
			switch {
			case malformed != nil:
				return m, fmt.Errorf("%w: %w", errMalformedResponse, malformed)
			case complete && in.Pending() > 0:
				return m, fmt.Errorf("%w: more than a reply", errMalformedResponse)
			case complete:
				return m, nil
			}
		}
		switch {
		case err == nil:
		case started && errors.Is(err, os.ErrDeadlineExceeded):
			return thriftwire.Message{}, fmt.Errorf("%w: %w", errMalformedResponse, err)
		default:
			return thriftwire.Message{}, fmt.Errorf("upstream: read: %w", err)
		}
	}
}

// replyForm returns the form of the reply that begins b, if there are enough bytes to know it. Servers may reply in the strict
// form of the binary encoding to a call in the old one, or the other way round: their libraries have a switch for what they
// write. The body is the same in both.
func replyForm(call thriftwire.Form, b []byte) (form thriftwire.Form, known bool) {
	start := 0
	if call.Framed {
		start = frameLengthSize
	}
	switch {
	case call.Encoding == thriftwire.Compact:
	case len(b) <= start:
		return call, false
	case b[start]&binaryVersionBit != 0: // the length of an old message's name is not negative
		call.Encoding = thriftwire.Binary
	default:
		call.Encoding = thriftwire.OldBinary
	}
	return call, true
}
