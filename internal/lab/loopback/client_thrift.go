package loopback

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/apache/thrift/lib/go/thrift"

	"pinelb.example/pinelb/internal/lab/plan"
	"pinelb.example/pinelb/internal/lab/trace"
)

// thriftClientCodec is Thrift as the clients speak it.
type thriftClientCodec struct {
	form thriftForm
	plan *plan.Plan
}

// messageHead is the head of a request's call. The sequence id is the low half of the transaction id, which another call on the
// same connection seldom has.
func (c thriftClientCodec) messageHead(request *clientRequest) thriftHead {
	return thriftHead{c.plan.Scenario.Classes[request.attempt.Class].ThriftMethod(), thrift.CALL, int32(request.attempt.TransactionID)}
}

func (c thriftClientCodec) appendRequest(out []byte, request *clientRequest) []byte {
	class := &c.plan.Scenario.Classes[request.attempt.Class]
	return c.form.write(out, c.messageHead(request), func(w thriftWriter) {
		w.fields(func() {
			w.text(argTxn, fmt.Sprintf("%016x", request.attempt.TransactionID))
			if class.Idempotency == "keyed" {
				w.text(argKey, fmt.Sprintf("%032x", request.idempotencyKey))
			}
			w.number(argRemaining, int32(request.timeout.Milliseconds()))
			w.number(argRequest, int32(request.attempt.Request))
			if class.RequestBytes > 0 {
				w.text(argBody, strings.Repeat("x", class.RequestBytes))
			}
		})
	})
}

func (c thriftClientCodec) readResponse(conn *clientConn, request *clientRequest) (clientResponse, error) {
	var response clientResponse
	want := c.messageHead(request)
	err := c.form.read(conn.reader, func(head thriftHead, p thrift.TProtocol) error {
		switch {
		case head.method != want.method || head.seq != want.seq:
			return fmt.Errorf("%w: %s %d for %s %d", errThrift, head.method, head.seq, want.method, want.seq)
		case head.kind == thrift.REPLY:
			response.status = trace.StatusServed
			return thriftFields(p, func(id int16, kind thrift.TType) (bool, error) {
				if id != resultBody || kind != thrift.STRING {
					return false, nil
				}
				var err error
				response.body, err = p.ReadBinary(context.Background())
				return true, err
			})
		case head.kind == thrift.EXCEPTION:
			exception := thrift.NewTApplicationException(0, "")
			err := exception.Read(context.Background(), p)
			response.status, response.code = trace.StatusFailed, int(exception.TypeId())
			if response.code == exceptionRejected {
				response.status, response.retryAfter = trace.StatusRejected, parseThriftRetryAfter(exception.Error())
			}
			return err
		}
		return fmt.Errorf("%w: of kind %d", errThrift, head.kind)
	})
	return response, err
}

// parseThriftRetryAfter parses the delay in the message of a rejection, such as "refused: retry after 0.350 s"; 0 if it has none.
func parseThriftRetryAfter(message string) time.Duration {
	_, after, _ := strings.Cut(message, "retry after ")
	seconds, _, _ := strings.Cut(after, " s")
	return parseRetryAfter(seconds)
}
