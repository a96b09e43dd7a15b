package handover

import (
	"context"
	"fmt"
	"net"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// testProcess is a process of a sidecar in the model: it has a copy of the listener, connects, serves and ends.
type testProcess struct {
	id          int
	listener    *net.TCPListener
	server      *Server
	predecessor *Predecessor
	serving     bool
	dead        bool
	parent      *testProcess // its predecessor
	succeeded   atomic.Bool  // as it has been told
	stop        context.CancelFunc
	ended       chan error
}

// launch starts one: it connects to whichever process serves, or begins with a listener of its own.
func launch(t *testing.T, path string, id int, after *testProcess) *testProcess {
	t.Helper()
	p := &testProcess{id: id, ended: make(chan error, 1), parent: after}
	f, err := Connect(path, time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	var l net.Listener
	if p.predecessor = f; f != nil {
		l = f.TakeListener("clients")
	} else if l, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	p.listener = l.(*net.TCPListener)
	p.server = &Server{Path: path, Listeners: map[string]*net.TCPListener{"clients": p.listener}, Log: zerolog.Nop(), OnLine: func([]byte) {},
		State: func() ([]byte, error) { return fmt.Append(nil, id), nil }, OnConnected: func(bool) {}, OnServing: p.succeeded.Store,
		processID: id + 1} // as in separate processes: two that take the path at the same time must not share a name beside it
	return p
}

// ready announces that it serves.
func (p *testProcess) ready(t *testing.T) {
	t.Helper()
	if err := p.server.Listen(); err != nil {
		t.Fatal(err)
	}
	if p.predecessor != nil {
		if err := p.predecessor.Ready(func([]byte) {}); err != nil && !p.parent.dead {
			t.Fatal(err)
		}
	}
	ctx, stop := context.WithCancel(context.Background())
	p.stop, p.serving = stop, true
	go func() { p.ended <- p.server.Serve(ctx) }()
}

// end closes all that it has open, as an exit of any kind does.
func (p *testProcess) end(t *testing.T) {
	t.Helper()
	p.dead = true
	p.listener.Close()
	if p.predecessor != nil {
		p.predecessor.Close()
	}
	if p.serving {
		p.stop()
		if err := <-p.ended; err != nil {
			t.Error(err)
		}
	}
}

// FuzzSuccession plays processes that start, serve and end in any order, up to four at once. Whatever the order: while any
// process serves, a connection finds one; the youngest that serves is the next one's predecessor, and no other; a process
// takes itself for succeeded while, and only while, a younger one serves that it led to.
func FuzzSuccession(f *testing.F) {
	f.Add([]byte{0, 1, 0, 1, 2, 0, 1, 2})        // one upgrade after the other
	f.Add([]byte{0, 1, 0, 2 + 4, 0, 1, 2})       // a successor that dies before it serves
	f.Add([]byte{0, 1, 0, 1, 0, 1, 2 + 4, 2, 0}) // three, and the middle one dies
	f.Add([]byte{0, 1, 0, 2, 1, 0, 1, 2})        // a server that dies before its successor serves
	f.Add([]byte{0, 1, 0, 1, 2 + 4, 0, 1, 2, 2}) // a successor that dies after it serves, and the next
	f.Fuzz(func(t *testing.T, script []byte) {
		path := filepath.Join(t.TempDir(), "s.sock")
		if len(path) > maxPathBytes {
			t.Skip("no path of that length")
		}
		var all []*testProcess // by age
		var coming *testProcess
		for n, b := range script[:min(len(script), 12)] {
			switch of := int(b / 4); {
			case b%4 == 0 && coming == nil && len(all) < 4:
				var after *testProcess
				if len(all) > 0 {
					after = all[len(all)-1]
				}
				coming = launch(t, path, n, after)
			case b%4 == 1 && coming != nil:
				coming.ready(t)
				all, coming = append(all, coming), nil
			case b%4 == 2 && of == len(all) && coming != nil:
				coming.end(t)
				coming = nil
			case b%4 == 2 && of < len(all):
				all[of].end(t)
				all = append(all[:of:of], all[of+1:]...)
			}
			checkInvariants(t, path, all, coming)
		}
		if coming != nil {
			coming.end(t)
		}
		for _, p := range all {
			p.end(t)
		}
	})
}

func checkInvariants(t *testing.T, path string, all []*testProcess, coming *testProcess) {
	t.Helper()
	for i, p := range all {
		for within := time.Now().Add(5 * time.Second); p.succeeded.Load() != (i < len(all)-1); time.Sleep(time.Millisecond) {
			if time.Now().After(within) {
				t.Fatalf("process %d of %d takes itself for succeeded: %v", i, len(all), p.succeeded.Load())
			}
		}
	}
	if len(all) == 0 || coming != nil { // then the path is busy
		return
	}
	youngest := all[len(all)-1]
	f, err := Connect(path, time.Minute)
	for ; f == nil && err == nil; f, err = Connect(path, time.Minute) { // the path goes back to a server whose successor has died
		time.Sleep(time.Millisecond)
	}
	if err != nil || string(f.State) != fmt.Sprint(youngest.id) {
		t.Fatalf("the next process's predecessor is %s, not %d: %v", f.State, youngest.id, err)
	}
	defer f.Close()
	defer f.CloseUnused()
	c, err := net.Dial("tcp", youngest.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	got, err := youngest.listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	got.Close()
}

// Guards against a second successor that comes during a hand-over and starts as if there were nobody: its predecessor is the first
// one, or the server again where the first one dies.
func TestConnectDuringHandover(t *testing.T) {
	for _, dies := range []bool{true, false} {
		path := filepath.Join(t.TempDir(), "s.sock")
		a := launch(t, path, 1, nil)
		a.ready(t)
		b := launch(t, path, 2, a)
		came := make(chan *testProcess)
		go func() {
			defer close(came)
			came <- launch(t, path, 3, b)
		}()
		want := "2"
		if dies {
			want = "1"
			b.end(t)
		} else {
			b.ready(t)
		}
		c := <-came
		if c == nil {
			t.Fatal("the second successor did not start")
		}
		if c.predecessor == nil || string(c.predecessor.State) != want {
			t.Errorf("the second successor has %+v, want %s's state", c.predecessor, want)
		}
		c.end(t)
		if !dies {
			b.end(t)
		}
		a.end(t)
	}
}

// A process whose successor has ended takes the path again, unless that one's own successor has taken it in the very moment in
// which it found the path free: then it has to leave the path there, or the youngest process would be reached by nobody.
func TestRetakeLeavesPathToYoungest(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s.sock")
	oldest := launch(t, path, 0, nil)
	foundFree, taken := make(chan struct{}), make(chan struct{})
	oldest.server.beforeRetake = func() {
		select {
		case <-taken:
		case foundFree <- struct{}{}:
			<-taken
		}
	}
	oldest.ready(t)
	middle := launch(t, path, 1, oldest)
	middle.ready(t)
	youngest := launch(t, path, 2, middle)
	middle.end(t)
	<-foundFree
	youngest.ready(t)
	close(taken)
	checkInvariants(t, path, []*testProcess{oldest, youngest}, nil)
	youngest.end(t)
	oldest.end(t)
}
