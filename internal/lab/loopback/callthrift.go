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

// thriftClientCodec is Thrift as the callers speak it.
type thriftClientCodec struct {
	form thriftForm
	plan *plan.Plan
}

// messageHead is the head of a query's call. Its sequence id is the end of its id: seldom one that another call on
// its connection had.
func (c thriftClientCodec) messageHead(q *clientRequest) thriftHead {
	return thriftHead{c.plan.Scenario.Class[q.attempt.Class].Method(), thrift.CALL, int32(q.attempt.TransactionID)}
}

func (c thriftClientCodec) appendRequest(out []byte, q *clientRequest) []byte {
	class := &c.plan.Scenario.Class[q.attempt.Class]
	return c.form.write(out, c.messageHead(q), func(w thriftWriter) {
		w.fields(func() {
			w.text(argTxn, fmt.Sprintf("%016x", q.attempt.TransactionID))
			if class.Effect == "keyed" {
				w.text(argKey, fmt.Sprintf("%032x", q.idempotencyKey))
			}
			w.number(argRemaining, int32(q.timeout.Milliseconds()))
			w.number(argRequest, int32(q.attempt.Request))
			if class.Body > 0 {
				w.text(argBody, strings.Repeat("x", class.Body))
			}
		})
	})
}

func (c thriftClientCodec) readResponse(l *clientConn, q *clientRequest) (e clientResponse, _ error) {
	want := c.messageHead(q)
	return e, c.form.read(l.reader, func(h thriftHead, p thrift.TProtocol) error {
		switch {
		case h.method != want.method || h.seq != want.seq:
			return fmt.Errorf("%w: %s %d for %s %d", errThrift, h.method, h.seq, want.method, want.seq)
		case h.kind == thrift.REPLY:
			e.status = trace.StatusServed
			return thriftFields(p, func(id int16, kind thrift.TType) (bool, error) {
				if id != resultBody || kind != thrift.STRING {
					return false, nil
				}
				var err error
				e.body, err = p.ReadBinary(context.Background())
				return true, err
			})
		case h.kind == thrift.EXCEPTION:
			x := thrift.NewTApplicationException(0, "")
			err := x.Read(context.Background(), p)
			e.status, e.code = trace.StatusFailed, int(x.TypeId())
			if e.code == exceptionRejected {
				e.status, e.retryAfter = trace.StatusRejected, parseThriftRetryAfter(x.Error())
			}
			return err
		}
		return fmt.Errorf("%w: of kind %d", errThrift, h.kind)
	})
}

// parseThriftRetryAfter reads when to come back from a refusal's message, such as "refused: retry after 0.350 s"; 0 is
// not said.
func parseThriftRetryAfter(message string) time.Duration {
	_, after, _ := strings.Cut(message, "retry after ")
	seconds, _, _ := strings.Cut(after, " s")
	return parseRetryAfter(seconds)
}
