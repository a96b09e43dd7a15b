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

// link is the network between one process and another: a TCP proxy with an address of its own, whose faults are those of the
// scenario. While one direction is partitioned, what is written in it is held back until the partition heals, as TCP does by
// retransmission, and no new connection comes up. It differs from a network in two things: where nobody listens behind it, a
// connection comes up and is then reset; and in the moment in which it heals one is refused.
type link struct {
	listener   *faultListener
	dialer     net.Dialer
	goroutines sync.WaitGroup
	ctx        context.Context // ends with close
	cancel     context.CancelFunc

	mu            sync.Mutex
	target        string                 // address of new connections
	faults        map[int]plan.LinkFault // in force, by their numbers in the plan
	connections   map[*proxiedConn]struct{}
	faultsChanged chan struct{} // closed and replaced with every change of the faults
}

// proxiedConn is one connection through a link: the one that was accepted and the one to the target.
type proxiedConn struct{ client, server *net.TCPConn }

// newLink listens at an address and forwards to another. An error is that of the listener.
func newLink(address, target string) (*link, error) {
	l := &link{
		target:        target,
		faults:        map[int]plan.LinkFault{},
		connections:   map[*proxiedConn]struct{}{},
		faultsChanged: make(chan struct{}),
	}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	var err error
	if l.listener, err = newFaultListener(address, stateAccepting, l.forward); err != nil {
		return nil, err
	}
	return l, nil
}

// beginFault puts a fault into force, until endFault is called with its number.
func (l *link) beginFault(id int, fault plan.LinkFault) {
	l.updateFaults(func() { l.faults[id] = fault }, fault.Kind == plan.LinkReset)
}

func (l *link) endFault(id int) { l.updateFaults(func() { delete(l.faults, id) }, false) }

func (l *link) updateFaults(change func(), reset bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
	if reset {
		l.resetAll()
	}
	state := stateAccepting
	for _, fault := range l.faults {
		if fault.Blocks(true) || fault.Blocks(false) {
			state = stateBlackholed // a handshake needs both directions
		}
	}
	l.listener.requestState(state)
	close(l.faultsChanged)
	l.faultsChanged = make(chan struct{})
}

// resetAll resets all connections. The lock is held.
func (l *link) resetAll() {
	for conn := range l.connections {
		conn.reset()
	}
}

// setTarget has new connections forwarded to another address.
func (l *link) setTarget(target string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.target = target
}

// close resets all connections and waits for the goroutines.
func (l *link) close() {
	l.cancel()
	l.listener.close()
	l.mu.Lock()
	l.resetAll()
	l.mu.Unlock()
	l.goroutines.Wait()
}

// forward forwards a new connection, in a goroutine, until both directions have ended.
func (l *link) forward(client *net.TCPConn) {
	l.mu.Lock()
	target := l.target
	l.mu.Unlock()
	l.goroutines.Go(func() {
		server, err := l.dialer.DialContext(l.ctx, "tcp", target)
		if err != nil {
			resetConn(client)
			return
		}
		conn := &proxiedConn{client, server.(*net.TCPConn)}
		l.mu.Lock()
		l.connections[conn] = struct{}{}
		if l.ctx.Err() != nil {
			conn.reset()
		}
		l.mu.Unlock()
		var both sync.WaitGroup
		both.Go(func() { l.copyOneWay(conn, conn.server, conn.client, true) })
		both.Go(func() { l.copyOneWay(conn, conn.client, conn.server, false) })
		both.Wait()
		l.mu.Lock()
		delete(l.connections, conn)
		l.mu.Unlock()
		_ = conn.client.Close() // it may be closed already
		_ = conn.server.Close()
	})
}

// copyOneWay copies the bytes of one direction, and its end.
func (l *link) copyOneWay(conn *proxiedConn, to, from *net.TCPConn, toServer bool) {
	buffer := make([]byte, linkBufferSize)
	for {
		n, readErr := from.Read(buffer)
		ended := errors.Is(readErr, io.EOF)
		if (n > 0 || ended) && !l.awaitPassage(toServer) {
			conn.reset()
			return
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				conn.reset()
				return
			}
		}
		switch {
		case ended:
			_ = to.CloseWrite() // where it fails the other direction fails too
			return
		case readErr != nil:
			conn.reset()
			return
		}
	}
}

// awaitPassage waits while a direction is partitioned, and then for its delay; false if the link is closed meanwhile.
func (l *link) awaitPassage(toServer bool) bool {
	for {
		l.mu.Lock()
		partitioned, delay, changed := false, time.Duration(0), l.faultsChanged
		for _, fault := range l.faults {
			partitioned = partitioned || fault.Blocks(toServer)
			delay += fault.Delay
		}
		l.mu.Unlock()
		if !partitioned {
			return delay == 0 || sleep(delay, l.ctx.Done(), nil)
		}
		select {
		case <-changed:
		case <-l.ctx.Done():
			return false
		}
	}
}

// reset resets both ends.
func (c *proxiedConn) reset() {
	resetConn(c.client)
	resetConn(c.server)
}
