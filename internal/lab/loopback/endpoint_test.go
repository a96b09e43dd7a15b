package loopback

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"

	"pinelb.example/pinelb/internal/lab/model"
	"pinelb.example/pinelb/internal/lab/plan"
	"pinelb.example/pinelb/internal/lab/scenario"
	"pinelb.example/pinelb/internal/lab/trace"
)

// standClasses are one whose work is done at once, one that is held until it is given up, and the same of the
// first with other effects. Each has some requests.
const standClasses = `
name = "stand"
length = "2s"
[[class]]
name = "quick"
share = 1
work = "1us"
aim = "1s"
deadline = "30s"
[[class]]
name = "long"
share = 1
work = "50s"
aim = "1s"
deadline = "60s"
[[class]]
name = "keyed"
share = 1
work = "1us"
aim = "1s"
deadline = "30s"
effect = "keyed"
window = "1h"
body = 9
answer = 5000
[[burst]]
for = "1s"
rate = 20
class = "quick"
[[burst]]
for = "1s"
rate = 20
class = "long"
[[burst]]
for = "1s"
rate = 20
class = "keyed"
`

const oneTier = `
[[tier]]
name = "t"
[[tier.kind]]
boxes = 2
`

// stand is boxes, and what a test needs to talk to them without a sidecar.
type stand struct {
	*run
	t    testing.TB
	used map[string]int // requests of a class so far
}

// newStand has the boxes of a scenario up, their clock begun.
func newStand(t testing.TB, text string) *stand {
	t.Helper()
	leaks := goleak.IgnoreCurrent()
	s, err := scenario.Parse("stand.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	p, err := plan.Build(s, 7, nil)
	if err != nil {
		t.Fatal(err)
	}
	out := &stand{run: &run{plan: p, recorder: &recorder{}}, t: t, used: map[string]int{}}
	ctx, cancel := context.WithCancel(context.Background())
	out.ctx = ctx
	if out.addresses, err = newAddresses(); err != nil {
		t.Fatal(err)
	}
	if out.transport, err = newTransport(p, out.elapsed, out.addresses); err != nil {
		t.Fatal(err)
	}
	if s.Fleet.Policy == "plain" {
		out.roundRobin = newRoundRobin(p)
	}
	for i := range p.Boxes {
		b, err := newEndpoint(out.run, i)
		if err != nil {
			t.Fatal(err)
		}
		out.endpoints = append(out.endpoints, b)
	}
	now := time.Now()
	out.startTime.Store(&now)
	for _, b := range out.endpoints {
		b.start()
	}
	t.Cleanup(func() {
		for _, b := range out.endpoints {
			b.close()
		}
		cancel()
		out.scheduled.Wait()
		out.transport.close()
		out.addresses.close()
		goleak.VerifyNone(t, leaks)
	})
	return out
}

// fault begins one of a kind at a box.
func (s *stand) fault(box int, kind model.FaultKind, size float64) (end func()) {
	e := plan.Event{Kind: plan.BeginFault, Box: box, Fault: model.Fault{ID: int(kind), Kind: kind, Size: size}}
	s.endpoints[box].applyEvent(s.elapsed(), e)
	return func() {
		e.Kind = plan.EndFault
		s.endpoints[box].applyEvent(s.elapsed(), e)
	}
}

// next is a request of a class that has not been asked for yet.
func (s *stand) next(class string) clientRequest {
	s.t.Helper()
	n := s.used[class]
	s.used[class]++
	for i := range s.plan.Requests {
		r := &s.plan.Requests[i]
		if s.plan.Scenario.Class[r.Class].Name != class {
			continue
		}
		if n--; n < 0 {
			return clientRequest{directEndpoint: -1, timeout: 20 * time.Second, idempotencyKey: r.Key,
				attempt: trace.ClientAttempt{TransactionID: s.plan.Txn(i, 0), Request: i, Class: r.Class}}
		}
	}
	s.t.Fatalf("the plan has no further request of class %s", class)
	return clientRequest{}
}

// raw is a client's connection to a box.
type raw struct {
	net.Conn
	t  testing.TB
	in *bufio.Reader
}

func (s *stand) dial(box int) *raw {
	s.t.Helper()
	c, err := net.DialTimeout("tcp", s.endpoints[box].address(), ample)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { c.Close() })
	return &raw{c, s.t, bufio.NewReader(c)}
}

