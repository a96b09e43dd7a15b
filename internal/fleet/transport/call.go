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

// StatusError reports that a router answered a call with an HTTP status other than 200.
type StatusError struct {
	Address string // of the router
	Status  int    // HTTP status; 503: the router's handler returned an error
	Body    string // of the response
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("transport: %s answered %d: %s", e.Address, e.Status, e.Body)
}

// HandleCall registers the handler for calls to a path. It must be called before Serve. The handler gets the request's CBOR
// encoding; its result is encoded as the reply, and its error is sent as a response with status 503 and the error's text.
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
		if err := t.checkSize(encoded, TooLargeError{Path: path}); err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		t.Counters.ReplyBytes.Add(uint64(len(encoded)))
		_, _ = w.Write(encoded) // an error is a lost connection: the caller retries
	}).Methods(http.MethodPost)
}

// HandleStatus registers a function whose result is sent, as JSON, in response to GET requests to a path. It must be called
// before Serve.
func (t *Transport) HandleStatus(path string, status func() any) {
	t.router.HandleFunc(path, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		_ = encoder.Encode(status()) // an error is a lost connection: the caller retries
	}).Methods(http.MethodGet)
}

// Call sends a request to a router's internal address and decodes the router's reply into reply, a pointer. It waits for the
// reply until ctx is done. Errors are a *StatusError or a *TooLargeError, or wrap errors of net/http, ctx or cbor.
func (t *Transport) Call(ctx context.Context, to, path string, request, reply any) error {
	body, err := cbor.Marshal(request)
	if err != nil {
		return fmt.Errorf("transport: %w", err)
	}
	if err := t.checkSize(body, TooLargeError{To: to, Path: path}); err != nil {
		return err
	}
	encoded, err := t.post(ctx, to, path, body)
	if err != nil {
		return err
	}
	if err := cbor.Unmarshal(encoded, reply); err != nil {
		return fmt.Errorf("transport: decode reply: %w", err)
	}
	return nil
}

// post sends a body to a path of a router, compressed if the router supports it, and returns the body of the response.
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
	responseBody, err := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes))
	if err != nil {
		return nil, fmt.Errorf("transport: %w", err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, &StatusError{Address: to, Status: response.StatusCode, Body: string(responseBody)}
	}
	return responseBody, nil
}
