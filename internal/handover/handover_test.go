package handover

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// serverFixture is a server with one listener, and its callbacks in their order.
type serverFixture struct {
	*Server
	listener *net.TCPListener
	events   chan string
	ended    chan error
	stop     context.CancelFunc
}

func startServer(t *testing.T, path, state string) *serverFixture {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	o := &serverFixture{listener: l.(*net.TCPListener), events: make(chan string, 100), ended: make(chan error, 1)}
	on := map[bool]string{true: "+", false: "-"}
	o.Server = &Server{Path: path, Listeners: map[string]*net.TCPListener{"clients": o.listener},
		State: func() ([]byte, error) { return []byte(state), nil }, OnConnected: func(is bool) { o.events <- "followed" + on[is] },
		OnServing: func(is bool) { o.events <- "succeeded" + on[is] }, OnLine: func(line []byte) { o.events <- strings.TrimSpace(string(line)) },
		Log: zerolog.Nop()}
	ctx, stop := context.WithCancel(context.Background())
	o.stop = func() {
		stop()
		if err := <-o.ended; err != nil {
			t.Error(err)
		}
		l.Close()
	}
	go func() { o.ended <- o.Serve(ctx) }()
	for {
		if f, err := os.Stat(path); err == nil && f.Mode()&os.ModeSocket != 0 {
			return o
		}
	}
}

func (o *serverFixture) expect(t *testing.T, want ...string) {
	t.Helper()
	for _, w := range want {
		if got := <-o.events; got != w {
			t.Fatalf("the server's event is %q, want %q", got, w)
		}
	}
}

// Guards against a hand-over that loses a connection in the queue, a line of either side, or the end of either.
func TestHandover(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s.sock")
	if f, err := Connect(path, 0); f != nil || err != nil {
		t.Fatalf("with nobody there: %v, %v", f, err)
	}
	o := startServer(t, path, `{"a":1}`)
	defer o.stop()
	for round := range 2 { // a successor that ends leaves the server as it was
		queued, err := net.Dial("tcp", o.listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		f, err := Connect(path, 0)
		for f == nil && err == nil { // after a successor's end the server takes the path again
			f, err = Connect(path, 0)
		}
		if err != nil || string(f.State) != `{"a":1}` {
			t.Fatalf("round %d: %v, %+v", round, err, f)
		}
		o.expect(t, "followed+")
		o.Send([]byte("early"))
		f.Send([]byte("mine"))
		var received []string
		if err := f.Ready(func(line []byte) { received = append(received, string(line)) }); err != nil {
			t.Fatal(err)
		}
		o.expect(t, "mine", "succeeded+")
		if len(received) != 1 || received[0] != "early\n" {
			t.Errorf("the successor received %q", received)
		}
		got, err := f.Listeners["clients"].Accept()
		if err != nil {
			t.Fatal(err)
		}
		got.Close()
		queued.Close()
		f.Send([]byte("late"))
		o.expect(t, "late")
		f.CloseUnused()
		f.Close()
		o.expect(t, "followed-", "succeeded-")
	}
}

// Guards against a successor that is gone, or of another kind, before it serves: the next one is served all the same.
func TestSuccessorsThatNeverServe(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s.sock")
	o := startServer(t, path, `{}`)
	defer o.stop()
	c, err := net.Dial("unix", path)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(c, strings.Repeat("?", len(greeting))); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadAll(c); err != nil {
		t.Fatal(err)
	}
	c.Close()
	f, err := Connect(path, time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	f.CloseUnused()
	f.Close()
	o.expect(t, "followed+", "followed-")
	if f, err = Connect(path, time.Minute); err != nil {
		t.Fatal(err)
	}
	f.CloseUnused()
	f.Close()
}

// Guards against a line of the predecessor that is lost, or received as two, because Ready's time is over in the middle of it,
// and against its acknowledgement that comes after that being taken for a line.
func TestLineAcrossReadyTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		f := &Predecessor{conn: near, in: newLineReader(near)}
		go func() {
			defer far.Close()
			for _, s := range []string{"one\ntw", "o\n" + ackLine + "\nthree\n"} {
				_, _ = io.ReadAtLeast(far, make([]byte, 99), 1) // that it serves, and later that the test goes on
				_, _ = io.WriteString(far, s)
			}
		}()
		var received []string
		onLine := func(line []byte) { received = append(received, string(line)) }
		if err := f.Ready(onLine); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("Ready says %v", err)
		}
		f.Send([]byte("go on"))
		f.Receive(onLine)
		f.Close()
		if want := []string{"one\n", "two\n", "three\n"}; !slices.Equal(received, want) {
			t.Errorf("received %q, want %q", received, want)
		}
	})
}

// Guards against a process that takes the path over without having succeeded: whoever listens last has it.
func TestPathOfEndedProcess(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s.sock")
	startServer(t, path, `{}`).stop()
	if f, err := Connect(path, 0); f != nil || err != nil {
		t.Fatalf("after its end: %v, %v", f, err)
	}
	o := startServer(t, path, `{}`)
	o.stop()
}

// FuzzConnect: whatever comes in place of the message is an error, or a state that stands in it; and no descriptor that
// came with it stays open.
func FuzzConnect(f *testing.F) {
	whole := []byte(`{"version":1,"listeners":[],"state":{}}`)
	f.Add(binary.BigEndian.AppendUint32(nil, uint32(len(whole))), whole)
	f.Add(binary.BigEndian.AppendUint32(nil, uint32(len(whole))), whole[:20])
	f.Add([]byte{255, 255, 255, 255}, whole)
	f.Add([]byte{0, 0}, []byte{})
	f.Add([]byte{0, 0, 0, 60}, []byte(`{"version":2,"listeners":["a"],"state":[]}                  `))
	f.Fuzz(func(t *testing.T, head, body []byte) {
		path := filepath.Join(t.TempDir(), "s.sock")
		l, err := net.Listen("unix", path)
		if err != nil {
			t.Skip("no path of that length")
		}
		defer l.Close()
		done := make(chan struct{})
		go func() {
			defer close(done)
			c, err := l.Accept()
			if err != nil {
				return
			}
			defer c.Close()
			_, _ = io.ReadFull(c, make([]byte, len(greeting)))
			_, _ = c.Write(head)
			_, _ = c.Write(body)
		}()
		got, err := Connect(path, 0)
		<-done
		if err == nil && !bytes.Contains(append(head, body...), got.State) {
			t.Errorf("state %q out of %q %q", got.State, head, body)
		}
		if got != nil {
			got.CloseUnused()
			got.Close()
		}
	})
}
