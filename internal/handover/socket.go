package handover

import (
	"errors"
	"fmt"
	"net"
	"os"
	"time"
)

// socket listens at a path, for as long as the path leads to it.
type socket struct {
	*net.UnixListener
	file os.FileInfo
}

// listen takes the path over from whichever process had it: one that can't be reached there any more has no use for it.
func listen(path string) (*socket, error) {
	own := fmt.Sprintf("%s.%d", path, os.Getpid())
	_ = os.Remove(own) // it may be left by an earlier process with this id
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

// accept returns the next connection, or nil once the path leads to another process.
func (s *socket) accept(path string) (*net.UnixConn, error) {
	for {
		_ = s.SetDeadline(time.Now().Add(pathCheckInterval))
		conn, err := s.AcceptUnix()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return conn, err
		}
		if now, err := os.Stat(path); err == nil && !os.SameFile(now, s.file) && isServed(path) {
			return nil, nil
		}
	}
}

// isServed reports whether a process listens at the path.
func isServed(path string) bool {
	conn, err := net.DialTimeout("unix", path, stepTimeout)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}
