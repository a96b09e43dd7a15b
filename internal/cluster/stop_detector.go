package cluster

import (
	"context"
	"errors"
	"net"
	"os"
	"time"
)

const (
	readSlice = 500 * time.Millisecond // of a read, after which the clock is checked
	minStop   = 400 * time.Millisecond // that a slice must end late by for the process to count as having been stopped
)

// stopDetector reads a connection in slices until a deadline. A slice that ends far too late shows that the process was stopped
// (by a signal, a hypervisor or a debugger); the deadline is extended by that time, for the service is not to blame for it.
type stopDetector struct {
	ctx      context.Context // reading ends with it
	conn     net.Conn
	deadline time.Time
	stopped  time.Duration // in all
}

// Read reads from the connection. Its error is os.ErrDeadlineExceeded at the deadline and when the context has ended.
func (d *stopDetector) Read(b []byte) (int, error) {
	for {
		now := time.Now()
		if d.ctx.Err() != nil || !now.Before(d.deadline) {
			return 0, os.ErrDeadlineExceeded
		}
		sliceEnd := now.Add(min(readSlice, d.deadline.Sub(now)))
		if err := d.conn.SetReadDeadline(sliceEnd); err != nil {
			return 0, err
		}
		n, err := d.conn.Read(b)
		if late := time.Since(sliceEnd); late > minStop {
			d.stopped += late
			d.deadline = time.Now().Add(max(readSlice, d.deadline.Sub(sliceEnd))) // at least what came meanwhile is read
		}
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
	}
}
