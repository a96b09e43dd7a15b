package loopback

import (
	"time"

	"pinelb.example/pinelb/internal/budget"
	"pinelb.example/pinelb/internal/lab/plan"
	"pinelb.example/pinelb/internal/lab/trace"
)

// clientCodec is what the bytes between callers and sidecars are, and between callers and boxes where there are
// no sidecars. It is safe for concurrent use.
type clientCodec interface {
	// request appends a query as it is sent.
	appendRequest(out []byte, q *clientRequest) []byte
	// outcome reads a whole final answer to a query. An error is a connection that ended before, or something
	// that is no answer to it.
	readResponse(l *clientConn, q *clientRequest) (clientResponse, error)
}

// newClientCodec is that of the scenario's protocol.
func newClientCodec(p *plan.Plan) clientCodec {
	if form, ok := thriftForms[p.Scenario.Fleet.Protocol]; ok {
		return thriftClientCodec{form, p}
	}
	return http1Codec{p}
}

// end is a final answer as a caller understands it.
type clientResponse struct {
	status           trace.Status
	code             int           // see trace.Try
	retryAfter       time.Duration // when to come back; 0 is not said
	body             []byte        // of one that is served, until the next answer on its line
	reportedAttempts budget.Tried  // what it says of attempts that it took
	closeAfter       bool          // its connection ends with it
}
