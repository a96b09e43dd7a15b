package proxy

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"pinelb.example/pinelb/internal/fleet/config"
	"pinelb.example/pinelb/internal/fleet/placement"
)

// request is a client's request, read completely. Admission fills in the rest.
type request struct {
	http       *http.Request
	body       []byte
	id         string
	path       string // as it was sent, without the query
	receivedAt time.Time

	route        *config.Route
	tenant       *config.Tenant // nil on public routes, and where no key is required
	service      string
	prompt       placement.Prompt
	deadline     time.Time
	clientSpent  time.Duration // of the route's time-out, before the request came here
	chargedUnits float64       // of the tenant's quota
}

// readRequest reads a request completely. Its errors are denials.
func readRequest(r *http.Request, limits config.Limits) (*request, error) {
	q := &request{http: r, id: r.Header.Get(headerRequestID), receivedAt: time.Now()}
	q.path, _, _ = strings.Cut(r.RequestURI, "?")
	if !strings.HasPrefix(q.path, "/") {
		q.path = r.URL.EscapedPath()
	}
	maxBody := limits.MaxBodyBytes
	if maxBody > 0 && r.ContentLength > maxBody {
		return nil, errBodyTooLarge
	}
	var err error
	if q.body, err = readBody(r, maxBody); err != nil {
		return nil, fmt.Errorf("%w: %w", errUnreadableBody, err)
	}
	if maxBody > 0 && int64(len(q.body)) > maxBody {
		return nil, errBodyTooLarge
	}
	return q, nil
}

// readBody reads a body, or one byte more than maxBody of it; 0: no bound.
func readBody(r *http.Request, maxBody int64) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	var from io.Reader = r.Body
	if maxBody > 0 {
		from = io.LimitReader(r.Body, maxBody+1)
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

// hostOf returns the Host header without its port.
func hostOf(r *http.Request) string {
	if host, _, err := net.SplitHostPort(r.Host); err == nil {
		return host
	}
	return r.Host
}

// setDeadline sets the deadline: the route's time-out, or what the client says that is left of it (X-Deadline-Ms).
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

// quotaUnits returns what the request counts for in a tenant's quota: 1, or its tokens (X-Token-Usage, "PROMPT,OUTPUT").
func (q *request) quotaUnits(t *config.Tenant) float64 {
	if t.Unit != config.UnitTokens {
		return 1
	}
	text := q.http.Header.Get(headerTokenUsage)
	if text == "" {
		return t.DefaultTokens
	}
	sum := 0.0
	for part := range strings.SplitSeq(text, ",") {
		n, ok := parseTokens(part)
		if !ok {
			return t.DefaultTokens
		}
		sum += n
	}
	return sum
}

// outputTokens returns how many tokens the request may have written; 0 where it does not state them.
func (q *request) outputTokens() float64 {
	_, text, _ := strings.Cut(q.http.Header.Get(headerTokenUsage), ",")
	n, _ := parseTokens(text)
	return n
}

// parseTokens parses a number of tokens of X-Token-Usage.
func parseTokens(text string) (tokens float64, ok bool) {
	n, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || !(n >= 0 && n < maxTokens) { // also NaN
		return 0, false
	}
	return n, true
}

// Levels of the Priority header: a tenant's priority counts before a route's.
const (
	routePriorities = 3 // levels of routes within one of tenants
	lowestPriority  = 9
)

// priority returns the request's priority at an endpoint; 0 is the most urgent.
func (q *request) priority() int {
	priority := min(max(0, q.route.Priority), routePriorities-1)
	if q.tenant != nil && q.tenant.Priority != nil {
		priority += routePriorities * max(0, *q.tenant.Priority)
	}
	return min(priority, lowestPriority)
}
