package loopback

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"math"
	"math/rand/v2"
	"time"

	"github.com/apache/thrift/lib/go/thrift"

	"pinelb.example/pinelb/internal/lab/plan"
	"pinelb.example/pinelb/internal/lab/scenario"
)

// thriftEndpointCodec is Thrift as the endpoints speak it: calls whose method is their class. At the same address an endpoint
// answers health checks over HTTP, as sidecars send them no other way; no Thrift message begins with a letter.
type thriftEndpointCodec struct {
	form thriftForm
	plan *plan.Plan
}

var errNotHealthCheck = errors.New("loopback: HTTP request that is no health check at an endpoint that serves Thrift")

func (t thriftEndpointCodec) readRequest(in *bufio.Reader) (incomingRequest, error) {
	first, err := in.Peek(1)
	if err != nil {
		return incomingRequest{}, err
	}
	if first[0] == 'G' {
		request, err := http1Codec{t.plan}.readRequest(in)
		if err == nil && !request.healthCheck {
			return incomingRequest{}, errNotHealthCheck
		}
		return request, err
	}
	request, args := incomingRequest{planIndex: -1}, thriftArgs{request: -1}
	err = t.form.read(in, func(head thriftHead, p thrift.TProtocol) error {
		if head.kind != thrift.CALL {
			return errThrift
		}
		request.correlation = correlation{method: head.method, seq: head.seq}
		return args.read(p, &request)
	})
	if err == nil && args.matchesPlan(t.plan, request.correlation.method) {
		request.planIndex = args.request
	}
	return request, err
}

// thriftArgs are the arguments of a call that show whether a client wrote it.
type thriftArgs struct {
	request    int // index in the plan
	keyed      bool
	body       []byte
	unexpected bool // there is a field that no client writes
}

// read reads the arguments; those that an endpoint needs go to request.
func (g *thriftArgs) read(p thrift.TProtocol, request *incomingRequest) error {
	ctx := context.Background()
	return thriftFields(p, func(id int16, kind thrift.TType) (bool, error) {
		var err error
		text, number := "", int32(0)
		switch {
		case kind == thrift.STRING && id == argTxn:
			text, err = p.ReadString(ctx)
			request.transactionID, _ = parseHex(text, 16) // a malformed one is 0, which no client uses
			request.identified = err == nil && text != ""
		case kind == thrift.STRING && id == argKey:
			text, err = p.ReadString(ctx)
			request.idempotencyKey, g.keyed = parseHex(text, 32)
			g.unexpected = g.unexpected || !g.keyed
		case kind == thrift.I32 && id == argRemaining:
			number, err = p.ReadI32(ctx)
			request.timeout = max(0, time.Duration(number)*time.Millisecond)
		case kind == thrift.I32 && id == argRequest:
			number, err = p.ReadI32(ctx)
			g.request = int(number)
		case kind == thrift.STRING && id == argBody:
			g.body, err = p.ReadBinary(ctx)
		default:
			g.unexpected = true
			return false, nil
		}
		return true, err
	})
}

// matchesPlan reports whether a client writes exactly these arguments.
func (g *thriftArgs) matchesPlan(p *plan.Plan, method string) bool {
	if g.unexpected || g.request < 0 || g.request >= len(p.Requests) {
		return false
	}
	class := &p.Scenario.Classes[p.Requests[g.request].Class]
	return method == class.ThriftMethod() && g.keyed == (class.Idempotency == "keyed") &&
		bytes.Equal(g.body, bytes.Repeat([]byte{'x'}, class.RequestBytes))
}

// thriftExceptions are the responses that are no reply.
var thriftExceptions = [...]struct {
	kind    int32
	message string
}{
	responseError:      {thrift.INTERNAL_ERROR, "the box failed"},
	responseRejected:   {scenario.ThriftRejectedType, "turned away"},
	responseBadRequest: {thrift.PROTOCOL_ERROR, "no caller made this call"},
	responseNotFound:   {thrift.UNKNOWN_METHOD, "there is no such call here"},
}

func (t thriftEndpointCodec) appendResponse(out []byte, kind responseKind, to correlation, body []byte, closeAfter bool) []byte {
	if to.http {
		return http1Codec{}.appendResponse(out, kind, to, body, closeAfter)
	}
	if kind == responseOK {
		return t.form.write(out, thriftHead{to.method, thrift.REPLY, to.seq}, successResult(body))
	}
	exception := thriftExceptions[kind]
	return t.form.write(out, thriftHead{to.method, thrift.EXCEPTION, to.seq},
		func(w thriftWriter) { w.exception(exception.kind, exception.message) })
}

// successResult is the result of a call that succeeded.
func successResult(body []byte) func(thriftWriter) {
	return func(w thriftWriter) { w.fields(func() { w.bytes(resultBody, body) }) }
}

// Kinds of malformed responses.
const (
	malformedKinds      = 7      // of every form
	malformedFrameKinds = 3      // of framed forms in addition
	malformedNesting    = 10_000 // structs inside each other
)

func (t thriftEndpointCodec) appendMalformed(out []byte, to correlation, body []byte, random *rand.Rand) []byte {
	kinds := malformedKinds
	if t.form.framed {
		kinds += malformedFrameKinds
	}
	kind := random.IntN(kinds)
	if kind == 0 {
		return appendNoise(out, random)
	}
	head, result := malformedMessage(kind, thriftHead{to.method, thrift.REPLY, to.seq}, successResult(body), random)
	message := t.form.write(nil, head, result)
	if kind >= malformedKinds {
		message = malformFrame(kind-malformedKinds, message, random)
	}
	return append(out, message...)
}

// malformedMessage changes the head or the result of a reply, by the kind of mistake.
func malformedMessage(kind int, head thriftHead, result func(thriftWriter), random *rand.Rand) (thriftHead, func(thriftWriter)) {
	ctx := context.Background()
	switch kind {
	case 1: // of another call
		head.seq += 1 + random.Int32N(1000)
	case 2: // of another method
		head.method += "_too"
	case 3: // no reply
		head.kind = thrift.CALL
	case 4, 5: // a body of 1 or 2 GiB less a little, as the encoding has it, or of a negative length
		size := int32(math.MaxInt32 / 2)
		if kind == 5 {
			size = math.MinInt32 // in the compact encoding's zigzag it is all ones, a length of -1
		}
		result = func(w thriftWriter) {
			_ = w.WriteFieldBegin(ctx, "", thrift.STRING, resultBody)
			_ = w.WriteI32(ctx, size)
		}
	case 6: // nesting without end
		result = func(w thriftWriter) {
			for range malformedNesting {
				_ = w.WriteStructBegin(ctx, "")
				_ = w.WriteFieldBegin(ctx, "", thrift.STRUCT, 1)
			}
		}
	}
	return head, result
}

// malformFrame changes the length of a message's frame, by the kind of mistake.
func malformFrame(kind int, message []byte, random *rand.Rand) []byte {
	size := binary.BigEndian.Uint32(message)
	switch kind {
	case 0: // a negative length
		binary.BigEndian.PutUint32(message, -size)
	case 1: // 2 GiB
		binary.BigEndian.PutUint32(message, math.MaxInt32)
	case 2: // more than its message
		extra := 1 + random.IntN(100)
		binary.BigEndian.PutUint32(message, size+uint32(extra))
		message = append(message, make([]byte, extra)...)
	}
	return message
}
