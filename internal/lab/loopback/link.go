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

const linkChunk = 32 << 10

// link is the network between one process and another: an address of its own, whose connections are passed on. While a way
// is cut, what is written that way is held back until it is healed, as TCP does by sending again; and no new connection
// comes up. It differs from a wire in two things: where nobody listens behind it, a connection comes up and is then reset;
// and in the moment in which it is healed one is refused.
type link struct {
	to      string
	door    *door
	dialer  net.Dialer
	working sync.WaitGroup
	life    context.Context
	end     context.CancelFunc

	mu     sync.Mutex
	faults map[int]plan.Link // that are on, by number
	pairs  map[*pair]struct{}
	turned chan struct{} // closed, and made anew, with every change of the faults
}

// pair is one connection through a link: the caller's end and the called one's.
type pair struct{ near, far net.Conn }

// newLink listens at an address and passes on to another.
func newLink(addr, to string) (*link, error) {
	l := &link{to: to, faults: map[int]plan.Link{}, pairs: map[*pair]struct{}{}, turned: make(chan struct{})}
	l.life, l.end = context.WithCancel(context.Background())
	var err error
	if l.door, err = newDoor(addr, open, l.admit); err != nil {
		return nil, err
	}
	return l, nil
}

// begin puts a fault on; with end, it goes.
func (l *link) begin(id int, f plan.Link) {
	l.turn(func() { l.faults[id] = f }, f.How == plan.LinkReset)
}

func (l *link) heal(id int) { l.turn(func() { delete(l.faults, id) }, false) }

func (l *link) turn(change func(), reset bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
	if reset {
		for p := range l.pairs {
			p.reset()
		}
	}
	want := open
	for _, f := range l.faults {
		if f.Cuts(true) || f.Cuts(false) {
			want = blind // a handshake needs both ways
		}
	}
	l.door.want(want)
	close(l.turned)
	l.turned = make(chan struct{})
}

// leads has it pass new connections on to another address.
func (l *link) leads(to string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.to = to
}

func (l *link) close() {
	l.end()
	l.door.close()
	l.mu.Lock()
	for p := range l.pairs {
		p.reset()
	}
	l.mu.Unlock()
	l.working.Wait()
}

// admit passes a connection on until both ends have ended.
func (l *link) admit(near *net.TCPConn) {
	l.mu.Lock()
	to := l.to
	l.mu.Unlock()
	l.working.Go(func() {
		far, err := l.dialer.DialContext(l.life, "tcp", to)
		if err != nil {
			_ = near.SetLinger(0)
			near.Close()
			return
		}
		p := &pair{near, far}
		l.mu.Lock()
		l.pairs[p] = struct{}{}
		if l.life.Err() != nil {
			p.reset()
		}
		l.mu.Unlock()
		var both sync.WaitGroup
		both.Go(func() { l.pump(p, far, near, true) })
		both.Go(func() { l.pump(p, near, far, false) })
		both.Wait()
		l.mu.Lock()
		delete(l.pairs, p)
		l.mu.Unlock()
		near.Close()
		far.Close()
	})
}

// pump passes on one way's bytes, and its end.
func (l *link) pump(p *pair, to, from net.Conn, there bool) {
	buf := make([]byte, linkChunk)
	for {
		n, err := from.Read(buf)
		if n > 0 || errors.Is(err, io.EOF) {
			if !l.passes(there) {
				p.reset()
				return
			}
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				p.reset()
				return
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			_ = to.(*net.TCPConn).CloseWrite() // where it fails the other way fails too
			return
		case err != nil:
			p.reset()
			return
		}
	}
}

// passes waits for as long as a way is cut, and then for its delay; false if the link is closed meanwhile.
func (l *link) passes(there bool) bool {
	for {
		l.mu.Lock()
		cut, delay, turned := false, time.Duration(0), l.turned
		for _, f := range l.faults {
			cut = cut || f.Cuts(there)
			delay += f.Delay
		}
		l.mu.Unlock()
		if !cut {
			return delay == 0 || l.pause(delay)
		}
		select {
		case <-turned:
		case <-l.life.Done():
			return false
		}
	}
}

func (l *link) pause(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-l.life.Done():
		return false
	}
}

// reset breaks both ends.
func (p *pair) reset() {
	for _, c := range []net.Conn{p.near, p.far} {
		_ = c.(*net.TCPConn).SetLinger(0) // on one that is closed already there is no need
		c.Close()
	}
}
