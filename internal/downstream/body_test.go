package downstream

import (
	"bufio"
	"context"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"pinelb.example/pinelb/internal/stream"
)

// Guards against half a request, a silent connection, or a stated length without a body holding resources: each is closed in
// time, and takes no memory for what has not come.
func TestSlowRequests(t *testing.T) {
	s := newServer(func(context.Context, *stream.Request) stream.Response {
		t.Error("half a request was served")
		return stream.Response{}
	})
	addr := serve(t, s)
	var ins []*bufio.Reader
	from := time.Now()
	for _, text := range []string{"", rawRequest[:20],
		"POST /charge/1 HTTP/1.1\r\nHost: x\r\nX-Txn: a\r\nX-Remaining-Ms: 900\r\nContent-Length: 65536\r\n\r\nhalf"} {
		c, in := dial(t, addr)
		send(c, text)
		ins = append(ins, in)
	}
	for s.bodyBytes.Load() == 0 {
		runtime.Gosched()
	}
	if n := s.bodyBytes.Load(); n > initialBodyCapacity {
		t.Errorf("four bytes of a body take %d", n)
	}
	for _, in := range ins {
		for {
			if _, err := in.ReadByte(); err != nil {
				break
			}
		}
	}
	if took := time.Since(from); took < MessageTimeout {
		t.Errorf("they were closed after %v, sooner than a slow client may take", took)
	}
	if n := s.bodyBytes.Load(); n != 0 {
		t.Errorf("%d bytes of bodies are reserved", n)
	}
}

// Guards against many bodies at once exhausting the memory: those beyond the bound are rejected.
func TestMaxBodyBytes(t *testing.T) {
	s := newServer(func(context.Context, *stream.Request) stream.Response { return stream.Response{} })
	s.maxBodyBytes.Store(maxBufferedBody + initialBodyCapacity)
	request := func(size int) int {
		w := httptest.NewRecorder()
		s.ServeHTTP(w, newRequest("POST", "/charge/1", strings.Repeat("x", size), "X-Txn", "a", "X-Remaining-Ms", "9"))
		return w.Code
	}
	s.bodyBytes.Add(2 * initialBodyCapacity) // of other requests
	for size, want := range map[int]int{initialBodyCapacity: 200, maxBufferedBody: 503, 0: 200} {
		if code := request(size); code != want || s.bodyBytes.Load() != 2*initialBodyCapacity {
			t.Errorf("%d bytes got status %d, with %d reserved afterwards", size, code, s.bodyBytes.Load())
		}
	}
	s.bodyBytes.Store(0)
	if code := request(maxBufferedBody); code != 200 {
		t.Errorf("a large body alone got status %d", code)
	}
}

// Guards against a read deadline that expires during the stream being taken for the client's leaving.
func TestReadDeadlineEnds(t *testing.T) {
	s := newServer(func(ctx context.Context, _ *stream.Request) stream.Response {
		select {
		case <-ctx.Done():
			return stream.Response{Outcome: stream.ClientGone}
		case <-time.After(MessageTimeout + 200*time.Millisecond): // the time itself is what is tested
			return stream.Response{}
		}
	})
	addr := serve(t, s)
	c, in := dial(t, addr)
	send(c, rawRequest)
	if res := readResponse(t, in); res.StatusCode != 200 {
		t.Errorf("a long stream got status %d", res.StatusCode)
	}
}
