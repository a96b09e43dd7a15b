package settingsclient

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"
	"golang.org/x/sys/unix"

	"pinelb.example/pinelb/internal/settingsstore"
	"pinelb.example/pinelb/internal/version"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const service = "orders"

func testState(epoch uint64) settingsstore.State {
	return settingsstore.NewState(service, version.Edition{Epoch: epoch, By: "d"}, []byte(fmt.Sprintf(`{"n":%d}`, epoch)))
}

// fakeDistributor is a distributor that answers as a test wants.
type fakeDistributor struct {
	addr     string
	requests chan settingsstore.Request
	answer   func(net.Conn, settingsstore.Request) bool // false: as a distributor does. Nil: always so

	mu      sync.Mutex
	state   settingsstore.State
	changed chan struct{}
}

func newFakeDistributor(t *testing.T, s settingsstore.State, answer func(net.Conn, settingsstore.Request) bool) *fakeDistributor {
	d := &fakeDistributor{requests: make(chan settingsstore.Request, 1000), answer: answer, state: s, changed: make(chan struct{})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d.addr = l.Addr().String()
	server := &http.Server{Handler: d}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return d
}

func (d *fakeDistributor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q, err := settingsstore.ParseRequest(r.URL)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	d.requests <- q
	if d.answer != nil {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		if d.answer(c, q) {
			return
		}
		d.tell(q, closedSignal(c), func(body []byte) {
			if body == nil {
				_, _ = io.WriteString(c, "HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n")
				return
			}
			send(c, 200, body)
		})
		return
	}
	d.tell(q, r.Context().Done(), func(body []byte) {
		if body == nil {
			w.WriteHeader(http.StatusNoContent)
			return
		}
		_, _ = w.Write(body)
	})
}

// tell answers as a distributor does: nil is nothing new.
func (d *fakeDistributor) tell(q settingsstore.Request, gone <-chan struct{}, answer func(body []byte)) {
	late := time.NewTimer(q.Wait)
	defer late.Stop()
	for {
		d.mu.Lock()
		s, changed := d.state, d.changed
		d.mu.Unlock()
		if s.Compare(q.NewestSeen()) > 0 {
			answer(settingsstore.Encode(s))
			return
		}
		select {
		case <-changed:
		case <-late.C:
			answer(nil)
			return
		case <-gone:
			return
		}
	}
}

func (d *fakeDistributor) publish(s settingsstore.State) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.state = s
	close(d.changed)
	d.changed = make(chan struct{})
}

// closedSignal is closed once the other side has.
func closedSignal(c net.Conn) <-chan struct{} {
	gone := make(chan struct{})
	go func() {
		defer close(gone)
		_, _ = io.Copy(io.Discard, c)
	}()
	return gone
}

func send(c io.Writer, status int, body []byte) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %d X\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}

// lines is a log whose lines a test reads.
type logLines struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logLines) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

func (l *logLines) count(what ...string) (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for line := range strings.Lines(l.text.String()) {
		all := true
		for _, w := range what {
			all = all && strings.Contains(line, w)
		}
		if all {
			n++
		}
	}
	return n
}

// run follows the distributors, of which it prefers the first, and returns the watch and the editions that come to be tried; tries
// says what becomes of them.
func startClient(t *testing.T, log *logLines, tries func(settingsstore.State) error, from ...string) (w *Client, tried <-chan uint64, answered <-chan struct{}) {
	t.Helper()
	name := ""
	for i := 0; ; i++ {
		name = fmt.Sprintf("n%d", i)
		if c := settingsstore.NewFollower(service, name, from, rand.New(rand.NewPCG(1, 1))).Next(0); c.Distributor == 0 {
			break
		}
	}
	epochs, first := make(chan uint64, 1000), make(chan struct{})
	w = &Client{Service: service, Name: name, Distributors: from, Rand: rand.New(rand.NewPCG(1, 1)), Log: zerolog.New(log),
		Apply: func(s settingsstore.State) error {
			epochs <- s.Epoch
			return tries(s)
		}}
	ctx, end := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		w.Run(ctx, func() { close(first) })
	}()
	t.Cleanup(func() {
		end()
		<-ended
	})
	return w, epochs, first
}

func acceptAll(settingsstore.State) error { return nil }

// Guards against settings that are not found, that come out of order, or that are not acknowledged.
func TestAppliesPublishedSettings(t *testing.T) {
	d, log := newFakeDistributor(t, settingsstore.State{}, nil), &logLines{}
	_, tried, answered := startClient(t, log, acceptAll, d.addr)
	<-answered
	if log.count("no settings are published") != 1 {
		t.Error("the log does not say that the file's are in force")
	}
	for epoch := uint64(1); epoch < 4; epoch++ {
		d.publish(testState(epoch))
		if got := <-tried; got != epoch {
			t.Fatalf("epoch %d is tried, want %d", got, epoch)
		}
		for q := range d.requests {
			if q.Since.Epoch == epoch {
				break
			}
			if q.Since.Epoch > epoch || !strings.HasPrefix(q.Name, "n") || q.Service != service || q.Wait > 2*time.Second {
				t.Fatalf("asked with %+v", q)
			}
		}
	}
}

