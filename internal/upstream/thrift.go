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
	Pool       *Pool
	Port       uint16 // of every host; 0: the one that discovery lists
	Limits     thriftwire.Limits
	TurnedAway int32 // type of the exception by which a host proves that it has run nothing; 0: none does
}

const readSize = 4 << 10 // of a reply at once

var reads = sync.Pool{New: func() any { return new([readSize]byte) }}

// Do carries out one call on one connection. It never sends it again.
func (t *Thrift) Do(ctx context.Context, id balance.EndpointID, until time.Time, req *stream.Request) (balance.Status, stream.Response) {
	res := stream.Response{Outcome: stream.Failed}
	form, known := thriftwire.FormOf(req.MediaType)
	if !known { // no front of ours makes one
		return balance.NotSent, res
	}
	call := thriftwire.Head{Form: form, Kind: thriftwire.Call, Name: req.Target}
	oneway := req.Operation == thriftwire.Oneway.String()
	if oneway {
		call.Kind = thriftwire.Oneway
	}
	c, err := t.Pool.takeToSend(ctx, id, until, purpose{port: t.Port, protocol: req.MediaType, oneway: oneway}, req)
	if err != nil {
		return neverSent(ctx, err), res
	}
	c.seq++
	call.Seq = c.seq
	buf := buffers.Get().(*[]byte)
	*buf = thriftwire.Append((*buf)[:0], call, req.Body)
	status := t.Pool.carry(ctx, c, until, *buf, func() (balance.Status, after, error) {
		if oneway { // its last byte has left, and nothing more will be known: no evidence for the host either
			res = stream.Response{Outcome: stream.Oneway}
			return balance.Cancelled, idle, nil
		}
		m, err := t.read(ctx, c, until, form)
		if err != nil {
			return 0, closed, err
		}
		v, err := t.judge(call, m)
		if err == nil {
			res = v.res
		}
		then := closed
		if v.reusable {
			then = idle
		}
		return v.status, then, err
	})
	buffers.Put(buf)
	return status, res
}

// verdict is what a reply stands for.
type verdict struct {
	status   balance.Status
	res      stream.Response
	reusable bool // libraries' servers close a connection after most exceptions of their own
}

// judge is the outcome that a reply stands for; an error says that it is none to this call.
func (t *Thrift) judge(call thriftwire.Head, m thriftwire.Message) (verdict, error) {
	if _, method := call.Method(); m.Seq != call.Seq || m.Name != call.Name && m.Name != method {
		return verdict{}, fmt.Errorf("%w: a reply to another call", errBadAnswer)
	}
	media := call.Form.MediaType()
	switch m.Kind {
	case thriftwire.Reply:
		// Also one with an exception that the IDL declares: the result is the caller's.
		return verdict{balance.OK, stream.Response{Outcome: stream.Served, MediaType: media, Body: m.Body}, true}, nil
	case thriftwire.Exception:
	default:
		return verdict{}, fmt.Errorf("%w: no reply", errBadAnswer)
	}
	e, err := thriftwire.ParseException(m.Form.Encoding, m.Body)
	switch {
	case err != nil:
		return verdict{}, fmt.Errorf("%w: %w", errBadAnswer, err)
	case e.Type == thriftwire.TypeUnknownMethod:
		// The host is well and the call is not: no evidence against the one, and no host for the other.
		return verdict{balance.Cancelled, stream.Response{Outcome: stream.InvalidRequest, MediaType: media, Body: m.Body}, true}, nil
	case t.TurnedAway != 0 && e.Type == t.TurnedAway:
		return verdict{balance.Rejected, stream.Response{Outcome: stream.Failed}, true}, nil
	}
	return verdict{balance.Error, stream.Response{Outcome: stream.Failed}, false}, nil
}

// read reads one reply to a call of that form. An error means that there was none, or that it can't be told
// whole. Once it has begun, read waits for the rest so long and no longer, as one that stops half-way will not
// go on; and what comes beyond it belongs to nothing.
func (t *Thrift) read(ctx context.Context, c *conn, until time.Time, form thriftwire.Form) (thriftwire.Message, error) {
	buf := reads.Get().(*[readSize]byte)
	defer reads.Put(buf)
	var in *thriftwire.Reader // from where the form is known
	for got, begun := 0, false; ; {
		n, err := c.Read(buf[got:])
		if got += n; n > 0 && !begun {
			begun = true
			if rest := time.Now().Add(restWithin); rest.Before(until) {
				c.wait(ctx, rest)
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
				return m, fmt.Errorf("%w: %w", errBadAnswer, fault)
			case whole && in.Pending() > 0:
				return m, fmt.Errorf("%w: more than a reply", errBadAnswer)
			case whole:
				return m, nil
			}
		}
		switch {
		case err == nil:
		case begun && errors.Is(err, os.ErrDeadlineExceeded):
			return thriftwire.Message{}, fmt.Errorf("%w: %w", errBadAnswer, err)
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
