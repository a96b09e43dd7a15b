package proxy

import (
	"net/http"
	"strconv"
	"time"
)

// encodeHead appends the head of the HTTP/1.1 message that is sent to the endpoint, before the body. lastEventID is empty unless a stream is resumed; remaining is
// the time until the deadline. The message is not encoded by net/http, because its client automatically retries requests after
// some failures.
func (q *request) encodeHead(out []byte, instance, lastEventID string, remaining time.Duration) []byte {
	out = append(out, q.http.Method...)
	out = append(out, ' ')
	out = append(out, q.http.RequestURI...)
	out = append(out, " HTTP/1.1\r\nHost: "...)
	out = append(out, q.http.Host...)
	out = q.appendClientHeaders(out, lastEventID != "")
	out = appendHeader(out, headerDeadline, strconv.FormatInt(max(1, remaining.Milliseconds()), 10))
	out = appendHeader(out, headerExpectedInstance, instance)
	out = appendHeader(out, headerPriority, strconv.Itoa(q.priority()))
	if q.tenant != nil {
		out = appendHeader(out, headerTenantID, q.tenant.Name)
	}
	if lastEventID != "" {
		out = appendHeader(out, headerLastEventID, lastEventID)
	}
	if len(q.body) > 0 || q.http.Method == http.MethodPost || q.http.Method == http.MethodPut {
		out = appendHeader(out, "Content-Length", strconv.Itoa(len(q.body)))
	}
	return append(out, "\r\n\r\n"...)
}

// appendClientHeaders appends the headers of the client that are forwarded.
func (q *request) appendClientHeaders(out []byte, resumed bool) []byte {
	named := connectionTokens(q.http.Header)
	for name, values := range q.http.Header {
		if hopByHopHeaders[name] || routerHeaders[name] || named[name] || resumed && name == headerLastEventID {
			continue
		}
		for _, value := range values {
			out = appendHeader(out, name, value)
		}
	}
	return out
}

func appendHeader(out []byte, name, value string) []byte {
	out = append(out, "\r\n"...)
	out = append(out, name...)
	out = append(out, ": "...)
	return append(out, value...)
}
