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

// The types of the local replies, which are TApplicationExceptions. docs/operate/thrift.md has what they promise;
// clients may rely on them.
const (
	typeRefused   int32 = 100 // trying again is harmless
	typeFailed    int32 = 101 // nothing is promised
	typeExpired   int32 = 102 // nothing is promised, the time was up
	typeDuplicate int32 = 103
	typeRejected  int32 = 104 // the call itself is at fault; nothing ran
)

// method is what the operator's file says of a method, with its class from the settings.
type method struct {
	class              int
	className          string
	deadline           time.Duration // where the call tells no time
	maxDeadline        time.Duration // the class's
	oneway             bool          // some clients' libraries send what the IDL calls oneway as a call
	id, key, remaining []int16       // where they stand in the arguments
}

// method finds a name in the table; nil: there is no class for it.
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

// decode makes a request of a call of that method that came at that time, without its body, or says why it is none.
func (s *Server) decode(m thriftwire.Message, of *method, at time.Time) (*stream.Request, *thriftwire.ApplicationException) {
	if of == nil {
		return nil, &thriftwire.ApplicationException{Type: thriftwire.TypeUnknownMethod,
			Message: fmt.Sprintf("pinelb: unknown method %q", m.Name)}
	}
	req := &stream.Request{ClassName: of.className, Class: of.class, Operation: m.Kind.String(), Target: m.Name,
		MediaType: m.Form.MediaType(), Arrived: at, Deadline: at.Add(of.deadline)}
	fault := func(what string) *thriftwire.ApplicationException {
		return &thriftwire.ApplicationException{Type: typeRejected, Message: "pinelb: rejected; " + what}
	}
	if len(of.id) == 0 {
		req.Txn = fmt.Sprintf("%016x-%x", s.idPrefix, s.idCount.Add(1))
	} else if id, ok := nameAt(m, of.id); ok {
		req.Txn = m.Name + "/" + id // two methods may count alike
	} else {
		return nil, fault("the id is missing, empty or too long")
	}
	if len(of.key) > 0 {
		var ok bool
		if req.Key, ok = nameAt(m, of.key); !ok {
			return nil, fault("the key is missing, empty or too long")
		}
	}
	if len(of.remaining) > 0 {
		v, err := thriftwire.Lookup(m.Form.Encoding, m.Body, of.remaining)
		switch {
		case err != nil || v.Present && (v.IsText || v.Number < 0):
			return nil, fault("the remaining time is malformed")
		case v.Present:
			// An answer within the class's deadline is in time for every client, however long it says it waits.
			req.Deadline = at.Add(time.Duration(min(v.Number, of.maxDeadline.Milliseconds())) * time.Millisecond)
		}
	}
	return req, nil
}

// word is the id or key at a path, as a plain word: numbers in decimal, and bytes that are none in hexadecimal.
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

// encode makes the message that answers a call: in the call's form, with its sequence id, and with the method's
// name alone where that was multiplexed, as Thrift's own servers do.
func encodeReply(h thriftwire.Head, res stream.Response) []byte {
	h.Kind = thriftwire.Reply
	if res.Outcome == stream.Rejected {
		h.Kind = thriftwire.Exception
	}
	if res.Outcome == stream.Served || res.Outcome == stream.Rejected && len(res.Body) > 0 {
		_, h.Name = h.Method()
		return thriftwire.Append(make([]byte, 0, maxHeadSize+len(h.Name)+len(res.Body)), h, res.Body)
	}
	return encodeException(h, localReply(res))
}

const maxHeadSize = 4 + 12 // what stands before a body at most, but for the name

// exception makes the message that answers a call with a local reply.
func encodeException(h thriftwire.Head, e thriftwire.ApplicationException) []byte {
	_, h.Name = h.Method()
	return thriftwire.AppendException(nil, h, e)
}

// localReply words an end that no upstream host's answer was.
func localReply(res stream.Response) thriftwire.ApplicationException {
	switch res.Outcome {
	case stream.Refused:
		if res.RetryAfter > 0 {
			return thriftwire.ApplicationException{Type: typeRefused,
				Message: fmt.Sprintf("pinelb: refused; retry after %.3f s", res.RetryAfter.Seconds())}
		}
		return thriftwire.ApplicationException{Type: typeRefused, Message: "pinelb: refused"}
	case stream.Rejected:
		return thriftwire.ApplicationException{Type: typeRejected, Message: "pinelb: rejected; an upstream host finds fault with the call"}
	case stream.Duplicate:
		return thriftwire.ApplicationException{Type: typeDuplicate, Message: "pinelb: duplicate; a call of this id is under way"}
	case stream.Expired:
		return thriftwire.ApplicationException{Type: typeExpired, Message: "pinelb: out of time; it may have run"}
	}
	// Failed, or nobody is there to read it.
	return thriftwire.ApplicationException{Type: typeFailed, Message: "pinelb: failed; it may have run"}
}

// serve keeps a panic in one stream from all others: the client still gets an answer.
func (s *Server) serveStream(ctx context.Context, req *stream.Request) (res stream.Response) {
	defer func() {
		if fault := recover(); fault != nil {
			s.log.Error().Interface("panic", fault).Msg("stream failed")
			res = stream.Response{Outcome: stream.Failed}
		}
	}()
	return s.handler.Serve(ctx, req)
}

// refuse does so for a stream that is turned away: without its answer the connection would wait for ever.
func (s *Server) refuseStream(req *stream.Request) (res stream.Response) {
	defer func() {
		if fault := recover(); fault != nil {
			s.log.Error().Interface("panic", fault).Msg("stream failed")
			res = stream.Response{Outcome: stream.Refused}
		}
	}()
	return s.handler.Refuse(req)
}
