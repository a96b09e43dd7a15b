package transport

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/fxamacker/cbor/v2"
)

// StatusError reports that a router answered a call with another status than 200.
type StatusError struct {
	Address string // of the router
	Status  int    // the HTTP status; 503: the router's handler returned an error
	Body    string // what it said
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("transport: %s answered %d: %s", e.Address, e.Status, e.Body)
}

// HandleCall registers the handler of calls of a path, before Serve. It gets the request's CBOR form; what it returns is encoded
// as the answer, and an error is answered with status 503 and its text.
func (t *Transport) HandleCall(path string, handler func(body []byte) (any, error)) {
	t.router.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) {
		body, ok := t.readBody(w, r)
		if !ok {
			return
		}
		reply, err := handler(body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		encoded, err := cbor.Marshal(reply)
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		t.Counters.ReplyBytes.Add(uint64(len(encoded)))
		_, _ = w.Write(encoded) // the connection is lost: the caller calls again
	}).Methods(http.MethodPost)
}

// HandleStatus registers what GET requests of a path are answered with, as JSON, before Serve.
func (t *Transport) HandleStatus(path string, status func() any) {
	t.router.HandleFunc(path, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		_ = encoder.Encode(status()) // the connection is lost: the caller calls again
	}).Methods(http.MethodGet)
}

// Call sends a request to a router's internal address and decodes the answer into reply. It may take until ctx ends. Errors are
// a StatusError, or wrap those of net/http, ctx and cbor.
func (t *Transport) Call(ctx context.Context, to, path string, request, reply any) error {
	body, err := cbor.Marshal(request)
	if err != nil {
		return fmt.Errorf("transport: %w", err)
	}
	answer, err := t.post(ctx, to, path, body)
	if err != nil {
		return err
	}
	if err := cbor.Unmarshal(answer, reply); err != nil {
		return fmt.Errorf("transport: answer: %w", err)
	}
	return nil
}

// post sends a body and returns that of the answer.
func (t *Transport) post(ctx context.Context, to, path string, body []byte) ([]byte, error) {
	body, encoding := t.encodeBody(to, body)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("transport: %w", err)
	}
	if encoding != "" {
		request.Header.Set("Content-Encoding", encoding)
	}
	response, err := t.client.Do(request)
	if err != nil {
		return nil, fmt.Errorf("transport: %w", err)
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes))
	if err != nil {
		return nil, fmt.Errorf("transport: %w", err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, &StatusError{Address: to, Status: response.StatusCode, Body: string(answer)}
	}
	return answer, nil
}