// ask writes a request.
func (s *stand) ask(c *raw, q clientRequest) {
	s.t.Helper()
	if _, err := c.Write(s.transport.codec.appendRequest(nil, &q)); err != nil {
		s.t.Fatal(err)
	}
}

// answer reads one whole.
func (c *raw) answer() (*http.Response, []byte, error) {
	_ = c.SetReadDeadline(time.Now().Add(ample))
	res, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return nil, nil, err
	}
	body, err := io.ReadAll(res.Body)
	return res, body, err
}

func (c *raw) expect(code int) (*http.Response, []byte) {
	c.t.Helper()
	res, body, err := c.answer()
	if err != nil {
		c.t.Fatalf("expected %d, got %v", code, err)
	}
	if res.StatusCode != code {
		c.t.Fatalf("expected %d, got %s", code, res.Status)
	}
	return res, body
}

// says is what a read brings.
func (c *raw) says(within time.Duration) error {
	_ = c.SetReadDeadline(time.Now().Add(within))
	_, err := c.in.ReadByte()
	return err
}

// await looks until something holds: what it waits for comes by itself.
func await(t testing.TB, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(ample); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("it never came that %s", what)
		}
	}
}

// visit waits for an id's visit to be over.
func (s *stand) visit(txn uint64) (v trace.EndpointRequest) {
	s.t.Helper()
	await(s.t, fmt.Sprintf("the visit of %016x is noted", txn), func() bool {
		s.recorder.mu.Lock()
		defer s.recorder.mu.Unlock()
		for _, v = range s.recorder.log.EndpointRequests {
			if v.TransactionID == txn {
				return true
			}
		}
		return false
	})
	return v
}

// loaded waits until a box holds so much.
func (s *stand) loaded(box, inWork, waiting int) {
	s.t.Helper()
	await(s.t, fmt.Sprintf("%d are in work and %d wait", inWork, waiting), func() bool {
		l := s.endpoints[box].sample(s.elapsed())
		return l.Running == inWork && l.Queued == waiting
	})
}

// meets waits until a dial ends like this.
func (s *stand) meets(box int, what string, like func(error) bool) {
	s.t.Helper()
	await(s.t, "new connections "+what, func() bool {
		c, err := net.DialTimeout("tcp", s.endpoints[box].address(), 100*time.Millisecond)
		if err == nil {
			c.Close()
		}
		return like(err)
	})
}

func comesUp(err error) bool { return err == nil }
func refused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
func isLate(err error) bool  { return err != nil && isTimeout(err) }
func isReset(err error) bool { return errors.Is(err, syscall.ECONNRESET) }
func isOver(err error) bool  { return isReset(err) || errors.Is(err, io.EOF) }

