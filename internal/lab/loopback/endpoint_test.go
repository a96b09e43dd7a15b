package loopback

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"pinelb.example/pinelb/internal/lab/model"
	"pinelb.example/pinelb/internal/lab/plan"
	"pinelb.example/pinelb/internal/lab/trace"
)

func TestEndpointServes(t *testing.T) {
	s := newFixture(t, fixtureClasses+oneTier)
	c := s.dial(0)
	var conn uint64
	for i, class := range []string{"quick", "keyed", "quick"} {
		q := s.nextRequest(class)
		s.send(c, q)
		_, body := c.expectStatus(http.StatusOK)
		if endpoint, ok := verifyBody(q.attempt.TransactionID, body); !ok || endpoint != 0 {
			t.Errorf("%s: the body is not endpoint 0's", class)
		}
		if want := s.plan.Scenario.Classes[q.attempt.Class].ResponseBytes; len(body) != want {
			t.Errorf("%s: the body has %d bytes, not %d", class, len(body), want)
		}
		v := s.endpointRequest(q.attempt.TransactionID)
		if v.Outcome != trace.OutcomeOK || v.IdempotencyKey != q.idempotencyKey || v.Deduplicated || v.Work <= 0 {
			t.Errorf("%s: the request is %+v", class, v)
		}
		if v.FirstByte > v.LastByte || v.LastByte > v.Started || v.Started > v.Ended {
			t.Errorf("%s: the times are out of order: %+v", class, v)
		}
		if i > 0 && v.ConnectionID != conn {
			t.Errorf("%s: connection %d, after %d", class, v.ConnectionID, conn)
		}
		conn = v.ConnectionID
	}
}

// TestEndpointsShareKeys checks that a second request with an idempotency key has no effect, also at another endpoint.
func TestEndpointsShareKeys(t *testing.T) {
	s := newFixture(t, fixtureClasses+oneTier)
	q := s.nextRequest("keyed")
	for endpoint := range 2 {
		q.attempt.TransactionID = s.plan.TransactionID(q.attempt.Request, endpoint)
		c := s.dial(endpoint)
		s.send(c, q)
		c.expectStatus(http.StatusOK)
		if v := s.endpointRequest(q.attempt.TransactionID); v.Deduplicated != (endpoint > 0) {
			t.Errorf("at endpoint %d the request's Deduplicated is %v", endpoint, v.Deduplicated)
		}
	}
}

func TestEndpointDetectsForeignRequests(t *testing.T) {
	s := newFixture(t, fixtureClasses+oneTier)
	q := s.nextRequest("keyed")
	good := string(s.transport.codec.appendRequest(nil, &q))
	change := func(old, to string) string {
		if strings.Count(good, old) != 1 {
			t.Fatalf("%q is not once in %q", old, good)
		}
		return strings.Replace(good, old, to, 1)
	}
	txn := fmt.Sprintf("X-Txn: %016x", q.attempt.TransactionID)
	path := requestPath("keyed", q.attempt.Request)
	strays := map[string]string{
		"another id":     change(txn, fmt.Sprintf("X-Txn: %016x", q.attempt.TransactionID+1)),
		"a faulty id":    change(txn, "X-Txn: nine"),
		"another class":  change(path, requestPath("quick", q.attempt.Request)),
		"no request":     change(path, requestPath("keyed", len(s.plan.Requests))),
		"another path":   change(path, path+"?again=1"),
		"another method": change("POST", "PUT"),
		"another key":    change("Idempotency-Key: 0000000000000000", "Idempotency-Key: 0000000000000001"),
		"no key":         change("Idempotency-Key", "Idempotency-Lock"),
		"another body":   change("xxxxxxxxx", "xxxxyxxxx"),
		"a longer body":  change("Content-Length: 9\r\n\r\n", "Content-Length: 10\r\n\r\nx"),
	}
	c := s.dial(0)
	for what, text := range strays {
		c.write(text)
		if res, _, err := c.readResponse(); err != nil || res.StatusCode != http.StatusBadRequest {
			t.Errorf("%s: %v %v", what, res, err)
		}
	}
	s.recorder.mu.Lock()
	if got := len(s.recorder.log.EndpointRequests); got != len(strays) {
		t.Errorf("%d foreign requests are recorded", got)
	}
	for _, v := range s.recorder.log.EndpointRequests {
		if v.TransactionID != 0 || v.Outcome != trace.OutcomeError {
			t.Errorf("a foreign request is %+v", v)
		}
	}
	s.recorder.mu.Unlock()
	c.write(change(txn+"\r\n", ""))
	c.expectStatus(http.StatusNotFound)
	c.write(good)
	c.expectStatus(http.StatusOK)
}

