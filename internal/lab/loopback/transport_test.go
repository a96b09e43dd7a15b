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

// A request has the form of the protocol, by its class, and connections are kept.
func TestRequestsHaveTheProtocolsForm(t *testing.T) {
	for effect, want := range map[string]string{
		"safe": "GET /safe-one/7 HTTP/1.1\r\nHost: origin.svc\r\nX-Txn: 00000000000000ff\r\nX-Lane: safe-one\r\n" +
			"X-Remaining-Ms: 20000\r\n\r\n",
		"keyed": "POST /keyed-one/7 HTTP/1.1\r\nHost: origin.svc\r\nX-Txn: 00000000000000ff\r\nX-Lane: keyed-one\r\n" +
			"X-Remaining-Ms: 20000\r\nIdempotency-Key: 00000000000000000000000000000abc\r\nX-Resent: 1\r\nContent-Length: 5\r\n\r\n",
		"unsafe": "POST /unsafe-one/7 HTTP/1.1\r\nHost: origin.svc\r\nX-Txn: 00000000000000ff\r\nX-Lane: unsafe-one\r\n" +
			"X-Remaining-Ms: 20000\r\nContent-Length: 5\r\n\r\n",
	} {
		t.Run(effect, func(t *testing.T) {
			s, got := newScripted(t), make(chan string, 2)
			s.serve(func(n int, l *talk) {
				for range 2 {
					text := l.text()
					if effect != "safe" {
						body := make([]byte, 5)
						if _, err := l.in.Read(body); err != nil || string(body) != "xxxxx" {
							t.Errorf("body %q: %v", body, err)
						}
					}
					got <- text
					l.served(0xff, 3)
				}
				l.hold()
			})
			for range 2 { // the second comes on the same connection, or the script would not go on
				q := s.query(effect, 0xff)
				q.retried = effect == "keyed"
				try := s.roundTrip(t.Context(), q)
				if text := <-got; text != want {
					t.Errorf("request:\n%q\nwant\n%q", text, want)
				}
				if try.Status != trace.StatusServed || try.Code != 200 || try.Endpoint != 3 || try.Forged || try.Responses != 1 ||
					try.Sent == trace.Unset || try.Ended < try.Sent || try.Timeout != q.timeout {
					t.Errorf("%+v", try)
				}
			}
		})
	}
}

// What comes back decides the status, and nothing else does.
func TestAnswersAreJudged(t *testing.T) {
	body := string(responseBody(5, 2, 0, 64))
	for _, c := range []struct {
		name    string
		answer  func(l *talk)
		want    trace.Status
		code    int
		advice  time.Duration
		answers int
		forged  bool
	}{
		{"whole", func(l *talk) { l.served(5, 2) }, trace.StatusServed, 200, 0, 1, false},
		{"chunked", func(l *talk) {
			l.say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n18\r\n%s\r\n28\r\n%s\r\n0\r\n\r\n", body[:24], body[24:])
		}, trace.StatusServed, 200, 0, 1, false},
		{"to the end of the connection", func(l *talk) { l.say("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n%s", body) },
			trace.StatusServed, 200, 0, 1, false},
		{"interim first", func(l *talk) { l.say("HTTP/1.1 100 Continue\r\n\r\n"); l.served(5, 2) }, trace.StatusServed, 200, 0, 1, false},
		{"another's", func(l *talk) { l.served(6, 2) }, trace.StatusServed, 200, 0, 1, true},
		{"made up", func(l *talk) { l.say("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok") }, trace.StatusServed, 200, 0, 1, true},
		{"refused with advice", func(l *talk) {
			l.say("HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.25\r\nContent-Length: 0\r\n\r\n")
		}, trace.StatusRejected, 503, 250 * time.Millisecond, 1, false},
		{"refused with nonsense", func(l *talk) {
			l.say("HTTP/1.1 429 Too Many Requests\r\nRetry-After: -1\r\nContent-Length: 0\r\n\r\n")
		}, trace.StatusRejected, 429, 0, 1, false},
		{"failed", func(l *talk) { l.say("HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n") }, trace.StatusFailed, 502, 0, 1, false},
		{"half a body", func(l *talk) { l.say("HTTP/1.1 200 OK\r\nContent-Length: 64\r\n\r\n%s", body[:30]) }, trace.StatusFailed, 0, 0, 0, false},
		{"half a head", func(l *talk) { l.say("HTTP/1.1 200 OK\r\nContent-Le") }, trace.StatusFailed, 0, 0, 0, false},
		{"no HTTP", func(l *talk) { l.say("good day\r\n\r\n") }, trace.StatusFailed, 0, 0, 0, false},
		{"interim without end", func(l *talk) { l.say("%s", strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 50)) },
			trace.StatusFailed, 0, 0, 0, false},
		{"a head without end", func(l *talk) {
			l.say("HTTP/1.1 200 OK\r\n%s", strings.Repeat("X-Filler: "+strings.Repeat("a", 1000)+"\r\n", 1000))
		}, trace.StatusFailed, 0, 0, 0, false},
		{"a body without end", func(l *talk) { l.say("HTTP/1.1 200 OK\r\n\r\n%s", strings.Repeat("a", maxResponseSize)); l.hold() },
			trace.StatusFailed, 0, 0, 0, false},
		{"closed", func(l *talk) {}, trace.StatusDisconnected, 0, 0, 0, false},
		{"reset", func(l *talk) { l.conn.SetLinger(0) }, trace.StatusDisconnected, 0, 0, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newScripted(t)
			s.serve(func(n int, l *talk) {
				if _, _, ok := l.request(); ok {
					c.answer(l)
				}
			})
			got := s.roundTrip(t.Context(), s.query("unsafe", 5))
			if got.Status != c.want || got.Code != c.code || got.RetryAfter != c.advice || got.Responses != c.answers ||
				got.Forged != c.forged || got.Sent == trace.Unset {
				t.Errorf("%+v", got)
			}
		})
	}
}

