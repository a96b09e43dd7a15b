package downstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pinelb.example/pinelb/internal/stream"
)

// scriptedStream is the remainder of a response, which comes as the test sends it, and ends with end.
type scriptedStream struct {
	chunks      chan string
	end         error
	interrupted chan struct{}
	closed      chan struct{}
}

func (p *scriptedStream) Read(b []byte) (int, error) {
	select {
	case s, more := <-p.chunks:
		if !more {
			return 0, p.end
		}
		return copy(b, s), nil
	case <-p.interrupted:
		return 0, errors.New("interrupted")
	}
}
func (p *scriptedStream) Interrupt() { close(p.interrupted) }
func (p *scriptedStream) Close()     { close(p.closed) }

// Guards against a response of any length that is buffered, that is taken for complete when it was cut off, by whatever framing
// the client reads it, or that goes on for a client that has left.
func TestStreamedResponse(t *testing.T) {
	var rest *scriptedStream
	length := int64(-1)
	s := newServer(func(context.Context, *stream.Request) stream.Response {
		return stream.Response{Outcome: stream.Served, Body: []byte("one "), Rest: rest, Length: length}
	})
	addr := serve(t, s)
	for _, c := range []struct {
		version string
		length  int64
		end     error
	}{
		{"1.1", -1, io.EOF}, {"1.1", 8, io.EOF}, {"1.0", -1, io.EOF},
		{"1.1", -1, io.ErrUnexpectedEOF}, {"1.1", 9, io.ErrUnexpectedEOF}, {"1.0", -1, io.ErrUnexpectedEOF},
	} {
		rest, length = &scriptedStream{make(chan string), c.end, make(chan struct{}), make(chan struct{})}, c.length
		conn, err := net.Dial("tcp", addr.String())
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(conn, "GET /look/1 HTTP/%s\r\nHost: x\r\nX-Txn: a\r\nX-Remaining-Ms: 900\r\n\r\n", c.version)
		res, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatal(err)
		}
		for _, want := range []string{"one ", "two "} { // each before the next is sent
			got := make([]byte, 4)
			if _, err := io.ReadFull(res.Body, got); err != nil || string(got) != want {
				t.Fatalf("%+v: %q, %v, want %q", c, got, err, want)
			}
			if want == "one " {
				rest.chunks <- "two "
			}
		}
		close(rest.chunks)
		if _, err := io.ReadAll(res.Body); (err == nil) != (c.end == io.EOF) {
			t.Errorf("%+v: the response ends with %v", c, err)
		}
		<-rest.closed
		conn.Close()
	}
	rest, length = &scriptedStream{make(chan string), io.EOF, make(chan struct{}), make(chan struct{})}, -1
	conn, err := net.Dial("tcp", addr.String())
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprint(conn, "GET /look/1 HTTP/1.1\r\nHost: x\r\nX-Txn: a\r\nX-Remaining-Ms: 900\r\n\r\n")
	if _, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil {
		t.Fatal(err)
	}
	conn.Close()
	<-rest.interrupted
	<-rest.closed
}

// idempotentPipeListener is a pipeListener that may be closed twice.
type idempotentPipeListener struct {
	pipeListener
	once sync.Once
}

func (p *idempotentPipeListener) Close() error {
	p.once.Do(func() { close(p.pipeListener) })
	return nil
}

// Guards against a response that is cut off though its last bytes come as streams are cancelled, and against one that goes on
// beyond draining, or is taken for complete then.
func TestStreamedResponseRacesDrain(t *testing.T) {
	const kill, after = time.Second, 10 * time.Millisecond
	for _, complete := range []bool{true, false} {
		t.Run(fmt.Sprintf("complete=%v", complete), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rest := &scriptedStream{make(chan string, 1), io.EOF, make(chan struct{}), make(chan struct{})}
				s := newServer(func(context.Context, *stream.Request) stream.Response {
					return stream.Response{Outcome: stream.Served, Body: []byte("one "), Rest: rest, Length: -1}
				})
				s.settings.Store(&managerSettings{maxStreams: 10, drainTimeout: kill - exitBefore})
				l := &idempotentPipeListener{pipeListener: make(pipeListener, 1)}
				here, client := net.Pipe()
				l.pipeListener <- here
				ctx, end := context.WithCancel(context.Background())
				ended := make(chan error, 1)
				go func() { ended <- s.Run(ctx, s.Frontend(l)) }()
				go func() { _, _ = io.WriteString(client, rawRequest) }()
				res, err := http.ReadResponse(bufio.NewReader(client), nil)
				if err != nil {
					t.Fatal(err)
				}
				_, _ = io.ReadFull(res.Body, make([]byte, len("one ")))
				from := time.Now()
				end()
				time.Sleep(kill - cancelStreamsBefore + after)
				if s.StreamContext().Err() == nil {
					t.Fatal("streams are not cancelled yet")
				}
				if complete {
					rest.chunks <- "two "
					close(rest.chunks)
				}
				got, err := io.ReadAll(res.Body)
				if complete && (string(got) != "two " || err != nil) {
					t.Errorf("what came after the cancellation reads %q, %v", got, err)
				}
				if !complete && (err == nil || time.Since(from) >= kill-exitBefore) {
					t.Errorf("a response that goes on ends after %v with %v", time.Since(from), err)
				}
				client.Close()
				if err := <-ended; err != nil || time.Since(from) >= kill {
					t.Errorf("draining took %v and returns %v", time.Since(from), err)
				}
				<-rest.closed
			})
		})
	}
}
