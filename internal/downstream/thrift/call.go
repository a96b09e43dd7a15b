package thrift

import (
	"context"
	"encoding/hex"
	"fmt"
	"strconv"
	"time"

	"pinelb.example/pinelb/internal/stream"
	"pinelb.example/pinelb/internal/thriftwire"
)

// The types of the local replies, which are TApplicationExceptions. docs/operate/thrift.md has what they promise; clients may
// rely on them.
const (
	typeRefused   int32 = 100 // a retry is safe
	typeFailed    int32 = 101 // the call may have run
	typeExpired   int32 = 102 // the call may have run; its deadline is over
	typeDuplicate int32 = 103
	typeRejected  int32 = 104 // the call itself is at fault and has not run
)

// maxHeadSize is how many bytes the head of a reply has beside the method's name, at most: a frame's length and a strict binary
// head.
const maxHeadSize = 4 + 12

// method is an entry of the operator's table of methods, with its class from the settings.
type method struct {
	class              int
	className          string
	deadline           time.Duration // of a call that states none
	maxDeadline        time.Duration // of the class
	oneway             bool          // some clients' libraries send what the IDL declares oneway as a call
	id, key, remaining []int16       // paths of field ids in the arguments; empty: there is none
}

// method returns the table's entry for a call, by its full name or without the service; nil if there is no class for it.
func (s *Server) method(h thriftwire.Head) *method {
	t := s.table.Load()
	if m := t.methods[h.Name]; m != nil {
		return m
	}
	if _, name := h.Method(); t.methods[name] != nil {
		return t.methods[name]
	}
	return t.defaultMethod
}

// decode makes a stream of a call that came at that time, without its body, or returns the exception to reply. meth is nil for
// an unknown method.
func (s *Server) decode(m thriftwire.Message, meth *method, arrived time.Time) (*stream.Request, *thriftwire.ApplicationException) {
	if meth == nil {
		return nil, &thriftwire.ApplicationException{Type: thriftwire.TypeUnknownMethod,
			Message: fmt.Sprintf("pinelb: unknown method %q", m.Name)}
	}
	req := &stream.Request{ClassName: meth.className, Class: meth.class, Operation: m.Kind.String(), Target: m.Name,
		MediaType: m.Form.MediaType(), Arrived: arrived, Deadline: arrived.Add(meth.deadline)}
	if len(meth.id) == 0 {
		req.Txn = fmt.Sprintf("%016x-%x", s.idPrefix, s.idCount.Add(1))
	} else if id, ok := nameAt(m, meth.id); ok {
		req.Txn = m.Name + "/" + id // the ids of two methods may be equal
	} else {
		return nil, rejection("the id is missing, empty or too long")
	}
	if len(meth.key) > 0 {
		var ok bool
		if req.Key, ok = nameAt(m, meth.key); !ok {
			return nil, rejection("the key is missing, empty or too long")
		}
	}
	if len(meth.remaining) > 0 {
		v, err := thriftwire.Lookup(m.Form.Encoding, m.Body, meth.remaining)
		switch {
		case err != nil || v.Present && (v.IsText || v.Number < 0):
			return nil, rejection("the remaining time is malformed")
		case v.Present:
			// A reply within the class's deadline is in time for every client, however long it says it waits.
			req.Deadline = arrived.Add(time.Duration(min(v.Number, meth.maxDeadline.Milliseconds())) * time.Millisecond)
		}
	}
	return req, nil
}

// rejection is the exception for a call whose arguments are at fault.
func rejection(reason string) *thriftwire.ApplicationException {
	return &thriftwire.ApplicationException{Type: typeRejected, Message: "pinelb: rejected; " + reason}
}

// nameAt returns the id or key at a path of field ids as visible ASCII: numbers in decimal, and texts with other bytes in
// hexadecimal.
func nameAt(m thriftwire.Message, path []int16) (string, bool) {
	v, err := thriftwire.Lookup(m.Form.Encoding, m.Body, path)
	switch {
	case err != nil || !v.Present || v.IsText && (len(v.Text) == 0 || len(v.Text) > maxNameBytes):
		return "", false
	case !v.IsText:
		return strconv.FormatInt(v.Number, 10), true
	}
	for _, c := range v.Text {
		if c <= ' ' || c > '~' {
			return "0x" + hex.EncodeToString(v.Text), true
		}
	}
	return string(v.Text), true
}

// encodeReply returns the message that replies to a call: in the call's form, with its sequence id, and without the service's
// name where the call was multiplexed, as Thrift's own servers do.
func encodeReply(h thriftwire.Head, res stream.Response) []byte {
	h.Kind = thriftwire.Reply
	if res.Outcome == stream.InvalidRequest {
		h.Kind = thriftwire.Exception
	}
	if res.Outcome == stream.Served || res.Outcome == stream.InvalidRequest && len(res.Body) > 0 {
		_, h.Name = h.Method()
		return thriftwire.Append(make([]byte, 0, maxHeadSize+len(h.Name)+len(res.Body)), h, res.Body)
	}
	return encodeException(h, localReply(res))
}

// encodeException returns the message that replies to a call with an exception.
func encodeException(h thriftwire.Head, e thriftwire.ApplicationException) []byte {
	_, h.Name = h.Method()
	return thriftwire.AppendException(nil, h, e)
}

// localReply is the exception for an outcome that is not an upstream host's reply.
func localReply(res stream.Response) thriftwire.ApplicationException {
	switch res.Outcome {
	case stream.RejectedLocally:
		if res.RetryAfter > 0 {
			return thriftwire.ApplicationException{Type: typeRefused,
				Message: fmt.Sprintf("pinelb: refused; retry after %.3f s", res.RetryAfter.Seconds())}
		}
		return thriftwire.ApplicationException{Type: typeRefused, Message: "pinelb: refused"}
	case stream.InvalidRequest:
		return thriftwire.ApplicationException{Type: typeRejected, Message: "pinelb: rejected; an upstream host finds fault with the call"}
	case stream.Duplicate:
		return thriftwire.ApplicationException{Type: typeDuplicate, Message: "pinelb: duplicate; a call of this id is under way"}
	case stream.DeadlineExceeded:
		return thriftwire.ApplicationException{Type: typeExpired, Message: "pinelb: out of time; it may have run"}
	}
	// Failed, or the client has left.
	return thriftwire.ApplicationException{Type: typeFailed, Message: "pinelb: failed; it may have run"}
}

// serveStream calls the handler. A panic fails the stream alone: the client still gets a reply.
func (s *Server) serveStream(ctx context.Context, req *stream.Request) (res stream.Response) {
	defer s.recoverStream(&res, stream.Failed)
	return s.handler.Serve(ctx, req)
}

// refuseStream calls the handler for a stream that is rejected. After a panic, too, there is a reply: without it the connection
// would wait for ever.
func (s *Server) refuseStream(req *stream.Request) (res stream.Response) {
	defer s.recoverStream(&res, stream.RejectedLocally)
	return s.handler.Refuse(req)
}

// recoverStream is deferred by a handler's caller. After a panic it logs it and sets the response to the outcome.
func (s *Server) recoverStream(res *stream.Response, outcome stream.Outcome) {
	if fault := recover(); fault != nil {
		s.log.Error().Interface("panic", fault).Msg("stream failed")
		*res = stream.Response{Outcome: outcome}
	}
}