func TestBoxServes(t *testing.T) {
	s := newStand(t, standClasses+oneTier)
	c := s.dial(0)
	var conn uint64
	for i, class := range []string{"quick", "keyed", "quick"} {
		q := s.next(class)
		s.ask(c, q)
		_, body := c.expect(http.StatusOK)
		if box, ok := verifyBody(q.attempt.TransactionID, body); !ok || box != 0 {
			t.Errorf("%s: the body is not box 0's", class)
		}
		if want := s.plan.Scenario.Class[q.attempt.Class].Answer; len(body) != want {
			t.Errorf("%s: the body has %d bytes, not %d", class, len(body), want)
		}
		v := s.visit(q.attempt.TransactionID)
		if v.Outcome != trace.OutcomeOK || v.IdempotencyKey != q.idempotencyKey || v.Deduplicated || v.Work <= 0 {
			t.Errorf("%s: the visit is %+v", class, v)
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

// A key's second run takes no effect, also at another box.
func TestBoxesShareKeys(t *testing.T) {
	s := newStand(t, standClasses+oneTier)
	q := s.next("keyed")
	for box := range 2 {
		q.attempt.TransactionID = s.plan.Txn(q.attempt.Request, box)
		c := s.dial(box)
		s.ask(c, q)
		c.expect(http.StatusOK)
		if v := s.visit(q.attempt.TransactionID); v.Deduplicated != (box > 0) {
			t.Errorf("at box %d the visit's Repeat is %v", box, v.Deduplicated)
		}
	}
}

func TestBoxKnowsStrangers(t *testing.T) {
	s := newStand(t, standClasses+oneTier)
	q := s.next("keyed")
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
		io.WriteString(c, text)
		if res, _, err := c.answer(); err != nil || res.StatusCode != http.StatusBadRequest {
			t.Errorf("%s: %v %v", what, res, err)
		}
	}
	s.recorder.mu.Lock()
	if got := len(s.recorder.log.EndpointRequests); got != len(strays) {
		t.Errorf("%d visits of strangers are noted", got)
	}
	for _, v := range s.recorder.log.EndpointRequests {
		if v.TransactionID != 0 || v.Outcome != trace.OutcomeError {
			t.Errorf("a stranger's visit is %+v", v)
		}
	}
	s.recorder.mu.Unlock()
	io.WriteString(c, change(txn+"\r\n", ""))
	c.expect(http.StatusNotFound)
	io.WriteString(c, good)
	c.expect(http.StatusOK)
}

func TestBoxIsProbed(t *testing.T) {
	for _, probes := range []bool{true, false} {
		s := newStand(t, standClasses+oneTier+fmt.Sprintf("[rules]\nprobes = %v\n", probes))
		want := http.StatusOK
		if !probes {
			want = http.StatusNotFound
		}
		for _, path := range []string{"/ping", "/_load"} {
			c := s.dial(0)
			fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: box\r\nConnection: close\r\n\r\n", path)
			c.expect(want)
			if err := c.says(ample); !isOver(err) {
				t.Errorf("%s: the connection goes on after Connection: close: %v", path, err)
			}
		}
		s.fault(0, model.Hang, 0)
		c := s.dial(0)
		fmt.Fprint(c, "GET /ping HTTP/1.1\r\nHost: box\r\n\r\n")
		if err := c.says(50 * time.Millisecond); probes && !isLate(err) {
			t.Errorf("a box that hangs answers a probe: %v", err)
		}
	}
}

// What is beyond the waiting room is turned away unseen; a caller that closes, or ends its sending, stops
// what it has there.
func TestBoxTurnsAwayAndLetsGo(t *testing.T) {
	s := newStand(t, standClasses+oneTier+"slots = 1\nqueue = 1\ncores = 1\n")
	var held [2]clientRequest
	var conns [2]*raw
	for i := range held {
		held[i], conns[i] = s.next("long"), s.dial(0)
		s.ask(conns[i], held[i])
		s.loaded(0, 1, i)
	}
	c, q := s.dial(0), s.next("quick")
	s.ask(c, q)
	if res, _ := c.expect(http.StatusServiceUnavailable); res.Header.Get("X-Turned-Away") != "1" {
		t.Error("it is not said that it was turned away")
	}
	if v := s.visit(q.attempt.TransactionID); v.Outcome != trace.OutcomeRejected || v.Started != trace.Unset || v.Work != 0 {
		t.Errorf("the one turned away: %+v", v)
	}
	conns[0].Close()
	if v := s.visit(held[0].attempt.TransactionID); v.Outcome != trace.OutcomeCanceled || v.Started == trace.Unset || v.Work >= 50*time.Second {
		t.Errorf("the one that ran: %+v", v)
	}
	s.loaded(0, 1, 0)
	conns[1].Conn.(*net.TCPConn).CloseWrite()
	if v := s.visit(held[1].attempt.TransactionID); v.Outcome != trace.OutcomeCanceled || v.Started == trace.Unset {
		t.Errorf("the one that waited, and ran then: %+v", v)
	}
	if err := conns[1].says(ample); !isOver(err) {
		t.Errorf("a connection that the caller has ended goes on: %v", err)
	}
}

// Where a cancel stops nothing, the work is done to its end, though the attempt is over with the connection.
func TestBoxWorksOn(t *testing.T) {
	text := strings.Replace(standClasses, `work = "50s"`, `work = "300ms"`, 1)
	s := newStand(t, text+oneTier+"cancel = \"nothing\"\nhandshake = \"1us\"\n")
	q, c := s.next("long"), s.dial(0)
	s.ask(c, q)
	s.loaded(0, 1, 0)
	c.Close()
	v := s.visit(q.attempt.TransactionID)
	if v.Outcome != trace.OutcomeCanceled || v.Work < 300*time.Millisecond || v.Ended-v.LastByte >= 300*time.Millisecond {
		t.Errorf("given up after %v: %+v", v.Ended-v.LastByte, v)
	}
}

func TestBoxVanishes(t *testing.T) {
	s := newStand(t, standClasses+oneTier)
	held, idle, q := s.dial(0), s.dial(0), s.next("long")
	s.ask(held, q)
	s.loaded(0, 1, 0)
	end := s.fault(0, model.Vanish, 0)
	unheard := s.next("quick")
	s.ask(idle, unheard)
	s.meets(0, "never come up", isLate)
	for _, c := range []*raw{held, idle} {
		if err := c.says(50 * time.Millisecond); !isLate(err) {
			t.Errorf("an open connection says %v", err)
		}
	}
	end()
	for _, c := range []*raw{held, idle} {
		if err := c.says(ample); !isReset(err) {
			t.Errorf("once the machine is back, an open connection says %v", err)
		}
	}
	if v := s.visit(q.attempt.TransactionID); v.Outcome != trace.OutcomeLost {
		t.Errorf("what it had: %+v", v)
	}
	s.meets(0, "come up", comesUp)
	if !s.endpoints[0].sample(s.elapsed()).WarmingUp {
		t.Error("it is back warm")
	}
	c, q := s.dial(0), s.next("quick")
	s.ask(c, q)
	c.expect(http.StatusOK)
	s.recorder.mu.Lock()
	defer s.recorder.mu.Unlock()
	for _, v := range s.recorder.log.EndpointRequests {
		if v.TransactionID == unheard.attempt.TransactionID {
			t.Errorf("it has heard what was written to it while it was not there: %+v", v)
		}
	}
}

func TestBoxDies(t *testing.T) {
	s := newStand(t, standClasses+oneTier)
	c, q := s.dial(0), s.next("long")
	s.ask(c, q)
	s.loaded(0, 1, 0)
	end := s.fault(0, model.Dead, 0)
	if err := c.says(ample); !isReset(err) {
		t.Errorf("an open connection says %v", err)
	}
	if v := s.visit(q.attempt.TransactionID); v.Outcome != trace.OutcomeLost {
		t.Errorf("what it had: %+v", v)
	}
	s.meets(0, "are refused", refused)
	overlap := s.fault(0, model.Vanish, 0)
	s.meets(0, "never come up", isLate)
	overlap()
	s.meets(0, "are refused again", refused)
	end()
	s.meets(0, "come up", comesUp)
	if !s.endpoints[0].sample(s.elapsed()).WarmingUp {
		t.Error("it is back warm")
	}
}

func TestBoxRefusesConnections(t *testing.T) {
	s := newStand(t, standClasses+oneTier)
	c, q := s.dial(0), s.next("quick")
	s.ask(c, q)
	c.expect(http.StatusOK)
	end := s.fault(0, model.RefuseConns, 0)
	s.meets(0, "are refused", refused)
	s.ask(c, s.next("quick"))
	c.expect(http.StatusOK)
	end()
	s.meets(0, "come up", comesUp)
}

func TestBoxHoldsSoManyConnections(t *testing.T) {
	s := newStand(t, standClasses+oneTier+"connections = 2\n")
	first, second := s.dial(0), s.dial(0)
	s.ask(second, s.next("quick"))
	second.expect(http.StatusOK)
	third, err := net.DialTimeout("tcp", s.endpoints[0].address(), ample)
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
	s.ask(c, s.next("quick"))
	c.expect(http.StatusOK)
}

func TestBoxHangs(t *testing.T) {
	s := newStand(t, standClasses+oneTier)
	old, q := s.dial(0), s.next("long")
	s.ask(old, q)
	s.loaded(0, 1, 0)
	end := s.fault(0, model.Hang, 0)
	c, late := s.dial(0), s.next("quick")
	s.ask(c, late)
	if err := c.says(50 * time.Millisecond); !isLate(err) {
		t.Errorf("it answers: %v", err)
	}
	c.Close()
	if v := s.visit(late.attempt.TransactionID); v.Outcome != trace.OutcomeCanceled || v.Started != trace.Unset {
		t.Errorf("what came to nothing: %+v", v)
	}
	end()
	c = s.dial(0)
	s.ask(c, s.next("quick"))
	c.expect(http.StatusOK)
	if err := old.says(50 * time.Millisecond); !isLate(err) {
		t.Errorf("what it had taken is answered: %v", err)
	}
}

func TestBoxFailsFast(t *testing.T) {
	s := newStand(t, standClasses+oneTier)
	s.fault(0, model.Fail, 1)
	c, q := s.dial(0), s.next("long")
	s.ask(c, q)
	c.expect(http.StatusInternalServerError)
	if v := s.visit(q.attempt.TransactionID); v.Outcome != trace.OutcomeError || v.Started != trace.Unset {
		t.Errorf("the visit is %+v", v)
	}
}

// No answer that is cut off or spoilt passes for a whole one, and the connection ends with it, in both ways.
func TestBoxBreaksAnswers(t *testing.T) {
	for kind, name := range map[model.FaultKind]string{model.Cut: "cut", model.Spoil: "spoilt"} {
		t.Run(name, func(t *testing.T) {
			s := newStand(t, standClasses+oneTier)
			s.fault(0, kind, 1)
			ends := map[bool]int{}
			for range 15 {
				c, q := s.dial(0), s.next("quick")
				s.ask(c, q)
				res, body, err := c.answer()
				if err == nil {
					t.Errorf("it is whole: %v %q", res.Status, body)
				}
				ends[isReset(err)]++
				if _, err := io.Copy(io.Discard, c); isLate(err) {
					t.Error("its connection goes on")
				}
				if v := s.visit(q.attempt.TransactionID); v.Outcome != trace.OutcomeCorrupted || v.Work <= 0 {
					t.Errorf("the visit is %+v", v)
				}
			}
			if kind == model.Cut && len(ends) != 2 {
				t.Errorf("connections all end in the same way: %v", ends)
			}
		})
	}
}

func TestBoxDrips(t *testing.T) {
	s := newStand(t, standClasses+oneTier)
	s.fault(0, model.Drip, 1)
	c, q := s.dial(0), s.next("quick")
	begun := time.Now()
	s.ask(c, q)
	var some [3 * dripSize]byte
	if _, err := io.ReadFull(c, some[:]); err != nil {
		t.Fatal(err)
	}
	if took := time.Since(begun); took < 2*dripInterval {
		t.Errorf("three drops took %v", took)
	}
	before := s.elapsed()
	c.Close()
	if v := s.visit(q.attempt.TransactionID); v.Outcome != trace.OutcomeCorrupted || v.Ended < before {
		t.Errorf("closed after %v, the visit is %+v", before, v)
	}
}

// An answer that drips is out until its box goes down; one on a machine that has vanished stops at once.
func TestBoxStopsDripping(t *testing.T) {
	for kind, name := range map[model.FaultKind]string{model.Vanish: "vanishes", model.Dead: "dies"} {
		t.Run(name, func(t *testing.T) {
			s := newStand(t, standClasses+oneTier)
			s.fault(0, model.Drip, 1)
			c, q := s.dial(0), s.next("quick")
			s.ask(c, q)
			if err := c.says(ample); err != nil {
				t.Fatal(err)
			}
			end := s.fault(0, kind, 0)
			if kind == model.Vanish {
				s.meets(0, "never come up", isLate)
				_, _ = c.in.Discard(c.in.Buffered())
				if err := c.says(2 * dripInterval); !isLate(err) {
					t.Errorf("it drips on: %v", err)
				}
				end()
			}
			_ = c.SetReadDeadline(time.Now().Add(ample))
			if _, err := io.Copy(io.Discard, c); !isReset(err) {
				t.Errorf("the connection says %v", err)
			}
			if v := s.visit(q.attempt.TransactionID); v.Outcome != trace.OutcomeCorrupted {
				t.Errorf("the visit is %+v", v)
			}
		})
	}
}

// A box that starts cold with the run is told of anew then: what was said before guessed the time.
func TestColdBoxIsToldAtTheStart(t *testing.T) {
	s := newStand(t, standClasses+oneTier+"start = \"cold\"\n")
	a, err := newAgent(s.run, 0, s.addresses.agent(0, 0))
	if err != nil {
		t.Fatal(err)
	}
	defer a.close()
	s.agents = []*agent{a}
	s.endpoints[1].start()
	if got := a.catalog.changesSince(1); len(got) != 1 || got[0].Box != 1 || got[0].UpSince == 0 {
		t.Errorf("told of %v", got)
	}
}

func TestSpoiltBytesAreNoAnswer(t *testing.T) {
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
				t.Fatalf("this passes for whole: %q", text)
			}
		}
	}
}

