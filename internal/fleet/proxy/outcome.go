package proxy

// outcome is the outcome of one attempt.
type outcome uint8

// The outcomes. The first three end the request. After the others, it may be sent to another endpoint.
const (
	completed    outcome = iota // the response was relayed completely
	clientClosed                // the client has closed its connection, or the sending side of it
	truncated                   // the response was interrupted after a part was relayed that no other endpoint can continue
	notSent                     // the endpoint was not reached: the request has not run there and will not
	notExecuted                 // the endpoint responded that it did not run the request
	unanswered                  // the request was sent, but no usable response was received
	interrupted                 // the response was interrupted, and another endpoint may replace or continue it
)
