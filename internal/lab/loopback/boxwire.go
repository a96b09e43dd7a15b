package loopback

import (
	"bufio"
	"math/rand/v2"
	"time"

	"pinelb.example/pinelb/internal/budget"
	"pinelb.example/pinelb/internal/lab/plan"
)

// codec is what the bytes between sidecars and boxes are; what a box does with them is not its concern. It is
// safe for concurrent use.
type endpointCodec interface {
	// read reads one request whole. With an error it returns what it has learnt of the request so far.
	readRequest(in *bufio.Reader) (incomingRequest, error)
	// answer appends a whole answer to a request with that mark. Last says that the connection ends with it.
	appendResponse(out []byte, what responseKind, to correlation, body []byte, last bool) []byte
	// spoil appends what a reader that keeps to the protocol can't take for a whole answer, as long as the
	// connection ends after it. Body is that of the answer that it stands for.
	appendMalformed(out []byte, to correlation, body []byte, random *rand.Rand) []byte
}

// newEndpointCodec is that of the scenario's protocol.
func newEndpointCodec(p *plan.Plan) endpointCodec {
	if form, ok := thriftForms[p.Scenario.Fleet.Protocol]; ok {
		return thriftEndpointCodec{form, p}
	}
	return http1Codec{p}
}

// mark is what an answer repeats of its request.
type correlation struct {
	http             bool   // whether that was HTTP, where a box speaks another protocol otherwise
	method           string // of a Thrift call
	seq              int32
	reportedAttempts budget.Tried // what a box passes up beside its answer
}

// ask is a request as a box reads it.
type incomingRequest struct {
	healthCheck    bool // whether the box is well; the rest is empty then
	identified     bool // it has an id
	transactionID  uint64
	planIndex      int // place in the plan; -1 if it is not in the form that a caller gave it
	idempotencyKey uint64
	timeout        time.Duration // how long its sender says that it waits; 0 is not said
	baggage        string
	closeAfter     bool // its sender wants no more on this connection
	correlation    correlation
}

// reply is a kind of whole answer.
type responseKind uint8

const (
	responseOK         responseKind = iota
	responseError                   // it may have run
	responseRejected                // it never ran
	responseBadRequest              // no caller made it
	responseNotFound                // there is no such thing here
)