func TestEndpointHealthCheck(t *testing.T) {
	for _, probes := range []bool{true, false} {
		s := newFixture(t, fixtureClasses+oneTier+fmt.Sprintf("[rules]\nprobes = %v\n", probes))
		want := http.StatusOK
		if !probes {
			want = http.StatusNotFound
		}
		for _, path := range []string{"/ping", "/_load"} {
			c := s.dial(0)
			fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: box\r\nConnection: close\r\n\r\n", path)
			c.expectStatus(want)
			if err := c.readError(testTimeout); !isEnded(err) {
				t.Errorf("%s: the connection goes on after Connection: close: %v", path, err)
			}
		}
		s.beginFault(0, model.Hang, 0)
		c := s.dial(0)
		fmt.Fprint(c, "GET /ping HTTP/1.1\r\nHost: box\r\n\r\n")
		if err := c.readError(50 * time.Millisecond); probes && !isTimedOut(err) {
			t.Errorf("an endpoint that hangs answers a health check: %v", err)
		}
	}
}

// TestEndpointRejectsAndCancels checks that requests beyond the queue are rejected before they run, and that a client that closes, or
// half-closes, cancels its request.
func TestEndpointRejectsAndCancels(t *testing.T) {
	s := newFixture(t, fixtureClasses+oneTier+"slots = 1\nqueue = 1\ncores = 1\n")
	var active [2]clientRequest
	var conns [2]*rawConn
	for i := range active {
		active[i], conns[i] = s.nextRequest("long"), s.dial(0)
		s.send(conns[i], active[i])
		s.awaitLoad(0, 1, i)
	}
	c, q := s.dial(0), s.nextRequest("quick")
	s.send(c, q)
	if res, _ := c.expectStatus(http.StatusServiceUnavailable); res.Header.Get("X-Turned-Away") != "1" {
		t.Error("the response does not say that it was rejected")
	}
	if v := s.endpointRequest(q.attempt.TransactionID); v.Outcome != trace.OutcomeRejected || v.Started != trace.Unset || v.Work != 0 {
		t.Errorf("the rejected one: %+v", v)
	}
	conns[0].Close()
	if v := s.endpointRequest(active[0].attempt.TransactionID); v.Outcome != trace.OutcomeCanceled || v.Started == trace.Unset || v.Work >= 50*time.Second {
		t.Errorf("the one that ran: %+v", v)
	}
	s.awaitLoad(0, 1, 0)
	if err := conns[1].Conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	if v := s.endpointRequest(active[1].attempt.TransactionID); v.Outcome != trace.OutcomeCanceled || v.Started == trace.Unset {
		t.Errorf("the one that waited, and ran then: %+v", v)
	}
	if err := conns[1].readError(testTimeout); !isEnded(err) {
		t.Errorf("a connection that the caller has ended goes on: %v", err)
	}
}

// TestEndpointWorksOnAfterCancel checks that, where a cancel stops nothing, the work is done to its end, though the request is over with
// its connection.
func TestEndpointWorksOnAfterCancel(t *testing.T) {
	text := strings.Replace(fixtureClasses, `work = "50s"`, `work = "300ms"`, 1)
	s := newFixture(t, text+oneTier+"cancel = \"nothing\"\nhandshake = \"1us\"\n")
	q, c := s.nextRequest("long"), s.dial(0)
	s.send(c, q)
	s.awaitLoad(0, 1, 0)
	c.Close()
	v := s.endpointRequest(q.attempt.TransactionID)
	if v.Outcome != trace.OutcomeCanceled || v.Work < 300*time.Millisecond || v.Ended-v.LastByte >= 300*time.Millisecond {
		t.Errorf("given up after %v: %+v", v.Ended-v.LastByte, v)
	}
}

