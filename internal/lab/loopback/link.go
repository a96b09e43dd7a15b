package loopback

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"pinelb.example/pinelb/internal/lab/plan"
)

const linkBufferSize = 32 << 10

// link is the network between one process and another: an address of its own, whose connections are passed on. While a way
// is cut, what is written that way is held back until it is healed, as TCP does by sending again; and no new connection
// comes up. It differs from a wire in two things: where nobody listens behind it, a connection comes up and is then reset;
// and in the moment in which it is healed one is refused.
type link struct {
	target     string
	listener   *faultListener
	dialer     net.Dialer
	goroutines sync.WaitGroup
	ctx        context.Context
	cancel     context.CancelFunc

	mu            sync.Mutex
	faults        map[int]plan.Link // that are on, by number
	connections   map[*proxiedConn]struct{}
	faultsChanged chan struct{} // closed, and made anew, with every change of the faults
}

// pair is one connection through a link: the caller's end and the called one's.
type proxiedConn struct{ client, server net.Conn }

// newLink listens at an address and passes on to another.
func newLink(addr, to string) (*link, error) {
	l := &link{target: to, faults: map[int]plan.Link{}, connections: map[*proxiedConn]struct{}{}, faultsChanged: make(chan struct{})}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	var err error
	if l.listener, err = newFaultListener(addr, stateAccepting, l.forward); err != nil {
		return nil, err
	}
	return l, nil
}

// begin puts a fault on; with end, it goes.
func (l *link) beginFault(id int, fault plan.Link) {
	l.updateFaults(func() { l.faults[id] = fault }, fault.How == plan.LinkReset)
}

func (l *link) endFault(id int) { l.updateFaults(func() { delete(l.faults, id) }, false) }

func (l *link) updateFaults(change func(), reset bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
	if reset {
		for conn := range l.connections {
			conn.reset()
		}
	}
	want := stateAccepting
	for _, fault := range l.faults {
		if fault.Cuts(true) || fault.Cuts(false) {
			want = stateBlackholed // a handshake needs both ways
		}
	}
	l.listener.requestState(want)
	close(l.faultsChanged)
	l.faultsChanged = make(chan struct{})
}

// leads has it pass new connections on to another address.
func (l *link) setTarget(to string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.target = to
}

func (l *link) close() {
	l.cancel()
	l.listener.close()
	l.mu.Lock()
	for conn := range l.connections {
		conn.reset()
	}
	l.mu.Unlock()
	l.goroutines.Wait()
}

// admit passes a connection on until both ends have ended.
func (l *link) forward(near *net.TCPConn) {
	l.mu.Lock()
	to := l.target
	l.mu.Unlock()
	l.goroutines.Go(func() {
		far, err := l.dialer.DialContext(l.ctx, "tcp", to)
		if err != nil {
			_ = near.SetLinger(0)
			near.Close()
			return
		}
		conn := &proxiedConn{near, far}
		l.mu.Lock()
		l.connections[conn] = struct{}{}
		if l.ctx.Err() != nil {
			conn.reset()
		}
		l.mu.Unlock()
		var both sync.WaitGroup
		both.Go(func() { l.copyOneWay(conn, far, near, true) })
		both.Go(func() { l.copyOneWay(conn, near, far, false) })
		both.Wait()
		l.mu.Lock()
		delete(l.connections, conn)
		l.mu.Unlock()
		near.Close()
		far.Close()
	})
}

// pump passes on one way's bytes, and its end.
func (l *link) copyOneWay(conn *proxiedConn, to, from net.Conn, there bool) {
	buf := make([]byte, linkBufferSize)
	for {
		n, err := from.Read(buf)
		if n > 0 || errors.Is(err, io.EOF) {
			if !l.awaitPassage(there) {
				conn.reset()
				return
			}
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				conn.reset()
				return
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			_ = to.(*net.TCPConn).CloseWrite() // where it fails the other way fails too
			return
		case err != nil:
			conn.reset()
			return
		}
	}
}

// passes waits for as long as a way is cut, and then for its delay; false if the link is closed meanwhile.
func (l *link) awaitPassage(there bool) bool {
	for {
		l.mu.Lock()
		cut, delay, turned := false, time.Duration(0), l.faultsChanged
		for _, fault := range l.faults {
			cut = cut || fault.Cuts(there)
			delay += fault.Delay
		}
		l.mu.Unlock()
		if !cut {
			return delay == 0 || l.sleep(delay)
		}
		select {
		case <-turned:
		case <-l.ctx.Done():
			return false
		}
	}
}

func (l *link) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-l.ctx.Done():
		return false
	}
}

// reset breaks both ends.
func (c *proxiedConn) reset() {
	for _, conn := range []net.Conn{c.client, c.server} {
		_ = conn.(*net.TCPConn).SetLinger(0) // on one that is closed already there is no need
		conn.Close()
	}
}
