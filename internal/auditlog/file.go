package auditlog

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"pinelb.example/pinelb/internal/persistence"
)

const (
	filePrefix    = "trail-"
	tempName      = "trail.new"
	maxFileBytes  = 1 << 20                // bytes, from which on the next file is begun; one before it is kept
	maxReadBytes  = 4 * maxFileBytes       // bytes of a file that are read
	maxFiles      = 16                     // files that are read: two of each process, of which one or two are alive
	maxBatchBytes = 256 << 10              // bytes that are written at once
	retryInterval = time.Second            // a disk that has failed is tried again
	closeTimeout  = 200 * time.Millisecond // the last write may take
)

// Writer writes a book's entries to a disk, in the background: a disk that is slow, full or gone holds nothing up. What it does
// not take is written later, as long as the book has it; what that has dropped by then is told by an entry. All but counts
// are brought to outlast a power cut at once.
type Writer struct {
	Disk persistence.Disk
	Log  *Log
	// OnFault is told when the trail can't be written, again when it can't for another cause, and with nil when it can again.
	OnFault func(err error)

	stop, done chan struct{}

	// Of run alone.
	file    persistence.File
	name    string
	unlock  func()
	size    int
	nextSeq uint64 // the number of the first entry that is not written; 0: nothing has been
	lastErr error
}

// Start has the book's entries be written until Close.
func (f *Writer) Start() {
	f.stop, f.done = make(chan struct{}), make(chan struct{})
	go f.run()
}

// Close writes what is left, within moments.
func (f *Writer) Close() {
	close(f.stop)
	late := time.NewTimer(closeTimeout)
	defer late.Stop()
	select {
	case <-f.done:
	case <-late.C:
	}
}

