// Package front takes requests from clients, has the decision choose their endpoints, and passes the answers on.
package proxy

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"pinelb.example/pinelb/internal/fleet/config"
	"pinelb.example/pinelb/internal/fleet/placement"
)

// Headers of the protocol.
const (
	headerRequestID        = "X-Request-Id"
	headerDeadline         = "X-Deadline-Ms"
	headerAPIKey           = "Api-Key"
	headerTenantID         = "X-Tenant-Id"
	headerExpectedInstance = "X-Expected-Instance"
	headerTokenUsage       = "X-Token-Usage"
	headerPrefixHash       = "X-Prefix-Hash"
	headerLastEventID      = "Last-Event-Id"
	headerNotExecuted      = "X-Not-Executed"
	headerSignature        = "X-Response-Signature"
	headerRetryAfter       = "Retry-After"
	headerPriority         = "Priority"
)

// request is a client's request as it was read.
type request struct {
	http         *http.Request
	body         []byte
	id           string
	path         string // as it was sent, without the query
	receivedAt   time.Time
	route        *config.Route
	tenant       *config.Tenant
	service      string
	deadline     time.Time
	clientSpent  time.Duration // by the client, before it came here
	prompt       placement.Prompt
	chargedUnits float64 // units of the tenant's quota
}

// read reads a request whole. It returns the status of a refusal, or 0.
func readRequest(r *http.Request, limits config.Limits) (*request, int) {
	q := &request{http: r, id: r.Header.Get(headerRequestID), receivedAt: time.Now()}
	q.path, _, _ = strings.Cut(r.RequestURI, "?")
	if !strings.HasPrefix(q.path, "/") {
		q.path = r.URL.EscapedPath()
	}
	most := limits.MaxBodyBytes
	if most > 0 && r.ContentLength > most {
		return nil, http.StatusRequestEntityTooLarge
	}
	var err error
	if q.body, err = readBody(r, most); err != nil {
		return nil, http.StatusBadRequest
	}
	if most > 0 && int64(len(q.body)) > most {
		return nil, http.StatusRequestEntityTooLarge
	}
	return q, 0
}

func readBody(r *http.Request, most int64) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	var from io.Reader = r.Body
	if most > 0 {
		from = io.LimitReader(r.Body, most+1)
	}
	if r.ContentLength > 0 {
		body := make([]byte, r.ContentLength)
		_, err := io.ReadFull(from, body)
		return body, err
	}
	var buffer bytes.Buffer
	_, err := buffer.ReadFrom(from)
	return buffer.Bytes(), err
}

// hostOf is the Host header without its port.
func hostOf(r *http.Request) string {
	if host, _, err := net.SplitHostPort(r.Host); err == nil {
		return host
	}
	return r.Host
}

// setDeadline works out how long the request may be held.
func (q *request) setDeadline() {
	timeout := q.route.Timeout()
	q.deadline = q.receivedAt.Add(timeout)
	text := q.http.Header.Get(headerDeadline)
	if text == "" {
		return
	}
	ms, err := strconv.ParseFloat(text, 64)
	if err != nil || ms < 0 {
		return
	}
	left := time.Duration(ms * float64(time.Millisecond))
	if left < timeout {
		q.deadline = q.receivedAt.Add(left)
		q.clientSpent = timeout - left
	}
}

// units is what the request counts for in a tenant's quota.
func (q *request) quotaUnits(t *config.Tenant) float64 {
	if t.Unit != config.UnitTokens {
		return 1
	}
	text := q.http.Header.Get(headerTokenUsage)
	if text == "" {
		return t.PlainTokens
	}
	sum := 0.0
	for part := range strings.SplitSeq(text, ",") {
		n, err := strconv.ParseFloat(strings.TrimSpace(part), 64)
		if err != nil || !(n >= 0 && n < maxTokens) {
			return t.PlainTokens
		}
		sum += n
	}
	return sum
}

// output is how many tokens the request may have written; 0 where it does not say so.
func (q *request) outputTokens() float64 {
	_, text, _ := strings.Cut(q.http.Header.Get(headerTokenUsage), ",")
	n, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || !(n >= 0 && n < maxTokens) {
		return 0
	}
	return n
}