func TestEndpointBecomesUnresponsive(t *testing.T) {
	s := newFixture(t, fixtureClasses+oneTier)
	active, idle, q := s.dial(0), s.dial(0), s.nextRequest("long")
	s.send(active, q)
	s.awaitLoad(0, 1, 0)
	end := s.beginFault(0, model.Vanish, 0)
	unheard := s.nextRequest("quick")
	s.send(idle, unheard)
	s.awaitDial(0, "never come up", isTimedOut)
	for _, c := range []*rawConn{active, idle} {
		if err := c.readError(50 * time.Millisecond); !isTimedOut(err) {
			t.Errorf("an open connection says %v", err)
		}
	}
	end()
	for _, c := range []*rawConn{active, idle} {
		if err := c.readError(testTimeout); !isReset(err) {
			t.Errorf("once the machine is back, an open connection says %v", err)
		}
	}
	if v := s.endpointRequest(q.attempt.TransactionID); v.Outcome != trace.OutcomeLost {
		t.Errorf("what it had: %+v", v)
	}
	s.awaitDial(0, "come up", isConnected)
	if !s.endpoints[0].sample(s.elapsed()).WarmingUp {
		t.Error("it is back warm")
	}
	c, q := s.dial(0), s.nextRequest("quick")
	s.send(c, q)
	c.expectStatus(http.StatusOK)
	s.recorder.mu.Lock()
	defer s.recorder.mu.Unlock()
	for _, v := range s.recorder.log.EndpointRequests {
		if v.TransactionID == unheard.attempt.TransactionID {
			t.Errorf("it has heard what was written to it while it was not there: %+v", v)
		}
	}
}

func TestEndpointCrashes(t *testing.T) {
	s := newFixture(t, fixtureClasses+oneTier)
	c, q := s.dial(0), s.nextRequest("long")
	s.send(c, q)
	s.awaitLoad(0, 1, 0)
	end := s.beginFault(0, model.Crash, 0)
	if err := c.readError(testTimeout); !isReset(err) {
		t.Errorf("an open connection says %v", err)
	}
	if v := s.endpointRequest(q.attempt.TransactionID); v.Outcome != trace.OutcomeLost {
		t.Errorf("what it had: %+v", v)
	}
	s.awaitDial(0, "are refused", isRefused)
	overlap := s.beginFault(0, model.Vanish, 0)
	s.awaitDial(0, "never come up", isTimedOut)
	overlap()
	s.awaitDial(0, "are refused again", isRefused)
	end()
	s.awaitDial(0, "come up", isConnected)
	if !s.endpoints[0].sample(s.elapsed()).WarmingUp {
		t.Error("it is back warm")
	}
}

func TestEndpointRefusesConnections(t *testing.T) {
	s := newFixture(t, fixtureClasses+oneTier)
	c, q := s.dial(0), s.nextRequest("quick")
	s.send(c, q)
	c.expectStatus(http.StatusOK)
	end := s.beginFault(0, model.RefuseConnections, 0)
	s.awaitDial(0, "are refused", isRefused)
	s.send(c, s.nextRequest("quick"))
	c.expectStatus(http.StatusOK)
	end()
	s.awaitDial(0, "come up", isConnected)
}

func TestEndpointLimitsConnections(t *testing.T) {
	s := newFixture(t, fixtureClasses+oneTier+"connections = 2\n")
	first, second := s.dial(0), s.dial(0)
	s.send(second, s.nextRequest("quick"))
	second.expectStatus(http.StatusOK)
	third, err := net.DialTimeout("tcp", s.endpoints[0].address(), testTimeout)
	if err == nil { // otherwise the reset was here before the dial had returned
		_, err = third.Read(make([]byte, 1))
		third.Close()
	}
	if !isReset(err) {
		t.Errorf("the third connection says %v", err)
	}
	first.Close()
	await(t, "there is room again", func() bool { return s.endpoints[0].sample(s.elapsed()).Connections == 1 })
	c := s.dial(0)
	s.send(c, s.nextRequest("quick"))
	c.expectStatus(http.StatusOK)
}

