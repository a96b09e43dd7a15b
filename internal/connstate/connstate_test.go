package connstate

import (
	"net"
	"runtime"
	"testing"
)

// Guards against a Peek that consumes what it sees, or that takes one state for another.
func TestPeek(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	for _, c := range []struct {
		name   string
		data   string
		act    func(peer *net.TCPConn, here net.Conn)
		want   State
		closed bool
	}{
		{"silent", "", nil, NoData, false},
		{"it has sent something", "a", nil, DataPending, false},
		{"it closes", "", func(peer *net.TCPConn, _ net.Conn) { _ = peer.Close() }, Closed, true},
		{"it closes its sending side", "", func(peer *net.TCPConn, _ net.Conn) { _ = peer.CloseWrite() }, Closed, true},
		{"it resets", "", func(peer *net.TCPConn, _ net.Conn) { _ = peer.SetLinger(0); _ = peer.Close() }, Closed, true},
		{"it closes after a byte", "a", func(peer *net.TCPConn, _ net.Conn) { _ = peer.Close() }, DataPending, true},
		{"closed here", "a", func(_ *net.TCPConn, here net.Conn) { _ = here.Close() }, Closed, true},
	} {
		peer, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		here, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		_, _ = peer.Write([]byte(c.data))
		if c.act != nil {
			c.act(peer.(*net.TCPConn), here)
		}
		for Peek(here) != c.want || PeerClosed(here) != c.closed { // until the kernel has delivered it; what never shows runs into the tests' time-out
			runtime.Gosched()
		}
		if c.want == DataPending {
			got := make([]byte, 2)
			if n, _ := here.Read(got); string(got[:n]) != c.data {
				t.Errorf("%s: %q remains to be read, want %q", c.name, got[:n], c.data)
			}
		}
		_ = peer.Close()
		_ = here.Close()
	}
	near, _ := net.Pipe()
	if Peek(near) != Unknown || PeerClosed(near) {
		t.Error("a connection without a descriptor has a state")
	}
}

// BenchmarkPeek measures a Peek: an attempt makes two.
func BenchmarkPeek(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	peer, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer peer.Close()
	b.ReportAllocs()
	for b.Loop() {
		if Peek(peer) != NoData {
			b.Fatal("the connection is not silent")
		}
	}
}
