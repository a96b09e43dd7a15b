// Package handover passes a sidecar's listeners and state from a running process to the one that succeeds it, over a
// Unix socket. It knows neither what the state says nor what the lines that the two exchange afterwards mean.
//
// The running process waits with Serve. The new one calls Follow, which gets all of it in one message, and says Ready
// once it serves. Their connection stays open for as long as both run: that it ends is how either learns that the other
// has. Listeners are shared, not moved: both may accept, and whoever closes its own takes nothing from the other.
package handover

import (
	"bufio"
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"
)

const (
	version   = 1
	greeting  = "pinelb hand-over 1\n"
	stepTimeout    = time.Second            // each step of the talk: the new process is due within a few seconds
	maxLineBytes  = 64 << 10               // bytes of a line afterwards
	maxListeners      = 8                      // listeners
	maxPathBytes  = 100                    // bytes of a Unix socket's path, which the kernel bounds at 108
	pathCheckInterval = 250 * time.Millisecond // whether the path is still this process's
	busyRetryInterval   = 10 * time.Millisecond  // after an owner that was busy
	readyLine = "ready"
	ackLine   = "yours"
)

// MaxStateBytes bounds the message to a successor, in bytes: one that is longer is not taken at all.
const MaxStateBytes = 8 << 20

// SocketPath is where a sidecar of that address waits for its successor; empty where there is no place for it.
func SocketPath(listen string) string {
	dir := os.Getenv("TMPDIR")
	if path := filepath.Join(dir, "pinelb-"+listen+".sock"); dir != "" && len(path) <= maxPathBytes {
		return path
	}
	return ""
}

// message is what a successor is given, with one descriptor for each listener.
type message struct {
	Version   int             `json:"version"`
	Listeners []string        `json:"listeners"` // addresses as configured
	State     json.RawMessage `json:"state"`
}

// Server is a running process, as its successor sees it.
type Server struct {
	Path      string
	Listeners map[string]*net.TCPListener // by their addresses as configured
	State     func() ([]byte, error)      // as JSON
	OnConnected  func(on bool)               // a successor has come, or is gone
	OnServing func(on bool)               // it serves; or it did and is gone
	OnLine      func(line []byte)           // a line of the successor's
	Log       zerolog.Logger

	listener *socket // where Listen has been called

	mu   sync.Mutex
	successor net.Conn // the successor
}

// Listen takes the path, so that whoever comes from then on waits for Serve; without it Serve does. A successor calls it
// before it says that it serves: there is no moment at which nobody is at the path.
func (o *Server) Listen() (err error) {
	o.listener, err = listen(o.Path)
	return err
}

// Serve waits for successors until ctx ends, one after the other. An error means that none can come.
func (o *Server) Serve(ctx context.Context) error {
	defer func() {
		if o.listener != nil {
			_ = o.listener.Close()
		}
	}()
	for ctx.Err() == nil {
		l, err := o.listener, error(nil)
		if o.listener = nil; l == nil {
			if l, err = listen(o.Path); err != nil {
				return err
			}
		}
		stop := context.AfterFunc(ctx, func() { _ = l.Close() })
		conn, err := l.accept(o.Path)
		stop()
		if err == nil && conn == nil { // another process serves, which this one has not handed anything to
			_ = l.Close()
			o.OnConnected(true)
			o.OnServing(true)
			o.waitForOther(ctx)
			o.OnConnected(false)
			o.OnServing(false)
			continue
		}
		if err != nil {
			_ = l.Close()
			return acceptError(ctx, err)
		}
		in := o.transfer(ctx, conn)
		if in == nil { // it may have taken the path already
			err = o.Listen()
		}
		_ = l.Close() // who waits there comes again, to whom the path leads now
		if err != nil {
			return err
		}
		if in == nil {
			continue
		}
		o.OnServing(true)
		if _, err = io.WriteString(conn, ackLine+"\n"); err == nil {
			stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
			receiveLines(conn, in, o.OnLine)
			stop()
		}
		// Where that one had been succeeded itself, this process still is, and the path is not its own.
		o.waitForOther(ctx)
		o.disconnect(conn)
		o.OnServing(false)
	}
	return nil
}

