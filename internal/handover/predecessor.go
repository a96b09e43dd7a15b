package handover

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Predecessor is the process that runs already, as its successor sees it. Send may be called concurrently with the others.
type Predecessor struct {
	State     []byte                  // as JSON
	Listeners map[string]net.Listener // by their addresses as configured

	conn net.Conn
	in   *lineReader

	mu sync.Mutex // serializes writes
}

// Connect receives listeners and state from the process that serves the path. It returns nil where there is none. Where that
// process is busy with another successor, Connect retries until it, or that successor, is free, for patience at most. An error
// means that what was received can't be used; the caller starts without a predecessor then.
func Connect(path string, patience time.Duration) (*Predecessor, error) {
	wasBusy := false
	for deadline := time.Now().Add(patience); ; time.Sleep(busyRetryInterval) {
		p, err := dial(path)
		busy := errors.Is(err, errBusy)
		wasBusy = wasBusy || busy
		retry := p == nil && (err == nil || busy) && wasBusy // nobody at the path, after a busy process: its successor is due there
		if !retry || !time.Now().Before(deadline) {
			return p, err
		}
	}
}

// dial makes one attempt of Connect.
func dial(path string) (*Predecessor, error) {
	dialer := net.Dialer{Timeout: stepTimeout}
	conn, err := dialer.Dial("unix", path)
	if errors.Is(err, syscall.ENOENT) || errors.Is(err, syscall.ECONNREFUSED) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	p, err := receiveState(conn.(*net.UnixConn))
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return p, nil
}

// receiveState sends the greeting and receives the listeners and the state.
func receiveState(conn *net.UnixConn) (*Predecessor, error) {
	_ = conn.SetDeadline(time.Now().Add(stepTimeout))
	if _, err := io.WriteString(conn, greeting); err != nil {
		return nil, fmt.Errorf("%w: %w", errBusy, err)
	}
	size, files, err := readHead(conn)
	defer func() {
		for _, f := range files {
			_ = f.Close() // net.FileListener duplicates them
		}
	}()
	if err != nil {
		return nil, err
	}
	m, err := readMessage(conn, size)
	if err != nil {
		return nil, err
	}
	if m.Version != version || len(m.Listeners) != len(files) {
		return nil, fmt.Errorf("handover: a message of version %d with %d listeners, and %d descriptors", m.Version, len(m.Listeners), len(files))
	}
	p := &Predecessor{State: m.State, Listeners: map[string]net.Listener{}, conn: conn, in: newLineReader(conn)}
	for i, addr := range m.Listeners {
		l, err := net.FileListener(files[i])
		if err != nil {
			p.CloseUnused()
			return nil, fmt.Errorf("handover: listener: %w", err)
		}
		p.Listeners[addr] = l
	}
	return p, nil
}

// readHead reads the message's length and the descriptors. The files are the caller's to close, also where there is an error.
func readHead(conn *net.UnixConn) (size uint32, files []*os.File, err error) {
	head, rights := make([]byte, 4), make([]byte, syscall.CmsgSpace(maxListeners*4))
	n, nRights, _, _, err := conn.ReadMsgUnix(head, rights)
	if err != nil {
		return 0, nil, fmt.Errorf("%w: %w", errBusy, err)
	}
	files, err = parseDescriptors(rights[:nRights])
	if err != nil {
		return 0, files, err
	}
	if _, err := io.ReadFull(conn, head[n:]); err != nil {
		return 0, files, fmt.Errorf("handover: read: %w", err)
	}
	return binary.BigEndian.Uint32(head), files, nil
}

func readMessage(conn *net.UnixConn, size uint32) (m message, err error) {
	if size > MaxStateBytes {
		return m, fmt.Errorf("handover: a message of %d bytes", size)
	}
	body, err := io.ReadAll(io.LimitReader(conn, int64(size)))
	if err != nil || len(body) < int(size) {
		return m, fmt.Errorf("handover: the message is cut off after %d of %d bytes: %w", len(body), size, err)
	}
	if err := json.Unmarshal(body, &m); err != nil {
		return m, fmt.Errorf("handover: message: %w", err)
	}
	return m, nil
}

// parseDescriptors returns the files of SCM_RIGHTS messages; control messages of other kinds are ignored.
func parseDescriptors(rights []byte) (files []*os.File, err error) {
	messages, err := syscall.ParseSocketControlMessage(rights)
	if err != nil {
		return nil, fmt.Errorf("handover: descriptors: %w", err)
	}
	for i := range messages {
		fds, err := syscall.ParseUnixRights(&messages[i])
		if err != nil {
			continue
		}
		for _, fd := range fds {
			syscall.CloseOnExec(fd)
			files = append(files, os.NewFile(uintptr(fd), "listener"))
		}
	}
	return files, nil
}

// TakeListener returns the listener of an address, once; nil: there is none. The caller closes it.
func (p *Predecessor) TakeListener(addr string) net.Listener {
	l := p.Listeners[addr]
	delete(p.Listeners, addr)
	return l
}

// CloseUnused closes the listeners that nobody has taken: connections would wait in their queues for ever.
func (p *Predecessor) CloseUnused() {
	for _, l := range p.Listeners {
		_ = l.Close()
	}
}

// Ready announces that this process serves, and returns once the predecessor has acknowledged that. Lines that come before that
// go to onLine. The error is os.ErrDeadlineExceeded where no acknowledgement comes within a second; Receive continues where
// Ready has stopped.
func (p *Predecessor) Ready(onLine func(line []byte)) error {
	p.Send([]byte(readyLine))
	_ = p.conn.SetReadDeadline(time.Now().Add(stepTimeout))
	for {
		line, err := p.in.next()
		if err != nil {
			return fmt.Errorf("handover: ready: %w", err)
		}
		if string(line) == ackLine+"\n" {
			return nil
		}
		onLine(line)
	}
}

// Receive passes the predecessor's lines to onLine until it has ended. A line is valid until onLine returns.
func (p *Predecessor) Receive(onLine func(line []byte)) { receiveLines(p.conn, p.in, onLine) }

// Send sends a line to the predecessor. One that doesn't read it in time is disconnected.
func (p *Predecessor) Send(line []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	writeLine(p.conn, line)
}

// Close disconnects from the predecessor.
func (p *Predecessor) Close() { _ = p.conn.Close() }
