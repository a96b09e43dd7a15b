package loopback

import (
	"bufio"
	"bytes"
	"math/rand/v2"
	"net/http"
	"slices"
	"testing"
	"testing/iotest"
	"time"

	"github.com/apache/thrift/lib/go/thrift"

	"pinelb.example/pinelb/internal/lab/model"
	"pinelb.example/pinelb/internal/lab/scenario"
	"pinelb.example/pinelb/internal/lab/trace"
)

// overThrift runs a test in each form of Thrift.
func overThrift(t *testing.T, test func(t *testing.T, protocol string)) {
	for _, protocol := range scenario.Protocols {
		if protocol == "http" {
			continue
		}
		if _, ok := thriftForms[protocol]; !ok {
			t.Fatalf("%s is no form", protocol)
		}
		t.Run(protocol, func(t *testing.T) { test(t, protocol) })
	}
}

func thriftFleet(protocol string) string { return "[fleet]\nprotocol = \"" + protocol + "\"\n" }

// TestEndpointSpeaksThrift is an endpoint as a client sees it that knows nothing but Thrift.
func TestEndpointSpeaksThrift(t *testing.T) {
	const noFault = model.FaultKind(255)
	overThrift(t, func(t *testing.T, protocol string) {
		for _, c := range []struct {
			name  string
			fault model.FaultKind
			shift uint64 // of the id: another is nobody's
			class string
			want  clientResponse
			ends  trace.Outcome
		}{
			{"complete", noFault, 0, "keyed", clientResponse{status: trace.StatusServed}, trace.OutcomeOK},
			{"failed", model.Fail, 0, "quick", clientResponse{status: trace.StatusFailed, code: thrift.INTERNAL_ERROR}, trace.OutcomeError},
			{"a stranger's", noFault, 1, "quick", clientResponse{status: trace.StatusFailed, code: thrift.PROTOCOL_ERROR}, trace.OutcomeError},
			{"rejected", noFault, 0, "quick", clientResponse{status: trace.StatusFailed, code: scenario.ThriftRejectedType}, trace.OutcomeRejected},
			{"cut", model.Truncate, 0, "quick", clientResponse{}, trace.OutcomeCorrupted},
			{"malformed", model.Corrupt, 0, "quick", clientResponse{}, trace.OutcomeCorrupted},
			{"dripped", model.Trickle, 0, "quick", clientResponse{}, trace.OutcomeCorrupted},
		} {
			t.Run(c.name, func(t *testing.T) {
				s := newFixture(t, fixtureClasses+oneTier+"slots = 1\nqueue = 1\n"+thriftFleet(protocol))
				for i := 0; i < 2 && c.ends == trace.OutcomeRejected; i++ {
					s.send(s.dial(0), s.nextRequest("long"))
					s.awaitLoad(0, 1, i)
				}
				if c.fault != noFault {
					s.beginFault(0, c.fault, 1)
				}
				q, conn := s.nextRequest(c.class), s.dial(0)
				q.attempt.TransactionID += c.shift
				s.send(conn, q)
				if c.fault == model.Trickle {
					if _, err := conn.in.Peek(2 * dripSize); err != nil {
						t.Error(err)
					}
					conn.Close()
				} else if got, err := s.transport.codec.readResponse(&clientConn{reader: conn.in}, &q); (err != nil) != (c.ends == trace.OutcomeCorrupted) ||
					err == nil && (got.status != c.want.status || got.code != c.want.code) {
					t.Errorf("%+v: %v", got, err)
				} else if endpoint, ok := verifyBody(q.attempt.TransactionID, got.body); c.ends == trace.OutcomeOK && (!ok || endpoint != 0) {
					t.Error("the body is not endpoint 0's")
				}
				if c.shift > 0 {
					q.attempt.TransactionID = 0
				}
				if v := s.endpointRequest(q.attempt.TransactionID); v.Outcome != c.ends {
					t.Errorf("the request is %+v", v)
				}
			})
		}
	})
}

// TestEndpointOverThriftHealthCheck checks that an endpoint that serves Thrift responses health checks over HTTP, and nothing else.
func TestEndpointOverThriftHealthCheck(t *testing.T) {
	s := newFixture(t, fixtureClasses+oneTier+thriftFleet("thrift-compact"))
	c := s.dial(0)
	c.write("GET /ping HTTP/1.1\r\nHost: box\r\n\r\n")
	c.expectStatus(http.StatusOK)
	c.write("GET /quick/0 HTTP/1.1\r\nHost: box\r\n\r\n")
	if err := c.readError(testTimeout); !isEnded(err) {
		t.Errorf("a request over HTTP: %v", err)
	}
}

