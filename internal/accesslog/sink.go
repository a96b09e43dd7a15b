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
type logSink struct {
	out     io.Writer
	midLine bool // the last line is
}

func (s *logSink) ready() (bool, error) {
	if s.midLine {
		if _, err := s.out.Write([]byte{'\n'}); err != nil {
			return false, err
		}
		s.midLine = false
	}
	return false, nil
}

func (s *logSink) write(batch []byte) (int, error) {
	n, err := s.out.Write(batch)
	s.midLine = n > 0 && batch[n-1] != '\n'
	return n, err
}

func (s *logSink) close() {}

// file is a file that gives way to a new one when it is full. It stays beside that with ".1" added to its name,
// in the place of the one before it. Both together never take more than was allowed.
type fileSink struct {
	path     string
	maxBytes int64 // bytes of each
	file     *os.File
	size     int64
	full     bool
}

func (s *fileSink) ready() (bool, error) {
	if s.full {
		s.close()
		if err := os.Rename(s.path, s.path+".1"); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return false, err
		}
		s.full = false
	}
	if s.file != nil {
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
	if s.file, s.size = f, info.Size(); s.size > 0 { // whoever wrote it may have ended in the middle of a line
		if _, err := s.write([]byte{'\n'}); err != nil && !s.full {
			return false, err
		}
	}
	return true, nil
}

func (s *fileSink) write(batch []byte) (int, error) {
	if s.size+int64(len(batch)) > s.maxBytes {
		s.full = true
		return 0, errFull
	}
	n, err := s.file.Write(batch)
	s.size += int64(n)
	if err != nil { // opened anew, it may be well again
		s.close()
	}
	return n, err
}

func (s *fileSink) close() {
	if s.file != nil {
		_ = s.file.Close() // every write's error has been seen
		s.file = nil
	}
}
