package loopback

import (
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"pinelb.example/pinelb/internal/budget"
	"pinelb.example/pinelb/internal/lab/trace"
)

const maxInterimResponses = 4 // answers of the 100s before the final one

var errMalformedResponse = errors.New("live: this is no answer of HTTP/1.1")

func (h http1Codec) appendRequest(b []byte, q *clientRequest) []byte {
	class := &h.plan.Scenario.Class[q.attempt.Class]
	method := http.MethodPost
	if class.Effect == "safe" {
		method = http.MethodGet
	}
	b = fmt.Appendf(b, "%s %s HTTP/1.1\r\nHost: origin.svc\r\nX-Txn: %016x\r\nX-Lane: %s\r\nX-Remaining-Ms: %d\r\n",
		method, requestPath(class.Name, q.attempt.Request), q.attempt.TransactionID, class.Name, q.timeout.Milliseconds())
	if class.Effect == "keyed" {
		b = fmt.Appendf(b, "Idempotency-Key: %032x\r\n", q.idempotencyKey)
	}
	if q.baggage != "" {
		b = fmt.Appendf(b, "Baggage: %s\r\n", q.baggage)
	}
	if q.retried && h.plan.Scenario.Rules.MarksRetry {
		b = append(b, "X-Resent: 1\r\n"...)
	}
	if class.Effect == "safe" {
		return append(b, "\r\n"...)
	}
	b = fmt.Appendf(b, "Content-Length: %d\r\n\r\n", class.Body)
	for range class.Body {
		b = append(b, 'x')
	}
	return b
}

func (h http1Codec) readResponse(l *clientConn, _ *clientRequest) (clientResponse, error) {
	r, body, err := h.readFinal(l)
	if err != nil {
		return clientResponse{}, err
	}
	e := clientResponse{status: trace.StatusFailed, code: r.StatusCode, body: body, closeAfter: r.Close, reportedAttempts: budget.ReadTried(r.Header.Get(budget.TriedHeader))}
	switch r.StatusCode {
	case http.StatusOK:
		e.status = trace.StatusServed
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		e.status, e.retryAfter = trace.StatusRejected, parseRetryAfter(r.Header.Get("Retry-After"))
	}
	return e, nil
}

// final reads a final answer and its whole body.
func (http1Codec) readFinal(l *clientConn) (*http.Response, []byte, error) {
	for range maxInterimResponses {
		r, err := http.ReadResponse(l.reader, nil)
		if err != nil {
			return nil, nil, err
		}
		if r.StatusCode < http.StatusOK {
			continue
		}
		l.body.Reset()
		if _, err := l.body.ReadFrom(r.Body); err != nil {
			return nil, nil, err
		}
		if l.remaining.N <= 0 {
			return nil, nil, errMalformedResponse // a body that ends with its connection may have been cut by the bound
		}
		return r, l.body.Bytes(), nil
	}
	return nil, nil, errMalformedResponse
}

// advice reads Retry-After in whole or decimal seconds; 0 is none.
func parseRetryAfter(text string) time.Duration {
	s, err := strconv.ParseFloat(text, 64)
	if err != nil || !(s > 0) || s > math.MaxInt32 {
		return 0
	}
	return time.Duration(s * float64(time.Second))
}
