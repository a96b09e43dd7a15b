package accesslog

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"syscall"
)

// errFull says that a file has no room for a batch and is to give way to the next.
var errFull = errors.New("record: the list of hosts takes more than half of what record.most allows")

// sink is where lines go in the end. Its methods may block: one goroutine alone calls them.
type sink interface {
	// ready opens the sink where it has to, and tells whether that is one that lacks the preamble.
	ready() (fresh bool, err error)
	// write returns how many bytes of a batch were taken.
	write(batch []byte) (int, error)
	close()
}

// stderr is the log.
type stderr struct {
	out io.Writer
	cut bool // the last line is
}

func (s *stderr) ready() (bool, error) {
	if s.cut {
		if _, err := s.out.Write([]byte{'\n'}); err != nil {
			return false, err
		}
		s.cut = false
	}
	return false, nil
}

func (s *stderr) write(batch []byte) (int, error) {
	n, err := s.out.Write(batch)
	s.cut = n > 0 && batch[n-1] != '\n'
	return n, err
}

func (s *stderr) close() {}

// file is a file that gives way to a new one when it is full. It stays beside that with ".1" added to its name,
// in the place of the one before it. Both together never take more than was allowed.
type file struct {
	path string
	most int64 // bytes of each
	f    *os.File
	size int64
	full bool
}

func (s *file) ready() (bool, error) {
	if s.full {
		s.close()
		if err := os.Rename(s.path, s.path+".1"); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return false, err
		}
		s.full = false
	}
	if s.f != nil {
		return false, nil
	}
	// Without O_NONBLOCK a named pipe would block here.
	f, err := os.OpenFile(s.path, os.O_WRONLY|os.O_APPEND|os.O_CREATE|syscall.O_NONBLOCK, 0o640)
	if err != nil {
		return false, err
	}
	info, err := f.Stat()
	switch {
	case err != nil:
	case !info.Mode().IsRegular():
		err = fmt.Errorf("record: %s is no regular file", s.path)
	case syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) != nil:
		err = fmt.Errorf("record: another process records in %s", s.path)
	}
	if err != nil {
		_ = f.Close() // nothing was written
		return false, err
	}
	if s.f, s.size = f, info.Size(); s.size > 0 { // whoever wrote it may have ended in the middle of a line
		if _, err := s.write([]byte{'\n'}); err != nil && !s.full {
			return false, err
		}
	}
	return true, nil
}

func (s *file) write(batch []byte) (int, error) {
	if s.size+int64(len(batch)) > s.most {
		s.full = true
		return 0, errFull
	}
	n, err := s.f.Write(batch)
	s.size += int64(n)
	if err != nil { // opened anew, it may be well again
		s.close()
	}
	return n, err
}

func (s *file) close() {
	if s.f != nil {
		_ = s.f.Close() // every write's error has been seen
		s.f = nil
	}
}
