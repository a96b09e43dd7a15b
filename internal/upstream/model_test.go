package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/stream"
)

// arrival is a request as the scripted upstream host has it.
type arrival struct {
	conn int // which connection, in the order of accepting
	nc   net.Conn
	req  *http.Request
}

// scripted is an upstream host that says only what the test tells it to.
type scripted struct {
	addr     string
	arrivals chan arrival
}

func newScripted(t testing.TB) *scripted {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	s := &scripted{addr: l.Addr().String(), arrivals: make(chan arrival)}
	go func() {
		for n := 0; ; n++ {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				in := bufio.NewReader(nc)
				for {
					req, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					if req.ContentLength > 0 {
						body, _ := io.ReadAll(req.Body)
						req.Header.Set("Body", string(body))
					}
					s.arrivals <- arrival{n, nc, req}
				}
			}()
		}
	}()
	return s
}

// say is a way for an upstream host to end a request: its words, and whether it then hangs up.
type say struct {
	text   string
	hangUp bool
	reset  bool // with a reset instead of an orderly end
	status balance.Status
	reuse  bool // may the connection carry another request?
}

var says = []say{
	{text: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", status: balance.OK, reuse: true},
	{text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", status: balance.OK, reuse: true},
	{text: "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", status: balance.OK},
	{text: "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", status: balance.Error, reuse: true},
	{text: "HTTP/1.1 503 Busy\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n", status: balance.Full, reuse: true},
	{text: "HTTP/1.1 504 Late\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n", status: balance.Full, reuse: true},
	{text: "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", status: balance.Error, reuse: true},
	{text: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok+extra", status: balance.OK},
	{text: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", hangUp: true, status: balance.Reset},
	{text: "HTTP/1.1 200 OK\r\n\r\nok", hangUp: true, status: balance.OK}, // the end of the connection is that of the answer
	{text: "HTTP/1.0 200 OK\r\n\r\nok", hangUp: true, status: balance.OK},
	{text: "HTTP/1.1 200 OK\r\n\r\nok", hangUp: true, reset: true, status: balance.Reset},
	{text: "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok", status: balance.OK},
	{text: "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 2\r\n\r\nok", status: balance.OK, reuse: true},
	{text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-End\r\n\r\n2;a=b;c=\"d\"\r\nok\r\n0;e\r\nX-End: 1\r\n\r\n", status: balance.OK, reuse: true},
	{text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", hangUp: true, status: balance.Reset},
	{text: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", status: balance.Error, reuse: true},
	{text: "HTTP/1.1 500 Oops\r\nContent-Length: 65537\r\n\r\n" + strings.Repeat("x", 9000), status: balance.Error},
	{text: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", status: balance.OK, reuse: true},
	{text: strings.Repeat("HTTP/1.1 103 Early\r\nLink: </a>\r\n\r\n", 50) + "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", status: balance.OK, reuse: true},
	{text: "HTTP/1.1 200 OK\r\nX-Load: \xff;;=\r\nContent-Length: 2\r\n\r\nok", status: balance.OK, reuse: true},
	{text: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno", status: balance.OK},
	{hangUp: true, status: balance.Reset},
	{hangUp: true, reset: true, status: balance.Reset},
}

// spoilt are answers that no request is served with. The connection stays open, so that the reader has to
// cut short those that don't end, and to give up those that stop half-way.
var spoilt = []say{
	{text: "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + strings.Repeat("x", 9000)},
	{text: "ICY 200 OK\r\n\r\n"}, {text: "HTTP/1.1 OK 200\r\n\r\n"}, {text: "\x00\xff noise \r\n\r\n"},
	{text: "noise"}, {text: "HTTP/1.1 200 OK\r\nContent-Le"}, {text: "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok"},
	{text: "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\n"},
	{text: "HTTP/1.1 200 OK\r\nno colon here\r\n\r\n"}, {text: "HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\n"},
	{text: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok"},
	{text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\nzz\r\nno\r\n0\r\n\r\n"},
	{text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n-2\r\nok\r\n0\r\n\r\n"},
	{text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n+2\r\nok\r\n0\r\n\r\n"},
	{text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\nok"},
	{text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok"},
	{text: "HTTP/1.1 200 OK\r\n" + strings.Repeat("X-More: and more\r\n", 20000)},
	{text: "HTTP/1.1 200 " + strings.Repeat("K", 300000)},
	{text: strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 9000)},
}

// Guards against an answer that can't be read, or doesn't end, being served, waited for or taken into
// memory without bound, and against its connection carrying another request.
func TestSpoiltAnswers(t *testing.T) {
	for _, s := range spoilt {
		host := newScripted(t)
		p := poolFor(host.addr, 1)
		go func() { s.end((<-host.arrivals).nc) }() // it goes on until the reader hangs up
		if status, res := get(p, time.Minute); status != balance.Error || res.Outcome != stream.Failed {
			t.Errorf("%.60q: outcome %d", s.text, status)
		}
		if idle, open := counts(p, 1); idle+open != 0 {
			t.Errorf("%.60q: %d idle of %d connections open, want none", s.text, idle, open)
		}
	}
}

// held is a request that is out.
type held struct {
	at     arrival
	addr   string // where the host was when it began
	cancel context.CancelFunc
	ended  chan balance.Status
}

// resting is an idle connection, and until when it rests.
type resting struct {
	arrival
	until time.Time
}

// FuzzConnections walks a pool through random steps and checks each against a model in which the
// connections are a stack of idle ones, of which those rest that have just been put there, and a set of busy ones: which
// connection carries a request, what its outcome is, and how many are open after it.
func FuzzConnections(f *testing.F) {
	f.Add([]byte{0, 1, 0, 1, 0x11, 0, 1})                      // reuse, after a plain and a chunked answer
	f.Add([]byte{0, 0, 0, 1, 1, 1, 0, 0})                      // three at once, then the last used first
	f.Add([]byte{0, 0x71, 0, 0x81, 0, 0xc1, 0, 0xd1, 0, 1})    // what must not be reused
	f.Add([]byte{0, 1, 4, 0, 1, 5, 0, 1, 6, 0, 1, 7, 0, 2, 0}) // idle ones closed in every way; a cancel
	f.Add([]byte{0, 3, 1, 0, 0, 1, 3, 0, 1})                   // the host moves while a request is out, and while none is
	f.Add([]byte{0, 0, 1, 0x10, 1, 0x10, 1, 1, 0, 0x10})       // at once after an answer: on one that has rested, or a new one
	for arg := range says {                                    // every way to end a request, then another on what is left
		f.Add([]byte{0, byte(arg<<4 | 1), 0, 1})
	}
	f.Fuzz(func(t *testing.T, steps []byte) {
		const id = 7
		host := newScripted(t)
		clock := time.Now()
		p := NewPool(time.Minute, 10*time.Second, 100)
		p.now = func() time.Time { return clock }
		p.Set(id, host.addr)
		var idle []resting // the model: a stack
		var busy []held
		opened := 0
		for _, step := range steps[:min(len(steps), 40)] {
			arg := int(step >> 4)
			switch step & 7 {
			case 0: // a request begins, on the last idle connection that has rested or a new one; mostly all have
				if len(busy) == 8 {
					continue
				}
				if arg&1 == 0 {
					clock = clock.Add(reuseDelay)
				}
				ctx, cancel := context.WithCancel(context.Background())
				h := held{addr: host.addr, cancel: cancel, ended: make(chan balance.Status, 1)}
				go func() {
					status, _ := p.Do(ctx, id, time.Now().Add(time.Minute), &stream.Request{Operation: "GET",
						Target: "/a", Authority: "x", Txn: strconv.Itoa(opened)})
					h.ended <- status
				}()
				h.at = <-host.arrivals
				want := opened
				n := len(idle) - 1
				for n >= 0 && clock.Before(idle[n].until) {
					n--
				}
				if n >= 0 {
					want = idle[n].conn
					idle = slices.Delete(idle, n, n+1)
				} else {
					opened++
				}
				if h.at.conn != want {
					t.Fatalf("the request came on connection %d, want %d", h.at.conn, want)
				}
				busy = append(busy, h)
			case 1, 2: // the oldest request ends: answered or broken, or withdrawn
				if len(busy) == 0 {
					continue
				}
				h, end := busy[0], says[arg%len(says)]
				busy = busy[1:]
				if step&7 == 2 {
					end = say{status: balance.Cancelled}
					h.cancel()
				} else if end.end(h.at.nc); end.reuse && h.addr == host.addr {
					idle = append(idle, resting{h.at, clock.Add(reuseDelay)})
				}
				if got := <-h.ended; got != end.status {
					t.Fatalf("answer %q gave outcome %d, want %d", end.text, got, end.status)
				}
				h.cancel()
			case 3: // the host moves: what is idle is of no use, what is busy is not kept afterwards
				host, idle, opened = newScripted(t), nil, 0
				p.Set(id, host.addr)
			case 4, 5: // the host closes an idle connection, or says something unasked on it
				if len(idle) == 0 {
					continue
				}
				i := arg % len(idle)
				say{text: "HTTP/1.1 408 Timeout\r\n\r\n"[:24*int(step&1)], hangUp: step&1 == 0}.end(idle[i].nc)
				idle = append(idle[:i:i], idle[i+1:]...)
				for n := len(idle) + 1; n > len(idle); n, _ = counts(p, id) {
					runtime.Gosched() // until the kernel has brought it
					p.closeUnusable()
				}
			case 6: // time passes
				clock, idle = clock.Add(8*time.Second), nil
				p.closeUnusable()
			case 7:
				p.CloseUnused(id)
				idle = nil
			}
			if n, open := counts(p, id); n != len(idle) || open != n+len(busy) {
				t.Fatalf("%d idle of %d open, want %d of %d", n, open, len(idle), len(idle)+len(busy))
			}
		}
		for _, h := range busy {
			h.cancel()
			<-h.ended
		}
	})
}

func (s say) end(nc net.Conn) {
	_, _ = io.WriteString(nc, s.text)
	if s.reset {
		_ = nc.(*net.TCPConn).SetLinger(0)
	}
	if s.hangUp {
		_ = nc.Close()
	}
}

// counts is how many connections are idle, and how many are open.
func counts(p *Pool, id balance.EndpointID) (idle, open int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.hosts[id].idle), p.open
}
