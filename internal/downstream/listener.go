package downstream

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// limitedListener is a listener whose connections wait until the limiter admits them.
type limitedListener struct {
	net.Listener
	limiter *connLimiter
	closing atomic.Bool
}

func (l *limitedListener) Accept() (net.Conn, error) {
	conn, err := l.accept()
	if err != nil {
		return nil, err
	}
	l.limiter.acquire()
	return &clientConn{Conn: conn, limiter: l.limiter}, nil
}

// accept goes on after Close, until the kernel's accept queue is empty.
func (l *limitedListener) accept() (net.Conn, error) {
	for {
		if l.closing.Load() {
			if !hasQueuedConn(l.Listener) {
				_ = l.Listener.Close()
				return nil, net.ErrClosed
			}
			_ = l.Listener.(pollableListener).SetDeadline(time.Now().Add(lingerTimeout)) // another process may accept what is queued
		}
		if conn, err := l.Listener.Accept(); !errors.Is(err, os.ErrDeadlineExceeded) {
			return conn, err
		}
	}
}

// pollableListener is a listener whose accept queue can be looked at. *net.TCPListener is one.
type pollableListener interface {
	syscall.Conn
	SetDeadline(t time.Time) error
}

// Close makes Accept return the connections that are still in the kernel's accept queue, and then close the listener: these
// connections are established already, and would be reset with what their clients have written.
func (l *limitedListener) Close() error {
	p, ok := l.Listener.(pollableListener)
	if !ok {
		return l.Listener.Close()
	}
	l.closing.Store(true)
	return p.SetDeadline(expiredDeadline)
}

// hasQueuedConn reports whether a connection waits to be accepted.
func hasQueuedConn(l net.Listener) (queued bool) {
	raw, err := l.(pollableListener).SyscallConn()
	if err != nil {
		return false
	}
	closed := raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(fds, 0)
		queued = err == nil && n > 0 && fds[0].Revents&unix.POLLIN != 0
	})
	return queued && closed == nil
}
