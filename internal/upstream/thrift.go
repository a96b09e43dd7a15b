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

// Thrift carries out upstream requests over Thrift, on connections of a Pool. A call goes on in the form that its
// client chose, with the arguments as they came and a sequence id of the connection's own. A connection
// serves one form, and either calls or oneways: what a host says to a oneway can then spoil no call's reply, and
// no call waits behind one.
type Thrift struct {
	Pool              *Pool
	Port              uint16 // of every host; 0: the one that discovery lists
	Limits            thriftwire.Limits
	OverloadException int32 // type of the exception by which a host proves that it has run nothing; 0: none does
}

const thriftReadSize = 4 << 10 // of a reply at once

var thriftReadBuffers = sync.Pool{New: func() any { return new([thriftReadSize]byte) }}

// Do carries out one call on one connection. It never sends it again.
func (t *Thrift) Do(ctx context.Context, id balance.EndpointID, deadline time.Time, req *stream.Request) (balance.Status, stream.Response) {
	res := stream.Response{Outcome: stream.Failed}
	form, known := thriftwire.FormOf(req.MediaType)
	if !known { // no front of ours makes one
		return balance.Moot, res
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
	status := t.Pool.roundTrip(ctx, c, deadline, *buf, func() (balance.Status, disposition, error) {
		if oneway { // its last byte has left, and nothing more will be known: no evidence for the host either
			res = stream.Response{Outcome: stream.Unanswered}
			return balance.Cancelled, reuseConn, nil
		}
		m, err := t.readReply(ctx, c, deadline, form)
		if err != nil {
			return 0, closeConn, err
		}
		v, err := t.interpret(call, m)
		if err == nil {
			res = v.response
		}
		then := closeConn
		if v.reusable {
			then = reuseConn
		}
		return v.status, then, err
	})
	requestBuffers.Put(buf)
	return status, res
}

// verdict is what a reply stands for.
type callResult struct {
	status   balance.Status
	response stream.Response
	reusable bool // libraries' servers close a connection after most exceptions of their own
}

// judge is the outcome that a reply stands for; an error says that it is none to this call.
func (t *Thrift) interpret(call thriftwire.Head, m thriftwire.Message) (callResult, error) {
	if _, method := call.Method(); m.Seq != call.Seq || m.Name != call.Name && m.Name != method {
		return callResult{}, fmt.Errorf("%w: a reply to another call", errMalformedResponse)
	}
	media := call.Form.MediaType()
	switch m.Kind {
	case thriftwire.Reply:
		// Also one with an exception that the IDL declares: the result is the caller's.
		return callResult{balance.OK, stream.Response{Outcome: stream.Served, MediaType: media, Body: m.Body}, true}, nil
	case thriftwire.Exception:
	default:
		return callResult{}, fmt.Errorf("%w: no reply", errMalformedResponse)
	}
	e, err := thriftwire.ParseException(m.Form.Encoding, m.Body)
	switch {
	case err != nil:
		return callResult{}, fmt.Errorf("%w: %w", errMalformedResponse, err)
	case e.Type == thriftwire.TypeUnknownMethod:
		// The host is well and the call is not: no evidence against the one, and no host for the other.
		return callResult{balance.Cancelled, stream.Response{Outcome: stream.Rejected, MediaType: media, Body: m.Body}, true}, nil
	case t.OverloadException != 0 && e.Type == t.OverloadException:
		return callResult{balance.Full, stream.Response{Outcome: stream.Failed}, true}, nil
	}
	return callResult{balance.Error, stream.Response{Outcome: stream.Failed}, false}, nil
}

// read reads one reply to a call of that form. An error means that there was none, or that it can't be told
// whole. Once it has begun, read waits for the rest so long and no longer, as one that stops half-way will not
// go on; and what comes beyond it belongs to nothing.
func (t *Thrift) readReply(ctx context.Context, c *conn, deadline time.Time, form thriftwire.Form) (thriftwire.Message, error) {
	buf := thriftReadBuffers.Get().(*[thriftReadSize]byte)
	defer thriftReadBuffers.Put(buf)
	var in *thriftwire.Reader // from where the form is known
	for got, begun := 0, false; ; {
		n, err := c.Read(buf[got:])
		if got += n; n > 0 && !begun {
			begun = true
			if rest := time.Now().Add(thriftReplyTimeout); rest.Before(deadline) {
				c.setReadDeadline(ctx, rest)
			}
		}
		if as, told := replyForm(form, buf[:got]); in == nil && told {
			in = thriftwire.NewReader(t.Limits, &as)
		}
		if in != nil {
			in.Feed(buf[:got])
			got = 0
			m, whole, fault := in.Next()
			switch {
			case fault != nil:
				return m, fmt.Errorf("%w: %w", errMalformedResponse, fault)
			case whole && in.Pending() > 0:
				return m, fmt.Errorf("%w: more than a reply", errMalformedResponse)
			case whole:
				return m, nil
			}
		}
		switch {
		case err == nil:
		case begun && errors.Is(err, os.ErrDeadlineExceeded):
			return thriftwire.Message{}, fmt.Errorf("%w: %w", errMalformedResponse, err)
		default:
			return thriftwire.Message{}, fmt.Errorf("upstream: read: %w", err)
		}
	}
}

// replyForm is the form of the reply that begins b, once that can be told. Servers may answer in the strict
// form of the binary encoding what was asked in the old one, or the other way round: their libraries have
// a switch for what they write. The body is the same in both.
func replyForm(asked thriftwire.Form, b []byte) (f thriftwire.Form, told bool) {
	at := 0
	if asked.Framed {
		at = 4 // after the length
	}
	switch {
	case asked.Encoding == thriftwire.Compact:
	case len(b) <= at:
		return asked, false
	case b[at]&0x80 != 0: // a version; a name's length is not negative
		asked.Encoding = thriftwire.Binary
	default:
		asked.Encoding = thriftwire.OldBinary
	}
	return asked, true
}