// Guards against answers that are taken though they are cut, too long, another service's or older, that hold a sidecar up, or that
// fill its memory; and against a distributor that is not left for it, a fault that is not told, or is logged again and again.
func TestInvalidAnswers(t *testing.T) {
	good := settingsstore.Encode(testState(2))
	other := testState(9)
	other.Service = "other"
	large := []byte(`{"a":"` + strings.Repeat("x", settingsstore.MaxStateBytes) + `"}`)
	fill := func(c net.Conn, head, more string) {
		_, _ = io.WriteString(c, head)
		for text := []byte(strings.Repeat(more, 4096)); ; {
			if _, err := c.Write(text); err != nil {
				return
			}
		}
	}
	byBytes := func(c net.Conn, text string) {
		for i := range text {
			if _, err := io.WriteString(c, text[i:i+1]); err != nil {
				return
			}
			time.Sleep(10 * time.Millisecond) // so slow it is
		}
		<-closedSignal(c)
	}
	const head = "HTTP/1.1 200 OK\r\n"
	for name, c := range map[string]struct {
		answer func(net.Conn)
		why    string // that the next one is told; empty: nothing
	}{
		"cut in its body":     {func(c net.Conn) { _, _ = fmt.Fprintf(c, head+"Content-Length: %d\r\n\r\n%s", len(good), good[:40]) }, "unexpected EOF"},
		"cut before":          {func(c net.Conn) { send(c, 200, good[:len(good)-3]) }, "JSON"},
		"spoilt":              {func(c net.Conn) { send(c, 200, bytes.Replace(good, []byte(`"n":2`), []byte(`"n":3`), 1)) }, "digest"},
		"another service's":   {func(c net.Conn) { send(c, 200, settingsstore.Encode(other)) }, "settings of other"},
		"older":               {func(c net.Conn) { send(c, 200, settingsstore.Encode(testState(1))) }, "1 by d was told after 1 by d"},
		"too long":            {func(c net.Conn) { send(c, 200, large) }, "bytes"},
		"an endless head":     {func(c net.Conn) { fill(c, head+"X: ", "x") }, "over"},
		"heads without end":   {func(c net.Conn) { fill(c, head, "X: y\r\n") }, "over"},
		"an endless body":     {func(c net.Conn) { fill(c, head+"\r\n", "x") }, "over"},
		"no HTTP":             {func(c net.Conn) { _, _ = io.WriteString(c, "+OK\r\n") }, "malformed"},
		"turned away":         {func(c net.Conn) { send(c, 503, nil) }, ""},
		"broken off":          {func(net.Conn) {}, ""},
		"silent":              {func(c net.Conn) { <-closedSignal(c) }, ""},
		"silent in its head":  {func(c net.Conn) { _, _ = io.WriteString(c, head); <-closedSignal(c) }, ""},
		"silent in its body":  {func(c net.Conn) { _, _ = io.WriteString(c, head+"\r\n{"); <-closedSignal(c) }, ""},
		"byte by byte":        {func(c net.Conn) { byBytes(c, head+"Content-Length: 900\r\n\r\n"+strings.Repeat(" ", 900)) }, ""},
		"its head, by bytes":  {func(c net.Conn) { byBytes(c, head+strings.Repeat("A: b\r\n", 200)) }, ""},
		"an interim response": {func(c net.Conn) { _, _ = io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n"); <-closedSignal(c) }, ""},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			odd := newFakeDistributor(t, settingsstore.State{}, func(conn net.Conn, q settingsstore.Request) bool {
				if q.Since.None() { // the first one
					send(conn, 200, settingsstore.Encode(testState(1)))
				} else {
					c.answer(conn)
				}
				return true
			})
			well, log := newFakeDistributor(t, testState(2), nil), &logLines{}
			_, tried, _ := startClient(t, log, acceptAll, odd.addr, well.addr)
			if a, b := <-tried, <-tried; a != 1 || b != 2 {
				t.Fatalf("epochs %d and %d are tried, want 1 and 2", a, b)
			}
			if q := <-well.requests; q.Since.Epoch != 1 || !q.Rejected.None() || !strings.Contains(q.Reason, c.why) || (q.Reason == "") != (c.why == "") {
				t.Errorf("the next one is asked with %+v, want why %q", q, c.why)
			}
			if n := log.count(odd.addr, `"level":"warn"`); n != 1 {
				t.Errorf("the log has %d lines of it:\n%s", n, &log.text)
			}
			well.publish(testState(3))
			if got := <-tried; got != 3 {
				t.Errorf("then epoch %d is tried, want 3", got)
			}
		})
	}
}

