package loopback

import (
	"time"

	"pinelb.example/pinelb/internal/budget"
	"pinelb.example/pinelb/internal/lab/plan"
	"pinelb.example/pinelb/internal/lab/trace"
)

// clientCodec is the protocol between clients and sidecars, and between clients and endpoints where there are no sidecars. It is
// safe for concurrent use.
type clientCodec interface {
	// appendRequest appends a request as it is sent.
	appendRequest(out []byte, request *clientRequest) []byte
	// readResponse reads a complete final response to a request. An error is a connection that ended before, or something that
	// is no response to it.
	readResponse(conn *clientConn, request *clientRequest) (clientResponse, error)
}

// newClientCodec is the codec of the scenario's protocol.
func newClientCodec(p *plan.Plan) clientCodec {
	if form, ok := thriftForms[p.Scenario.Fleet.Protocol]; ok {
		return thriftClientCodec{form, p}
	}
	return http1Codec{p}
}

// clientResponse is a final response as a client understands it.
type clientResponse struct {
	status           trace.Status
	code             int                  // see trace.ClientAttempt
	retryAfter       time.Duration        // 0 if the response has none
	body             []byte               // of a served one; valid until the next response on its connection
	reportedAttempts budget.AttemptReport // attempts in lower tiers
	closeAfter       bool                 // its connection ends with it
}

// fill sets what an attempt takes from its response, and checks the body of a served one.
func (r *clientResponse) fill(attempt *trace.ClientAttempt) {
	attempt.Code, attempt.Status = r.code, r.status
	attempt.RetryAfter, attempt.ReportedAttempts = r.retryAfter, r.reportedAttempts
	if r.status == trace.StatusServed {
		endpoint, genuine := verifyBody(attempt.TransactionID, r.body)
		attempt.Endpoint, attempt.Forged = endpoint, !genuine
	}
}
