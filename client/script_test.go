package client

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// scriptedCall is a call that a script has received.
type scriptedCall struct {
	address string
	method  string
	path    string
	query   string
	body    string
}

// script is a fake router that sends prepared replies, in memory or on a socket.
type script struct {
	mu    sync.Mutex
	calls []scriptedCall
	reply func(n int, call scriptedCall) reply // n: number of earlier calls
}

// reply is the reply of a script to one call.
type reply struct {
	status     int // 0: there is no response
	body       string
	retryAfter string
	before     func(ctx context.Context) // runs before the response
	hangUp     bool                      // the connection is closed without a response
}

func (s *script) record(r *http.Request) reply {
	body, _ := io.ReadAll(r.Body)
	call := scriptedCall{address: r.Host, method: r.Method, path: r.URL.Path, query: r.URL.RawQuery, body: string(body)}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, call)
	return s.reply(len(s.calls)-1, call)
}

func (s *script) recorded() []scriptedCall {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]scriptedCall(nil), s.calls...)
}

// addresses returns the addresses of the calls so far, separated by spaces.
func (s *script) addresses() string {
	var addresses []string
	for _, call := range s.recorded() {
		addresses = append(addresses, call.address)
	}
	return strings.Join(addresses, " ")
}

// RoundTrip replies without a socket, so that a test can run on the fake clock of synctest.
func (s *script) RoundTrip(r *http.Request) (*http.Response, error) {
	reply := s.record(r)
	if reply.before != nil {
		reply.before(r.Context())
	}
	if reply.status == 0 {
		<-r.Context().Done()
	}
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	if reply.hangUp {
		return nil, io.ErrUnexpectedEOF
	}
	recorder := httptest.NewRecorder()
	reply.write(recorder)
	return recorder.Result(), nil
}

// ServeHTTP replies on a socket.
func (s *script) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	reply := s.record(r)
	switch {
	case reply.hangUp:
		panic(http.ErrAbortHandler)
	case reply.status == 0:
		<-r.Context().Done()
	default:
		reply.write(w)
	}
}

func (r *reply) write(w http.ResponseWriter) {
	if r.retryAfter != "" {
		w.Header().Set("Retry-After", r.retryAfter)
	}
	w.WriteHeader(r.status)
	_, _ = io.WriteString(w, r.body)
}

// scriptedClient returns a client of three addresses, a:1, b:1 and c:1, and the script that replies for all of them in memory.
func scriptedClient(t *testing.T, replyTo func(n int, call scriptedCall) reply) (*Client, *script) {
	t.Helper()
	s := &script{reply: replyTo}
	c, err := New([]string{"a:1", "b:1", "c:1"}, Options{Transport: s})
	if err != nil {
		t.Fatal(err)
	}
	return c, s
}

// replyInOrder returns the replies in order, one for each call, and repeats the last one.
func replyInOrder(replies ...reply) func(int, scriptedCall) reply {
	return func(n int, _ scriptedCall) reply { return replies[min(n, len(replies)-1)] }
}

// ok returns a reply with the status 200 and a formatted body.
func ok(format string, values ...any) reply {
	return reply{status: http.StatusOK, body: fmt.Sprintf(format, values...)}
}

// lockRequestOf decodes the body of a call that concerns a lock.
func lockRequestOf(t *testing.T, call scriptedCall) lockRequest {
	t.Helper()
	var body lockRequest
	if err := json.Unmarshal([]byte(call.body), &body); err != nil {
		t.Error(err)
	}
	return body
}
