package loopback

import (
	"time"

	"pinelb.example/pinelb/internal/budget"
	"pinelb.example/pinelb/internal/lab/plan"
	"pinelb.example/pinelb/internal/lab/trace"
)

// callerCodec is what the bytes between callers and sidecars are, and between callers and boxes where there are
// no sidecars. It is safe for concurrent use.
type callerCodec interface {
	// request appends a query as it is sent.
	request(out []byte, q *query) []byte
	// outcome reads a whole final answer to a query. An error is a connection that ended before, or something
	// that is no answer to it.
	outcome(l *line, q *query) (end, error)
}

// newCallerCodec is that of the scenario's protocol.
func newCallerCodec(p *plan.Plan) callerCodec {
	if form, ok := thriftForms[p.Scenario.Fleet.Protocol]; ok {
		return thriftCaller{form, p}
	}
	return http1{p}
}

// end is a final answer as a caller understands it.
type end struct {
	status trace.Status
	code   int                  // see trace.Try
	advice time.Duration        // when to come back; 0 is not said
	body   []byte               // of one that is served, until the next answer on its line
	tried  budget.AttemptReport // what it says of attempts that it took
	last   bool                 // its connection ends with it
}
