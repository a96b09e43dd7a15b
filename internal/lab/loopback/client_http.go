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

const maxInterimResponses = 4 // responses 1xx before the final one

var errMalformedResponse = errors.New("loopback: malformed HTTP/1.1 response")

func (h http1Codec) appendRequest(out []byte, request *clientRequest) []byte {
	class := &h.plan.Scenario.Classes[request.attempt.Class]
	method := http.MethodPost
	if class.Idempotency == "safe" {
		method = http.MethodGet
	}
	out = fmt.Appendf(out, "%s %s HTTP/1.1\r\nHost: origin.svc\r\nX-Txn: %016x\r\nX-Lane: %s\r\nX-Remaining-Ms: %d\r\n",
		method, requestPath(class.Name, request.attempt.Request), request.attempt.TransactionID, class.Name, request.timeout.Milliseconds())
	if class.Idempotency == "keyed" {
		out = fmt.Appendf(out, "Idempotency-Key: %032x\r\n", request.idempotencyKey)
	}
	if request.baggage != "" {
		out = fmt.Appendf(out, "Baggage: %s\r\n", request.baggage)
	}
	if request.retried && h.plan.Scenario.Rules.MarksRetries {
		out = append(out, "X-Resent: 1\r\n"...)
	}
	if class.Idempotency == "safe" {
		return append(out, "\r\n"...)
	}
	out = fmt.Appendf(out, "Content-Length: %d\r\n\r\n", class.RequestBytes)
	for range class.RequestBytes {
		out = append(out, 'x')
	}
	return out
}

func (h http1Codec) readResponse(conn *clientConn, _ *clientRequest) (clientResponse, error) {
	final, body, err := h.readFinal(conn)
	if err != nil {
		return clientResponse{}, err
	}
	response := clientResponse{
		status:           trace.StatusFailed,
		code:             final.StatusCode,
		body:             body,
		closeAfter:       final.Close,
		reportedAttempts: budget.ParseReport(final.Header.Get(budget.ReportHeader)),
	}
	switch final.StatusCode {
	case http.StatusOK:
		response.status = trace.StatusServed
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		response.status = trace.StatusRejected
		response.retryAfter = parseRetryAfter(final.Header.Get("Retry-After"))
	}
	return response, nil
}

// readFinal reads a final response and its complete body, which is valid until the next response on the connection.
func (http1Codec) readFinal(conn *clientConn) (*http.Response, []byte, error) {
	for range maxInterimResponses {
		response, err := http.ReadResponse(conn.reader, nil)
		if err != nil {
			return nil, nil, err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		conn.body.Reset()
		if _, err := conn.body.ReadFrom(response.Body); err != nil {
			return nil, nil, err
		}
		if conn.remaining.N <= 0 {
			return nil, nil, errMalformedResponse // a body that ends with its connection may have been truncated by the limit
		}
		return response, conn.body.Bytes(), nil
	}
	return nil, nil, errMalformedResponse
}

// parseRetryAfter parses Retry-After in whole or decimal seconds; 0 if there is none, or a malformed one.
func parseRetryAfter(text string) time.Duration {
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || !(seconds > 0) || seconds > math.MaxInt32 { // NaN is not above 0 either
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}
