package handover

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"
)

// Server hands a running process over to successors, one after the other. The exported fields are set before the first call.
// The callbacks come from the goroutine that calls Serve, one at a time.
type Server struct {
	Path        string                      // see SocketPath
	Listeners   map[string]*net.TCPListener // by their addresses as configured
	State       func() ([]byte, error)      // as JSON
	OnConnected func(connected bool)        // a successor has connected, or has ended
	OnServing   func(serving bool)          // the successor serves, or has ended after it did
	OnLine      func(line []byte)           // a line of the successor's, which is valid until OnLine returns
	Log         zerolog.Logger

	processID int     // 0: this process's; tests that play several processes in one give each its own
	listener  *socket // set by Listen for Serve
	hasServed bool    // this process has accepted successors; only Serve uses it

	beforeRetake func() // nil but in tests: called before a path that was a successor's is taken again

	mu        sync.Mutex // serializes writes
	successor net.Conn   // nil: none
}

// Listen takes the path, so that whoever connects from then on waits for Serve; without it Serve does. A process calls it
// before it announces to its predecessor that it serves, so that at no moment the path is nobody's.
func (s *Server) Listen() (err error) {
	defer lockPath(s.Path)()
	s.listener, err = s.listen()
	return err
}

// Serve waits for successors until ctx is done, one after the other. An error means that none can connect any more.
func (s *Server) Serve(ctx context.Context) error {
	defer func() {
		if s.listener != nil {
			_ = s.listener.Close()
		}
	}()
	for ctx.Err() == nil {
		if err := s.serveSuccessor(ctx); err != nil {
			return err
		}
	}
	return nil
}

// serveSuccessor waits for a successor and serves it until that has ended, or until ctx is done.
func (s *Server) serveSuccessor(ctx context.Context) error {
	l, err := s.takeListener()
	if err != nil {
		return err
	}
	if l == nil {
		s.yieldPath(ctx)
		return nil
	}
	s.hasServed = true
	closed := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(closed)
		_ = l.Close()
	})
	conn, err := l.accept(s.Path)
	if !stop() {
		<-closed // accept returns before the socket is closed, and nobody may reach it once Serve has returned
	}
	if err != nil {
		_ = l.Close()
		return acceptError(ctx, err)
	}
	if conn == nil {
		_ = l.Close()
		s.yieldPath(ctx)
		return nil
	}
	in := s.transfer(ctx, conn)
	if in == nil { // that successor may have taken the path already
		err = s.Listen()
	}
	_ = l.Close() // those that wait on this listener try again, where the path leads now
	if err != nil || in == nil {
		return err
	}
	s.followSuccessor(ctx, conn, in)
	return nil
}

// takeListener returns the listener of Listen, or a new one. It returns nil where this process has served the path before and
// another one has taken it since: the successor's successor, whose predecessor has ended as it became ready.
func (s *Server) takeListener() (*socket, error) {
	if l := s.listener; l != nil {
		s.listener = nil
		return l, nil
	}
	if s.beforeRetake != nil {
		s.beforeRetake()
	}
	defer lockPath(s.Path)()
	if s.hasServed && isServed(s.Path) {
		return nil, nil
	}
	return s.listen()
}

// listen takes the path.
func (s *Server) listen() (*socket, error) {
	id := s.processID
	if id == 0 {
		id = os.Getpid()
	}
	return listen(s.Path, id)
}

// acceptError returns nil where accept has failed because ctx is done.
func acceptError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return fmt.Errorf("handover: accept: %w", err)
}

// yieldPath waits for as long as another process, to which this one has handed nothing over, serves the path.
func (s *Server) yieldPath(ctx context.Context) {
	s.OnConnected(true)
	s.OnServing(true)
	s.waitForPath(ctx)
	s.OnConnected(false)
	s.OnServing(false)
}

// followSuccessor acknowledges that the successor serves, and receives its lines until it has ended. Where it had a successor
// itself by then, this process waits for that one, too: the path isn't its own.
func (s *Server) followSuccessor(ctx context.Context, conn net.Conn, in *lineReader) {
	s.OnServing(true)
	if _, err := io.WriteString(conn, ackLine+"\n"); err == nil {
		stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
		receiveLines(conn, in, s.OnLine)
		stop()
	}
	s.waitForPath(ctx)
	s.disconnect(conn)
	s.OnServing(false)
}

// waitForPath waits for as long as another process serves the path.
func (s *Server) waitForPath(ctx context.Context) {
	for ctx.Err() == nil && isServed(s.Path) {
		select {
		case <-time.After(pathCheckInterval):
		case <-ctx.Done():
		}
	}
}

// transfer hands listeners and state over to a process that has connected, and waits until it serves. It returns the reader of
// its further lines; nil: it doesn't serve, and conn is closed.
func (s *Server) transfer(ctx context.Context, conn *net.UnixConn) *lineReader {
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	_ = conn.SetDeadline(time.Now().Add(stepTimeout))
	hello := make([]byte, len(greeting))
	if _, err := io.ReadFull(conn, hello); err != nil || string(hello) != greeting {
		s.Log.Warn().Err(err).Msg("a successor of another kind")
		_ = conn.Close()
		return nil
	}
	s.OnConnected(true)
	if err := s.sendState(conn); err != nil {
		s.Log.Error().Err(err).Msg("the successor was given nothing")
		s.disconnect(conn)
		return nil
	}
	_ = conn.SetReadDeadline(time.Time{}) // its start may take a while; each write sets its own deadline
	in := newLineReader(conn)
	for {
		line, err := in.next()
		if err != nil {
			s.disconnect(conn)
			s.Log.Warn().Msg("the successor is gone before it served")
			return nil
		}
		if string(line) == readyLine+"\n" {
			return in
		}
		s.OnLine(line)
	}
}

// sendState sends listeners and state, and has Send reach the successor from then on. Both are under the lock, so that every
// change is either in the state or in a line.
func (s *Server) sendState(conn *net.UnixConn) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.successor = conn
	return s.writeMessage(conn)
}

func (s *Server) disconnect(conn net.Conn) {
	s.mu.Lock()
	s.successor = nil
	s.mu.Unlock()
	_ = conn.Close()
	s.OnConnected(false)
}

// Send sends a line to the successor, if there is one. A successor that doesn't read it in time is disconnected.
func (s *Server) Send(line []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.successor != nil {
		writeLine(s.successor, line)
	}
}

// writeMessage writes the message: its length with the descriptors, then the rest.
func (s *Server) writeMessage(conn *net.UnixConn) error {
	state, err := s.State()
	if err != nil {
		return fmt.Errorf("handover: state: %w", err)
	}
	m := message{Version: version, State: state}
	var fds []int
	for addr, l := range s.Listeners {
		f, err := l.File()
		if err != nil {
			return fmt.Errorf("handover: listener: %w", err)
		}
		defer func() { _ = f.Close() }() // it is open until it has been sent
		raw, err := f.SyscallConn()      // f.Fd would make the shared socket a blocking one
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
