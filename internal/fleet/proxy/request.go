package proxy

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"pinelb.example/pinelb/internal/fleet/config"
	"pinelb.example/pinelb/internal/fleet/placement"
	"pinelb.example/pinelb/internal/overload"
)

// request is a client's request. readRequest sets the first group of fields; admit, setDeadline and charge set the second.
type request struct {
	http       *http.Request
	body       []byte
	id         string
	path       string // as the client sent it, without the query
	receivedAt time.Time

	table        *config.Table // the configuration by which the request was admitted
	route        *config.Route
	tenant       *config.Tenant // nil on public routes, and if the configuration requires no API key
	service      string
	prompt       placement.Prompt
	deadline     time.Time
	clientSpent  time.Duration // part of the route's time-out that had passed when the request was received
	chargedUnits float64       // units charged to the tenant's quota
}

// readRequest reads a request completely. Its errors are denials, except for overload.ErrNoRoom.
func readRequest(r *http.Request, limits config.Limits) (*request, error) {
	if limits.MaxHeaderBytes > 0 && headBytes(r) > limits.MaxHeaderBytes {
		return nil, errHeadTooLarge
	}
	q := &request{http: r, id: r.Header.Get(headerRequestID), receivedAt: time.Now()}
	q.path, _, _ = strings.Cut(r.RequestURI, "?")
	if !strings.HasPrefix(q.path, "/") {
		q.path = r.URL.EscapedPath()
	}
	maxBody := limits.MaxBodyBytes
	if maxBody > 0 && r.ContentLength > maxBody {
		return nil, errBodyTooLarge
	}
	if r.ContentLength == 0 {
		return q, nil
	}
	var err error
	q.body, err = overload.ConnOf(r.Context()).ReadBody(r.Body, r.ContentLength, maxBody)
	if errors.Is(err, overload.ErrNoRoom) {
		return nil, err
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errUnreadableBody, err)
	}
	if maxBody > 0 && int64(len(q.body)) > maxBody {
		return nil, errBodyTooLarge
	}
	return q, nil
}

// headBytes returns the size of a request's head, but for what net/http has folded.
func headBytes(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len(r.Proto) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + len(": \r\n")
		}
	}
	return size
}

// hostOf returns the host of the Host header, without the port.
func hostOf(r *http.Request) string {
	if host, _, err := net.SplitHostPort(r.Host); err == nil {
		return host
	}
	return r.Host
}

// setDeadline sets the request's deadline from the route's time-out, or from the remaining time that the client states in
// X-Deadline-Ms if that is shorter.
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
	remaining := time.Duration(ms * float64(time.Millisecond))
	if remaining < timeout {
		q.deadline = q.receivedAt.Add(remaining)
		q.clientSpent = timeout - remaining
	}
}

// quotaUnits returns the units that a tenant's quota is charged for the request: 1, or, if the quota is in tokens, the sum of the
// X-Token-Usage header ("PROMPT,OUTPUT"), or the tenant's default if that header is missing or invalid.
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

// outputTokens returns the maximum number of output tokens that X-Token-Usage states; 0 if it states none.
func (q *request) outputTokens() float64 {
	_, text, _ := strings.Cut(q.http.Header.Get(headerTokenUsage), ",")
	n, _ := parseTokens(text)
	return n
}

// parseTokens parses one number of the X-Token-Usage header.
func parseTokens(text string) (tokens float64, ok bool) {
	n, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || !(n >= 0 && n < maxTokens) { // this form also rejects NaN
		return 0, false
	}
	return n, true
}

// Levels of the Priority header. A tenant's priority takes precedence over a route's.
const (
	routePriorities = 3 // number of route priorities within each tenant priority
	lowestPriority  = 9
)

// priority returns the request's value of the Priority header, from 0, the most urgent, to lowestPriority.
func (q *request) priority() int {
	priority := min(max(0, q.route.Priority), routePriorities-1)
	if q.tenant != nil && q.tenant.Priority != nil {
		priority += routePriorities * max(0, *q.tenant.Priority)
	}
	return min(priority, lowestPriority)
}
