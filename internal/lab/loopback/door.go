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
type entry uint8

const (
	open  entry = iota // they come up
	shut               // they are refused
	blind              // they never come up, as if the machine were not there
)

const (
	// A connection over loopback comes up within its own system call, so one that has not by now will not.
	blindAfter = 20 * time.Millisecond
	blindMost  = 16 // connections that fill a line of no length; on Linux it is one
	againAfter = 10 * time.Millisecond
)

// door is a box's listening socket. One goroutine turns it, another accepts, and want doesn't wait for them.
type door struct {
	addr    string
	admit   func(*net.TCPConn)
	wishes  chan entry // the latest that has not been met
	quit    chan struct{}
	working sync.WaitGroup

	state     entry
	listener  *net.TCPListener // nil while it is shut
	accepting chan struct{}    // closed once the acceptor has ended
	fillers   []net.Conn       // own connections that take up the whole line while it is blind
}

// newDoor makes one that is open or shut. Admit takes over each connection that comes up.
func newDoor(addr string, state entry, admit func(*net.TCPConn)) (*door, error) {
	d := &door{addr: addr, admit: admit, wishes: make(chan entry, 1), quit: make(chan struct{}), state: shut}
	if state == open {
		if err := d.listen(); err != nil {
			return nil, err
		}
		d.state = open
		d.accept()
	}
	d.working.Go(d.keep)
	return d, nil
}

// want has it turned soon. Calls must not overlap.
func (d *door) want(e entry) {
	select {
	case <-d.wishes:
	default:
	}
	d.wishes <- e
}

// close shuts it and waits for its goroutines.
func (d *door) close() {
	close(d.quit)
	d.working.Wait()
}

func (d *door) keep() {
	for {
		select {
		case e := <-d.wishes:
			if e != d.state {
				d.turn(e)
			}
		case <-d.quit:
			d.shut()
			return
		}
	}
}

// turn goes by way of shut, except from open to blind: no connection is to come up or be refused in between.
func (d *door) turn(to entry) {
	if d.state != open {
		d.shut()
	}
	switch to {
	case shut:
		d.shut()
	case open:
		if !d.listenAgain() {
			return
		}
		d.accept()
	case blind:
		if d.listener == nil && !d.listenAgain() {
			return
		}
		d.blind()
	}
	d.state = to
}

func (d *door) listen() error {
	l, err := net.Listen("tcp", d.addr)
	if err == nil {
		d.listener = l.(*net.TCPListener)
	}
	return err
}

// listenAgain tries until the address is free: all that may hold it is a socket of ours that is just closing.
// It returns false if the door is closed meanwhile.
func (d *door) listenAgain() bool {
	for d.listen() != nil {
		select {
		case <-time.After(againAfter):
		case <-d.quit:
			return false
		}
	}
	return true
}

func (d *door) accept() {
	l, ended := d.listener, make(chan struct{})
	d.accepting = ended
	d.working.Go(func() {
		defer close(ended)
		for {
			c, err := l.AcceptTCP()
			switch {
			case err == nil:
				d.admit(c)
			case errors.Is(err, net.ErrClosed), errors.Is(err, os.ErrDeadlineExceeded):
				return
			default: // out of descriptors, say
				time.Sleep(againAfter)
			}
		}
	})
}

// shut closes the listener, by which the system resets what waits to be accepted.
func (d *door) shut() {
	if d.listener == nil {
		return
	}
	d.listener.Close()
	if d.accepting != nil {
		<-d.accepting
		d.accepting = nil
	}
	for _, c := range d.fillers {
		c.Close()
	}
	d.listener, d.fillers, d.state = nil, nil, shut
}

// blind stops accepting and fills the line of those that wait for it: Linux then drops what asks for a
// connection, as if it had never come.
func (d *door) blind() {
	if d.accepting != nil {
		_ = d.listener.SetDeadline(time.Unix(1, 0)) // it fails on a closed listener alone, and this one is open
		<-d.accepting
		d.accepting = nil
	}
	if raw, err := d.listener.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), 0) }) // a longer line is filled all the same
	}
	for range blindMost {
		c, err := net.DialTimeout("tcp", d.addr, blindAfter)
		if err != nil {
			return
		}
		d.fillers = append(d.fillers, c)
	}
}
