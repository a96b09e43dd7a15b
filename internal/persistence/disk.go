// Package durable keeps what a sidecar knows in a directory, for the process that comes after it: a snapshot of what was
// learned, which takes the former one's place whole or not at all, and a journal of effects, which grows. It knows neither
// what the snapshot's state says nor what is worth believing of it.
package persistence

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// File is an open file that is written.
type File interface {
	io.Writer
	Sync() error
	Close() error
}

// Disk is the little of a file system that is used: a directory of its own.
type Disk interface {
	// Create opens an empty file for writing.
	Create(name string) (File, error)
	// Read returns a file's first bytes, so many at most.
	Read(name string, most int64) ([]byte, error)
	Rename(from, to string) error
	Remove(name string) error
	// Names are the files that there are, in order.
	Names() ([]string, error)
	// Sync has what was created, renamed and removed outlast a power cut.
	Sync() error
	// Lock has a file be this process's until it unlocks it, or ends. Unlock is nil while it is another's.
	Lock(name string) (unlock func(), err error)
}

// dir is a directory of the operating system.
type directory string

// Dir is the directory at path.
func Dir(path string) Disk { return directory(path) }

func (d directory) path(name string) string { return filepath.Join(string(d), name) }

func (d directory) Create(name string) (File, error) {
	return os.OpenFile(d.path(name), os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
}

func (d directory) Read(name string, most int64) ([]byte, error) {
	f, err := os.Open(d.path(name))
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return io.ReadAll(io.LimitReader(f, most))
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
	defer f.Close()
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

// Timestamp is a moment by the wall, and by the time since the machine's start, which no step of the wall's moves.
type Timestamp struct {
	Wall time.Time
	Boot string // which start of the machine it was; empty: not known
	Up   time.Duration
}

// Now is this moment.
func Now() Timestamp {
	c := Timestamp{Wall: time.Now()}
	var up unix.Timespec
	id, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err == nil && unix.ClockGettime(unix.CLOCK_BOOTTIME, &up) == nil {
		c.Boot, c.Up = strings.TrimSpace(string(id)), time.Duration(up.Nano())
	}
	return c
}

// Since is how long ago a former moment was, below 0 where its clock was ahead of this one.
func (c Timestamp) Since(former Timestamp) time.Duration {
	if c.Boot != "" && c.Boot == former.Boot {
		return c.Up - former.Up
	}
	return c.Wall.Sub(former.Wall)
}
