package loopback

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"pinelb.example/pinelb/internal/lab/trace"
)

// TestRequestEncoding checks that a request has the protocol's form, by its class, and that connections are reused.
func TestRequestEncoding(t *testing.T) {
	for effect, want := range map[string]string{
		"safe": "GET /safe-one/7 HTTP/1.1\r\nHost: origin.svc\r\nX-Txn: 00000000000000ff\r\nX-Lane: safe-one\r\n" +
			"X-Remaining-Ms: 20000\r\n\r\n",
		"keyed": "POST /keyed-one/7 HTTP/1.1\r\nHost: origin.svc\r\nX-Txn: 00000000000000ff\r\nX-Lane: keyed-one\r\n" +
			"X-Remaining-Ms: 20000\r\nIdempotency-Key: 00000000000000000000000000000abc\r\nX-Resent: 1\r\nContent-Length: 5\r\n\r\n",
		"unsafe": "POST /unsafe-one/7 HTTP/1.1\r\nHost: origin.svc\r\nX-Txn: 00000000000000ff\r\nX-Lane: unsafe-one\r\n" +
			"X-Remaining-Ms: 20000\r\nContent-Length: 5\r\n\r\n",
	} {
		t.Run(effect, func(t *testing.T) {
			s, got := newTransportFixture(t), make(chan string, 2)
			s.serve(func(n int, l *scriptedConn) {
				for range 2 {
					text := l.readText()
					if effect != "safe" {
						body := make([]byte, 5)
						if _, err := l.in.Read(body); err != nil || string(body) != "xxxxx" {
							t.Errorf("body %q: %v", body, err)
						}
					}
					got <- text
					l.writeServed(0xff, 3)
				}
				l.discard()
			})
			for range 2 { // the second comes on the same connection, or the script would not go on
				q := s.newRequest(effect, 0xff)
				q.retried = effect == "keyed"
				attempt := s.roundTrip(t.Context(), q)
				if text := <-got; text != want {
					t.Errorf("request:\n%q\nwant\n%q", text, want)
				}
				if attempt.Status != trace.StatusServed || attempt.Code != 200 || attempt.Endpoint != 3 || attempt.Forged || attempt.Responses != 1 ||
					attempt.Sent == trace.Unset || attempt.Ended < attempt.Sent || attempt.Timeout != q.timeout {
					t.Errorf("%+v", attempt)
				}
			}
		})
	}
}

