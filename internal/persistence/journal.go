package persistence

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"pinelb.example/pinelb/internal/inflight"
)

const (
	journalPrefix   = "effects-"
	maxJournalBytes = 4 << 20                // bytes, from which on the next file is begun
	maxReadBytes    = 4 * maxJournalBytes    // bytes of a file that are read
	maxPendingBytes = 1 << 20                // bytes that wait to be written
	syncTimeout     = 50 * time.Millisecond  // a stream waits no longer: a disk that is slow must not hold orders up
	retryInterval   = time.Second            // a disk that has failed is tried again
	closeTimeout    = 200 * time.Millisecond // the last write may take
)

// Journal writes what a table of effects is told, so that it is on the disk before anything is sent. What comes while the disk
// is at work is written behind it at once, which outlasts this process, and synced together with the next. A disk that fails, is
// full or slow holds nothing up: what is not kept is counted, and Fault is told.
type Journal struct {
	Disk  Disk
	Table *inflight.Table
	// OnFault is told when the journal can't be written, and with nil when it can again.
	OnFault func(err error)

	wake chan struct{}
	done chan struct{}

	mu            sync.Mutex
	pending       []byte
	enqueued      int           // changes that have waited, ever
	written       int           // of those, that are in a file
	writtenSignal chan struct{} // closed once more are; nil: nobody waits for that
	writeStalled  bool          // somebody has waited too long for that
	unsynced      bool          // some are in a file that is not synced yet, nor being synced
	nextSync      chan struct{} // closed once those and what waits are settled
	syncing       chan struct{} // the same of what is being synced; nil: nothing is
	syncStalled   bool          // somebody has waited too long for it
	lastErr       error
	discarding    bool // nothing is to be written: the next file begins with all that is known
	overflowed    bool // changes came faster than the disk takes them, and some are in no file yet
	closed        bool
	missed        int // promises that were not given

	// Of run, and of follow while run waits for it.
	file   File
	name   string
	unlock func()
	size   int
}

// header is a journal's first line: the clock by which its times are.
type header struct{ Clock Timestamp }

// Start writes a first file with all that the table knows and has further changes follow, until Close. Files that former
// processes have left are removed once theirs is in it.
func (j *Journal) Start(left []string) {
	j.wake, j.nextSync, j.done = make(chan struct{}, 1), make(chan struct{}), make(chan struct{})
	j.setResult(j.rotate())
	if j.lastErr == nil {
		for _, name := range left {
			_ = j.Disk.Remove(name) // read again it would tell the same
		}
	}
	go j.run()
}

// begin begins a file, and leaves the one before it only when that is on the disk.
func (j *Journal) rotate() error {
	names, err := j.Disk.Names()
	if err != nil {
		return fmt.Errorf("durable: journal: %w", err)
	}
	last := 0
	for _, n := range names {
		if i, err := strconv.Atoi(strings.TrimPrefix(n, journalPrefix)); err == nil && IsJournal(n) {
			last = max(last, i)
		}
	}
	name := fmt.Sprintf("%s%09d", journalPrefix, last+1)
	j.mu.Lock()
	j.discarding = false // what comes from here on is not in what is known
	j.mu.Unlock()
	text := appendLine(nil, header{Now()})
	for _, n := range j.Table.Watch(inflight.Journal, j.enqueue) {
		text = appendNote(text, n)
	}
	unlock, err := j.Disk.Lock(name)
	if err == nil && unlock == nil {
		err = fmt.Errorf("%s is another process's", name)
	}
	if err != nil {
		return fmt.Errorf("durable: journal: %w", err)
	}
	f, err := j.Disk.Create(name)
	if err == nil {
		if _, err = f.Write(text); err == nil {
			err = f.Sync()
		}
		if err == nil {
			err = j.Disk.Sync()
		}
		if err != nil {
			_ = f.Close()
		}
	}
	if err != nil {
		unlock()
		return fmt.Errorf("durable: journal: %w", err)
	}
	if j.file != nil {
		_ = j.file.Close()
		_ = j.Disk.Remove(j.name)
		j.unlock()
	}
	j.file, j.name, j.unlock, j.size = f, name, unlock, len(text)
	j.mu.Lock()
	j.overflowed = j.discarding // again, meanwhile
	j.mu.Unlock()
	return nil
}

