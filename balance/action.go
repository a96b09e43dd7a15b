package balance

import "time"

// ActionKind is the kind of an Action.
type ActionKind uint8

// The kinds of action. A Balancer never emits ActFetch, ActHealthCheck, ActSendPeer or ActLog. Package driver carries out
// ActHealthCheck and ActLog, but ignores ActFetch, ActSubscribe and ActSendPeer. For simadapter, package simprotocol
// encodes every kind.
const (
	ActSend        ActionKind = iota + 1 // start an attempt
	ActReject                            // final answer: rejected; the client may safely retry
	ActFail                              // final answer: failed; the request may have taken effect
	ActCancel                            // cancel an attempt
	ActTimer                             // deliver an EventTimer after a delay
	ActFetch                             // fetch the full membership list
	ActSubscribe                         // subscribe to changes of the membership
	ActHealthCheck                       // check an endpoint's health
	ActSendPeer                          // send Data to a peer
	ActCloseIdle                         // close idle connections to an endpoint
	ActLog                               // write a log line
)

// Action is one action that the caller carries out. Only the fields of its kind are set.
type Action struct {
	Kind       ActionKind
	Request    RequestID
	Endpoint   EndpointID
	Attempt    int
	After      time.Duration // ActSend: time-out; ActTimer: delay; ActReject: retry hint, 0 for none
	ValueShare float64       // ActSend: the request's share of its class's value, 0 to 1
	Token      Token
	Peer       int // ActSendPeer: rank of the receiver, or -1 for all peers
	Data       []byte
	Text       string
}