// A cold box that is sent too much goes down for good, which the run is told once.
func TestBoxFallsOver(t *testing.T) {
	s := newStand(t, standClasses+oneTier+"start = \"cold\"\ncores = 1\n")
	told := make(chan struct{}, 2)
	s.endpoints[0].onCollapse = func() { told <- struct{}{} }
	c, q := s.dial(0), s.next("long") // 50 s of work within a second
	s.ask(c, q)
	if err := c.says(ample); !isReset(err) {
		t.Errorf("its connection says %v", err)
	}
	if v := s.visit(q.attempt.TransactionID); v.Outcome != trace.OutcomeLost {
		t.Errorf("the visit is %+v", v)
	}
	<-told
	s.meets(0, "are refused", refused)
	if !s.endpoints[0].sample(s.elapsed()).Collapsed {
		t.Error("it has not fallen")
	}
	if len(told) != 0 {
		t.Error("it is told twice")
	}
}

func TestAbsentBoxComes(t *testing.T) {
	s := newStand(t, standClasses+oneTier+"start = \"absent\"\n")
	s.meets(0, "are refused", refused)
	s.endpoints[0].applyEvent(s.elapsed(), plan.Event{Kind: plan.StartBox, Box: 0})
	s.meets(0, "come up", comesUp)
	if !s.endpoints[0].sample(s.elapsed()).WarmingUp {
		t.Error("it starts warm")
	}
}

