package auditlog

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"time"

	"pinelb.example/pinelb/internal/persistence"
)

const (
	filePrefix    = "trail-"
	tempName      = "trail.new"
	maxFileBytes  = 1 << 20                // beyond which the next file is begun; one before it is kept
	maxReadBytes  = 4 * maxFileBytes       // of a file
	maxFiles      = 16                     // that are read: two of each process, of which one or two are alive
	maxBatchBytes = 256 << 10              // of one write
	retryInterval = time.Second            // after a disk has failed
	closeTimeout  = 200 * time.Millisecond // for the last write
)

// errTempLocked says that another process writes a new file at this moment.
var errTempLocked = errors.New("another process begins a file")

// Writer writes a log's entries to a disk, in the background: a disk that is slow, full or unavailable delays nothing. What
// can't be written is written later, as long as the log has it; what the log has dropped by then is reported by a Lost entry.
// All entries except Counted ones are synced at once. The exported fields are set before Start.
type Writer struct {
	Disk persistence.Disk
	Log  *Log
	// OnFault is called when the log can't be written, again when that has another cause, and with nil when it can again.
	OnFault func(err error)

	stop, done chan struct{}

	// Owned by run.
	file    persistence.File
	name    string
	unlock  func()
	size    int
	nextSeq uint64 // the first entry that isn't written; 0: none is
	lastErr error
}

// Start writes the log's entries until Close.
func (f *Writer) Start() {
	f.stop, f.done = make(chan struct{}), make(chan struct{})
	go f.run()
}

// Close writes the remaining entries, within closeTimeout.
func (f *Writer) Close() {
	close(f.stop)
	timeout := time.NewTimer(closeTimeout)
	defer timeout.Stop()
	select {
	case <-f.done:
	case <-timeout.C:
	}
}

// run writes until Close, and retries after a fault, with a new file.
func (f *Writer) run() {
	defer close(f.done)
	renew := true
	for open := true; open; {
		f.setResult(f.write(renew))
		var retry <-chan time.Time
		woken := f.Log.Updated
		if renew = f.lastErr != nil; renew {
			retry, woken = time.After(retryInterval), nil
		}
		select {
		case <-woken:
		case <-retry:
		case <-f.stop:
			open = false
		}
	}
	if f.lastErr == nil {
		f.setResult(f.write(false))
	}
	if f.file != nil {
		_ = f.file.Close()
		f.unlock()
	}
}

// setResult records how the last write went, and reports it where its cause is a new one.
func (f *Writer) setResult(err error) {
	before := f.lastErr
	f.lastErr = err
	if cause(err) != cause(before) {
		f.OnFault(err)
	}
}

// cause returns an error's text without the errors that followed from it; empty: none.
func cause(err error) string {
	if err == nil {
		return ""
	}
	first, _, _ := strings.Cut(err.Error(), "\n") // errors.Join puts each on a line of its own
	return first
}

// write writes what is in no file yet, to a new file if renew is set.
func (f *Writer) write(renew bool) error {
	for {
		if renew || f.size > maxFileBytes {
			if err := f.rotate(); err != nil {
				return err
			}
			renew = false
		}
		text, to, sync := f.unwritten(nil)
		if len(text) == 0 {
			return nil
		}
		_, err := f.file.Write(text)
		if err == nil && sync {
			err = f.file.Sync()
		}
		if err != nil {
			return fmt.Errorf("trail: %w", err)
		}
		f.size += len(text)
		f.markWritten(to)
	}
}

// span is from the first entry that a log has to the one after the last that is written.
type span struct{ first, next uint64 }

// unwritten returns the text of entries that aren't written, except for those whose checksums are given, and whether it is to
// be synced.
func (f *Writer) unwritten(have map[string]bool) (text []byte, to span, sync bool) {
	entries, next, first := f.Log.EntriesSince(f.nextSeq, maxBatchBytes)
	for _, e := range entries {
		if !have[e.Sum] {
			text, sync = appendLine(text, e), sync || e.Kind != Counted
		}
	}
	return text, span{first, next}, sync
}