// A caller gives a try up when its time is over, when it leaves and when it is told to, and then closes the
// connection.
func TestCallersGiveUp(t *testing.T) {
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
		{"it is called off", "", func(*clientRequest, time.Duration) {}, true, trace.StatusCanceled},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, ctx, closed := newScripted(t), t.Context(), make(chan struct{})
			ctx, end := context.WithCancel(ctx)
			defer end()
			s.serve(func(n int, l *talk) {
				l.request()
				l.say("%s", c.begun)
				if c.end {
					end()
				}
				l.hold()
				close(closed)
			})
			q := s.query("safe", 5)
			c.edit(&q, s.now())
			got := s.roundTrip(ctx, q)
			if got.Status != c.want || got.Sent == trace.Unset || got.Responses != 0 {
				t.Errorf("%+v", got)
			}
			<-closed
		})
	}
}

// Where no connection comes up, nothing was sent.
func TestNoEntry(t *testing.T) {
	s := newScripted(t)
	if got := s.roundTrip(t.Context(), s.query("unsafe", 5)); got.Status != trace.StatusConnectFailed || got.Sent != trace.Unset || got.Endpoint != -1 {
		t.Errorf("%+v", got)
	}
	nobody := s.query("safe", 5)
	nobody.attempt.Sidecar = -1
	if got := s.roundTrip(t.Context(), nobody); got.Status != trace.StatusConnectFailed || got.Sent != trace.Unset {
		t.Errorf("nobody to send to: %+v", got)
	}
	ctx, end := context.WithCancel(t.Context())
	end()
	if got := s.roundTrip(ctx, s.query("unsafe", 5)); got.Status != trace.StatusCanceled || got.Sent != trace.Unset {
		t.Errorf("called off: %+v", got)
	}
}

// A second answer counts, whether it comes with the first, before the connection is used again, or is there
// when the run ends.
func TestSecondAnswersAreSeen(t *testing.T) {
	second := "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n"
	t.Run("at once", func(t *testing.T) {
		s := newScripted(t)
		s.serve(func(n int, l *talk) {
			l.request()
			body := responseBody(5, 2, 0, 64)
			l.say("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s%s", len(body), body, second)
			l.hold()
		})
		if got := s.roundTrip(t.Context(), s.query("safe", 5)); got.Responses != 2 || got.Status != trace.StatusServed {
			t.Errorf("%+v", got)
		}
	})
	for _, again := range []bool{true, false} {
		t.Run(map[bool]string{true: "before the next", false: "at the end"}[again], func(t *testing.T) {
			s := newScripted(t)
			first, said := make(chan struct{}), make(chan struct{})
			s.serve(func(n int, l *talk) {
				l.request()
				l.served(uint64(5+n), 2)
				if n == 0 {
					<-first
					l.say("%s", second)
					close(said)
				}
				l.hold()
			})
			if got := s.roundTrip(t.Context(), s.query("safe", 5)); got.Responses != 1 || got.Status != trace.StatusServed {
				t.Errorf("%+v", got)
			}
			close(first)
			<-said
			if again {
				if got := s.roundTrip(t.Context(), s.query("safe", 6)); got.Responses != 1 || got.Status != trace.StatusServed {
					t.Errorf("the next: %+v", got)
				}
			}
			if twice := s.close(); len(twice) != 1 || twice[0] != 5 {
				t.Errorf("answered twice: %v", twice)
			}
		})
	}
}

