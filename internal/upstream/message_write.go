package upstream

import (
	"sync"
	"time"
)

// maxInlineWrite is the size, in bytes, of the part of a message that is written before its response is read: the send buffer of a
// socket takes it at once. The response is read beside the writing of the rest.
const maxInlineWrite = 16 << 10

// messageWrite is the writing of a request's message, of which a long rest goes on beside the reading of the response.
type messageWrite struct {
	size int           // bytes of the message
	done chan struct{} // closed when err is set; nil: it ended before the response was read
	err  error
}

// startWrite writes a message, and returns when it has written it or its first maxInlineWrite bytes. Closing or interrupting the
// connection ends the rest. Until then nobody else may use the connection for anything but reading. A long body is not copied.
func (c *conn) startWrite(head, body []byte) *messageWrite {
	w := &messageWrite{size: len(head) + len(body)}
	inline := min(len(body), max(0, maxInlineWrite-len(head)))
	message, rest := append(head, body[:inline]...), body[inline:]
	first := message[:min(len(message), maxInlineWrite)]
	if _, w.err = c.Write(first); w.err != nil || len(first) == w.size {
		return w
	}
	w.done = make(chan struct{})
	go func() {
		defer close(w.done)
		for _, part := range [][]byte{message[len(first):], rest} {
			if _, w.err = c.Write(part); w.err != nil {
				return
			}
		}
	}()
	return w
}

// wait waits for the end of the write and returns its error.
func (w *messageWrite) wait() error {
	if w.done != nil {
		<-w.done
	}
	return w.err
}

// hasEnded reports whether the write has ended.
func (w *messageWrite) hasEnded() bool {
	if w.done == nil {
		return true
	}
	select {
	case <-w.done:
		return true
	default:
		return false
	}
}

// Bounds on the writes that go on after their responses were read to the end.
const (
	lateWriteTimeout         = 10 * time.Second // from the end of the response: who has the response waits for nothing
	defaultMaxLateWriteBytes = 32 << 20         // of the messages of all of them
)

// lateWrites are the writes that go on after their responses were read to the end. The pool's lock guards the fields.
type lateWrites struct {
	tasks    sync.WaitGroup
	timeout  time.Duration
	maxBytes int            // of their messages
	bytes    int            // of their messages
	conns    map[*conn]bool // on which they are
}

// finishAfterWrite releases a connection whose response was read to its end, once its request is written to its end. It doesn't
// wait for that, and closes a connection beyond the bounds above.
func (p *Pool) finishAfterWrite(c *conn, write *messageWrite) {
	if write.hasEnded() {
		p.finish(c, write.err == nil)
		return
	}
	if !p.startLateWrite(c, write) {
		p.discard(c) // which ends the write
		_ = write.wait()
		return
	}
	go func() {
		defer p.lateWrites.tasks.Done()
		err := write.wait()
		p.endLateWrite(c, write)
		p.finish(c, err == nil)
	}()
}

// SetMaxLateWriteBytes sets how many bytes the requests may have together that are still being written after their responses were read.
func (p *Pool) SetMaxLateWriteBytes(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lateWrites.maxBytes = n
}

// startLateWrite counts a late write, unless the pool has stopped or has no room for it.
func (p *Pool) startLateWrite(c *conn, write *messageWrite) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped || p.lateWrites.bytes+write.size > p.lateWrites.maxBytes {
		return false
	}
	_ = c.SetWriteDeadline(time.Now().Add(p.lateWrites.timeout)) // on a broken connection the write has ended
	p.lateWrites.tasks.Add(1)
	p.lateWrites.bytes += write.size
	p.lateWrites.conns[c] = true
	return true
}

func (p *Pool) endLateWrite(c *conn, write *messageWrite) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lateWrites.bytes -= write.size
	delete(p.lateWrites.conns, c)
}

// stopLateWrites interrupts the late writes and waits for their ends. The pool has stopped, so that none begins any more.
func (p *Pool) stopLateWrites() {
	p.mu.Lock()
	for c := range p.lateWrites.conns {
		c.interrupt()
	}
	p.mu.Unlock()
	p.lateWrites.tasks.Wait()
}
