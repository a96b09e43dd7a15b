package persistence

import (
	"fmt"
	"time"

	"pinelb.example/pinelb/internal/inflight"
)

// run writes what is pending until Close, begins the next file where that is due, and tries a disk again that has failed.
func (j *Journal) run() {
	defer close(j.done)
	for open := true; open; {
		var retry <-chan time.Time
		if j.lastErr != nil { // which only run changes
			retry = time.After(retryInterval)
		}
		select {
		case _, open = <-j.wake:
			j.setResult(j.sync())
			if j.lastErr == nil && j.needsRotation() {
				j.setResult(j.rotate())
			}
			j.mu.Lock()
			if len(j.pending) > 0 || j.unsynced {
				j.signal() // writeDuringSync may have received the last signal
			}
			j.mu.Unlock()
		case <-retry:
			j.setResult(j.rotate())
		}
	}
	if j.file != nil {
		_ = j.file.Close()
		j.unlock()
	}
}

// rotate begins a file with all that the table knows, and removes the one before it once the new one is on the disk.
func (j *Journal) rotate() error {
	names, err := j.Disk.Names()
	if err != nil {
		return journalError(err)
	}
	name := nextJournalName(names)
	j.mu.Lock()
	j.discarding = false // what comes from here on may not be in what Watch returns
	j.mu.Unlock()
	text := appendLine(nil, journalHeader{Now()})
	for _, n := range j.Table.Subscribe(inflight.Journal, j.enqueue) {
		text = appendNote(text, n)
	}
	unlock, err := j.Disk.Lock(name)
	if err == nil && unlock == nil {
		err = fmt.Errorf("%s is %w", name, errLocked)
	}
	if err != nil {
		return journalError(err)
	}
	file, err := createSynced(j.Disk, name, text)
	if err != nil {
		unlock()
		return journalError(err)
	}
	if j.file != nil {
		_ = j.file.Close()
		_ = j.Disk.Remove(j.name)
		j.unlock()
	}
	j.file, j.name, j.unlock, j.size = file, name, unlock, len(text)
	j.mu.Lock()
	j.overflowed = j.discarding // again, since the start of this call
	j.mu.Unlock()
	return nil
}

// createSynced creates a file that begins with text, and returns it open once it and its name are on the disk.
func createSynced(d Disk, name string, text []byte) (File, error) {
	f, err := d.Create(name)
	if err != nil {
		return nil, err
	}
	if _, err = f.Write(text); err == nil {
		err = f.Sync()
	}
	if err == nil {
		err = d.Sync()
	}
	if err != nil {
		_ = f.Close()
		return nil, err
	}
	return f, nil
}

// needsRotation reports whether another file is to be begun.
func (j *Journal) needsRotation() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.overflowed || j.size > maxJournalBytes
}

// setResult records how the last write went, releases those that waited for it, and reports a change between success and
// failure. After a failure nothing is written until rotate has begun a file with all that the table knows.
func (j *Journal) setResult(err error) {
	j.mu.Lock()
	before := j.lastErr
	j.lastErr = err
	if j.syncing != nil {
		close(j.syncing)
		j.syncing, j.syncStalled = nil, false
	}
	if err != nil {
		j.discarding, j.pending, j.unsynced = true, nil, false
		j.markWritten(j.enqueued)
		close(j.nextSync)
		j.nextSync = make(chan struct{})
	}
	j.mu.Unlock()
	if (err == nil) != (before == nil) {
		j.OnFault(err)
	}
}

// sync writes what is pending, and syncs all that is written. Meanwhile writeDuringSync writes what comes.
func (j *Journal) sync() error {
	j.mu.Lock()
	batch, upTo := j.pending, j.enqueued
	if j.lastErr != nil || len(batch) == 0 && !j.unsynced {
		defer j.mu.Unlock()
		return j.lastErr
	}
	j.pending, j.unsynced, j.nextSync, j.syncing = nil, false, make(chan struct{}), j.nextSync
	j.mu.Unlock()
	if err := j.writeBatch(batch, upTo); err != nil {
		return err
	}
	stop, writerDone := make(chan struct{}), make(chan error, 1)
	go func() { writerDone <- j.writeDuringSync(stop) }()
	syncErr := j.file.Sync()
	close(stop)
	writeErr := <-writerDone
	if syncErr != nil {
		return journalError(syncErr)
	}
	return writeErr
}

// writeDuringSync writes what comes, as far as there is room in the file, until stop or wake is closed.
func (j *Journal) writeDuringSync(stop <-chan struct{}) error {
	for {
		select {
		case _, open := <-j.wake:
			if !open {
				return nil
			}
		case <-stop:
			return nil
		}
		j.mu.Lock()
		batch, upTo := j.pending, j.enqueued
		if len(batch) == 0 || j.size > maxJournalBytes {
			j.mu.Unlock()
			continue
		}
		j.pending, j.unsynced = nil, true
		j.mu.Unlock()
		if err := j.writeBatch(batch, upTo); err != nil {
			return err
		}
	}
}

// writeBatch writes changes, the last of which has the number upTo, at the file's end.
func (j *Journal) writeBatch(batch []byte, upTo int) error {
	if len(batch) > 0 {
		if _, err := j.file.Write(batch); err != nil {
			return journalError(err)
		}
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.size += len(batch)
	j.markWritten(upTo)
	return nil
}

// markWritten records that changes up to that number are in a file, and releases those that wait for it; the caller holds mu.
func (j *Journal) markWritten(upTo int) {
	j.written, j.writeStalled = upTo, false
	if j.writtenSignal != nil {
		close(j.writtenSignal)
		j.writtenSignal = nil
	}
}