// wait waits for as long as another process is at the path.
func (o *Server) waitForOther(ctx context.Context) {
	for ctx.Err() == nil && isServed(o.Path) {
		select {
		case <-time.After(pathCheckInterval):
		case <-ctx.Done():
		}
	}
}

// place is a listener at the path, for as long as the path leads to it.
type socket struct {
	*net.UnixListener
	file os.FileInfo
}

// accept returns the next connection, or nil once the path leads to another process.
func (l *socket) accept(path string) (*net.UnixConn, error) {
	for {
		_ = l.SetDeadline(time.Now().Add(pathCheckInterval))
		conn, err := l.AcceptUnix()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return conn, err
		}
		if now, err := os.Stat(path); err == nil && !os.SameFile(now, l.file) && isServed(path) {
			return nil, nil
		}
	}
}

// taken tells whether a process waits at the path.
func isServed(path string) bool {
	c, err := net.DialTimeout("unix", path, stepTimeout)
	if err == nil {
		_ = c.Close()
	}
	return err == nil
}

func acceptError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return fmt.Errorf("handover: accept: %w", err)
}

// give hands all over to one that has come, and waits until it serves. It returns what is read from it then, or nil where
// it doesn't.
func (o *Server) transfer(ctx context.Context, conn *net.UnixConn) *lineReader {
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	_ = conn.SetDeadline(time.Now().Add(stepTimeout))
	hello := make([]byte, len(greeting))
	if _, err := io.ReadFull(conn, hello); err != nil || string(hello) != greeting {
		o.Log.Warn().Err(err).Msg("a successor of another kind")
		_ = conn.Close()
		return nil
	}
	o.OnConnected(true)
	if err := o.sendState(conn); err != nil {
		o.Log.Error().Err(err).Msg("the successor was given nothing")
		o.disconnect(conn)
		return nil
	}
	_ = conn.SetReadDeadline(time.Time{}) // for writing, each line sets its own
	// It brings itself up, which may take it a while; lines may come before.
	in := newLineReader(conn)
	for {
		line, err := in.next()
		if err != nil {
			o.disconnect(conn)
			o.Log.Warn().Msg("the successor is gone before it served")
			return nil
		}
		if string(line) == readyLine+"\n" {
			return in
		}
		o.OnLine(line)
	}
}

// hand sends all, and has lines go there from then on: whatever changes is in the one or among the others.
func (o *Server) sendState(conn *net.UnixConn) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.successor = conn
	return o.writeMessage(conn)
}

func (o *Server) disconnect(conn net.Conn) {
	o.mu.Lock()
	o.successor = nil
	o.mu.Unlock()
	_ = conn.Close()
	o.OnConnected(false)
}

// Send passes a line to the successor, if there is one.
func (o *Server) Send(line []byte) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.successor != nil {
		writeLine(o.successor, line)
	}
}

// lines reads lines of a bounded length. A read that takes too long loses nothing of a line that has come in part.
type lineReader struct {
	in   *bufio.Reader
	part []byte
}

func newLineReader(conn net.Conn) *lineReader { return &lineReader{in: bufio.NewReaderSize(conn, maxLineBytes)} }

// next returns the next line with its end, until the next call.
func (l *lineReader) next() ([]byte, error) {
	line, err := l.in.ReadSlice('\n')
	if errors.Is(err, os.ErrDeadlineExceeded) {
		l.part = append(l.part, line...)
		return nil, err
	}
	if len(l.part) > 0 {
		line, l.part = append(l.part, line...), nil
	}
	if len(line) > maxLineBytes {
		return nil, bufio.ErrBufferFull
	}
	return line, err
}

