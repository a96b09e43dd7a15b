package loopback

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"pinelb.example/pinelb/internal/lab/plan"
)

// holdTime is how long a test waits to see that nothing comes.
const holdTime = 50 * time.Millisecond

// linkFixture is a link and a listener behind it.
type linkFixture struct {
	*link
	t      *testing.T
	behind net.Listener
}

func newLinkFixture(t *testing.T) *linkFixture {
	t.Helper()
	noLeaks(t)
	behind, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { behind.Close() })
	runAddresses, err := newAddresses()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(runAddresses.close)
	l, err := newLink(runAddresses.link("list", 0, 0), behind.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.close)
	return &linkFixture{l, t, behind}
}

// connect connects through the link and returns both ends.
func (f *linkFixture) connect() (client, server net.Conn) {
	f.t.Helper()
	var err error
	for deadline := time.Now().Add(testTimeout); client == nil; { // a listener that changes its state refuses for a moment
		if client, err = net.DialTimeout("tcp", f.listener.address, testTimeout); err != nil && time.Now().After(deadline) {
			f.t.Fatal(err)
		}
	}
	if server, err = f.behind.Accept(); err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { client.Close(); server.Close() })
	return client, server
}

// readByte reads one byte within a time.
func readByte(c net.Conn, timeout time.Duration) error {
	_ = c.SetReadDeadline(time.Now().Add(timeout)) // on a broken connection the read fails
	_, err := io.ReadFull(c, make([]byte, 1))
	return err
}

// TestLink checks that a link forwards everything; that a partition holds back what is written in its direction until it heals and lets
// no new connection come up; that a delay delays; and that a reset breaks both ends. Each row fails on a link that forwards everything.
func TestLink(t *testing.T) {
	f := newLinkFixture(t)
	client, server := f.connect()
	for id, fault := range []plan.LinkFault{{Kind: plan.LinkBoth}, {Kind: plan.LinkForward}, {Kind: plan.LinkReverse}, {Kind: plan.LinkSlow, Delay: 2 * holdTime}} {
		directions := []struct {
			from, to net.Conn
			blocked  bool
		}{
			{client, server, fault.Blocks(true) || fault.Delay > 0},
			{server, client, fault.Blocks(false) || fault.Delay > 0},
		}
		f.beginFault(id, fault)
		for _, direction := range directions {
			if _, err := direction.from.Write([]byte{1}); err != nil {
				t.Fatal(err)
			}
			timeout := testTimeout
			if direction.blocked {
				timeout = holdTime
			}
			if err := readByte(direction.to, timeout); (err != nil) != direction.blocked {
				t.Errorf("%+v: %v, held back is %v", fault, err, direction.blocked)
			}
		}
		f.endFault(id)
		for _, direction := range directions {
			if direction.blocked && readByte(direction.to, testTimeout) != nil {
				t.Errorf("%+v: what was held back is lost", fault)
			}
		}
		f.connect() // new connections come up again
	}
	f.testReset(client, server)
	f.testNoConnection()
}

// testReset checks that a reset breaks both ends of a connection.
func (f *linkFixture) testReset(client, server net.Conn) {
	f.t.Helper()
	f.beginFault(9, plan.LinkFault{Kind: plan.LinkReset})
	if err := readByte(client, testTimeout); !errors.Is(err, syscall.ECONNRESET) {
		f.t.Errorf("reset, at the client: %v", err)
	}
	if err := readByte(server, testTimeout); !errors.Is(err, syscall.ECONNRESET) {
		f.t.Errorf("reset, at the server: %v", err)
	}
	f.endFault(9)
}

// testNoConnection checks that no connection comes up over a partitioned link.
func (f *linkFixture) testNoConnection() {
	f.t.Helper()
	f.beginFault(10, plan.LinkFault{Kind: plan.LinkBoth})
	for deadline := time.Now().Add(testTimeout); ; { // the listener changes its state in a goroutine
		conn, err := net.DialTimeout("tcp", f.listener.address, holdTime)
		if err != nil {
			return
		}
		conn.Close()
		if time.Now().After(deadline) {
			f.t.Fatal("connections come up over a partitioned link")
		}
	}
}
