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

// pieces is the rest of an answer that comes when the test says so, and ends with end.
type pieces struct {
	come   chan string
	end    error
	cut    chan struct{}
	closed chan struct{}
}

func (p *pieces) Read(b []byte) (int, error) {
	select {
	case s, more := <-p.come:
		if !more {
			return 0, p.end
		}
		return copy(b, s), nil
	case <-p.cut:
		return 0, errors.New("given up")
	}
}
func (p *pieces) Interrupt() { close(p.cut) }
func (p *pieces) Close()     { close(p.closed) }

// Guards against an answer of any length that is held back on its way, that passes for whole when it was cut, by whatever
// framing the client reads it, or that is gone on with for a client that has left.
func TestPassesOn(t *testing.T) {
	var rest *pieces
	length := int64(-1)
	s := newServer(func(context.Context, *stream.Request) stream.Response {
		return stream.Response{Outcome: stream.Served, Body: []byte("one "), Rest: rest, Length: length}
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() { _ = s.Run(context.Background(), s.Frontend(l)) }()
	for _, c := range []struct {
		version string
		length  int64
		end     error
	}{
		{"1.1", -1, io.EOF}, {"1.1", 8, io.EOF}, {"1.0", -1, io.EOF},
		{"1.1", -1, io.ErrUnexpectedEOF}, {"1.1", 9, io.ErrUnexpectedEOF}, {"1.0", -1, io.ErrUnexpectedEOF},
	} {
		rest, length = &pieces{make(chan string), c.end, make(chan struct{}), make(chan struct{})}, c.length
		conn, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(conn, "GET /look/1 HTTP/%s\r\nHost: x\r\nX-Txn: a\r\nX-Remaining-Ms: 900\r\n\r\n", c.version)
		res, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatal(err)
		}
		for _, want := range []string{"one ", "two "} { // each before the next has been said
			got := make([]byte, 4)
			if _, err := io.ReadFull(res.Body, got); err != nil || string(got) != want {
				t.Fatalf("%+v: %q, %v, want %q", c, got, err, want)
			}
			if want == "one " {
				rest.come <- "two "
			}
		}
		close(rest.come)
		if _, err := io.ReadAll(res.Body); (err == nil) != (c.end == io.EOF) {
			t.Errorf("%+v: the answer ends with %v", c, err)
		}
		<-rest.closed
		conn.Close()
	}
	rest, length = &pieces{make(chan string), io.EOF, make(chan struct{}), make(chan struct{})}, -1
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprint(conn, "GET /look/1 HTTP/1.1\r\nHost: x\r\nX-Txn: a\r\nX-Remaining-Ms: 900\r\n\r\n")
	if _, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil {
		t.Fatal(err)
	}
	conn.Close()
	<-rest.cut
	<-rest.closed
}

// oncePipes is pipes that may be closed twice.
type oncePipes struct {
	pipes
	once sync.Once
}

func (p *oncePipes) Close() error {
	p.once.Do(func() { close(p.pipes) })
	return nil
}

// Guards against an answer that is cut off though its last bytes come as all that is not answered is failed, and against one
// that goes on beyond the planned end, or passes for whole then.
func TestPassesOnAcrossTheCut(t *testing.T) {
	const kill, after = time.Second, 10 * time.Millisecond
	for _, whole := range []bool{true, false} {
		t.Run(fmt.Sprintf("whole=%v", whole), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rest := &pieces{make(chan string, 1), io.EOF, make(chan struct{}), make(chan struct{})}
				s := newServer(func(context.Context, *stream.Request) stream.Response {
					return stream.Response{Outcome: stream.Served, Body: []byte("one "), Rest: rest, Length: -1}
				})
				s.settings.Store(&managerSettings{maxStreams: 10, drainTimeout: kill - exitBefore})
				l := &oncePipes{pipes: make(pipes, 1)}
				here, client := net.Pipe()
				l.pipes <- here
				ctx, end := context.WithCancel(context.Background())
				ended := make(chan error, 1)
				go func() { ended <- s.Run(ctx, s.Frontend(l)) }()
				go func() { _, _ = io.WriteString(client, raw) }()
				res, err := http.ReadResponse(bufio.NewReader(client), nil)
				if err != nil {
					t.Fatal(err)
				}
				_, _ = io.ReadFull(res.Body, make([]byte, len("one ")))
				from := time.Now()
				end()
				time.Sleep(kill - cancelStreamsBefore + after)
				if s.StreamContext().Err() == nil {
					t.Fatal("all is not cut yet")
				}
				if whole {
					rest.come <- "two "
					close(rest.come)
				}
				got, err := io.ReadAll(res.Body)
				if whole && (string(got) != "two " || err != nil) {
					t.Errorf("what came after the cut reads %q, %v", got, err)
				}
				if !whole && (err == nil || time.Since(from) >= kill-exitBefore) {
					t.Errorf("an answer that goes on ends after %v with %v", time.Since(from), err)
				}
				client.Close()
				if err := <-ended; err != nil || time.Since(from) >= kill {
					t.Errorf("the planned end took %v and says %v", time.Since(from), err)
				}
				<-rest.closed
			})
		})
	}
}
