package accesslog

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"syscall"
)

// errFull says that a file has no room for a batch and is to be rotated.
var errFull = errors.New("record: the list of hosts takes more than half of what record.most allows")

// sink is an output. Its methods may block: only one goroutine calls them.
type sink interface {
	// ready opens the sink where necessary, and reports whether it needs the preamble.
	ready() (isNew bool, err error)
	// write returns how many bytes of a batch were written.
	write(batch []byte) (int, error)
	close()
}

// logSink is the log.
type logSink struct {
	out     io.Writer
	midLine bool // the last line is incomplete
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

// fileSink is a file that is rotated when it is full: it is renamed with the suffix ".1", in place of the one before it. Both
// together never exceed the permitted size.
type fileSink struct {
	path     string
	maxBytes int64 // of each of the two
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
	if s.file, s.size = f, info.Size(); s.size > 0 { // its last writer may have ended in the middle of a line
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
	if err != nil { // it is opened again for the next batch
		s.close()
	}
	return n, err
}

func (s *fileSink) close() {
	if s.file != nil {
		_ = s.file.Close() // the errors of all writes have been returned
		s.file = nil
	}
}
