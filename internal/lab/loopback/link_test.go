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

// TestLink checks that a link forwards everything; that a partition holds back what is written in its direction until it heals and lets no
// new connection come up; that a delay delays; and that a reset breaks both ends. Each row fails on a link that forwards everything.
func TestLink(t *testing.T) {
	const quiet = 50 * time.Millisecond
	noLeaks(t)
	behind, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer behind.Close()
	net1, err := newAddresses()
	if err != nil {
		t.Fatal(err)
	}
	defer net1.close()
	l, err := newLink(net1.link("list", 0, 0), behind.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer l.close()
	connect := func() (near, far net.Conn) {
		t.Helper()
		var err error
		for until := time.Now().Add(testTimeout); near == nil; { // a listener that changes its state refuses for a moment
			if near, err = net.DialTimeout("tcp", l.listener.address, testTimeout); err != nil && time.Now().After(until) {
				t.Fatal(err)
			}
		}
		if far, err = behind.Accept(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { near.Close(); far.Close() })
		return near, far
	}
	heard := func(c net.Conn, within time.Duration) error {
		_ = c.SetReadDeadline(time.Now().Add(within))
		_, err := io.ReadFull(c, make([]byte, 1))
		return err
	}
	near, far := connect()
	for id, f := range []plan.Link{{How: plan.LinkBoth}, {How: plan.LinkThere}, {How: plan.LinkBack}, {How: plan.LinkSlow, Delay: 2 * quiet}} {
		l.beginFault(id, f)
		for _, way := range []struct {
			from, to net.Conn
			held     bool
		}{{near, far, f.Cuts(true) || f.Delay > 0}, {far, near, f.Cuts(false) || f.Delay > 0}} {
			if _, err := way.from.Write([]byte{1}); err != nil {
				t.Fatal(err)
			}
			within := testTimeout
			if way.held {
				within = quiet
			}
			if err := heard(way.to, within); (err != nil) != way.held {
				t.Errorf("%+v: %v, held back is %v", f, err, way.held)
			}
		}
		l.endFault(id)
		for _, way := range []struct {
			to   net.Conn
			held bool
		}{{far, f.Cuts(true) || f.Delay > 0}, {near, f.Cuts(false) || f.Delay > 0}} {
			if way.held && heard(way.to, testTimeout) != nil {
				t.Errorf("%+v: what was held back is lost", f)
			}
		}
		connect() // it comes up again
	}
	l.beginFault(9, plan.Link{How: plan.LinkReset})
	if err := heard(near, testTimeout); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("reset, at the one that connected: %v", err)
	}
	if err := heard(far, testTimeout); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("reset, behind it: %v", err)
	}
	l.endFault(9)
	l.beginFault(10, plan.Link{How: plan.LinkBoth})
	for until := time.Now().Add(testTimeout); ; { // the listener changes its state in a goroutine
		c, err := net.DialTimeout("tcp", l.listener.address, quiet)
		if err != nil {
			break
		}
		c.Close()
		if time.Now().After(until) {
			t.Fatal("connections come up over a cut link")
		}
	}
}