// IsJournal tells whether a file of that name is a journal of effects.
func IsJournal(name string) bool { return strings.HasPrefix(name, journalPrefix) }

// line appends a line: the sum of a value's text, and the text.
func appendLine(b []byte, v any) []byte {
	text, err := json.Marshal(v)
	if err != nil {
		return b // it has no such values
	}
	return append(append(fmt.Appendf(b, "%016x ", xxhash.Sum64(text)), text...), '\n')
}

// appendNote appends what is worth keeping of a change: nothing, where the effect may take place any number of times.
func appendNote(b []byte, n inflight.Note) []byte {
	if n.Keep == 0 || n.At.IsZero() && !n.Back {
		return b // nothing of it has begun
	}
	return appendLine(b, n)
}

// note takes a change from the table, and never waits.
func (j *Journal) enqueue(n inflight.Note) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.closed || j.discarding {
		return
	}
	if len(j.pending) > maxPendingBytes {
		j.discarding, j.overflowed = true, true
		return
	}
	was := len(j.pending)
	if j.pending = appendNote(j.pending, n); len(j.pending) > was {
		j.enqueued++
		j.signal()
	}
}

// rouse has run go on; the caller holds the lock.
func (j *Journal) signal() {
	if j.closed {
		return
	}
	select {
	case j.wake <- struct{}{}:
	default:
	}
}

// WaitDurable waits until all that the table has been told is on the disk. It returns false where that takes too long or can't be; on
// a disk that is slow, once it is written, so that it is lost with the machine at most.
func (j *Journal) WaitDurable() bool {
	j.mu.Lock()
	wait, ok := j.syncing, j.lastErr == nil && !j.closed && !j.overflowed
	if len(j.pending) > 0 || j.unsynced {
		wait = j.nextSync
	}
	if !ok || wait != nil && j.syncStalled {
		j.missed++
		j.mu.Unlock()
		if ok {
			j.waitWritten()
		}
		return false
	}
	j.mu.Unlock()
	if wait == nil {
		return true
	}
	late := time.NewTimer(syncTimeout)
	defer late.Stop()
	select {
	case <-wait:
		j.mu.Lock()
		defer j.mu.Unlock()
		if j.lastErr != nil {
			j.missed++
		}
		return j.lastErr == nil
	case <-late.C:
		j.mu.Lock()
		defer j.mu.Unlock()
		j.syncStalled = j.syncing != nil
		j.missed++
		return false
	}
}

// waitWritten waits until all that the table has been told is in a file, but not for a disk that takes no writes either.
func (j *Journal) waitWritten() {
	j.mu.Lock()
	defer j.mu.Unlock()
	late := time.NewTimer(syncTimeout)
	defer late.Stop()
	for upTo := j.enqueued; j.written < upTo && j.lastErr == nil && !j.writeStalled; {
		if j.writtenSignal == nil {
			j.writtenSignal = make(chan struct{})
		}
		write := j.writtenSignal
		j.mu.Unlock()
		select {
		case <-write:
			j.mu.Lock()
		case <-late.C:
			j.mu.Lock()
			j.writeStalled = true
		}
	}
}

// TakeMissed is how many times Kept returned false since it was last asked.
func (j *Journal) TakeMissed() (n int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	n, j.missed = j.missed, 0
	return n
}

// Close writes what waits, within moments, and ends the journal.
func (j *Journal) Close() {
	j.mu.Lock()
	j.closed = true
	j.mu.Unlock()
	close(j.wake)
	late := time.NewTimer(closeTimeout)
	defer late.Stop()
	select {
	case <-j.done:
	case <-late.C:
	}
}

func (j *Journal) run() {
	defer close(j.done)
	for open := true; open; {
		var again <-chan time.Time
		if j.lastErr != nil { // only run changes it
			again = time.After(retryInterval)
		}
		select {
		case _, open = <-j.wake:
			if j.setResult(j.sync()); j.lastErr == nil && j.needsRotation() {
				j.setResult(j.rotate())
			}
			j.mu.Lock()
			if len(j.pending) > 0 || j.unsynced {
				j.signal() // follow has been roused in its place
			}
			j.mu.Unlock()
		case <-again:
			j.setResult(j.rotate())
		}
	}
	if j.file != nil {
		_ = j.file.Close()
		j.unlock()
	}
}

