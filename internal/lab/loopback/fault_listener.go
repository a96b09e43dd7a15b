package loopback

import (
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// entry is what a box's address does with new connections.
type listenState uint8

const (
	stateAccepting  listenState = iota // they come up
	stateRefusing                      // they are refused
	stateBlackholed                    // they never come up, as if the machine were not there
)

const (
	// A connection over loopback comes up within its own system call, so one that has not by now will not.
	fillTimeout         = 20 * time.Millisecond
	maxFillers          = 16 // connections that fill a line of no length; on Linux it is one
	listenRetryInterval = 10 * time.Millisecond
)

// door is a box's listening socket. One goroutine turns it, another accepts, and want doesn't wait for them.
type faultListener struct {
	address    string
	handle     func(*net.TCPConn)
	requested  chan listenState // the latest that has not been met
	done       chan struct{}
	goroutines sync.WaitGroup

	state        listenState
	listener     *net.TCPListener // nil while it is shut
	acceptorDone chan struct{}    // closed once the acceptor has ended
	fillers      []net.Conn       // own connections that take up the whole line while it is blind
}

// newFaultListener makes one that is open or shut. Admit takes over each connection that comes up.
func newFaultListener(addr string, state listenState, admit func(*net.TCPConn)) (*faultListener, error) {
	l := &faultListener{address: addr, handle: admit, requested: make(chan listenState, 1), done: make(chan struct{}), state: stateRefusing}
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

// want has it turned soon. Calls must not overlap.
func (l *faultListener) requestState(state listenState) {
	select {
	case <-l.requested:
	default:
	}
	l.requested <- state
}

// close shuts it and waits for its goroutines.
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

// turn goes by way of shut, except from open to blind: no connection is to come up or be refused in between.
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
	socket, err := net.Listen("tcp", l.address)
	if err == nil {
		l.listener = socket.(*net.TCPListener)
	}
	return err
}

// retryListen tries until the address is free: all that may hold it is a socket of ours that is just closing.
// It returns false if the door is closed meanwhile.
func (l *faultListener) retryListen() bool {
	for l.listen() != nil {
		select {
		case <-time.After(listenRetryInterval):
		case <-l.done:
			return false
		}
	}
	return true
}

func (l *faultListener) startAccepting() {
	socket, ended := l.listener, make(chan struct{})
	l.acceptorDone = ended
	l.goroutines.Go(func() {
		defer close(ended)
		for {
			conn, err := socket.AcceptTCP()
			switch {
			case err == nil:
				l.handle(conn)
			case errors.Is(err, net.ErrClosed), errors.Is(err, os.ErrDeadlineExceeded):
				return
			default: // out of descriptors, say
				time.Sleep(listenRetryInterval)
			}
		}
	})
}

// shut closes the listener, by which the system resets what waits to be accepted.
func (l *faultListener) stopListening() {
	if l.listener == nil {
		return
	}
	l.listener.Close()
	if l.acceptorDone != nil {
		<-l.acceptorDone
		l.acceptorDone = nil
	}
	for _, conn := range l.fillers {
		conn.Close()
	}
	l.listener, l.fillers, l.state = nil, nil, stateRefusing
}

// blind stops accepting and fills the line of those that wait for it: Linux then drops what asks for a
// connection, as if it had never come.
func (l *faultListener) blackhole() {
	if l.acceptorDone != nil {
		_ = l.listener.SetDeadline(time.Unix(1, 0)) // it fails on a closed listener alone, and this one is open
		<-l.acceptorDone
		l.acceptorDone = nil
	}
	if raw, err := l.listener.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), 0) }) // a longer line is filled all the same
	}
	for range maxFillers {
		conn, err := net.DialTimeout("tcp", l.address, fillTimeout)
		if err != nil {
			return
		}
		l.fillers = append(l.fillers, conn)
	}
}
