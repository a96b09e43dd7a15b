package model

import "time"

// EventKind is what an endpoint did.
type EventKind uint8

// The kinds, and the fields of Event that each uses beside At.
const (
	EventStarted   EventKind = iota + 1 // Job, Deduplicated: the request has begun to run, and may take effect from here on
	EventResponded                      // Job, Response, Work: the request is done. Without a response there is no such event
	EventCalling                        // Job, Call: it waits, in its slot, for a call of the next tier; see Endpoint.CallReturned
	EventReset                          // every connection is reset, and all requests are lost
	EventLost                           // Job, Work: it ended without a response: cancelled, or lost with the process
)

// Event is one thing that an endpoint did at a time.
type Event struct {
	Kind         EventKind
	At           time.Duration
	Job          uint64
	Response     Response
	Deduplicated bool          // a repeat of a key within the window, without an effect of its own
	Call         int           // from 0
	Work         time.Duration // that was done for the request
}

// Response is how an endpoint responds.
type Response uint8

// The responses.
const (
	ResponseOK        Response = iota
	ResponseError              // 500
	ResponseRejected           // 503; the request never ran
	ResponseTruncated          // half of a 200, then the connection breaks
	ResponseCorrupted          // bytes that are no response
	ResponseTrickled           // a 200 that comes more slowly than any caller waits
)
