package client

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	maxResponseBytes = 16 << 20 // of a response body; the largest ones hold the puts of a group
	maxReasonBytes   = 512      // of a response body that becomes an error text
	maxRetryAfter    = 30 * time.Second
)

// request describes one call, which may take several attempts at different addresses.
type request struct {
	method           string
	path             string        // with the query
	body             any           // encoded as JSON; nil: no body
	decoded          any           // pointer to which the response body is decoded; nil: the body is ignored
	validate         func() error  // validates decoded; nil: no validation
	attemptTimeout   time.Duration // of one attempt
	decisiveStatuses []int         // response statuses that decide the call, in addition to 200
	// maxUnclearTime is how long the call is retried after its first attempt with an unclear outcome; 0: until the context ends.
	maxUnclearTime time.Duration
}

// decision describes the response that decided a call.
type decision struct {
	status  int
	sentAt  time.Time // when the attempt that received the response was sent
	address int       // index
}

// attemptError describes an attempt that did not decide the call.
type attemptError struct {
	err        error
	status     int           // of the response; 0: no response
	unclear    bool          // the attempt may have taken effect, or may still take effect
	retryAfter time.Duration // pause that the response demands before the next attempt at this address; 0: none
}

// call makes attempts at one address after the other until a response decides the call or the context ends. The error is a *RefusedError, or
// ErrUnclear if an attempt may have taken effect.
func (c *Client) call(ctx context.Context, r *request) (*decision, error) {
	body, err := r.encode()
	if err != nil {
		return nil, err
	}
	failures := failedAttempts{counts: make([]int, len(c.addresses))}
	for {
		index, wait := c.nextAddress(&failures)
		if err := sleep(ctx, wait); err != nil {
			return nil, failures.callError(r, err)
		}
		d, failure := c.attempt(ctx, r, body, index)
		if failure == nil {
			return d, nil
		}
		if failure.isFinal() {
			return nil, &RefusedError{Status: failure.status, Reason: failure.err.Error()}
		}
		failures.add(index, failure)
		c.avoidAddress(index, failure.retryAfter)
		if err := ctx.Err(); err != nil {
			return nil, failures.callError(r, err)
		}
		if r.maxUnclearTime > 0 && failures.unclear && time.Since(failures.unclearSince) > r.maxUnclearTime {
			return nil, failures.callError(r, errors.New("a repetition might not be recognized any more"))
		}
	}
}

// encode returns the body as JSON; nil: no body.
func (r *request) encode() ([]byte, error) {
	if r.body == nil {
		return nil, nil
	}
	return json.Marshal(r.body)
}

// attempt sends the request to one address and waits up to request.attemptTimeout for the response.
func (c *Client) attempt(ctx context.Context, r *request, body []byte, index int) (*decision, *attemptError) {
	ctx, cancel := context.WithTimeout(ctx, r.attemptTimeout)
	defer cancel()
	httpRequest, err := http.NewRequestWithContext(ctx, r.method, "http://"+c.addresses[index]+r.path, bytes.NewReader(body))
	if err != nil {
		return nil, &attemptError{err: err}
	}
	if body != nil {
		httpRequest.Header.Set("Content-Type", "application/json")
	}
	sentAt := time.Now()
	response, err := c.http.Do(httpRequest)
	if err != nil {
		return nil, &attemptError{err: err, unclear: !isDialError(err)}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, &attemptError{err: err, unclear: true}
	}
	if status := response.StatusCode; status != http.StatusOK && !slices.Contains(r.decisiveStatuses, status) {
		return nil, undecidedError(response, text)
	}
	if err := r.decode(response.StatusCode, text); err != nil {
		return nil, &attemptError{err: err, unclear: true}
	}
	return &decision{status: response.StatusCode, sentAt: sentAt, address: index}, nil
}

// decode decodes and validates the body of a response, if its status comes with a body. A response that can't be decoded does not decide the
// call.
func (r *request) decode(status int, text []byte) error {
	if r.decoded == nil || status != http.StatusOK && status != http.StatusPreconditionFailed {
		return nil
	}
	if err := json.Unmarshal(text, r.decoded); err != nil {
		return fmt.Errorf("the answer can't be read: %w", err)
	}
	if r.validate == nil {
		return nil
	}
	return r.validate()
}

// undecidedError returns the error for a response that does not decide the call. The statuses 429 and 503 guarantee that the attempt was not
// executed.
func undecidedError(response *http.Response, text []byte) *attemptError {
	failure := &attemptError{err: errors.New(reasonOf(response, text)), status: response.StatusCode, retryAfter: parseRetryAfter(response.Header)}
	switch status := response.StatusCode; {
	case status == http.StatusTooManyRequests, status == http.StatusServiceUnavailable:
	case failure.isFinal():
	default:
		failure.unclear = true
	}
	return failure
}

// reasonOf returns the error text of a response: from a body {"error": reason}, else the beginning of the body, else the status line.
func reasonOf(response *http.Response, text []byte) string {
	var body struct {
		Error string `json:"error"`
	}
	if json.Unmarshal(text, &body) == nil && body.Error != "" {
		return body.Error
	}
	reason := strings.TrimSpace(string(text[:min(len(text), maxReasonBytes)]))
	return cmp.Or(reason, response.Status)
}

// isFinal reports whether every address would refuse the call, because the call is invalid or the service is switched off.
func (e *attemptError) isFinal() bool {
	return e.status >= http.StatusBadRequest && e.status < http.StatusInternalServerError && e.status != http.StatusTooManyRequests
}

// isDialError reports whether an attempt failed before it was sent, because no connection could be opened.
func isDialError(err error) bool {
	var opError *net.OpError
	return errors.As(err, &opError) && opError.Op == "dial"
}

// parseRetryAfter returns the value of the header Retry-After, at most maxRetryAfter; 0: none. It accepts fractions of seconds, which routers
// send.
func parseRetryAfter(header http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
	if err != nil || !(seconds > 0) {
		return 0
	}
	return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
}

// sleep waits for the duration or until the context ends, whichever comes first. It returns the error of the context if the context ended.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