// TestResponseStatus checks that the response decides the status, and nothing else does.
func TestResponseStatus(t *testing.T) {
	body := string(responseBody(5, 2, 0, 64))
	for _, c := range []struct {
		name    string
		answer  func(l *scriptedConn)
		want    trace.Status
		code    int
		advice  time.Duration
		answers int
		forged  bool
	}{
		{"complete", func(l *scriptedConn) { l.writeServed(5, 2) }, trace.StatusServed, 200, 0, 1, false},
		{"chunked", func(l *scriptedConn) {
			l.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n18\r\n%s\r\n28\r\n%s\r\n0\r\n\r\n", body[:24], body[24:])
		}, trace.StatusServed, 200, 0, 1, false},
		{"to the end of the connection", func(l *scriptedConn) { l.write("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n%s", body) },
			trace.StatusServed, 200, 0, 1, false},
		{"interim first", func(l *scriptedConn) { l.write("HTTP/1.1 100 Continue\r\n\r\n"); l.writeServed(5, 2) }, trace.StatusServed, 200, 0, 1, false},
		{"another's", func(l *scriptedConn) { l.writeServed(6, 2) }, trace.StatusServed, 200, 0, 1, true},
		{"made up", func(l *scriptedConn) { l.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok") }, trace.StatusServed, 200, 0, 1, true},
		{"refused with advice", func(l *scriptedConn) {
			l.write("HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.25\r\nContent-Length: 0\r\n\r\n")
		}, trace.StatusRejected, 503, 250 * time.Millisecond, 1, false},
		{"refused with nonsense", func(l *scriptedConn) {
			l.write("HTTP/1.1 429 Too Many Requests\r\nRetry-After: -1\r\nContent-Length: 0\r\n\r\n")
		}, trace.StatusRejected, 429, 0, 1, false},
		{"failed", func(l *scriptedConn) { l.write("HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n") }, trace.StatusFailed, 502, 0, 1, false},
		{"half a body", func(l *scriptedConn) { l.write("HTTP/1.1 200 OK\r\nContent-Length: 64\r\n\r\n%s", body[:30]) }, trace.StatusFailed, 0, 0, 0, false},
		{"half a head", func(l *scriptedConn) { l.write("HTTP/1.1 200 OK\r\nContent-Le") }, trace.StatusFailed, 0, 0, 0, false},
		{"no HTTP", func(l *scriptedConn) { l.write("good day\r\n\r\n") }, trace.StatusFailed, 0, 0, 0, false},
		{"interim without end", func(l *scriptedConn) { l.write("%s", strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 50)) },
			trace.StatusFailed, 0, 0, 0, false},
		{"a head without end", func(l *scriptedConn) {
			l.write("HTTP/1.1 200 OK\r\n%s", strings.Repeat("X-Filler: "+strings.Repeat("a", 1000)+"\r\n", 1000))
		}, trace.StatusFailed, 0, 0, 0, false},
		{"a body without end", func(l *scriptedConn) {
			l.write("HTTP/1.1 200 OK\r\n\r\n%s", strings.Repeat("a", maxResponseSize))
			l.discard()
		},
			trace.StatusFailed, 0, 0, 0, false},
		{"closed", func(l *scriptedConn) {}, trace.StatusDisconnected, 0, 0, 0, false},
		{"reset", func(l *scriptedConn) { _ = l.conn.SetLinger(0) }, trace.StatusDisconnected, 0, 0, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newTransportFixture(t)
			s.serve(func(n int, l *scriptedConn) {
				if _, _, ok := l.readRequest(); ok {
					c.answer(l)
				}
			})
			got := s.roundTrip(t.Context(), s.newRequest("unsafe", 5))
			if got.Status != c.want || got.Code != c.code || got.RetryAfter != c.advice || got.Responses != c.answers ||
				got.Forged != c.forged || got.Sent == trace.Unset {
				t.Errorf("%+v", got)
			}
		})
	}
}

// TestTransportTimesOutAndCancels checks that an attempt ends at its time-out, at its cancelAt and with its context, and that its
// connection is closed then.
func TestTransportTimesOutAndCancels(t *testing.T) {
	for _, c := range []struct {
		name  string
		begun string // of the answer
		edit  func(q *clientRequest, now time.Duration)
		end   bool
		want  trace.Status
	}{
		{"its time is over", "", func(q *clientRequest, _ time.Duration) { q.timeout = 30 * time.Millisecond }, false, trace.StatusTimedOut},
		{"in the middle of an answer", "HTTP/1.1 200 OK\r\n", func(q *clientRequest, _ time.Duration) { q.timeout = 30 * time.Millisecond },
			false, trace.StatusFailed},
		{"it leaves", "", func(q *clientRequest, now time.Duration) { q.cancelAt = now + 30*time.Millisecond }, false, trace.StatusCanceled},
		{"it is canceled", "", func(*clientRequest, time.Duration) {}, true, trace.StatusCanceled},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, ctx, closed := newTransportFixture(t), t.Context(), make(chan struct{})
			ctx, end := context.WithCancel(ctx)
			defer end()
			s.serve(func(n int, l *scriptedConn) {
				l.readRequest()
				l.write("%s", c.begun)
				if c.end {
					end()
				}
				l.discard()
				close(closed)
			})
			q := s.newRequest("safe", 5)
			c.edit(&q, s.now())
			got := s.roundTrip(ctx, q)
			if got.Status != c.want || got.Sent == trace.Unset || got.Responses != 0 {
				t.Errorf("%+v", got)
			}
			<-closed
		})
	}
}