// What follows a spoilt answer is not held against the request that was answered before on that connection.
func TestSpoiltAnswerIsNoSecondOne(t *testing.T) {
	s := newScripted(t)
	s.serve(func(n int, l *talk) {
		l.request()
		l.served(5, 2)
		l.request()
		l.say("good day\r\nand good night\r\n")
		l.hold()
	})
	if got := s.roundTrip(t.Context(), s.query("safe", 5)); got.Status != trace.StatusServed {
		t.Errorf("%+v", got)
	}
	if got := s.roundTrip(t.Context(), s.query("safe", 6)); got.Status != trace.StatusFailed || got.Responses != 0 {
		t.Errorf("%+v", got)
	}
	if twice := s.close(); len(twice) != 0 {
		t.Errorf("answered twice: %v", twice)
	}
}

// A kept connection that is closed between requests costs no try: what nobody has read is sent once more on a
// new one. What was read is not.
func TestClosedBetweenRequests(t *testing.T) {
	for _, c := range []struct {
		name   string
		second func(l *talk) // of the kept connection, once the first request was answered
		want   trace.Status
	}{
		{"long before", func(l *talk) {}, trace.StatusServed},
		{"as it comes", func(l *talk) { awaitUnread(l) }, trace.StatusServed},
		{"once it was read", func(l *talk) { l.request() }, trace.StatusDisconnected},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, idle := newScripted(t), make(chan struct{})
			s.serve(func(n int, l *talk) {
				l.request()
				l.served(uint64(5+n), n)
				if n == 0 {
					c.second(l)
					l.conn.Close()
					close(idle)
				}
				l.hold()
			})
			if got := s.roundTrip(t.Context(), s.query("unsafe", 5)); got.Status != trace.StatusServed || got.Endpoint != 0 {
				t.Fatalf("first: %+v", got)
			}
			if c.name == "long before" {
				<-idle
			}
			got := s.roundTrip(t.Context(), s.query("unsafe", 6))
			if got.Status != c.want || got.Status == trace.StatusServed && (got.Endpoint != 1 || got.Responses != 1) {
				t.Errorf("second: %+v", got)
			}
		})
	}
}

// awaitUnread waits until there are bytes to read and leaves them there.
func awaitUnread(l *talk) {
	raw, err := l.conn.SyscallConn()
	if err != nil {
		return
	}
	raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return err != unix.EAGAIN
	})
}

// A close that came before the request, but after the caller has looked, shows as an end of the stream like any
// other; that nobody has read the request is still known.
func TestUnreadAfterAnEnd(t *testing.T) {
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
		send := func() { conn.Write([]byte("request")) }
		if reads {
			send()
			other.Read(make([]byte, 100))
		}
		other.Close()
		if !reads {
			l.raw.Read(func(uintptr) bool { return l.idleState() == idleClosed })
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

// There are never more connections than the bound: an idle one gives way, and otherwise the caller waits.
func TestConnectionsAreBounded(t *testing.T) {
	s := newScripted(t)
	s.slots = make(chan struct{}, 1)
	release := make(chan struct{})
	arrived := make(chan struct{}, 2)
	s.serve(func(n int, l *talk) {
		for {
			req, _, ok := l.request()
			if !ok {
				return
			}
			arrived <- struct{}{}
			if n > 0 {
				<-release
			}
			txn, _ := parseHex(req.Header.Get("X-Txn"), 16)
			l.served(txn, n)
		}
	})
	if got := s.roundTrip(t.Context(), s.query("safe", 1)); got.Status != trace.StatusServed || got.Endpoint != 0 {
		t.Fatalf("first: %+v", got)
	}
	<-arrived
	fresh := s.query("safe", 2)
	fresh.newConnection = true
	held := make(chan trace.ClientAttempt)
	go func() { held <- s.roundTrip(t.Context(), fresh) }() // the idle one makes room for it
	select {
	case <-arrived:
	case got := <-held:
		t.Fatalf("in the place of an idle one: %+v", got)
	}
	late := s.query("safe", 3)
	late.timeout = 30 * time.Millisecond
	if got := s.roundTrip(t.Context(), late); got.Status != trace.StatusConnectFailed {
		t.Errorf("beyond the bound: %+v", got)
	}
	close(release)
	if got := <-held; got.Status != trace.StatusServed || got.Endpoint != 1 {
		t.Errorf("on a new connection: %+v", got)
	}
}