func TestEndpointHangs(t *testing.T) {
	s := newFixture(t, fixtureClasses+oneTier)
	old, q := s.dial(0), s.nextRequest("long")
	s.send(old, q)
	s.awaitLoad(0, 1, 0)
	end := s.beginFault(0, model.Hang, 0)
	c, late := s.dial(0), s.nextRequest("quick")
	s.send(c, late)
	if err := c.readError(50 * time.Millisecond); !isTimedOut(err) {
		t.Errorf("it answers: %v", err)
	}
	c.Close()
	if v := s.endpointRequest(late.attempt.TransactionID); v.Outcome != trace.OutcomeCanceled || v.Started != trace.Unset {
		t.Errorf("what came to nothing: %+v", v)
	}
	end()
	c = s.dial(0)
	s.send(c, s.nextRequest("quick"))
	c.expectStatus(http.StatusOK)
	if err := old.readError(50 * time.Millisecond); !isTimedOut(err) {
		t.Errorf("what it had taken is answered: %v", err)
	}
}

func TestEndpointFailsFast(t *testing.T) {
	s := newFixture(t, fixtureClasses+oneTier)
	s.beginFault(0, model.Fail, 1)
	c, q := s.dial(0), s.nextRequest("long")
	s.send(c, q)
	c.expectStatus(http.StatusInternalServerError)
	if v := s.endpointRequest(q.attempt.TransactionID); v.Outcome != trace.OutcomeError || v.Started != trace.Unset {
		t.Errorf("the request is %+v", v)
	}
}

// TestEndpointCorruptsResponses checks that no truncated or malformed response passes for a complete one, and that its connection ends.
func TestEndpointCorruptsResponses(t *testing.T) {
	for kind, name := range map[model.FaultKind]string{model.Truncate: "cut off", model.Corrupt: "malformed"} {
		t.Run(name, func(t *testing.T) {
			s := newFixture(t, fixtureClasses+oneTier)
			s.beginFault(0, kind, 1)
			ends := map[bool]int{}
			for range 15 {
				c, q := s.dial(0), s.nextRequest("quick")
				s.send(c, q)
				res, body, err := c.readResponse()
				if err == nil {
					t.Errorf("it is complete: %v %q", res.Status, body)
				}
				ends[isReset(err)]++
				if _, err := io.Copy(io.Discard, c); isTimedOut(err) {
					t.Error("its connection goes on")
				}
				if v := s.endpointRequest(q.attempt.TransactionID); v.Outcome != trace.OutcomeCorrupted || v.Work <= 0 {
					t.Errorf("the request is %+v", v)
				}
			}
			if kind == model.Truncate && len(ends) != 2 {
				t.Errorf("connections all end in the same way: %v", ends)
			}
		})
	}
}

func TestEndpointDrips(t *testing.T) {
	s := newFixture(t, fixtureClasses+oneTier)
	s.beginFault(0, model.Trickle, 1)
	c, q := s.dial(0), s.nextRequest("quick")
	begun := time.Now()
	s.send(c, q)
	var some [3 * dripSize]byte
	if _, err := io.ReadFull(c, some[:]); err != nil {
		t.Fatal(err)
	}
	if took := time.Since(begun); took < 2*dripInterval {
		t.Errorf("three drops took %v", took)
	}
	before := s.elapsed()
	c.Close()
	if v := s.endpointRequest(q.attempt.TransactionID); v.Outcome != trace.OutcomeCorrupted || v.Ended < before {
		t.Errorf("closed after %v, the request is %+v", before, v)
	}
}

