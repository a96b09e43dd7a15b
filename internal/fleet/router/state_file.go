package router

import (
	"errors"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"
)

// minWriteInterval is the minimum time between writes of a stateFile.
const minWriteInterval = 500 * time.Millisecond

// stateFile is a value in CBOR that a process leaves on the disk for the next one. It is best effort: a failure costs the value and
// nothing else. One goroutine uses it; writes run in another.
type stateFile struct {
	path      string
	log       *zap.Logger
	nextWrite time.Duration
	writing   atomic.Bool
}

func newStateFile(directory, name string, log *zap.Logger) *stateFile {
	return &stateFile{path: filepath.Join(directory, name), log: log}
}

// read decodes the value that the process before this one wrote; it returns false where there is none that can be read.
func (f *stateFile) read(into any) bool {
	encoded, err := os.ReadFile(f.path)
	if err == nil {
		err = cbor.Unmarshal(encoded, into)
	}
	if err != nil && !os.IsNotExist(err) {
		f.log.Info("state file is unreadable and ignored", zap.String("path", f.path), zap.Error(err))
	}
	return err == nil
}

// isDue reports whether the value may be written now.
func (f *stateFile) isDue(now time.Duration) bool { return now >= f.nextWrite && !f.writing.Load() }

// write replaces the value, in a goroutine that spawn starts.
func (f *stateFile) write(now time.Duration, value any, spawn func(task func())) {
	f.nextWrite = now + minWriteInterval
	f.writing.Store(true)
	spawn(func() {
		defer f.writing.Store(false)
		if err := replaceFile(f.path, value); err != nil {
			f.log.Debug("state file is not written", zap.String("path", f.path), zap.Error(err))
		}
	})
}

// replaceFile replaces a file's content by an encoded value, atomically and durably: after a loss of power the file holds either the
// former content or the new one.
func replaceFile(path string, value any) error {
	encoded, err := cbor.Marshal(value)
	if err != nil {
		return err
	}
	temporary := path + ".new"
	if err := writeSynced(temporary, encoded); err != nil {
		return err
	}
	if err := os.Rename(temporary, path); err != nil {
		return err
	}
	return syncDirectory(filepath.Dir(path))
}

func writeSynced(path string, content []byte) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	_, err = file.Write(content)
	if err == nil {
		err = file.Sync()
	}
	return errors.Join(err, file.Close())
}

func syncDirectory(path string) error {
	directory, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(directory.Sync(), directory.Close())
}
