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
	maxAnswerBytes = 16 << 20 // of a body: the puts of a group, mostly
	maxReasonBytes = 512
	maxRetryAfter  = 30 * time.Second
)

// request is one call, as it is sent to one address after the other.
type request struct {
	method  string
	path    string        // with the query
	body    any           // nil: none
	into    any           // where the body of the answer goes; nil: it is not read
	check   func() error  // says what is wrong with the body in into; nil: nothing can be
	timeout time.Duration // of an attempt
	decided []int         // statuses that decide the call, beside 200
	repeat  time.Duration // how long the call is repeated once an attempt is unclear; 0: until the context ends
}

// answer is what decided a call.
type answer struct {
	status  int
	sentAt  time.Time // of the attempt that was answered
	address int       // index
}

// attemptError is an attempt that did not decide the call.
type attemptError struct {
	err        error
	status     int           // 0: no answer
	unclear    bool          // the attempt may have taken effect, or may yet
	retryAfter time.Duration // the address wants to be left alone for so long
}

// call makes a call: at one address after the other until one decides it, or the context ends.
func (c *Client) call(ctx context.Context, r *request) (*answer, error) {
	body, err := r.encode()
	if err != nil {
		return nil, err
	}
	history := attempts{tried: make([]int, len(c.addresses))}
	for {
		index, wait := c.next(&history)
		if err := sleep(ctx, wait); err != nil {
			return nil, history.failure(r, err)
		}
		a, failed := c.attempt(ctx, r, body, index)
		if failed == nil {
			return a, nil
		}
		if failed.isFinal() {
			return nil, &RefusedError{Status: failed.status, Reason: failed.err.Error()}
		}
		history.add(index, failed)
		c.turnFrom(index, failed.retryAfter)
		if err := ctx.Err(); err != nil {
			return nil, history.failure(r, err)
		}
		if r.repeat > 0 && history.unclear && time.Since(history.unclearSince) > r.repeat {
			return nil, history.failure(r, errors.New("a repetition might not be recognized any more"))
		}
	}
}

func (r *request) encode() ([]byte, error) {
	if r.body == nil {
		return nil, nil
	}
	return json.Marshal(r.body)
}

// attempt asks one address.
func (c *Client) attempt(ctx context.Context, r *request, body []byte, index int) (*answer, *attemptError) {
	ctx, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	call, err := http.NewRequestWithContext(ctx, r.method, "http://"+c.addresses[index]+r.path, bytes.NewReader(body))
	if err != nil {
		return nil, &attemptError{err: err}
	}
	if body != nil {
		call.Header.Set("Content-Type", "application/json")
	}
	sentAt := time.Now()
	response, err := c.http.Do(call)
	if err != nil {
		return nil, &attemptError{err: err, unclear: !isNeverSent(err)}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return nil, &attemptError{err: err, unclear: true}
	}
	if status := response.StatusCode; status != http.StatusOK && !slices.Contains(r.decided, status) {
		return nil, undecided(response, text)
	}
	if err := r.decode(response.StatusCode, text); err != nil {
		return nil, &attemptError{err: err, unclear: true}
	}
	return &answer{status: response.StatusCode, sentAt: sentAt, address: index}, nil
}

// decode reads the body of an answer that has one. What can't be read decides nothing.
func (r *request) decode(status int, text []byte) error {
	if r.into == nil || status != http.StatusOK && status != http.StatusPreconditionFailed {
		return nil
	}
	if err := json.Unmarshal(text, r.into); err != nil {
		return fmt.Errorf("the answer can't be read: %w", err)
	}
	if r.check == nil {
		return nil
	}
	return r.check()
}

// undecided judges an answer that does not decide the call. 429 and 503 promise that nothing was done.
func undecided(response *http.Response, text []byte) *attemptError {
	failed := &attemptError{err: errors.New(reasonOf(response, text)), status: response.StatusCode, retryAfter: parseRetryAfter(response.Header)}
	switch status := response.StatusCode; {
	case status == http.StatusTooManyRequests, status == http.StatusServiceUnavailable:
	case failed.isFinal():
	default:
		failed.unclear = true
	}
	return failed
}

// reasonOf returns what the service says: {"error": reason}, or text.
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

// isFinal reports whether every address would refuse the call: it is wrong itself, or the service is off.
func (e *attemptError) isFinal() bool {
	return e.status >= http.StatusBadRequest && e.status < http.StatusInternalServerError && e.status != http.StatusTooManyRequests
}

// isNeverSent reports whether there was no connection to send a call on.
func isNeverSent(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

// parseRetryAfter reads the header Retry-After: seconds, which pinelb gives as a decimal fraction.
func parseRetryAfter(header http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
	if err != nil || !(seconds > 0) {
		return 0
	}
	return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
}

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