// TestEndpointStopsDripping checks that a dripping response is in flight until its endpoint goes down; on a host that becomes
// unresponsive it stops at once.
func TestEndpointStopsDripping(t *testing.T) {
	for kind, name := range map[model.FaultKind]string{model.Vanish: "unresponsive", model.Crash: "crashed"} {
		t.Run(name, func(t *testing.T) {
			s := newFixture(t, fixtureClasses+oneTier)
			s.beginFault(0, model.Trickle, 1)
			c, q := s.dial(0), s.nextRequest("quick")
			s.send(c, q)
			if err := c.readError(testTimeout); err != nil {
				t.Fatal(err)
			}
			end := s.beginFault(0, kind, 0)
			if kind == model.Vanish {
				s.awaitDial(0, "never come up", isTimedOut)
				_, _ = c.in.Discard(c.in.Buffered())
				if err := c.readError(2 * dripInterval); !isTimedOut(err) {
					t.Errorf("it drips on: %v", err)
				}
				end()
			}
			_ = c.SetReadDeadline(time.Now().Add(testTimeout))
			if _, err := io.Copy(io.Discard, c); !isReset(err) {
				t.Errorf("the connection says %v", err)
			}
			if v := s.endpointRequest(q.attempt.TransactionID); v.Outcome != trace.OutcomeCorrupted {
				t.Errorf("the request is %+v", v)
			}
		})
	}
}

// TestColdEndpointIsAnnouncedAtStart checks that an endpoint that starts cold with the run is announced again then: the start time
// announced before was a guess.
func TestColdEndpointIsAnnouncedAtStart(t *testing.T) {
	s := newFixture(t, fixtureClasses+oneTier+"start = \"cold\"\n")
	a, err := newAgent(s.run, 0, s.addresses.agent(0, 0))
	if err != nil {
		t.Fatal(err)
	}
	defer a.close()
	s.agents = []*agent{a}
	s.endpoints[1].start()
	if got := a.catalog.changesSince(1); len(got) != 1 || got[0].Endpoint != 1 || got[0].StartedAt == 0 {
		t.Errorf("notified of %v", got)
	}
}

func TestMalformedBytesAreNoResponse(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 0))
	for _, size := range []int{minBodySize, 64, 5000} {
		body := responseBody(1, 2, 3, size)
		for range 300 {
			text := http1Codec{}.appendMalformed(nil, correlation{}, body, random)
			res, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(text)), nil)
			if err == nil {
				_, err = io.ReadAll(res.Body)
			}
			if err == nil {
				t.Fatalf("this passes for a complete response: %q", text)
			}
		}
	}
}

// TestEndpointCollapses checks that a cold endpoint that is overloaded goes down for good, and that the run is notified once.
func TestEndpointCollapses(t *testing.T) {
	s := newFixture(t, fixtureClasses+oneTier+"start = \"cold\"\ncores = 1\n")
	collapsed := make(chan struct{}, 2)
	s.endpoints[0].onCollapse = func() { collapsed <- struct{}{} }
	c, q := s.dial(0), s.nextRequest("long") // 50 s of work within a second
	s.send(c, q)
	if err := c.readError(testTimeout); !isReset(err) {
		t.Errorf("its connection says %v", err)
	}
	if v := s.endpointRequest(q.attempt.TransactionID); v.Outcome != trace.OutcomeLost {
		t.Errorf("the request is %+v", v)
	}
	<-collapsed
	s.awaitDial(0, "are refused", isRefused)
	if !s.endpoints[0].sample(s.elapsed()).Collapsed {
		t.Error("it has not fallen")
	}
	if len(collapsed) != 0 {
		t.Error("the run is notified twice")
	}
}

func TestAbsentEndpointStarts(t *testing.T) {
	s := newFixture(t, fixtureClasses+oneTier+"start = \"absent\"\n")
	s.awaitDial(0, "are refused", isRefused)
	s.endpoints[0].applyEvent(s.elapsed(), plan.Event{Kind: plan.StartEndpoint, Endpoint: 0})
	s.awaitDial(0, "come up", isConnected)
	if !s.endpoints[0].sample(s.elapsed()).WarmingUp {
		t.Error("it starts warm")
	}
}

