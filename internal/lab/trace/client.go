package trace

import (
	"time"

	"pinelb.example/pinelb/internal/budget"
)

// Status is the result of a request as its sender saw it.
type Status uint8

// The results of a request. Their texts stand in result files.
const (
	StatusServed        Status = iota // 200 with a complete body
	StatusRejected                    // 429 or 503: a retry is safe
	StatusFailed                      // any other response, or one that was cut off or malformed
	StatusCanceled                    // the client disconnected, as planned, before there was a response
	StatusTimedOut                    // no byte of a response by the end of the timeout
	StatusDisconnected                // the connection was closed or reset before the first byte of a response
	StatusConnectFailed               // no connection came up, or it broke before the request was written: it was not accepted
)

var statusNames = [...]string{"served", "refused", "failed", "gone", "silent", "broken", "no entry"}

// String is the status as result files have it.
func (s Status) String() string { return statusNames[s] }

// ClientAttempt is one request as its client saw it: the first attempt or a retry, or in a later tier a call that an
// endpoint made through its own sidecar.
type ClientAttempt struct {
	TransactionID    uint64
	Request          int    // index into the plan's requests; calls of later tiers carry that of the client's request
	Parent           uint64 // of a call: the TransactionID of the request that the calling endpoint had; 0 is a client's, or unknown
	Number           int    // 0 for the first attempt
	Tier             int    // of the endpoints that it is for
	Sidecar          int    // that received it
	Class            int
	Due              time.Duration // when the plan has the first attempt sent: latency counts from here
	Sent             time.Duration // when this one was written completely; Unset if never
	Timeout          time.Duration // that the client announced, from Sent on
	Ended            time.Duration // the last byte of the response, or when it ended without one
	Status           Status
	Code             int                  // HTTP status, 0 for none; over Thrift the type of the TApplicationException
	RetryAfter       time.Duration        // 0 is none
	Endpoint         int                  // that made the response, by its body; -1 is unknown
	ReportedAttempts budget.AttemptReport // attempts in lower tiers that the response reports
	Forged           bool                 // a 200 whose body no endpoint made for this request
	Responses        int                  // complete final responses: more than 1 breaks a rule
}