// hear passes on lines until the connection ends. The word that this process's Ready waited for may come among them.
func receiveLines(conn net.Conn, in *lineReader, told func([]byte)) {
	_ = conn.SetReadDeadline(time.Time{})
	for {
		line, err := in.next()
		if err != nil {
			return
		}
		if string(line) != ackLine+"\n" {
			told(line)
		}
	}
}

// write sends a line, and hangs up where the other side takes none: it can't be told any more.
func writeLine(conn net.Conn, line []byte) {
	_ = conn.SetWriteDeadline(time.Now().Add(stepTimeout))
	if _, err := conn.Write(append(line, '\n')); err != nil {
		_ = conn.Close()
	}
}

// send writes the message: its length with the descriptors, then the rest.
func (o *Server) writeMessage(conn *net.UnixConn) error {
	state, err := o.State()
	if err != nil {
		return fmt.Errorf("handover: state: %w", err)
	}
	m := message{Version: version, State: state}
	var fds []int
	for addr, l := range o.Listeners {
		f, err := l.File()
		if err != nil {
			return fmt.Errorf("handover: listener: %w", err)
		}
		defer f.Close()
		raw, err := f.SyscallConn() // f.Fd would make the shared socket a blocking one
		if err == nil {
			err = raw.Control(func(fd uintptr) { fds = append(fds, int(fd)) })
		}
		if err != nil {
			return fmt.Errorf("handover: listener: %w", err)
		}
		m.Listeners = append(m.Listeners, addr)
	}
	body, err := json.Marshal(m)
	if err != nil {
		return fmt.Errorf("handover: message: %w", err)
	}
	head := binary.BigEndian.AppendUint32(nil, uint32(len(body)))
	if _, _, err = conn.WriteMsgUnix(head, syscall.UnixRights(fds...), nil); err == nil {
		_, err = conn.Write(body)
	}
	if err != nil {
		return fmt.Errorf("handover: write: %w", err)
	}
	return nil
}

// listen takes the path over, from whoever had it: who can't be reached there any more needs it no longer.
func listen(path string) (*socket, error) {
	own := fmt.Sprintf("%s.%d", path, os.Getpid())
	_ = os.Remove(own) // of a former process of this number
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: own, Net: "unix"})
	if err != nil {
		return nil, fmt.Errorf("handover: listen: %w", err)
	}
	l.SetUnlinkOnClose(false) // by then the path may be the successor's
	file, err := os.Stat(own)
	if err == nil {
		err = os.Chmod(own, 0o600)
	}
	if err == nil {
		err = os.Rename(own, path)
	}
	if err != nil {
		_ = l.Close()
		return nil, fmt.Errorf("handover: listen: %w", err)
	}
	return &socket{l, file}, nil
}

// Predecessor is the process that runs already, as its successor sees it.
type Predecessor struct {
	State     []byte // as JSON
	Listeners map[string]net.Listener

	conn net.Conn
	in   *lineReader
	mu   sync.Mutex // of writing
}

// errBusy says that a process is at the path and gives nothing: it has to do with another successor, or is one.
var errBusy = errors.New("handover: the process is busy")

// Connect takes all over from the process that waits at the path. It returns nil where there is none. One that has another
// successor is waited for, or that successor is, as long as patience lasts. An error is one of what it gave: the caller
// starts afresh.
func Connect(path string, patience time.Duration) (f *Predecessor, err error) {
	busy := false
	for until := time.Now().Add(patience); ; time.Sleep(busyRetryInterval) {
		f, err = dial(path)
		busy = busy || errors.Is(err, errBusy)
		if f != nil || err != nil && !errors.Is(err, errBusy) || !busy || !time.Now().Before(until) {
			return f, err
		}
	}
}

func dial(path string) (*Predecessor, error) {
	d := net.Dialer{Timeout: stepTimeout}
	c, err := d.Dial("unix", path)
	if err != nil {
		if errors.Is(err, syscall.ENOENT) || errors.Is(err, syscall.ECONNREFUSED) {
			return nil, nil
		}
		return nil, fmt.Errorf("handover: %w", err)
	}
	conn := c.(*net.UnixConn)
	f, err := receiveState(conn)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return f, nil
}

