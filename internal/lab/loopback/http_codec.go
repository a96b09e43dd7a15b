package loopback

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"pinelb.example/pinelb/internal/budget"
	"pinelb.example/pinelb/internal/lab/plan"
)

const (
	maxRequestBody  = 64 << 10 // bytes
	maxNoise        = 512      // bytes of random data in place of a response
	malformedFiller = 500      // header lines of a head that doesn't end
)

var errBodyTooLarge = fmt.Errorf("loopback: request body of more than %d bytes", maxRequestBody)

// http1Codec is HTTP/1.1 as endpoints and clients speak it.
type http1Codec struct{ plan *plan.Plan }

func (h http1Codec) readRequest(in *bufio.Reader) (incomingRequest, error) {
	req, err := http.ReadRequest(in)
	if err != nil {
		return incomingRequest{}, err
	}
	request := incomingRequest{planIndex: -1, closeAfter: req.Close, correlation: correlation{http: true}}
	if req.Method == http.MethodGet && (req.RequestURI == "/ping" || req.RequestURI == "/_load") {
		request.healthCheck = true
		return request, nil
	}
	if id := req.Header.Get("X-Txn"); id != "" {
		request.identified = true
		request.transactionID, _ = parseHex(id, 16) // a malformed one is 0, which no client uses
	}
	if ms, err := strconv.ParseUint(req.Header.Get("X-Remaining-Ms"), 10, 31); err == nil {
		request.timeout = time.Duration(ms) * time.Millisecond
	}
	request.baggage = req.Header.Get("Baggage")
	body, err := io.ReadAll(io.LimitReader(req.Body, maxRequestBody+1))
	if err != nil {
		return request, err
	}
	if len(body) > maxRequestBody {
		return request, errBodyTooLarge
	}
	request.planIndex, request.idempotencyKey = h.identify(req, body)
	return request, nil
}

// identify returns the plan's index of a request and its idempotency key, if method, path, key and body are as a client writes
// them; otherwise -1.
func (h http1Codec) identify(req *http.Request, body []byte) (planIndex int, key uint64) {
	index, ok := parseRequestPath(req.RequestURI)
	if !ok || index >= len(h.plan.Requests) {
		return -1, 0
	}
	class := &h.plan.Scenario.Classes[h.plan.Requests[index].Class]
	method, size := http.MethodPost, class.RequestBytes
	if class.Idempotency == "safe" {
		method, size = http.MethodGet, 0
	}
	text := req.Header.Get("Idempotency-Key")
	if text != "" {
		if key, ok = parseHex(text, 32); !ok {
			return -1, 0
		}
	}
	if req.Method != method || req.RequestURI != requestPath(class.Name, index) || len(body) != size ||
		(text != "") != (class.Idempotency == "keyed") {
		return -1, 0
	}
	for _, c := range body {
		if c != 'x' {
			return -1, 0
		}
	}
	return index, key
}

// parseHex parses a hexadecimal number of exactly that many digits; false if it is none or exceeds 64 bits.
func parseHex(text string, digits int) (uint64, bool) {
	if len(text) != digits {
		return 0, false
	}
	value, err := strconv.ParseUint(text, 16, 64)
	return value, err == nil
}

// responseHeads are the status lines, after the version, and the fixed headers.
var responseHeads = [...]string{
	responseOK:         "200 OK\r\n",
	responseError:      "500 Internal Server Error\r\n",
	responseRejected:   "503 Service Unavailable\r\nX-Turned-Away: 1\r\n",
	responseBadRequest: "400 Bad Request\r\n",
	responseNotFound:   "404 Not Found\r\n",
}

func (http1Codec) appendResponse(out []byte, kind responseKind, to correlation, body []byte, closeAfter bool) []byte {
	out = append(append(out, "HTTP/1.1 "...), responseHeads[kind]...)
	if attempts := to.reportedAttempts.String(); attempts != "" {
		out = append(append(append(out, budget.ReportHeader+": "...), attempts...), "\r\n"...)
	}
	if closeAfter {
		out = append(out, "Connection: close\r\n"...)
	}
	out = strconv.AppendInt(append(out, "Content-Length: "...), int64(len(body)), 10)
	return append(append(out, "\r\n\r\n"...), body...)
}

func (http1Codec) appendMalformed(out []byte, _ correlation, body []byte, random *rand.Rand) []byte {
	size := len(body)
	switch random.IntN(7) {
	case 0:
		return appendNoise(out, random)
	case 1: // a status code that is no number
		out = fmt.Appendf(out, "HTTP/1.1 2O0 OK\r\nContent-Length: %d\r\n\r\n", size)
	case 2: // a body shorter than its length
		out = fmt.Appendf(out, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", size+1+random.IntN(1000))
	case 3: // two lengths
		out = fmt.Appendf(out, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\nContent-Length: %d\r\n\r\n", size, size+1)
	case 4: // a length that is no number
		out = fmt.Appendf(out, "HTTP/1.1 200 OK\r\nContent-Length: -%d\r\n\r\n", size)
	case 5: // a chunk without a size
		out = append(out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nsize\r\n"...)
	default: // a head that does not end
		out = append(out, "HTTP/1.1 200 OK\r\n"...)
		for i := range malformedFiller {
			out = fmt.Appendf(out, "X-Filler-%d: %064d\r\n", i, i)
		}
		return out
	}
	return append(out, body...)
}

// appendNoise appends random bytes.
func appendNoise(out []byte, random *rand.Rand) []byte {
	for range 1 + random.IntN(maxNoise) {
		out = append(out, byte(random.Uint32()))
	}
	return out
}
