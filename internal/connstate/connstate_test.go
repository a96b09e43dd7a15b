package connstate

import (
	"net"
	"runtime"
	"testing"
)

// Guards against a look that takes what it sees, or that takes one state for another.
func TestPeek(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	for _, c := range []struct {
		name string
		says string
		ends func(there *net.TCPConn, here net.Conn)
		want State
		left bool
	}{
		{"silent", "", nil, NoData, false},
		{"it has said something", "a", nil, DataPending, false},
		{"it closes", "", func(there *net.TCPConn, _ net.Conn) { there.Close() }, Closed, true},
		{"it ends its sending", "", func(there *net.TCPConn, _ net.Conn) { _ = there.CloseWrite() }, Closed, true},
		{"it resets", "", func(there *net.TCPConn, _ net.Conn) { _ = there.SetLinger(0); there.Close() }, Closed, true},
		{"it closes behind a byte", "a", func(there *net.TCPConn, _ net.Conn) { there.Close() }, DataPending, true},
		{"closed here", "a", func(_ *net.TCPConn, here net.Conn) { here.Close() }, Closed, true},
	} {
		there, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		here, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		_, _ = there.Write([]byte(c.says))
		if c.ends != nil {
			c.ends(there.(*net.TCPConn), here)
		}
		for Peek(here) != c.want || PeerClosed(here) != c.left { // it comes over the loopback; what never shows runs into the tests' time-out
			runtime.Gosched()
		}
		if c.want == DataPending {
			got := make([]byte, 2)
			if n, _ := here.Read(got); string(got[:n]) != c.says {
				t.Errorf("%s: %q is left to be read, want %q", c.name, got[:n], c.says)
			}
		}
		there.Close()
		here.Close()
	}
	near, _ := net.Pipe()
	if Peek(near) != Unknown || PeerClosed(near) {
		t.Error("one of which nothing can be seen shows something")
	}
}

// BenchmarkPeek is what a look costs: there are two in an attempt.
func BenchmarkPeek(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	there, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer there.Close()
	b.ReportAllocs()
	for b.Loop() {
		if Peek(there) != NoData {
			b.Fatal("it is not silent")
		}
	}
}
