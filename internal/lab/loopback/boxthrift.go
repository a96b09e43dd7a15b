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

// thriftEndpointCodec is Thrift as the boxes speak it: calls whose method is their class. At the same address a box
// answers probes over HTTP, as sidecars ask no other way; no Thrift message begins with a letter.
type thriftEndpointCodec struct {
	form thriftForm
	plan *plan.Plan
}

var errNotHealthCheck = errors.New("live: a request over HTTP that is no probe, where calls come over Thrift")

func (b thriftEndpointCodec) readRequest(in *bufio.Reader) (incomingRequest, error) {
	first, err := in.Peek(1)
	if err != nil {
		return incomingRequest{}, err
	}
	if first[0] == 'G' {
		a, err := http1Codec{b.plan}.readRequest(in)
		if err == nil && !a.healthCheck {
			return incomingRequest{}, errNotHealthCheck
		}
		return a, err
	}
	a, args := incomingRequest{planIndex: -1}, thriftArgs{request: -1}
	err = b.form.read(in, func(h thriftHead, p thrift.TProtocol) error {
		if h.kind != thrift.CALL {
			return errThrift
		}
		a.correlation = correlation{method: h.method, seq: h.seq}
		return args.read(p, &a)
	})
	if err == nil && args.matchesPlan(b.plan, a.correlation.method) {
		a.planIndex = args.request
	}
	return a, err
}

// thriftArgs are a call's arguments as far as they tell whether a caller wrote them.
type thriftArgs struct {
	request    int
	keyed      bool
	body       []byte
	unexpected bool // there is something that no caller writes
}

// read reads the arguments; what a box goes by goes to a.
func (g *thriftArgs) read(p thrift.TProtocol, a *incomingRequest) error {
	ctx := context.Background()
	return thriftFields(p, func(id int16, kind thrift.TType) (bool, error) {
		var err error
		text, number := "", int32(0)
		switch {
		case kind == thrift.STRING && id == argTxn:
			text, err = p.ReadString(ctx)
			a.transactionID, _ = parseHex(text, 16) // a faulty one is 0, which nobody made
			a.identified = err == nil && text != ""
		case kind == thrift.STRING && id == argKey:
			text, err = p.ReadString(ctx)
			a.idempotencyKey, g.keyed = parseHex(text, 32)
			g.unexpected = g.unexpected || !g.keyed
		case kind == thrift.I32 && id == argRemaining:
			number, err = p.ReadI32(ctx)
			a.timeout = max(0, time.Duration(number)*time.Millisecond)
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

// made says whether they are a caller's, in just this form.
func (g *thriftArgs) matchesPlan(p *plan.Plan, method string) bool {
	if g.unexpected || g.request < 0 || g.request >= len(p.Requests) {
		return false
	}
	class := &p.Scenario.Class[p.Requests[g.request].Class]
	return method == class.Method() && g.keyed == (class.Effect == "keyed") &&
		bytes.Equal(g.body, bytes.Repeat([]byte{'x'}, class.Body))
}

// thriftExceptions are the answers that are no reply.
var thriftExceptions = [...]struct {
	kind    int32
	message string
}{
	responseError:      {thrift.INTERNAL_ERROR, "the box failed"},
	responseRejected:   {scenario.ThriftTurnedAway, "turned away"},
	responseBadRequest: {thrift.PROTOCOL_ERROR, "no caller made this call"},
	responseNotFound:   {thrift.UNKNOWN_METHOD, "there is no such call here"},
}

func (b thriftEndpointCodec) appendResponse(out []byte, what responseKind, to correlation, body []byte, last bool) []byte {
	if to.http {
		return http1Codec{}.appendResponse(out, what, to, body, last)
	}
	if what == responseOK {
		return b.form.write(out, thriftHead{to.method, thrift.REPLY, to.seq}, successResult(body))
	}
	e := thriftExceptions[what]
	return b.form.write(out, thriftHead{to.method, thrift.EXCEPTION, to.seq},
		func(w thriftWriter) { w.exception(e.kind, e.message) })
}

// success is the result of a call that went well.
func successResult(body []byte) func(thriftWriter) {
	return func(w thriftWriter) { w.fields(func() { w.bytes(resultBody, body) }) }
}

// Of what spoils an answer.
const (
	malformedKinds      = 7 // sorts of any form
	malformedFrameKinds = 3 // and of frames
	malformedNesting    = 10_000
)

func (b thriftEndpointCodec) appendMalformed(out []byte, to correlation, body []byte, random *rand.Rand) []byte {
	head, result, ctx := thriftHead{to.method, thrift.REPLY, to.seq}, successResult(body), context.Background()
	sorts := malformedKinds
	if b.form.framed {
		sorts += malformedFrameKinds
	}
	sort := random.IntN(sorts)
	switch sort {
	case 0: // noise
		for range 1 + random.IntN(512) {
			out = append(out, byte(random.Uint32()))
		}
		return out
	case 1: // another call's
		head.seq += 1 + random.Int32N(1000)
	case 2: // another method's
		head.method += "_too"
	case 3: // no reply
		head.kind = thrift.CALL
	case 4, 5: // a body of 1 or 2 GiB less a little, as the encoding has it, or of less than nothing
		size := int32(math.MaxInt32 / 2)
		if sort == 5 {
			size = math.MinInt32 // in the compact encoding's zigzag it is all ones, a length of -1
		}
		result = func(w thriftWriter) {
			_ = w.WriteFieldBegin(ctx, "", thrift.STRING, resultBody)
			_ = w.WriteI32(ctx, size)
		}
	case 6: // structs in each other, without end
		result = func(w thriftWriter) {
			for range malformedNesting {
				_ = w.WriteStructBegin(ctx, "")
				_ = w.WriteFieldBegin(ctx, "", thrift.STRUCT, 1)
			}
		}
	}
	text := b.form.write(nil, head, result)
	switch size := binary.BigEndian.Uint32(text); sort {
	case malformedKinds: // a frame of less than nothing
		binary.BigEndian.PutUint32(text, -size)
	case malformedKinds + 1: // of 2 GiB
		binary.BigEndian.PutUint32(text, math.MaxInt32)
	case malformedKinds + 2: // with more than its message
		extra := 1 + random.IntN(100)
		binary.BigEndian.PutUint32(text, size+uint32(extra))
		text = append(text, make([]byte, extra)...)
	}
	return append(out, text...)
}