func (f *Writer) run() {
	defer close(f.done)
	renew := true
	for open := true; open; {
		f.setResult(f.write(renew))
		var again <-chan time.Time
		woken := f.Log.Updated
		if renew = f.lastErr != nil; renew {
			again, woken = time.After(retryInterval), nil
		}
		select {
		case <-woken:
		case <-again:
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

// set notes how the last write went, and tells of it where that is news.
func (f *Writer) setResult(err error) {
	was := f.lastErr
	f.lastErr = err
	if cause(err) != cause(was) {
		f.OnFault(err)
	}
}

// cause is an error's text, without those of failures that followed from it; empty: there is none.
func cause(err error) string {
	if err == nil {
		return ""
	}
	first, _, _ := strings.Cut(err.Error(), "\n") // errors.Join puts each on a line of its own
	return first
}

// write writes what is in no file yet, to a new one if it has to be renewed.
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

// span is from the first entry that a book has to the one after the last that is written.
type span struct{ first, next uint64 }

// lacks is the text of entries that are not written, but for those whose sums are given, and whether it has to outlast a
// power cut at once.
func (f *Writer) unwritten(have map[string]bool) (text []byte, to span, sync bool) {
	entries, next, first := f.Log.EntriesSince(f.nextSeq, maxBatchBytes)
	for _, e := range entries {
		if !have[e.Sum] {
			text, sync = appendLine(text, e), sync || e.Kind != Counted
		}
	}
	return text, span{first, next}, sync
}

// wrote takes in what has been written, and tells of what came to no file while the book had it.
func (f *Writer) markWritten(to span) {
	if f.nextSeq > 0 && f.nextSeq < to.first {
		f.Log.Append(Entry{Kind: Lost, N: int(to.first - f.nextSeq), UpTo: to.first - 1})
	}
	f.nextSeq = to.next
}

// appendLine appends an entry's line.
func appendLine(text []byte, e Entry) []byte {
	l, err := json.Marshal(e)
	if err != nil {
		return text // it has no such values
	}
	return append(append(text, l...), '\n')
}

// begin begins a file. It takes the lines of the last one over, where that is of another process or has failed and is not
// full, so that many short lives need no more files than a long one; then all but one that are nobody's are removed. Until
// the new file has its name, the others stand.
func (f *Writer) rotate() error {
	unlock, err := f.Disk.Lock(tempName)
	if err == nil && unlock == nil {
		err = fmt.Errorf("another process begins a file")
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

func (f *Writer) writeNewFile(unlock func()) error {
	names, high, err := f.ownFiles()
	if err != nil {
		return err
	}
	var text []byte
	have, keep := map[string]bool{}, 1
	for i, name := range names[max(0, len(names)-2):] {
		old, err := f.Disk.Read(name, maxReadBytes)
		if err != nil {
			continue // it is kept, if it is the last
		}
		old = old[:bytes.LastIndexByte(old, '\n')+1]
		entries, _ := decode(old, name)
		for _, e := range entries {
			have[e.Sum] = true
		}
		if i == min(len(names), 2)-1 && len(old) < maxFileBytes { // the last
			text, keep = old, 2
		}
	}
	lacking, to, _ := f.unwritten(have)
	text = append(text, lacking...)
	file, err := f.Disk.Create(tempName)
	if err != nil {
		return err
	}
	if _, err = file.Write(text); err == nil {
		err = file.Sync()
	}
	at, name := tempName, fmt.Sprintf("%s%09d", filePrefix, high+1)
	if err == nil {
		err = f.Disk.Rename(tempName, name)
	}
	if err == nil {
		at = name
		err = f.Disk.Sync()
	}
	if err != nil { // what is tried again each second must not fill the disk
		return errors.Join(err, file.Close(), f.Disk.Remove(at))
	}
	if f.file != nil {
		_ = f.file.Close()
		f.unlock()
	}
	for i, old := range names {
		if i != len(names)-keep { // taken over, or too old; whatever fails here is tried again with the next file
			_ = f.Disk.Remove(old)
		}
	}
	f.file, f.name, f.unlock, f.size = file, name, unlock, len(text)
	f.markWritten(to)
	return nil
}

// ours are the files of trails that no other process writes, in order, and the highest number of any.
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

// number is that of a trail's file.
func fileNumber(name string) (n int, ok bool) {
	digits, ok := strings.CutPrefix(name, filePrefix)
	n, err := strconv.Atoi(digits)
	return n, ok && err == nil && n > 0
}

// IsLogFile tells whether a file of that name is one of a trail.
func IsLogFile(name string) bool { _, ok := fileNumber(name); return ok }

// Load reads what processes of one sidecar have left on a disk, alive or dead: the entries in order of their numbers, and
// where the trail is not whole. In which order the lines stand does not matter. Of a last line that is cut off nothing is told: what was not written whole was not promised.
func Load(d persistence.Disk) (entries []Entry, faults []Fault, err error) {
	names, err := d.Names()
	if err != nil {
		return nil, nil, fmt.Errorf("trail: %w", err)
	}
	names = slices.DeleteFunc(names, func(name string) bool { return !IsLogFile(name) })
	known := map[string]bool{}
	for _, name := range names[max(0, len(names)-maxFiles):] {
		text, err := d.Read(name, maxReadBytes)
		if errors.Is(err, os.ErrNotExist) {
			continue // a process that runs has removed it since
		} else if err != nil {
			return nil, nil, fmt.Errorf("trail: %w", err)
		}
		read, bad := decode(text, name)
		faults = append(faults, bad...)
		for _, e := range read {
			if line := checksum(e) + e.Sum; !known[line] { // files begin with what others held, and those may still be there
				known[line] = true
				entries = append(entries, e)
			}
		}
	}
	slices.SortStableFunc(entries, bySeq)
	return entries, append(faults, Check(entries)...), nil
}

// ReadDir reads the trail in a directory, as Load does: of a dead sidecar, or one that runs.
func ReadDir(path string) ([]Entry, []Fault, error) { return Load(persistence.Dir(path)) }

// decode reads a file's text. A line that is no entry, or not written as entries are, is a fault; one that is cut off at the
// end is left out.
func decode(text []byte, name string) (entries []Entry, faults []Fault) {
	n := 0
	for l := range bytes.Lines(text) {
		n++
		whole, ended := bytes.CutSuffix(l, []byte{'\n'})
		if !ended {
			break
		}
		var e Entry
		if json.Unmarshal(whole, &e) != nil || e.check() != nil || !bytes.Equal(appendLine(nil, e), l) {
			faults = append(faults, Fault{Kind: Unreadable, File: name, Line: n})
			continue
		}
		entries = append(entries, e)
	}
	return entries, faults
}
