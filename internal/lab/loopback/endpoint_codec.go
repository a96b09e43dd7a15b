package loopback

import (
	"bufio"
	"math/rand/v2"
	"time"

	"pinelb.example/pinelb/internal/budget"
	"pinelb.example/pinelb/internal/lab/plan"
)

// endpointCodec is the protocol between sidecars and endpoints: bytes alone, and nothing of what an endpoint does with them. It is
// safe for concurrent use.
type endpointCodec interface {
	// readRequest reads one complete request. With an error it returns what it has read of the request so far.
	readRequest(in *bufio.Reader) (incomingRequest, error)
	// appendResponse appends a complete response to a request with that correlation. closeAfter announces that the connection
	// ends with it.
	appendResponse(out []byte, kind responseKind, to correlation, body []byte, closeAfter bool) []byte
	// appendMalformed appends what no reader of the protocol can take for a complete response, as long as the connection ends
	// after it. body is that of the response in whose place it stands.
	appendMalformed(out []byte, to correlation, body []byte, random *rand.Rand) []byte
}

// newEndpointCodec is the codec of the scenario's protocol.
func newEndpointCodec(p *plan.Plan) endpointCodec {
	if form, ok := thriftForms[p.Scenario.Fleet.Protocol]; ok {
		return thriftEndpointCodec{form, p}
	}
	return http1Codec{p}
}

// correlation is what a response repeats of its request, or reports beside its body.
type correlation struct {
	http             bool   // the request came over HTTP, where the endpoint otherwise speaks another protocol
	method           string // of a Thrift call
	seq              int32  // of a Thrift call
	reportedAttempts budget.AttemptReport
}

// incomingRequest is a request as an endpoint reads it.
type incomingRequest struct {
	healthCheck    bool // the other fields but correlation are unset then
	identified     bool // it has a transaction id
	transactionID  uint64
	planIndex      int // of the plan's request; -1 if it is not in the form that a client gave it
	idempotencyKey uint64
	timeout        time.Duration // that its sender announced; 0 if it did not
	baggage        string
	closeAfter     bool // its sender has no further request on this connection
	correlation    correlation
}

// response is a response without a body of its own.
func (r *incomingRequest) response(kind responseKind) endpointResponse {
	return endpointResponse{kind: kind, correlation: r.correlation, closeAfter: r.closeAfter}
}

// responseKind is a kind of complete response.
type responseKind uint8

const (
	responseOK         responseKind = iota
	responseError                   // the request may have run
	responseRejected                // the request has not run
	responseBadRequest              // no client sent this
	responseNotFound                // nothing is served here under that name
)
