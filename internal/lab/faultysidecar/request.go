package faultysidecar

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

const maxBodySize = 64 << 10 // bytes

// request is a downstream request that was read completely.
type request struct {
	method, target string
	transactionID  string
	idempotencyKey string // empty if it has none
	timeout        time.Duration
	body           []byte
}

// response is a final response.
type response struct {
	code int
	body []byte
}

// outcome is what an attempt shows of whether the request has run.
type outcome uint8

const (
	outcomeServed  outcome = iota
	outcomeNotRun          // it has not run
	outcomeUnknown         // it may have run
)

// readRequest reads a request. Errors are a missing or malformed X-Remaining-Ms and those of the body.
func readRequest(r *http.Request) (*request, error) {
	ms, err := strconv.Atoi(r.Header.Get("X-Remaining-Ms"))
	if err != nil {
		return nil, fmt.Errorf("faultysidecar: X-Remaining-Ms: %w", err)
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodySize))
	if err != nil {
		return nil, fmt.Errorf("faultysidecar: body: %w", err)
	}
	return &request{
		method:         r.Method,
		target:         r.RequestURI,
		transactionID:  r.Header.Get("X-Txn"),
		idempotencyKey: r.Header.Get("Idempotency-Key"),
		timeout:        time.Duration(ms) * time.Millisecond,
		body:           body,
	}, nil
}

// isUnsafe reports whether the request must not run twice.
func (r *request) isUnsafe() bool { return r.method == http.MethodPost && r.idempotencyKey == "" }

// attempt sends a request to an endpoint and waits for its response until ctx ends.
func (p *proxy) attempt(ctx context.Context, r *request, endpoint string) (response, outcome) {
	upstream, err := http.NewRequestWithContext(ctx, r.method, "http://"+endpoint+r.target, bytes.NewReader(r.body))
	if err != nil {
		return response{}, outcomeNotRun
	}
	upstream.Header.Set("X-Txn", r.transactionID)
	if r.idempotencyKey != "" {
		upstream.Header.Set("Idempotency-Key", r.idempotencyKey)
	}
	if deadline, ok := ctx.Deadline(); ok {
		upstream.Header.Set("X-Remaining-Ms", strconv.FormatInt(max(1, time.Until(deadline).Milliseconds()), 10))
	}
	resp, err := p.client.Do(upstream)
	if err != nil {
		var opErr *net.OpError
		if errors.As(err, &opErr) && opErr.Op == "dial" {
			return response{}, outcomeNotRun
		}
		return response{}, outcomeUnknown
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBodySize))
	switch {
	case err != nil:
		return response{}, outcomeUnknown
	case resp.StatusCode == http.StatusOK:
		return response{resp.StatusCode, body}, outcomeServed
	case resp.Header.Get("X-Turned-Away") != "":
		return response{}, outcomeNotRun
	}
	return response{}, outcomeUnknown
}
