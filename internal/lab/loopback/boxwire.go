package loopback

import (
	"bufio"
	"math/rand/v2"
	"time"

	"pinelb.example/pinelb/internal/budget"
	"pinelb.example/pinelb/internal/lab/plan"
)

// codec is what the bytes between sidecars and boxes are; what a box does with them is not its concern. It is
// safe for concurrent use.
type codec interface {
	// read reads one request whole. With an error it returns what it has learnt of the request so far.
	read(in *bufio.Reader) (ask, error)
	// answer appends a whole answer to a request with that mark. Last says that the connection ends with it.
	answer(out []byte, what reply, to mark, body []byte, last bool) []byte
	// spoil appends what a reader that keeps to the protocol can't take for a whole answer, as long as the
	// connection ends after it. Body is that of the answer that it stands for.
	spoil(out []byte, to mark, body []byte, random *rand.Rand) []byte
}

// newCodec is that of the scenario's protocol.
func newCodec(p *plan.Plan) codec {
	if form, ok := thriftForms[p.Scenario.Fleet.Protocol]; ok {
		return thriftBox{form, p}
	}
	return http1{p}
}

// mark is what an answer repeats of its request.
type mark struct {
	http   bool   // whether that was HTTP, where a box speaks another protocol otherwise
	method string // of a Thrift call
	seq    int32
	tried  budget.AttemptReport // what a box passes up beside its answer
}

// ask is a request as a box reads it.
type ask struct {
	probe   bool // whether the box is well; the rest is empty then
	named   bool // it has an id
	txn     uint64
	request int // place in the plan; -1 if it is not in the form that a caller gave it
	key     uint64
	left    time.Duration // how long its sender says that it waits; 0 is not said
	baggage string
	last    bool // its sender wants no more on this connection
	mark    mark
}

// reply is a kind of whole answer.
type reply uint8

const (
	replyServed     reply = iota
	replyErrored          // it may have run
	replyTurnedAway       // it never ran
	replyFaulty           // no caller made it
	replyUnknown          // there is no such thing here
)