func receiveState(conn *net.UnixConn) (*Predecessor, error) {
	_ = conn.SetDeadline(time.Now().Add(stepTimeout))
	if _, err := io.WriteString(conn, greeting); err != nil {
		return nil, fmt.Errorf("%w: %w", errBusy, err)
	}
	head, rights := make([]byte, 4), make([]byte, syscall.CmsgSpace(maxListeners*4))
	n, nRights, _, _, err := conn.ReadMsgUnix(head, rights)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errBusy, err)
	}
	files, err := descriptors(rights[:nRights])
	defer func() {
		for _, f := range files {
			_ = f.Close() // listeners have copies of their own
		}
	}()
	if err != nil {
		return nil, err
	}
	if _, err := io.ReadFull(conn, head[n:]); err != nil {
		return nil, fmt.Errorf("handover: read: %w", err)
	}
	size := binary.BigEndian.Uint32(head)
	if size > MaxStateBytes {
		return nil, fmt.Errorf("handover: a message of %d bytes", size)
	}
	body, err := io.ReadAll(io.LimitReader(conn, int64(size)))
	if err != nil || len(body) < int(size) {
		return nil, fmt.Errorf("handover: the message is cut off after %d of %d bytes: %w", len(body), size, err)
	}
	var m message
	if err := json.Unmarshal(body, &m); err != nil {
		return nil, fmt.Errorf("handover: message: %w", err)
	}
	if m.Version != version || len(m.Listeners) != len(files) {
		return nil, fmt.Errorf("handover: a message of version %d with %d listeners, and %d descriptors", m.Version, len(m.Listeners), len(files))
	}
	f := &Predecessor{State: m.State, Listeners: map[string]net.Listener{}, conn: conn, in: newLineReader(conn)}
	for i, addr := range m.Listeners {
		l, err := net.FileListener(files[i])
		if err != nil {
			f.CloseUnused()
			return nil, fmt.Errorf("handover: listener: %w", err)
		}
		f.Listeners[addr] = l
	}
	return f, nil
}

// TakeListener returns the listener for an address, once; nil: there is none.
func (f *Predecessor) TakeListener(addr string) net.Listener {
	l := f.Listeners[addr]
	delete(f.Listeners, addr)
	return l
}

// CloseUnused closes the listeners that nobody has taken: connections would wait in their queues for ever.
func (f *Predecessor) CloseUnused() {
	for _, l := range f.Listeners {
		_ = l.Close()
	}
}

func descriptors(rights []byte) (files []*os.File, err error) {
	messages, err := syscall.ParseSocketControlMessage(rights)
	if err != nil {
		return nil, fmt.Errorf("handover: descriptors: %w", err)
	}
	for i := range messages {
		fds, err := syscall.ParseUnixRights(&messages[i])
		if err != nil {
			continue // of another kind
		}
		for _, fd := range fds {
			syscall.CloseOnExec(fd)
			files = append(files, os.NewFile(uintptr(fd), "listener"))
		}
	}
	return files, nil
}

// Ready says that this process serves. It returns when the former one has taken notice, or has not within a second: then Hear
// goes on where it has stopped.
func (f *Predecessor) Ready(told func(line []byte)) error {
	f.Send([]byte(readyLine))
	_ = f.conn.SetReadDeadline(time.Now().Add(stepTimeout))
	for {
		line, err := f.in.next()
		if err != nil {
			return fmt.Errorf("handover: ready: %w", err)
		}
		if string(line) == ackLine+"\n" {
			return nil
		}
		told(line)
	}
}

// Receive passes on the former process's lines until it has ended.
func (f *Predecessor) Receive(told func(line []byte)) { receiveLines(f.conn, f.in, told) }

// Close lets go of the former process.
func (f *Predecessor) Close() { _ = f.conn.Close() }

// Send passes a line to the former process.
func (f *Predecessor) Send(line []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	writeLine(f.conn, line)
}