// An idle connection is closed in time and not before; one on which a request is held is not idle. Times count from
// before the connection or the request was made, which is never later than what the box counts from.
func TestBoxClosesIdleConnections(t *testing.T) {
	const idle, work = 500 * time.Millisecond, 800 * time.Millisecond
	text := strings.Replace(standClasses, `work = "50s"`, `work = "800ms"`, 1)
	s := newStand(t, text+oneTier+"[rules]\nconn_idle = \"500ms\"\n")
	for class, least := range map[string]time.Duration{"": idle, "quick": idle, "long": work + idle} {
		since := time.Now()
		c := s.dial(0)
		if class != "" {
			since = time.Now()
			s.ask(c, s.next(class))
			c.expect(http.StatusOK)
		}
		if err := c.says(ample); !isOver(err) {
			t.Errorf("%q: it says %v", class, err)
		}
		if took := time.Since(since); took < least {
			t.Errorf("%q: closed after %v of %v", class, took, least)
		}
	}
}

// A request that breaks off is noted, without a last byte, if its head has come.
func TestBoxNotesHalfRequests(t *testing.T) {
	s := newStand(t, standClasses+oneTier)
	q := s.next("keyed")
	text := s.transport.codec.appendRequest(nil, &q)
	c := s.dial(0)
	c.Write(text[:len(text)-1])
	c.Close()
	if v := s.visit(q.attempt.TransactionID); v.LastByte != trace.Unset || v.Started != trace.Unset || v.Outcome != trace.OutcomeCanceled {
		t.Errorf("the visit is %+v", v)
	}
}

