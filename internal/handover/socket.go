package handover

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"

	"golang.org/x/sys/unix"
)

// socket listens at a path, for as long as the path leads to it.
type socket struct {
	*net.UnixListener
	file os.FileInfo
}

// listen takes the path over from whichever process had it: one that can't be reached there any more has no use for it. The
// socket is made beside the path, under a name that ends in the id of the process, and renamed: the path is never nobody's.
func listen(path string, processID int) (*socket, error) {
	own := fmt.Sprintf("%s.%d", path, processID)
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

// lockPath serializes the takeovers of a path: whoever holds the lock may check who serves the path and take it in one step. It
// returns the function that releases the lock. A process that is stopped while it holds the lock must not stop the others, so
// that the lock is waited for no longer than stepTimeout; without it the path is taken as if there were none. The lock is on
// the path's directory (flock(2)), so that no file is left behind.
func lockPath(path string) (unlock func()) {
	directory, err := os.Open(filepath.Dir(path))
	if err != nil {
		return func() {}
	}
	for deadline := time.Now().Add(stepTimeout); ; time.Sleep(lockRetryInterval) {
		err := unix.Flock(int(directory.Fd()), unix.LOCK_EX|unix.LOCK_NB)
		if err == nil || !time.Now().Before(deadline) {
			break
		}
	}
	return func() { _ = directory.Close() } // which releases the lock, if it is held
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
