// Package persistence keeps what a sidecar knows in a directory, for the process that comes after it: a snapshot of what was
// learned, which replaces the one before it atomically, and a journal of effects (an append-only log in rotated files), which is
// synced before a request is sent. It interprets neither the snapshot's state nor decides how long that is valid.
//
// Package daemon uses all of it; package auditlog writes its log by Disk, and package settingsserver keeps its store by
// ReplaceFile. Everything goes through a Disk, which tests replace by one that loses power. DecodeSnapshot, DecodeJournal, Frame and
// Unframe are pure. A Journal may be used by several goroutines, the rest by one at a time.
//
// What is written here is read by later releases, and by earlier ones after a downgrade: names and forms stay. Errors begin with
// "durable:", as they always have, for they stand in the sidecar's log.
package persistence

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// File is a file that is open for writing.
type File interface {
	io.Writer
	Sync() error
	Close() error
}

// Disk is what is used of a file system: one directory. Errors are the operating system's; os.ErrNotExist says that there is no
// such file.
type Disk interface {
	// Create opens an empty file for writing; what was there is gone.
	Create(name string) (File, error)
	// Read returns at most the first maxBytes of a file.
	Read(name string, maxBytes int64) ([]byte, error)
	Rename(from, to string) error
	Remove(name string) error
	// Names returns the files' names, sorted.
	Names() ([]string, error)
	// Sync makes what was created, renamed and removed durable over a power cut.
	Sync() error
	// Lock locks a file for this process until unlock is called, or the process ends. Unlock is nil while another process has
	// the lock.
	Lock(name string) (unlock func(), err error)
}

// directory is one of the operating system's.
type directory string

// Dir returns the directory at path, which must exist.
func Dir(path string) Disk { return directory(path) }

func (d directory) path(name string) string { return filepath.Join(string(d), name) }

func (d directory) Create(name string) (File, error) {
	return os.OpenFile(d.path(name), os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
}

func (d directory) Read(name string, maxBytes int64) ([]byte, error) {
	f, err := os.Open(d.path(name))
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	return io.ReadAll(io.LimitReader(f, maxBytes))
}

func (d directory) Rename(from, to string) error { return os.Rename(d.path(from), d.path(to)) }
func (d directory) Remove(name string) error     { return os.Remove(d.path(name)) }

func (d directory) Names() (names []string, err error) {
	entries, err := os.ReadDir(string(d))
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, err
}

func (d directory) Sync() error {
	f, err := os.Open(string(d))
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	return f.Sync()
}

func (d directory) Lock(name string) (unlock func(), err error) {
	fd, err := unix.Open(d.path(name), unix.O_RDWR|unix.O_CREAT|unix.O_CLOEXEC, 0o600)
	if err != nil {
		return nil, &os.PathError{Op: "open", Path: d.path(name), Err: err}
	}
	unlock = func() { _ = unix.Close(fd) }
	if err = unix.Flock(fd, unix.LOCK_EX|unix.LOCK_NB); err == nil {
		return unlock, nil
	}
	unlock()
	if errors.Is(err, unix.EWOULDBLOCK) {
		return nil, nil
	}
	return nil, fmt.Errorf("lock %s: %w", d.path(name), err)
}
