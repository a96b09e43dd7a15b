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

// stateFile is a file with a CBOR-encoded value that a process writes for its next process. It is best effort: a failure loses the value
// and has no other effect. Only one goroutine may call its methods; each write runs in a goroutine of its own.
type stateFile struct {
	path      string
	log       *zap.Logger
	nextWrite time.Duration // earliest time of the next write
	writing   atomic.Bool   // a write is running
}

func newStateFile(directory, name string, log *zap.Logger) *stateFile {
	return &stateFile{path: filepath.Join(directory, name), log: log}
}

// read decodes the value that the previous process wrote. It returns false if there is no file or it can't be decoded.
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

// isDue reports whether write may be called: minWriteInterval has passed since the last write, and no write is running.
func (f *stateFile) isDue(now time.Duration) bool { return now >= f.nextWrite && !f.writing.Load() }

// write replaces the value in the file, in a goroutine that spawn starts. Failures are logged.
func (f *stateFile) write(now time.Duration, value any, spawn func(task func())) {
	f.nextWrite = now + minWriteInterval
	f.writing.Store(true)
	spawn(func() {
		defer f.writing.Store(false)
		if err := replaceFile(f.path, value); err != nil {
			f.log.Debug("state file could not be written", zap.String("path", f.path), zap.Error(err))
		}
	})
}

// replaceFile replaces a file's content with an encoded value, atomically and durably: after a power loss the file holds either the
// previous content or the new content.
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

// writeSynced writes a file and syncs it to the disk.
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

// syncDirectory syncs a directory to the disk, so that a rename in it is durable.
func syncDirectory(path string) error {
	directory, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(directory.Sync(), directory.Close())
}
