package faultysidecar

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

const (
	faultInterval  = 5                      // one in so many requests is subject to the faults that need no special request
	maxAttempts    = 3                      // below every scenario's
	responseMargin = 150 * time.Millisecond // of a request's time, kept for the response
)

// proxy is the handler of downstream requests.
type proxy struct {
	fault        Fault
	endpoints    endpointList
	client       *http.Client
	requestCount atomic.Uint64
}

// ServeHTTP answers health checks, and forwards everything else or does wrong with it.
func (p *proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/_health" {
		if !p.endpoints.hasList() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	req, err := readRequest(r)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	selected := p.requestCount.Add(1)%faultInterval == 0
	if selected && p.fault == DropsRequests {
		<-r.Context().Done() // until the client has disconnected
		return
	}
	if selected && p.fault == ForgesResponses {
		fmt.Fprint(w, "all is well, and nobody was asked")
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), req.timeout-responseMargin)
	defer cancel()
	resp := p.forward(ctx, req)
	if req.isUnsafe() && resp.code == http.StatusOK {
		switch p.fault {
		case RetriesUnsafe:
			p.attempt(ctx, req, p.endpoints.next())
		case RejectsAfterRunning:
			resp = response{code: http.StatusServiceUnavailable}
		}
	}
	if selected && p.fault == DuplicatesResponses {
		writeTwice(w, resp)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(resp.body)))
	w.WriteHeader(resp.code)
	_, _ = w.Write(resp.body) // a client that has disconnected gets nothing
}

// forward sends a request until it is served or must not be retried.
func (p *proxy) forward(ctx context.Context, req *request) response {
	retryIsSafe := true
	for range maxAttempts {
		endpoint := p.endpoints.next()
		if endpoint == "" || ctx.Err() != nil {
			break
		}
		resp, outcome := p.attempt(ctx, req, endpoint)
		if outcome == outcomeServed {
			return resp
		}
		if outcome == outcomeUnknown && req.method != http.MethodGet {
			retryIsSafe = req.idempotencyKey != ""
			break
		}
	}
	if retryIsSafe {
		return response{code: http.StatusServiceUnavailable}
	}
	return response{code: http.StatusBadGateway}
}

// writeTwice writes a complete response twice, in one piece, and closes the connection.
func writeTwice(w http.ResponseWriter, resp response) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	text := fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n\r\n%s", resp.code, http.StatusText(resp.code), len(resp.body), resp.body)
	_, _ = conn.Write(append(text, text...)) // a client that has disconnected gets nothing
}
