package upstream

import (
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"pinelb.example/pinelb/balance"
)

// Guards against a long response that is buffered, changed, taken for complete though it was cut off, or that holds its
// connection: by every framing, the first bytes are there before the rest is sent.
func TestStreamedResponses(t *testing.T) {
	body := strings.Repeat("a pair of lenses", 3*maxBufferedBody/16)
	chunks := func(b string) string {
		out := ""
		for len(b) > 0 {
			n := min(len(b), 9999)
			out, b = out+fmt.Sprintf("%x;x=y\r\n%s\r\n", n, b[:n]), b[n:]
		}
		return out
	}
	long := maxBufferedBody + initialBodyCapacity // of unknown length, so much has to come before it is streamed
	for name, c := range map[string]struct {
		first, rest string
		hangUp, cut bool
		reuse       bool
	}{
		"stated":         {"HTTP/1.1 200 OK\r\nContent-Length: " + fmt.Sprint(len(body)) + "\r\n\r\n" + body[:1], body[1:], false, false, true},
		"chunked":        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks(body[:long]), chunks(body[long:]) + "0\r\nX-End: 1\r\n\r\n", false, false, true},
		"to the end":     {"HTTP/1.0 200 OK\r\n\r\n" + body[:long], body[long:], true, false, false},
		"stated, closes": {"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: " + fmt.Sprint(len(body)) + "\r\n\r\n" + body[:9], body[9:], true, false, false},
		"stated, cut":    {"HTTP/1.1 200 OK\r\nContent-Length: " + fmt.Sprint(len(body)) + "\r\n\r\n" + body[:9], body[9 : len(body)-1], true, true, false},
		"chunked, cut":   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks(body[:long]), chunks(body[long:]), true, true, false},
	} {
		host := newScriptedHost(t)
		p := newTestPool(host.addr, 1)
		going, done := make(chan struct{}), make(chan struct{})
		go func() {
			defer close(done)
			at := <-host.arrivals
			reaction{text: c.first}.apply(at.nc)
			<-going
			reaction{text: c.rest, closes: c.hangUp}.apply(at.nc)
		}()
		status, res := get(p, time.Minute)
		if status != balance.OK || res.Rest == nil || len(res.Body) == 0 {
			t.Fatalf("%s: outcome %d with %d bytes", name, status, len(res.Body))
		}
		close(going)
		got, err := io.ReadAll(res.Rest)
		<-done
		if c.cut != (err != nil) || !c.cut && string(res.Body)+string(got) != body {
			t.Errorf("%s: %d and %d bytes of %d, %v", name, len(res.Body), len(got), len(body), err)
		}
		res.Rest.Close()
		if idle, open := connCounts(p, 1); (idle == 1) != c.reuse || open != idle {
			t.Errorf("%s: %d idle of %d connections open", name, idle, open)
		}
	}
}

// Guards against a response that stalls, or whose client has left, holding its connection: reading it ends at once.
func TestStreamInterrupt(t *testing.T) {
	host := newScriptedHost(t)
	p := newTestPool(host.addr, 1)
	go func() {
		reaction{text: "HTTP/1.1 200 OK\r\nContent-Length: 90000\r\n\r\nx"}.apply((<-host.arrivals).nc)
	}()
	_, res := get(p, time.Minute)
	ended := make(chan error)
	go func() {
		_, err := io.Copy(io.Discard, res.Rest)
		ended <- err
	}()
	res.Rest.Interrupt()
	if err := <-ended; err == nil {
		t.Error("an interrupted response is complete")
	}
	res.Rest.Close()
	if idle, open := connCounts(p, 1); idle+open != 0 {
		t.Errorf("%d idle of %d connections open, want none", idle, open)
	}
	// Nor does a cancelled attempt whose response starts at that moment leave a connection open.
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if status, res := p.Do(ctx, 1, time.Now().Add(time.Minute), request()); status != balance.Cancelled || res.Rest != nil {
		t.Errorf("outcome %d of a cancelled attempt", status)
	}
	if idle, open := connCounts(p, 1); idle+open != 0 {
		t.Errorf("%d idle of %d connections open, want none", idle, open)
	}
}

// Guards against slow hosts being taken for stalled ones: the complete response takes longer than the stall time-out.
func TestSlowResponse(t *testing.T) {
	host := newScriptedHost(t)
	p := newTestPool(host.addr, 1)
	go func() {
		at := <-host.arrivals
		for _, piece := range strings.SplitAfter("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlens", "\n") {
			<-time.After(readStallTimeout / 4) // the time itself is what is tested
			reaction{text: piece}.apply(at.nc)
		}
	}()
	if status, res := get(p, time.Minute); status != balance.OK || string(res.Body) != "lens" {
		t.Errorf("outcome %d with %q", status, res.Body)
	}
}

// Guards against a response that never ends, however slowly it comes, holding its client and a connection for ever.
func TestMaxStreamDuration(t *testing.T) {
	host := newScriptedHost(t)
	p := newTestPool(host.addr, 1)
	go func() {
		at := <-host.arrivals
		reaction{text: "HTTP/1.1 200 OK\r\nContent-Length: 60000000\r\n\r\n"}.apply(at.nc)
		for _, err := io.WriteString(at.nc, "x"); err == nil; _, err = io.WriteString(at.nc, "x") {
		}
	}()
	_, res := get(p, time.Minute)
	if _, err := res.Rest.Read(make([]byte, 1)); err != nil {
		t.Fatalf("it is aborted at once: %v", err)
	}
	res.Rest.(*responseStream).deadline = time.Now()
	if _, err := io.Copy(io.Discard, res.Rest); err == nil {
		t.Error("a response beyond its deadline goes on to its end")
	}
	res.Rest.Close()
	if idle, open := connCounts(p, 1); idle+open != 0 {
		t.Errorf("%d idle of %d connections open, want none", idle, open)
	}
}
