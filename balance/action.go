package balance

import "time"

// ActionKind is what the caller is to do.
type ActionKind uint8

// The actions.
const (
	ActSend        ActionKind = iota + 1 // start an attempt
	ActReject                            // final answer: rejected, a retry is harmless
	ActFail                              // final answer: failed, the request may have taken effect
	ActCancel                            // cancel an attempt
	ActTimer                             // deliver an EventTimer later
	ActFetch                             // fetch the full membership list
	ActSubscribe                         // subscribe to changes of the membership
	ActHealthCheck                       // check an endpoint's health
	ActSendPeer                          // send Data to a peer
	ActCloseIdle                         // close idle connections to an endpoint
	ActLog                               // write a log line
)

// Action is one thing to do. Only the fields of its kind are set.
type Action struct {
	Kind       ActionKind
	Request    RequestID
	Endpoint   EndpointID
	Attempt    int
	After      time.Duration // ActSend: time-out; ActTimer: delay; ActReject: retry hint, 0 is none
	ValueShare float64       // ActSend: share of its class's value that the request has
	Token      Token
	Peer       int // ActSendPeer: a rank, or -1 for all
	Data       []byte
	Text       string
}