// full tells whether another file is to be begun.
func (j *Journal) needsRotation() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.overflowed || j.size > maxJournalBytes
}

// set takes in how the last write went, lets those go on that waited for it, and tells of a change between working and not.
func (j *Journal) setResult(err error) {
	j.mu.Lock()
	was := j.lastErr
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
	if (err == nil) != (was == nil) {
		j.OnFault(err)
	}
}

// flush writes what waits, and has the disk take all that is written.
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
	stop, followed := make(chan struct{}), make(chan error, 1)
	go func() { followed <- j.writeDuringSync(stop) }()
	err := j.file.Sync()
	close(stop)
	if fault := <-followed; err == nil && fault != nil {
		return fault
	}
	if err != nil {
		return fmt.Errorf("durable: journal: %w", err)
	}
	return nil
}

// follow writes what comes, as far as there is room in the file, until stop is closed.
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

// append writes changes, up to that one, at the file's end.
func (j *Journal) writeBatch(batch []byte, upTo int) error {
	if len(batch) > 0 {
		if _, err := j.file.Write(batch); err != nil {
			return fmt.Errorf("durable: journal: %w", err)
		}
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.size += len(batch)
	j.markWritten(upTo)
	return nil
}

// wrote notes that changes up to that one are in a file, and lets those go on that wait for it; the caller holds the lock.
func (j *Journal) markWritten(upTo int) {
	j.written, j.writeStalled = upTo, false
	if j.writtenSignal != nil {
		close(j.writtenSignal)
		j.writtenSignal = nil
	}
}

// RecoverEffects returns what the journals say that processes have left which are dead, oldest first, by this moment's clock; how
// many lines of them could not be read; and the names of their files. Alive is how many others are in use. Whoever calls
// keeps all others from calling at the same time: by the lock of the directory, or as the successor of whoever has that.
func RecoverEffects(d Disk, now Timestamp) (notes []inflight.Note, skipped int, left []string, alive int, err error) {
	names, err := d.Names()
	if err != nil {
		return nil, 0, nil, 0, fmt.Errorf("durable: journal: %w", err)
	}
	for _, name := range names {
		if !IsJournal(name) {
			continue
		}
		unlock, err := d.Lock(name)
		if err != nil || unlock == nil {
			alive++
			continue
		}
		unlock()
		text, err := d.Read(name, maxReadBytes)
		if err != nil {
			return nil, 0, nil, 0, fmt.Errorf("durable: journal: %w", err)
		}
		read, bad := DecodeJournal(text, now)
		notes, skipped, left = append(notes, read...), skipped+bad, append(left, name)
	}
	return notes, skipped, left, alive, nil
}

// DecodeJournal reads a journal. Lines that are cut off or changed are counted and left out: what a power cut has left half
// written had not been promised.
func DecodeJournal(text []byte, now Timestamp) (notes []inflight.Note, skipped int) {
	var clock *Timestamp
	for l := range bytes.Lines(text) {
		var n inflight.Note
		var h header
		sum, body, found := bytes.Cut(bytes.TrimSuffix(l, []byte{'\n'}), []byte{' '})
		want, err := strconv.ParseUint(string(sum[:min(len(sum), 17)]), 16, 64)
		switch {
		case !found || err != nil || len(sum) != 16 || xxhash.Sum64(body) != want:
			skipped++
		case clock == nil && json.Unmarshal(body, &h) == nil && !h.Clock.Wall.IsZero():
			clock = &h.Clock
		case json.Unmarshal(body, &n) != nil || n.Txn == "" || n.Class == "":
			skipped++
		default:
			if clock != nil && !n.At.IsZero() { // however the wall clock has been set since
				n.At = now.Wall.Add(-now.Since(*clock) + n.At.Sub(clock.Wall))
			}
			notes = append(notes, n)
		}
	}
	return notes, skipped
}