// TestThriftRoundTrip checks that endpoints read what clients write, in pieces of any size, and the reverse; neither takes a byte of what
// follows.
func TestThriftRoundTrip(t *testing.T) {
	overThrift(t, func(t *testing.T, protocol string) {
		s := newFixture(t, fixtureClasses+oneTier+thriftFleet(protocol))
		endpoint, wire := newEndpointCodec(s.plan), s.transport.codec
		for _, class := range []string{"quick", "keyed"} {
			q := s.nextRequest(class)
			text := wire.appendRequest(nil, &q)
			want := incomingRequest{identified: true, transactionID: q.attempt.TransactionID, planIndex: q.attempt.Request, timeout: q.timeout, correlation: correlation{method: class, seq: int32(q.attempt.TransactionID)}}
			if class == "keyed" {
				want.idempotencyKey = q.idempotencyKey
			}
			in := bufio.NewReader(iotest.OneByteReader(bytes.NewReader(slices.Concat(text, text))))
			for range 2 {
				if a, err := endpoint.readRequest(in); err != nil || a != want {
					t.Errorf("%+v, want %+v: %v", a, want, err)
				}
			}
			if a, err := endpoint.readRequest(bufio.NewReader(bytes.NewReader(text[:len(text)-1]))); err == nil || !a.identified {
				t.Errorf("all but the last byte: %+v, %v", a, err)
			}
			l := &clientConn{reader: bufio.NewReader(bytes.NewReader(append(endpoint.appendResponse(nil, responseOK, want.correlation, []byte("body"), false), 'x')))}
			if e, err := wire.readResponse(l, &q); err != nil || string(e.body) != "body" || l.reader.Buffered() != 1 {
				t.Errorf("%+v, %d left: %v", e, l.reader.Buffered(), err)
			}
		}
	})
}

func TestMalformedThriftIsNoResponse(t *testing.T) {
	overThrift(t, func(t *testing.T, protocol string) {
		s := newFixture(t, fixtureClasses+oneTier+thriftFleet(protocol))
		random, q := rand.New(rand.NewPCG(1, 0)), s.nextRequest("quick")
		for _, size := range []int{minBodySize, 5000} {
			for range 300 {
				text := newEndpointCodec(s.plan).appendMalformed(nil, correlation{method: "quick", seq: int32(q.attempt.TransactionID)}, responseBody(1, 2, 3, size), random)
				if e, err := s.transport.codec.readResponse(&clientConn{reader: bufio.NewReader(bytes.NewReader(text))}, &q); err == nil {
					t.Fatalf("this passes for a complete response: %+v %q", e, text)
				}
			}
		}
	})
}

// TestResponseStatusOverThrift checks that the response decides the status, as over HTTP.
func TestResponseStatusOverThrift(t *testing.T) {
	overThrift(t, func(t *testing.T, protocol string) {
		form := thriftForms[protocol]
		reply := func(method string, seq int32, body []byte) []byte {
			return form.write(nil, thriftHead{method, thrift.REPLY, seq}, successResult(body))
		}
		complete := reply("unsafe_one", 5, responseBody(5, 2, 0, 64))
		exception := func(kind int32, message string) []byte {
			return form.write(nil, thriftHead{"unsafe_one", thrift.EXCEPTION, 5}, func(w thriftWriter) { w.exception(kind, message) })
		}
		for _, c := range []struct {
			name    string
			answer  []byte
			want    trace.Status
			code    int
			advice  time.Duration
			answers int
			forged  bool
		}{
			{"complete", complete, trace.StatusServed, 0, 0, 1, false},
			{"two", slices.Concat(complete, complete), trace.StatusServed, 0, 0, 2, false},
			{"another's", reply("unsafe_one", 5, responseBody(6, 2, 0, 64)), trace.StatusServed, 0, 0, 1, true},
			{"without a body", form.write(nil, thriftHead{"unsafe_one", thrift.REPLY, 5},
				func(w thriftWriter) { w.fields(func() { w.number(7, 7) }) }), trace.StatusServed, 0, 0, 1, true},
			{"refused with advice", exception(100, "refused: no room; retry after 0.250 s"), trace.StatusRejected, 100, 250 * time.Millisecond, 1, false},
			{"refused", exception(100, "refused"), trace.StatusRejected, 100, 0, 1, false},
			{"failed", exception(101, "failed; retry after 0.250 s"), trace.StatusFailed, 101, 0, 1, false},
			{"expired", exception(102, ""), trace.StatusFailed, 102, 0, 1, false},
			{"unknown method", exception(1, ""), trace.StatusFailed, 1, 0, 1, false},
			{"another sequence id", reply("unsafe_one", 6, responseBody(5, 2, 0, 64)), trace.StatusFailed, 0, 0, 0, false},
			{"another method", reply("safe_one", 5, responseBody(5, 2, 0, 64)), trace.StatusFailed, 0, 0, 0, false},
			{"half a reply", complete[:len(complete)/2], trace.StatusFailed, 0, 0, 0, false},
			{"HTTP", []byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"), trace.StatusFailed, 0, 0, 0, false},
			{"closed", nil, trace.StatusDisconnected, 0, 0, 0, false},
		} {
			t.Run(c.name, func(t *testing.T) {
				s := newTransportFixtureOver(t, protocol)
				s.serve(func(_ int, l *scriptedConn) {
					if err := form.read(l.in, func(_ thriftHead, p thrift.TProtocol) error { return p.Skip(t.Context(), thrift.STRUCT) }); err != nil {
						t.Error(err)
					}
					if _, err := l.conn.Write(c.answer); err != nil {
						t.Error(err)
					}
				})
				got := s.roundTrip(t.Context(), s.newRequest("unsafe", 5))
				if got.Status != c.want || got.Code != c.code || got.RetryAfter != c.advice || got.Responses != c.answers ||
					got.Forged != c.forged || got.Sent == trace.Unset {
					t.Errorf("%+v", got)
				}
			})
		}
	})
}