// TestEndpointClosesIdleConnections checks that an idle connection is closed in time and not before, and that one with a pending request
// is not idle. Times count from before the connection or the request was made, which is never later than what the endpoint counts from.
func TestEndpointClosesIdleConnections(t *testing.T) {
	const idle, work = 500 * time.Millisecond, 800 * time.Millisecond
	text := strings.Replace(fixtureClasses, `work = "50s"`, `work = "800ms"`, 1)
	s := newFixture(t, text+oneTier+"[rules]\nconn_idle = \"500ms\"\n")
	for class, least := range map[string]time.Duration{"": idle, "quick": idle, "long": work + idle} {
		since := time.Now()
		c := s.dial(0)
		if class != "" {
			since = time.Now()
			s.send(c, s.nextRequest(class))
			c.expectStatus(http.StatusOK)
		}
		if err := c.readError(testTimeout); !isEnded(err) {
			t.Errorf("%q: it says %v", class, err)
		}
		if took := time.Since(since); took < least {
			t.Errorf("%q: closed after %v of %v", class, took, least)
		}
	}
}

// TestEndpointRecordsIncompleteRequests checks that a request that breaks off is recorded, without a last byte, if its head has come.
func TestEndpointRecordsIncompleteRequests(t *testing.T) {
	s := newFixture(t, fixtureClasses+oneTier)
	q := s.nextRequest("keyed")
	text := s.transport.codec.appendRequest(nil, &q)
	c := s.dial(0)
	c.write(string(text[:len(text)-1]))
	c.Close()
	if v := s.endpointRequest(q.attempt.TransactionID); v.LastByte != trace.Unset || v.Started != trace.Unset || v.Outcome != trace.OutcomeCanceled {
		t.Errorf("the request is %+v", v)
	}
}

// TestEndpointRecordsPendingRequests checks that requests in flight at the run's end are recorded as pending.
func TestEndpointRecordsPendingRequests(t *testing.T) {
	s := newFixture(t, fixtureClasses+oneTier)
	c, q := s.dial(0), s.nextRequest("long")
	s.send(c, q)
	s.awaitLoad(0, 1, 0)
	t.Cleanup(func() { // before that of the fixture, which closes again
		if v := s.endpointRequest(q.attempt.TransactionID); v.Outcome != trace.OutcomePending || v.Ended != trace.Unset || v.Started == trace.Unset {
			t.Errorf("the request is %+v", v)
		}
	})
	s.endpoints[0].close()
	s.endpoints = s.endpoints[1:]
}

func TestVerifyBodyChecksEveryByte(t *testing.T) {
	for _, size := range []int{0, minBodySize, 64, 333} {
		body := responseBody(77, 5, 3, size)
		if len(body) != max(size, minBodySize) {
			t.Errorf("asked for %d bytes, got %d", size, len(body))
		}
		if endpoint, ok := verifyBody(77, body); !ok || endpoint != 5 {
			t.Errorf("%d bytes: endpoint %d, %v", size, endpoint, ok)
		}
		if _, ok := verifyBody(78, body); ok {
			t.Errorf("%d bytes pass for another request's", size)
		}
		for i := range body {
			for bit := range 8 {
				body[i] ^= 1 << bit
				if _, ok := verifyBody(77, body); ok {
					t.Errorf("%d bytes: bit %d of byte %d may change", size, bit, i)
				}
				body[i] ^= 1 << bit
			}
			if _, ok := verifyBody(77, body[:i]); ok {
				t.Errorf("%d bytes pass for %d", i, size)
			}
		}
		if _, ok := verifyBody(77, append(body, 0)); ok {
			t.Errorf("%d bytes and one more pass", size)
		}
	}
}

func TestRequestPaths(t *testing.T) {
	if request, ok := parseRequestPath(requestPath("a-class", 12)); !ok || request != 12 {
		t.Errorf("request %d, %v", request, ok)
	}
	for _, path := range []string{"", "/", "/12", "12", "/a/", "/a/-1", "/a/1x", "/a/99999999999999999999"} {
		if _, ok := parseRequestPath(path); ok {
			t.Errorf("%q is taken", path)
		}
	}
}