// markWritten records what has been written, and appends a Lost entry for what the log had dropped before.
func (f *Writer) markWritten(to span) {
	if f.nextSeq > 0 && f.nextSeq < to.first {
		f.Log.Append(Entry{Kind: Lost, N: int(to.first - f.nextSeq), UpTo: to.first - 1})
	}
	f.nextSeq = to.next
}

// rotate begins a file. That takes over the lines of the last one, where it is of another process or has failed and isn't full,
// so that many short-lived processes need no more files than a long-lived one; then all files but one that no process uses are
// removed. The others stand until the new file has its name.
func (f *Writer) rotate() error {
	unlock, err := f.Disk.Lock(tempName)
	if err == nil && unlock == nil {
		err = errTempLocked
	}
	if err != nil {
		return fmt.Errorf("trail: %w", err)
	}
	if err = f.writeNewFile(unlock); err != nil {
		unlock()
		return fmt.Errorf("trail: %w", err)
	}
	return nil
}

// writeNewFile is rotate with the name of the new file locked.
func (f *Writer) writeNewFile(unlock func()) error {
	names, high, err := f.ownFiles()
	if err != nil {
		return err
	}
	text, have, keep := f.inheritedLines(names)
	lacking, to, _ := f.unwritten(have)
	text = append(text, lacking...)
	name := fmt.Sprintf("%s%09d", filePrefix, high+1)
	file, err := f.createFile(name, text)
	if err != nil {
		return err
	}
	if f.file != nil {
		_ = f.file.Close()
		f.unlock()
	}
	for i, old := range names {
		if i != len(names)-keep { // taken over, or too old; what fails here is retried with the next file
			_ = f.Disk.Remove(old)
		}
	}
	f.file, f.name, f.unlock, f.size = file, name, unlock, len(text)
	f.markWritten(to)
	return nil
}

// inheritedLines returns the lines of the last file, if it isn't full and its lines are to be taken over; the checksums of the
// entries in the last two files; and which file, counted from the last, is to stay.
func (f *Writer) inheritedLines(names []string) (text []byte, have map[string]bool, keep int) {
	have, keep = map[string]bool{}, 1
	for i, name := range names[max(0, len(names)-2):] {
		old, err := f.Disk.Read(name, maxReadBytes)
		if err != nil {
			continue // it is kept, if it is the last one
		}
		old = old[:bytes.LastIndexByte(old, '\n')+1]
		entries, _ := decode(old, name)
		for _, e := range entries {
			have[e.Sum] = true
		}
		isLast := i == min(len(names), 2)-1
		if isLast && len(old) < maxFileBytes {
			text, keep = old, 2
		}
	}
	return text, have, keep
}

// createFile creates a file under tempName and gives it its name once its content is on the disk. It returns it open.
func (f *Writer) createFile(name string, text []byte) (persistence.File, error) {
	file, err := f.Disk.Create(tempName)
	if err != nil {
		return nil, err
	}
	if _, err = file.Write(text); err == nil {
		err = file.Sync()
	}
	current := tempName
	if err == nil {
		err = f.Disk.Rename(tempName, name)
	}
	if err == nil {
		current = name
		err = f.Disk.Sync()
	}
	if err != nil { // an attempt each second must not fill the disk
		return nil, errors.Join(err, file.Close(), f.Disk.Remove(current))
	}
	return file, nil
}

// ownFiles returns the files that no other process writes, in order, and the highest number of all.
func (f *Writer) ownFiles() (names []string, high int, err error) {
	all, err := f.Disk.Names()
	for _, name := range all {
		n, ok := fileNumber(name)
		if !ok {
			continue
		}
		high = max(high, n)
		if name != f.name {
			unlock, err := f.Disk.Lock(name)
			if err != nil || unlock == nil {
				continue
			}
			unlock()
		}
		names = append(names, name)
	}
	return names, high, err
}