// TestConnectFailed checks that nothing counts as sent where no connection comes up.
func TestConnectFailed(t *testing.T) {
	s := newTransportFixture(t)
	if got := s.roundTrip(t.Context(), s.newRequest("unsafe", 5)); got.Status != trace.StatusConnectFailed || got.Sent != trace.Unset || got.Endpoint != -1 {
		t.Errorf("%+v", got)
	}
	noRecipient := s.newRequest("safe", 5)
	noRecipient.attempt.Sidecar = -1
	if got := s.roundTrip(t.Context(), noRecipient); got.Status != trace.StatusConnectFailed || got.Sent != trace.Unset {
		t.Errorf("no recipient: %+v", got)
	}
	ctx, end := context.WithCancel(t.Context())
	end()
	if got := s.roundTrip(ctx, s.newRequest("unsafe", 5)); got.Status != trace.StatusCanceled || got.Sent != trace.Unset {
		t.Errorf("canceled: %+v", got)
	}
}

// TestDuplicateResponsesAreDetected checks that a second response counts, whether it comes with the first, before the connection is used
// again, or is there when the run ends.
func TestDuplicateResponsesAreDetected(t *testing.T) {
	second := "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n"
	t.Run("at once", func(t *testing.T) {
		s := newTransportFixture(t)
		s.serve(func(n int, l *scriptedConn) {
			l.readRequest()
			body := responseBody(5, 2, 0, 64)
			l.write("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s%s", len(body), body, second)
			l.discard()
		})
		if got := s.roundTrip(t.Context(), s.newRequest("safe", 5)); got.Responses != 2 || got.Status != trace.StatusServed {
			t.Errorf("%+v", got)
		}
	})
	for _, again := range []bool{true, false} {
		t.Run(map[bool]string{true: "before the next", false: "at the end"}[again], func(t *testing.T) {
			s := newTransportFixture(t)
			first, said := make(chan struct{}), make(chan struct{})
			s.serve(func(n int, l *scriptedConn) {
				l.readRequest()
				l.writeServed(uint64(5+n), 2)
				if n == 0 {
					<-first
					l.write("%s", second)
					close(said)
				}
				l.discard()
			})
			if got := s.roundTrip(t.Context(), s.newRequest("safe", 5)); got.Responses != 1 || got.Status != trace.StatusServed {
				t.Errorf("%+v", got)
			}
			close(first)
			<-said
			if again {
				if got := s.roundTrip(t.Context(), s.newRequest("safe", 6)); got.Responses != 1 || got.Status != trace.StatusServed {
					t.Errorf("the next: %+v", got)
				}
			}
			if duplicates := s.close(); len(duplicates) != 1 || duplicates[0] != 5 {
				t.Errorf("answered twice: %v", duplicates)
			}
		})
	}
}

// TestMalformedResponseIsNoDuplicate checks that what follows a malformed response is not counted for the request that was answered before
// on that connection.
func TestMalformedResponseIsNoDuplicate(t *testing.T) {
	s := newTransportFixture(t)
	s.serve(func(n int, l *scriptedConn) {
		l.readRequest()
		l.writeServed(5, 2)
		l.readRequest()
		l.write("good day\r\nand good night\r\n")
		l.discard()
	})
	if got := s.roundTrip(t.Context(), s.newRequest("safe", 5)); got.Status != trace.StatusServed {
		t.Errorf("%+v", got)
	}
	if got := s.roundTrip(t.Context(), s.newRequest("safe", 6)); got.Status != trace.StatusFailed || got.Responses != 0 {
		t.Errorf("%+v", got)
	}
	if duplicates := s.close(); len(duplicates) != 0 {
		t.Errorf("answered twice: %v", duplicates)
	}
}

