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

const bodyMost = 64 << 10

// request is one that a caller has sent whole.
type request struct {
	method, target, txn, key string
	left                     time.Duration
	body                     []byte
}

// answer is a final one.
type answer struct {
	code int
	body []byte
}

// outcome is what an attempt says about whether the request has run.
type outcome uint8

const (
	served outcome = iota
	neverRan
	mayHaveRun
)

func readRequest(r *http.Request) (*request, error) {
	ms, err := strconv.Atoi(r.Header.Get("X-Remaining-Ms"))
	if err != nil {
		return nil, fmt.Errorf("fake: X-Remaining-Ms: %w", err)
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, bodyMost))
	if err != nil {
		return nil, fmt.Errorf("fake: body: %w", err)
	}
	return &request{method: r.Method, target: r.RequestURI, txn: r.Header.Get("X-Txn"), key: r.Header.Get("Idempotency-Key"),
		left: time.Duration(ms) * time.Millisecond, body: body}, nil
}

// unsafe says whether the request must not run twice.
func (r *request) unsafe() bool { return r.method == http.MethodPost && r.key == "" }

// attempt sends a request to a host and waits for its answer until ctx ends.
func (p *proxy) attempt(ctx context.Context, r *request, host string) (answer, outcome) {
	out, err := http.NewRequestWithContext(ctx, r.method, "http://"+host+r.target, bytes.NewReader(r.body))
	if err != nil {
		return answer{}, neverRan
	}
	out.Header.Set("X-Txn", r.txn)
	if r.key != "" {
		out.Header.Set("Idempotency-Key", r.key)
	}
	if until, ok := ctx.Deadline(); ok {
		out.Header.Set("X-Remaining-Ms", strconv.FormatInt(max(1, time.Until(until).Milliseconds()), 10))
	}
	resp, err := p.to.Do(out)
	if err != nil {
		var dial *net.OpError
		if errors.As(err, &dial) && dial.Op == "dial" {
			return answer{}, neverRan
		}
		return answer{}, mayHaveRun
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, bodyMost))
	switch {
	case err != nil:
		return answer{}, mayHaveRun
	case resp.StatusCode == http.StatusOK:
		return answer{resp.StatusCode, body}, served
	case resp.Header.Get("X-Turned-Away") != "":
		return answer{}, neverRan
	}
	return answer{}, mayHaveRun
}
