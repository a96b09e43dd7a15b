package proxy

// outcome is what became of one attempt.
type outcome uint8

// The outcomes. The first three end the request; after the others it may be sent to another endpoint.
const (
	completed    outcome = iota // the client has its answer
	clientClosed                // the client has closed its connection, or its sending side
	truncated                   // the answer broke off after a part had been passed on that nothing can continue
	notSent                     // the endpoint was not reached: the request did not run there
	notExecuted                 // the endpoint said that it did not run the request
	unanswered                  // the request was sent, and no usable answer came
	interrupted                 // the answer broke off, and another endpoint may replace or continue it
)
