package loopback

import (
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// listenState is what a faultListener does with new connections.
type listenState uint8

const (
	stateAccepting  listenState = iota // they come up
	stateRefusing                      // they are refused
	stateBlackholed                    // they never come up, as if the host were not there
)

const (
	// A connection over loopback comes up within its own system call, so one that has not by now will not.
	fillTimeout         = 20 * time.Millisecond
	maxFillers          = 16 // connections that fill a backlog of length 0; on Linux it is one
	listenRetryInterval = 10 * time.Millisecond
)

// faultListener is a TCP listener whose address can be made to refuse or to drop new connections. One goroutine changes its state,
// another accepts; requestState doesn't wait for them.
type faultListener struct {
	address    string
	handle     func(*net.TCPConn) // takes over each connection that comes up
	requested  chan listenState   // the latest request that has not been met
	done       chan struct{}      // closed by close
	goroutines sync.WaitGroup

	// Of the goroutine that runs loop.
	state          listenState
	listener       *net.TCPListener // nil while it refuses
	acceptorDone   chan struct{}    // closed once the acceptor has ended; nil if there is none
	backlogFillers []net.Conn       // own connections that take up the whole backlog while it is blackholed
}

// newFaultListener makes one that accepts or refuses. An error is that of listening.
func newFaultListener(address string, state listenState, handle func(*net.TCPConn)) (*faultListener, error) {
	l := &faultListener{
		address:   address,
		handle:    handle,
		requested: make(chan listenState, 1),
		done:      make(chan struct{}),
		state:     stateRefusing,
	}
	if state == stateAccepting {
		if err := l.listen(); err != nil {
			return nil, err
		}
		l.state = stateAccepting
		l.startAccepting()
	}
	l.goroutines.Go(l.loop)
	return l, nil
}

// requestState requests a change of state, in place of one that has not been made yet. Calls must not overlap.
func (l *faultListener) requestState(state listenState) {
	select {
	case <-l.requested:
	default:
	}
	l.requested <- state
}

// close stops listening and waits for the goroutines.
func (l *faultListener) close() {
	close(l.done)
	l.goroutines.Wait()
}

func (l *faultListener) loop() {
	for {
		select {
		case state := <-l.requested:
			if state != l.state {
				l.changeState(state)
			}
		case <-l.done:
			l.stopListening()
			return
		}
	}
}

// changeState goes by way of refusing, except from accepting to blackholed: no connection is to come up or be refused in between.
func (l *faultListener) changeState(to listenState) {
	if l.state != stateAccepting {
		l.stopListening()
	}
	switch to {
	case stateRefusing:
		l.stopListening()
	case stateAccepting:
		if !l.retryListen() {
			return
		}
		l.startAccepting()
	case stateBlackholed:
		if l.listener == nil && !l.retryListen() {
			return
		}
		l.blackhole()
	}
	l.state = to
}

func (l *faultListener) listen() error {
	listener, err := net.Listen("tcp", l.address)
	if err == nil {
		l.listener = listener.(*net.TCPListener)
	}
	return err
}

// retryListen listens as soon as the address is free: only a socket of ours that is just closing can have it. It returns false if
// the listener is closed meanwhile.
func (l *faultListener) retryListen() bool {
	for l.listen() != nil {
		if !sleep(listenRetryInterval, l.done, nil) {
			return false
		}
	}
	return true
}

func (l *faultListener) startAccepting() {
	listener, acceptorDone := l.listener, make(chan struct{})
	l.acceptorDone = acceptorDone
	l.goroutines.Go(func() {
		defer close(acceptorDone)
		for {
			conn, err := listener.AcceptTCP()
			switch {
			case err == nil:
				l.handle(conn)
			case errors.Is(err, net.ErrClosed), errors.Is(err, os.ErrDeadlineExceeded):
				return
			default: // such as EMFILE
				time.Sleep(listenRetryInterval)
			}
		}
	})
}

// awaitAcceptor waits for the acceptor, if there is one, once its Accept fails.
func (l *faultListener) awaitAcceptor() {
	if l.acceptorDone != nil {
		<-l.acceptorDone
		l.acceptorDone = nil
	}
}

// stopListening closes the listener, on which the system resets what waits to be accepted.
func (l *faultListener) stopListening() {
	if l.listener == nil {
		return
	}
	_ = l.listener.Close() // nothing else closes it
	l.awaitAcceptor()
	for _, filler := range l.backlogFillers {
		_ = filler.Close()
	}
	l.listener, l.backlogFillers, l.state = nil, nil, stateRefusing
}

// blackhole stops accepting and fills the backlog: Linux then drops the SYN of a new connection, as if it had never come.
func (l *faultListener) blackhole() {
	if l.acceptorDone != nil {
		_ = l.listener.SetDeadline(pastDeadline) // it fails only on a closed listener, and this one is open
		l.awaitAcceptor()
	}
	if raw, err := l.listener.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), 0) }) // a longer backlog is filled all the same
	}
	for range maxFillers {
		conn, err := net.DialTimeout("tcp", l.address, fillTimeout)
		if err != nil {
			return
		}
		l.backlogFillers = append(l.backlogFillers, conn)
	}
}
