package router

import (
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"
)

// minWriteInterval is the least time between writes of a stateFile.
const minWriteInterval = 500 * time.Millisecond

// stateFile is a list that is kept on the disk for the process after this one. A failure costs the list, no more.
type stateFile struct {
	path      string
	log       *zap.Logger
	nextWrite time.Duration // when it may be written again
	writing   atomic.Bool
}

func newStateFile(directory, name string, log *zap.Logger) *stateFile {
	return &stateFile{path: filepath.Join(directory, name), log: log}
}

// read takes over what the process before this one has left; false: there is nothing of use.
func (f *stateFile) read(into any) bool {
	text, err := os.ReadFile(f.path)
	if err == nil {
		err = cbor.Unmarshal(text, into)
	}
	if err != nil && !os.IsNotExist(err) {
		f.log.Info("a list on the disk is of no use", zap.String("path", f.path), zap.Error(err))
	}
	return err == nil
}

// isDue tells whether the list may be written now.
func (f *stateFile) isDue(now time.Duration) bool { return now >= f.nextWrite && !f.writing.Load() }

// write replaces the list, as a task that start begins.
func (f *stateFile) write(now time.Duration, value any, start func(task func())) {
	f.nextWrite = now + minWriteInterval
	f.writing.Store(true)
	start(func() {
		defer f.writing.Store(false)
		if err := replaceFile(f.path, value); err != nil {
			f.log.Debug("a list is not written", zap.String("path", f.path), zap.Error(err))
		}
	})
}

// replaceFile has a path hold a value, or what it held before, whenever power is lost.
func replaceFile(path string, value any) error {
	text, err := cbor.Marshal(value)
	if err != nil {
		return err
	}
	fresh := path + ".new"
	file, err := os.Create(fresh)
	if err != nil {
		return err
	}
	_, err = file.Write(text)
	if err == nil {
		err = file.Sync()
	}
	if closing := file.Close(); err == nil {
		err = closing
	}
	if err != nil {
		return err
	}
	if err := os.Rename(fresh, path); err != nil {
		return err
	}
	folder, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	defer folder.Close()
	return folder.Sync()
}