// What is still held when the run ends is noted as such.
func TestBoxNotesWhatItHolds(t *testing.T) {
	s := newStand(t, standClasses+oneTier)
	c, q := s.dial(0), s.next("long")
	s.ask(c, q)
	s.loaded(0, 1, 0)
	t.Cleanup(func() { // before that of the stand, which closes again
		if v := s.visit(q.attempt.TransactionID); v.Outcome != trace.OutcomePending || v.Ended != trace.Unset || v.Started == trace.Unset {
			t.Errorf("the visit is %+v", v)
		}
	})
	s.endpoints[0].close()
	s.endpoints = s.endpoints[1:]
}

func TestBodiesAreCheckedInEveryByte(t *testing.T) {
	for _, size := range []int{0, minBodySize, 64, 333} {
		body := responseBody(77, 5, 3, size)
		if len(body) != max(size, minBodySize) {
			t.Errorf("asked for %d bytes, got %d", size, len(body))
		}
		if box, ok := verifyBody(77, body); !ok || box != 5 {
			t.Errorf("%d bytes: box %d, %v", size, box, ok)
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

func TestTargets(t *testing.T) {
	if request, ok := parseRequestPath(requestPath("a-class", 12)); !ok || request != 12 {
		t.Errorf("request %d, %v", request, ok)
	}
	for _, path := range []string{"", "/", "/12", "12", "/a/", "/a/-1", "/a/1x", "/a/99999999999999999999"} {
		if _, ok := parseRequestPath(path); ok {
			t.Errorf("%q is taken", path)
		}
	}
}