// Ranks of the Priority header.
const (
	routePriorities = 3 // ranks of routes within one of tenants
	lowestPriority  = 9
)

// priority is the request's rank at an endpoint: its tenant's goes before its route's.
func (q *request) priority() int {
	rank := min(max(0, q.route.Priority), routePriorities-1)
	if q.tenant != nil && q.tenant.Priority != nil {
		rank += routePriorities * max(0, *q.tenant.Priority)
	}
	return min(rank, lowestPriority)
}

// maxTokens bounds what a request may say of itself: more is no number of tokens.
const maxTokens = 1e9

// maxPrefixes bounds how many shared beginnings of a prompt are told apart.
const maxPrefixes = 4

// parsePrefixes reads the parts of a prompt, "ID:TOKENS,ID:TOKENS,...": its tokens in all, and its shared beginnings from
// the longest to the shortest. The last part is the request's own. What can't be read counts as no part.
func parsePrefixes(header string) (tokens float64, shared []placement.Prefix) {
	for at := 0; at < len(header); {
		end := strings.IndexByte(header[at:], ',')
		last := end < 0
		if last {
			end = len(header) - at
		}
		_, text, _ := strings.Cut(header[at:at+end], ":")
		if n, err := strconv.ParseFloat(text, 64); err == nil && n > 0 && n < maxTokens {
			tokens += n
		}
		if !last {
			shared = append(shared, placement.Prefix{Hash: uint32(xxhash.Sum64String(header[:at+end])), Units: tokens})
		}
		at += end + 1
	}
	slices.Reverse(shared)
	return max(1, tokens), shared[:min(len(shared), maxPrefixes)]
}

// hopByHopHeaders concern a single connection only (RFC 9110, section 7.6.1).
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// routerHeaders are set by the router, whatever the client sent.
var routerHeaders = map[string]bool{
	headerAPIKey: true, headerTenantID: true, headerExpectedInstance: true, headerDeadline: true, headerPriority: true, "Content-Length": true, "Expect": true,
}

// connectionTokens are the headers that a message's Connection header names.
func connectionTokens(header http.Header) map[string]bool {
	var named map[string]bool
	for _, field := range header["Connection"] {
		for token := range strings.SplitSeq(field, ",") {
			token = strings.TrimSpace(token)
			if token == "" {
				continue
			}
			if named == nil {
				named = map[string]bool{}
			}
			named[http.CanonicalHeaderKey(token)] = true
		}
	}
	return named
}

// encode writes the request as an endpoint gets it. Lines are written here and not by net/http, whose client would send
// a request again on its own after some failures.
func (q *request) encode(out []byte, instance, lastEvent string, left time.Duration) []byte {
	out = append(out, q.http.Method...)
	out = append(out, ' ')
	out = append(out, q.http.RequestURI...)
	out = append(out, " HTTP/1.1\r\nHost: "...)
	out = append(out, q.http.Host...)
	named := connectionTokens(q.http.Header)
	for name, values := range q.http.Header {
		if hopByHopHeaders[name] || routerHeaders[name] || named[name] || lastEvent != "" && name == headerLastEventID {
			continue
		}
		for _, value := range values {
			out = appendHeader(out, name, value)
		}
	}
	out = appendHeader(out, headerDeadline, strconv.FormatInt(max(1, left.Milliseconds()), 10))
	out = appendHeader(out, headerExpectedInstance, instance)
	out = appendHeader(out, headerPriority, strconv.Itoa(q.priority()))
	if q.tenant != nil {
		out = appendHeader(out, headerTenantID, q.tenant.Name)
	}
	if lastEvent != "" {
		out = appendHeader(out, headerLastEventID, lastEvent)
	}
	if len(q.body) > 0 || q.http.Method == http.MethodPost || q.http.Method == http.MethodPut {
		out = appendHeader(out, "Content-Length", strconv.Itoa(len(q.body)))
	}
	out = append(out, "\r\n\r\n"...)
	return append(out, q.body...)
}

func appendHeader(out []byte, name, value string) []byte {
	out = append(out, "\r\n"...)
	out = append(out, name...)
	out = append(out, ": "...)
	return append(out, value...)
}