// TestRequestOnClosedConnection checks that a connection that is closed between requests costs no attempt: what nobody has read is sent
// again on a new one. What was read is not.
func TestRequestOnClosedConnection(t *testing.T) {
	for _, c := range []struct {
		name   string
		second func(l *scriptedConn) // of the kept connection, once the first request was answered
		want   trace.Status
	}{
		{"long before", func(l *scriptedConn) {}, trace.StatusServed},
		{"as it comes", func(l *scriptedConn) { awaitReset(l) }, trace.StatusServed},
		{"once it was read", func(l *scriptedConn) { l.readRequest() }, trace.StatusDisconnected},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, idle := newTransportFixture(t), make(chan struct{})
			s.serve(func(n int, l *scriptedConn) {
				l.readRequest()
				l.writeServed(uint64(5+n), n)
				if n == 0 {
					c.second(l)
					_ = l.conn.Close() // the test may have closed it
					close(idle)
				}
				l.discard()
			})
			if got := s.roundTrip(t.Context(), s.newRequest("unsafe", 5)); got.Status != trace.StatusServed || got.Endpoint != 0 {
				t.Fatalf("first: %+v", got)
			}
			if c.name == "long before" {
				<-idle
			}
			got := s.roundTrip(t.Context(), s.newRequest("unsafe", 6))
			if got.Status != c.want || got.Status == trace.StatusServed && (got.Endpoint != 1 || got.Responses != 1) {
				t.Errorf("second: %+v", got)
			}
		})
	}
}

// awaitReset waits until there are bytes to read and leaves them there.
func awaitReset(l *scriptedConn) {
	raw, err := l.conn.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Read(func(fd uintptr) bool { // it fails if the connection is closed, which is what is waited for
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return err != unix.EAGAIN
	})
}

// TestRequestUnreadAfterClose checks that a close that came before the request, but after the idle check, shows as an end of the stream
// like any other, and that it is still known that nobody has read the request.
func TestRequestUnreadAfterClose(t *testing.T) {
	for _, reads := range []bool{false, true} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		conn, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		other, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		l, err := newClientConn(conn.(*net.TCPConn))
		if err != nil {
			t.Fatal(err)
		}
		send := func() { _, _ = conn.Write([]byte("request")) } // it may fail on a connection that the other end has closed
		if reads {
			send()
			if _, err := other.Read(make([]byte, 100)); err != nil {
				t.Fatal(err)
			}
		}
		other.Close()
		if !reads {
			_ = l.raw.Read(func(uintptr) bool { return l.idleState() == idleClosed })
			send()
		}
		l.remaining.N = maxResponseSize
		_, err = l.reader.Peek(1)
		if got := l.requestUnread(err); got == reads {
			t.Errorf("read %v, unread %v after %v", reads, got, err)
		}
		conn.Close()
		listener.Close()
	}
}

// TestConnectionsAreLimited checks that there are never more connections than the limit: an idle one is closed, or else the sender waits.
func TestConnectionsAreLimited(t *testing.T) {
	s := newTransportFixture(t)
	s.slots = make(chan struct{}, 1)
	release := make(chan struct{})
	arrived := make(chan struct{}, 2)
	s.serve(func(n int, l *scriptedConn) {
		for {
			req, _, ok := l.readRequest()
			if !ok {
				return
			}
			arrived <- struct{}{}
			if n > 0 {
				<-release
			}
			txn, _ := parseHex(req.Header.Get("X-Txn"), 16)
			l.writeServed(txn, n)
		}
	})
	if got := s.roundTrip(t.Context(), s.newRequest("safe", 1)); got.Status != trace.StatusServed || got.Endpoint != 0 {
		t.Fatalf("first: %+v", got)
	}
	<-arrived
	fresh := s.newRequest("safe", 2)
	fresh.newConnection = true
	attempts := make(chan trace.ClientAttempt)
	go func() { attempts <- s.roundTrip(t.Context(), fresh) }() // the idle one is closed for it
	select {
	case <-arrived:
	case got := <-attempts:
		t.Fatalf("in the place of an idle one: %+v", got)
	}
	late := s.newRequest("safe", 3)
	late.timeout = 30 * time.Millisecond
	if got := s.roundTrip(t.Context(), late); got.Status != trace.StatusConnectFailed {
		t.Errorf("beyond the bound: %+v", got)
	}
	close(release)
	if got := <-attempts; got.Status != trace.StatusServed || got.Endpoint != 1 {
		t.Errorf("on a new connection: %+v", got)
	}
}
