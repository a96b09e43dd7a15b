package upstream

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"pinelb.example/pinelb/internal/stream"
)

// appendRequest appends an HTTP/1.1 request (RFC 9112). It is written with a single Write, so that in all but rare cases the
// host gets the request complete or not at all.
func appendRequest(b []byte, req *stream.Request, remaining time.Duration) []byte {
	b = append(b, req.Operation...)
	b = append(b, ' ')
	b = append(b, req.Target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, req.Authority...)
	b = appendHeader(b, "X-Txn", req.Txn)
	b = appendHeader(b, "X-Lane", req.ClassName)
	b = appendNumberHeader(b, "X-Remaining-Ms", max(1, remaining.Milliseconds()))
	b = appendHeader(b, "Idempotency-Key", req.Key)
	b = appendHeader(b, "X-Org", req.TenantName)
	b = appendHeader(b, "X-Labels", req.Labels)
	b = appendHeader(b, "Content-Type", req.MediaType)
	b = appendHeader(b, "Baggage", req.Baggage)
	if req.ClientRetry {
		b = appendHeader(b, "X-Resent", "1")
	}
	switch {
	case req.Upload != nil && req.Upload.Length < 0:
		b = appendHeader(b, "Transfer-Encoding", "chunked")
		b = append(b, "\r\n\r\n"...)
		return appendChunk(b, req.Body)
	case req.Upload != nil:
		b = appendNumberHeader(b, "Content-Length", req.Upload.Length)
	case len(req.Body) > 0 || req.Operation == http.MethodPost:
		b = appendNumberHeader(b, "Content-Length", int64(len(req.Body)))
	}
	b = append(b, "\r\n\r\n"...)
	return append(b, req.Body...)
}

// appendChunk appends one chunk of a chunked body (RFC 9112, section 7.1). An empty one is left out, as it would end the body.
func appendChunk(b, chunk []byte) []byte {
	if len(chunk) == 0 {
		return b
	}
	b = fmt.Appendf(b, "%x\r\n", len(chunk))
	b = append(b, chunk...)
	return append(b, "\r\n"...)
}

// appendHeader ends the line before and appends a header field without its line end; an empty value is left out.
func appendHeader(b []byte, name, value string) []byte {
	if value == "" {
		return b
	}
	b = append(b, "\r\n"...)
	b = append(b, name...)
	b = append(b, ": "...)
	return append(b, value...)
}

// appendNumberHeader is appendHeader for a decimal number.
func appendNumberHeader(b []byte, name string, value int64) []byte {
	b = append(b, "\r\n"...)
	b = append(b, name...)
	b = append(b, ": "...)
	return strconv.AppendInt(b, value, 10)
}