// reserve takes an address at which connections are refused until listen is called.
func reserve(t *testing.T) (addr string, listen func() net.Listener) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err == nil {
		err = unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})
	}
	var at unix.Sockaddr
	if err == nil {
		at, err = unix.Getsockname(fd)
	}
	if err != nil {
		t.Fatal(err)
	}
	file := os.NewFile(uintptr(fd), "reserved")
	t.Cleanup(func() { _ = file.Close() })
	return fmt.Sprintf("127.0.0.1:%d", at.(*unix.SockaddrInet4).Port), func() net.Listener {
		err := unix.Listen(fd, 16)
		l, fault := net.FileListener(file)
		if err = errors.Join(err, fault); err != nil {
			t.Fatal(err)
		}
		return l
	}
}

// Guards against dead distributors that end what follows them, that are logged again and again, or whose return is not found.
func TestAllDead(t *testing.T) {
	addr, listen := reserve(t)
	log := &logLines{}
	_, tried, _ := startClient(t, log, acceptAll, addr, "127.0.0.1:1")
	for log.count("did not answer") < 2 {
		time.Sleep(time.Millisecond)
	}
	l := listen()
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if q, err := settingsstore.ParseRequest(r.URL); err != nil || q.Since.None() {
			_, _ = w.Write(settingsstore.Encode(testState(1)))
			return
		}
		<-r.Context().Done()
	})}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	if got := <-tried; got != 1 {
		t.Errorf("epoch %d is tried", got)
	}
	if n := log.count("did not answer"); n != 2 {
		t.Errorf("two dead distributors have %d lines in the log", n)
	}
}

// Guards against settings that are refused again and again, or without being told, or never tried again though that is asked for.
func TestRejectedSettings(t *testing.T) {
	d, log := newFakeDistributor(t, testState(1), nil), &logLines{}
	bad := errors.New("classes[0].aim must be a number")
	w, tried, answered := startClient(t, log, func(s settingsstore.State) error {
		if s.Epoch == 1 {
			return bad
		}
		return nil
	}, d.addr)
	<-answered
	if got := <-tried; got != 1 {
		t.Fatalf("epoch %d is tried", got)
	}
	<-d.requests
	for range 2 { // it has watched twice without being told the same again
		if q := <-d.requests; q.Rejected.Epoch != 1 || q.Reason != bad.Error() || !q.Since.None() {
			t.Fatalf("asked with %+v", q)
		}
	}
	if len(tried) > 0 {
		t.Errorf("epoch %d is tried once more", <-tried)
	}
	w.Poll(true)
	if got := <-tried; got != 1 {
		t.Errorf("epoch %d is tried, want 1 once more", got)
	}
	d.publish(testState(2))
	if got := <-tried; got != 2 {
		t.Errorf("epoch %d is tried", got)
	}
	for q := range d.requests {
		if q.Since.Epoch == 2 && q.Rejected.None() && q.Reason == "" {
			break
		}
	}
	if n := log.count("published settings are not taken", bad.Error()); n != 2 {
		t.Errorf("the log has %d lines of two refusals", n)
	}
}

// Guards against a watch that is not broken off when an answer is wanted at once, and against a distributor that is blamed for it.
func TestPollCancelsWait(t *testing.T) {
	log := &logLines{}
	d := newFakeDistributor(t, testState(1), func(c net.Conn, q settingsstore.Request) bool {
		if q.Wait > 0 {
			<-closedSignal(c)
		}
		return q.Wait > 0
	})
	w, tried, _ := startClient(t, log, acceptAll, d.addr)
	<-tried
	for round := range 3 {
		for q := <-d.requests; q.Wait == 0; q = <-d.requests {
		}
		w.Poll(false)
		if q := <-d.requests; q.Wait != 0 {
			t.Errorf("round %d: asked with %+v", round, q)
		}
	}
	if n := log.count(`"level":"warn"`); n != 0 {
		t.Errorf("the log has %d lines of a distributor that did nothing wrong:\n%s", n, &log.text)
	}
}

// Guards against a distributor that is left for 30 s because it was restarted, or because it closes each connection.
func TestKeptConnectionLost(t *testing.T) {
	log := &logLines{}
	var mu sync.Mutex
	n := 0
	d := newFakeDistributor(t, testState(1), func(c net.Conn, q settingsstore.Request) bool {
		mu.Lock()
		defer mu.Unlock()
		n++
		body := settingsstore.Encode(testState(uint64(n)))
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body) // and closes
		return true
	})
	_, tried, _ := startClient(t, log, acceptAll, d.addr, "127.0.0.1:1")
	for epoch := uint64(1); epoch < 4; epoch++ {
		if got := <-tried; got != epoch {
			t.Fatalf("epoch %d is tried, want %d", got, epoch)
		}
	}
	if n := log.count(`"level":"warn"`); n != 0 {
		t.Errorf("%d lines in the log:\n%s", n, &log.text)
	}
}
