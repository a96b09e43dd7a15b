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

// maxRequestBody is the most that a body may hold.
const maxRequestBody = 64 << 10

// http1 is HTTP/1.1 as boxes and callers speak it.
type http1Codec struct{ plan *plan.Plan }

func (h http1Codec) readRequest(in *bufio.Reader) (incomingRequest, error) {
	req, err := http.ReadRequest(in)
	if err != nil {
		return incomingRequest{}, err
	}
	a := incomingRequest{planIndex: -1, closeAfter: req.Close, correlation: correlation{http: true}}
	if req.Method == http.MethodGet && (req.RequestURI == "/ping" || req.RequestURI == "/_load") {
		a.healthCheck = true
		return a, nil
	}
	if id := req.Header.Get("X-Txn"); id != "" {
		a.identified = true
		a.transactionID, _ = parseHex(id, 16) // a faulty one is 0, which nobody made
	}
	if ms, err := strconv.ParseUint(req.Header.Get("X-Remaining-Ms"), 10, 31); err == nil {
		a.timeout = time.Duration(ms) * time.Millisecond
	}
	a.baggage = req.Header.Get("Baggage")
	body, err := io.ReadAll(io.LimitReader(req.Body, maxRequestBody+1))
	if err != nil {
		return a, err
	}
	if len(body) > maxRequestBody {
		return a, fmt.Errorf("live: a body of more than %d bytes", maxRequestBody)
	}
	a.planIndex, a.idempotencyKey = h.identify(req, body)
	return a, nil
}

// place is where the plan has a request and its key, if method, path, key and body are as its caller wrote them.
func (h http1Codec) identify(req *http.Request, body []byte) (request int, key uint64) {
	i, ok := parseRequestPath(req.RequestURI)
	if !ok || i >= len(h.plan.Requests) {
		return -1, 0
	}
	class := &h.plan.Scenario.Class[h.plan.Requests[i].Class]
	method, size := http.MethodPost, class.Body
	if class.Effect == "safe" {
		method, size = http.MethodGet, 0
	}
	text := req.Header.Get("Idempotency-Key")
	if text != "" {
		if key, ok = parseHex(text, 32); !ok {
			return -1, 0
		}
	}
	if req.Method != method || req.RequestURI != requestPath(class.Name, i) || len(body) != size ||
		(text != "") != (class.Effect == "keyed") {
		return -1, 0
	}
	for _, c := range body {
		if c != 'x' {
			return -1, 0
		}
	}
	return i, key
}

// parseHex reads a number of exactly so many digits that fits 64 bits.
func parseHex(text string, digits int) (uint64, bool) {
	if len(text) != digits {
		return 0, false
	}
	v, err := strconv.ParseUint(text, 16, 64)
	return v, err == nil
}

var responseHeads = [...]string{
	responseOK:         "200 OK\r\n",
	responseError:      "500 Internal Server Error\r\n",
	responseRejected:   "503 Service Unavailable\r\nX-Turned-Away: 1\r\n",
	responseBadRequest: "400 Bad Request\r\n",
	responseNotFound:   "404 Not Found\r\n",
}

func (http1Codec) appendResponse(out []byte, what responseKind, to correlation, body []byte, last bool) []byte {
	out = append(append(out, "HTTP/1.1 "...), responseHeads[what]...)
	if t := to.reportedAttempts.String(); t != "" {
		out = append(append(append(out, budget.TriedHeader+": "...), t...), "\r\n"...)
	}
	if last {
		out = append(out, "Connection: close\r\n"...)
	}
	out = strconv.AppendInt(append(out, "Content-Length: "...), int64(len(body)), 10)
	return append(append(out, "\r\n\r\n"...), body...)
}

func (http1Codec) appendMalformed(out []byte, _ correlation, body []byte, random *rand.Rand) []byte {
	n := len(body)
	switch random.IntN(7) {
	case 0: // noise
		for range 1 + random.IntN(512) {
			out = append(out, byte(random.Uint32()))
		}
		return out
	case 1: // no status
		out = fmt.Appendf(out, "HTTP/1.1 2O0 OK\r\nContent-Length: %d\r\n\r\n", n)
	case 2: // less than it says
		out = fmt.Appendf(out, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", n+1+random.IntN(1000))
	case 3: // two lengths
		out = fmt.Appendf(out, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\nContent-Length: %d\r\n\r\n", n, n+1)
	case 4: // a length that is no number
		out = fmt.Appendf(out, "HTTP/1.1 200 OK\r\nContent-Length: -%d\r\n\r\n", n)
	case 5: // a chunk without a size
		out = append(out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nsize\r\n"...)
	default: // a head that does not end
		out = append(out, "HTTP/1.1 200 OK\r\n"...)
		for i := range 500 {
			out = fmt.Appendf(out, "X-Filler-%d: %064d\r\n", i, i)
		}
		return out
	}
	return append(out, body...)
}
