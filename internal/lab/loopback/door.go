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
	d := &faultListener{address: addr, handle: admit, requested: make(chan listenState, 1), done: make(chan struct{}), state: stateRefusing}
	if state == stateAccepting {
		if err := d.listen(); err != nil {
			return nil, err
		}
		d.state = stateAccepting
		d.startAccepting()
	}
	d.goroutines.Go(d.loop)
	return d, nil
}

// want has it turned soon. Calls must not overlap.
func (d *faultListener) requestState(e listenState) {
	select {
	case <-d.requested:
	default:
	}
	d.requested <- e
}

// close shuts it and waits for its goroutines.
func (d *faultListener) close() {
	close(d.done)
	d.goroutines.Wait()
}

func (d *faultListener) loop() {
	for {
		select {
		case e := <-d.requested:
			if e != d.state {
				d.changeState(e)
			}
		case <-d.done:
			d.stopListening()
			return
		}
	}
}

// turn goes by way of shut, except from open to blind: no connection is to come up or be refused in between.
func (d *faultListener) changeState(to listenState) {
	if d.state != stateAccepting {
		d.stopListening()
	}
	switch to {
	case stateRefusing:
		d.stopListening()
	case stateAccepting:
		if !d.retryListen() {
			return
		}
		d.startAccepting()
	case stateBlackholed:
		if d.listener == nil && !d.retryListen() {
			return
		}
		d.blackhole()
	}
	d.state = to
}

func (d *faultListener) listen() error {
	l, err := net.Listen("tcp", d.address)
	if err == nil {
		d.listener = l.(*net.TCPListener)
	}
	return err
}

// retryListen tries until the address is free: all that may hold it is a socket of ours that is just closing.
// It returns false if the door is closed meanwhile.
func (d *faultListener) retryListen() bool {
	for d.listen() != nil {
		select {
		case <-time.After(listenRetryInterval):
		case <-d.done:
			return false
		}
	}
	return true
}

func (d *faultListener) startAccepting() {
	l, ended := d.listener, make(chan struct{})
	d.acceptorDone = ended
	d.goroutines.Go(func() {
		defer close(ended)
		for {
			c, err := l.AcceptTCP()
			switch {
			case err == nil:
				d.handle(c)
			case errors.Is(err, net.ErrClosed), errors.Is(err, os.ErrDeadlineExceeded):
				return
			default: // out of descriptors, say
				time.Sleep(listenRetryInterval)
			}
		}
	})
}

// shut closes the listener, by which the system resets what waits to be accepted.
func (d *faultListener) stopListening() {
	if d.listener == nil {
		return
	}
	d.listener.Close()
	if d.acceptorDone != nil {
		<-d.acceptorDone
		d.acceptorDone = nil
	}
	for _, c := range d.fillers {
		c.Close()
	}
	d.listener, d.fillers, d.state = nil, nil, stateRefusing
}

// blind stops accepting and fills the line of those that wait for it: Linux then drops what asks for a
// connection, as if it had never come.
func (d *faultListener) blackhole() {
	if d.acceptorDone != nil {
		_ = d.listener.SetDeadline(time.Unix(1, 0)) // it fails on a closed listener alone, and this one is open
		<-d.acceptorDone
		d.acceptorDone = nil
	}
	if raw, err := d.listener.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), 0) }) // a longer line is filled all the same
	}
	for range maxFillers {
		c, err := net.DialTimeout("tcp", d.address, fillTimeout)
		if err != nil {
			return
		}
		d.fillers = append(d.fillers, c)
	}
}
