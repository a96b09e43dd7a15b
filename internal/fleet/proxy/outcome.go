package proxy

// outcome is the outcome of one attempt. The zero value proves nothing.
type outcome uint8

// The outcomes. After the first four, the request may be sent to another endpoint; the others end it.
const (
	unanswered   outcome = iota // the request may have run, but no usable response was received
	notSent                     // nothing of the request was sent: it has not run and will not
	notExecuted                 // the endpoint responded that it did not run the request
	interrupted                 // the response was interrupted, and another endpoint may replace or continue it
	completed                   // the response was relayed completely
	clientClosed                // the client has closed its connection, or the sending side of it
	truncated                   // the response was interrupted after a part was relayed that no other endpoint can continue
)

// provesNotExecuted reports whether an attempt with this outcome has not run the request and will not. Nothing else proves that.
func (o outcome) provesNotExecuted() bool { return o == notSent || o == notExecuted }
