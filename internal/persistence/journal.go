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
	journalName = "effects-"
	journalMost = 4 << 20                // bytes, from which on the next file is begun
	readMost    = 4 * journalMost        // bytes of a file that are read
	waitMost    = 1 << 20                // bytes that wait to be written
	keptWithin  = 50 * time.Millisecond  // a stream waits no longer: a disk that is slow must not hold orders up
	againAfter  = time.Second            // a disk that has failed is tried again
	closeWithin = 200 * time.Millisecond // the last write may take
)

// Journal writes what a table of effects is told, so that it is on the disk before anything is sent. What comes while the disk
// is at work is written behind it at once, which outlasts this process, and synced together with the next. A disk that fails, is
// full or slow holds nothing up: what is not kept is counted, and Fault is told.
type Journal struct {
	Disk  Disk
	Table *inflight.Table
	// Fault is told when the journal can't be written, and with nil when it can again.
	Fault func(err error)

	wake  chan struct{}
	ended chan struct{}

	mu      sync.Mutex
	wait    []byte
	noted   int           // changes that have waited, ever
	written int           // of those, that are in a file
	write   chan struct{} // closed once more are; nil: nobody waits for that
	stuck   bool          // somebody has waited too long for that
	behind  bool          // some are in a file that is not synced yet, nor being synced
	next    chan struct{} // closed once those and what waits are settled
	writing chan struct{} // the same of what is being synced; nil: nothing is
	slow    bool          // somebody has waited too long for it
	failed  error
	deaf    bool // nothing is to be written: the next file begins with all that is known
	overrun bool // changes came faster than the disk takes them, and some are in no file yet
	closed  bool
	missed  int // promises that were not given

	// Of run, and of follow while run waits for it.
	file   File
	name   string
	unlock func()
	size   int
}

// header is a journal's first line: the clock by which its times are.
type header struct{ Clock Clock }

// Begin writes a first file with all that the table knows and has further changes follow, until Close. Files that former
// processes have left are removed once theirs is in it.
func (j *Journal) Begin(left []string) {
	j.wake, j.next, j.ended = make(chan struct{}, 1), make(chan struct{}), make(chan struct{})
	j.set(j.begin())
	if j.failed == nil {
		for _, name := range left {
			_ = j.Disk.Remove(name) // read again it would tell the same
		}
	}
	go j.run()
}

// begin begins a file, and leaves the one before it only when that is on the disk.
func (j *Journal) begin() error {
	names, err := j.Disk.Names()
	if err != nil {
		return fmt.Errorf("durable: journal: %w", err)
	}
	last := 0
	for _, n := range names {
		if i, err := strconv.Atoi(strings.TrimPrefix(n, journalName)); err == nil && IsJournal(n) {
			last = max(last, i)
		}
	}
	name := fmt.Sprintf("%s%09d", journalName, last+1)
	j.mu.Lock()
	j.deaf = false // what comes from here on is not in what is known
	j.mu.Unlock()
	text := line(nil, header{Now()})
	for _, n := range j.Table.Subscribe(inflight.Journal, j.note) {
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
	j.overrun = j.deaf // again, meanwhile
	j.mu.Unlock()
	return nil
}

// IsJournal tells whether a file of that name is a journal of effects.
func IsJournal(name string) bool { return strings.HasPrefix(name, journalName) }

// line appends a line: the sum of a value's text, and the text.
func line(b []byte, v any) []byte {
	text, err := json.Marshal(v)
	if err != nil {
		return b // it has no such values
	}
	return append(append(fmt.Appendf(b, "%016x ", xxhash.Sum64(text)), text...), '\n')
}

// appendNote appends what is worth keeping of a change: nothing, where the effect may take place any number of times.
func appendNote(b []byte, n inflight.Update) []byte {
	if n.Retention == 0 || n.SentAt.IsZero() && !n.Retracted {
		return b // nothing of it has begun
	}
	return line(b, n)
}

// note takes a change from the table, and never waits.
func (j *Journal) note(n inflight.Update) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.closed || j.deaf {
		return
	}
	if len(j.wait) > waitMost {
		j.deaf, j.overrun = true, true
		return
	}
	was := len(j.wait)
	if j.wait = appendNote(j.wait, n); len(j.wait) > was {
		j.noted++
		j.rouse()
	}
}

// rouse has run go on; the caller holds the lock.
func (j *Journal) rouse() {
	if j.closed {
		return
	}
	select {
	case j.wake <- struct{}{}:
	default:
	}
}

// Kept waits until all that the table has been told is on the disk. It returns false where that takes too long or can't be; on
// a disk that is slow, once it is written, so that it is lost with the machine at most.
func (j *Journal) Kept() bool {
	j.mu.Lock()
	wait, ok := j.writing, j.failed == nil && !j.closed && !j.overrun
	if len(j.wait) > 0 || j.behind {
		wait = j.next
	}
	if !ok || wait != nil && j.slow {
		j.missed++
		j.mu.Unlock()
		if ok {
			j.awaitWrite()
		}
		return false
	}
	j.mu.Unlock()
	if wait == nil {
		return true
	}
	late := time.NewTimer(keptWithin)
	defer late.Stop()
	select {
	case <-wait:
		j.mu.Lock()
		defer j.mu.Unlock()
		if j.failed != nil {
			j.missed++
		}
		return j.failed == nil
	case <-late.C:
		j.mu.Lock()
		defer j.mu.Unlock()
		j.slow = j.writing != nil
		j.missed++
		return false
	}
}

// awaitWrite waits until all that the table has been told is in a file, but not for a disk that takes no writes either.
func (j *Journal) awaitWrite() {
	j.mu.Lock()
	defer j.mu.Unlock()
	late := time.NewTimer(keptWithin)
	defer late.Stop()
	for upTo := j.noted; j.written < upTo && j.failed == nil && !j.stuck; {
		if j.write == nil {
			j.write = make(chan struct{})
		}
		write := j.write
		j.mu.Unlock()
		select {
		case <-write:
			j.mu.Lock()
		case <-late.C:
			j.mu.Lock()
			j.stuck = true
		}
	}
}

// Missed is how many times Kept returned false since it was last asked.
func (j *Journal) Missed() (n int) {
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
	late := time.NewTimer(closeWithin)
	defer late.Stop()
	select {
	case <-j.ended:
	case <-late.C:
	}
}

func (j *Journal) run() {
	defer close(j.ended)
	for open := true; open; {
		var again <-chan time.Time
		if j.failed != nil { // only run changes it
			again = time.After(againAfter)
		}
		select {
		case _, open = <-j.wake:
			if j.set(j.flush()); j.failed == nil && j.full() {
				j.set(j.begin())
			}
			j.mu.Lock()
			if len(j.wait) > 0 || j.behind {
				j.rouse() // follow has been roused in its place
			}
			j.mu.Unlock()
		case <-again:
			j.set(j.begin())
		}
	}
	if j.file != nil {
		_ = j.file.Close()
		j.unlock()
	}
}

// full tells whether another file is to be begun.
func (j *Journal) full() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.overrun || j.size > journalMost
}

// set takes in how the last write went, lets those go on that waited for it, and tells of a change between working and not.
func (j *Journal) set(err error) {
	j.mu.Lock()
	was := j.failed
	j.failed = err
	if j.writing != nil {
		close(j.writing)
		j.writing, j.slow = nil, false
	}
	if err != nil {
		j.deaf, j.wait, j.behind = true, nil, false
		j.wrote(j.noted)
		close(j.next)
		j.next = make(chan struct{})
	}
	j.mu.Unlock()
	if (err == nil) != (was == nil) {
		j.Fault(err)
	}
}

// flush writes what waits, and has the disk take all that is written.
func (j *Journal) flush() error {
	j.mu.Lock()
	batch, upTo := j.wait, j.noted
	if j.failed != nil || len(batch) == 0 && !j.behind {
		defer j.mu.Unlock()
		return j.failed
	}
	j.wait, j.behind, j.next, j.writing = nil, false, make(chan struct{}), j.next
	j.mu.Unlock()
	if err := j.append(batch, upTo); err != nil {
		return err
	}
	stop, followed := make(chan struct{}), make(chan error, 1)
	go func() { followed <- j.follow(stop) }()
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
func (j *Journal) follow(stop <-chan struct{}) error {
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
		batch, upTo := j.wait, j.noted
		if len(batch) == 0 || j.size > journalMost {
			j.mu.Unlock()
			continue
		}
		j.wait, j.behind = nil, true
		j.mu.Unlock()
		if err := j.append(batch, upTo); err != nil {
			return err
		}
	}
}

// append writes changes, up to that one, at the file's end.
func (j *Journal) append(batch []byte, upTo int) error {
	if len(batch) > 0 {
		if _, err := j.file.Write(batch); err != nil {
			return fmt.Errorf("durable: journal: %w", err)
		}
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.size += len(batch)
	j.wrote(upTo)
	return nil
}

// wrote notes that changes up to that one are in a file, and lets those go on that wait for it; the caller holds the lock.
func (j *Journal) wrote(upTo int) {
	j.written, j.stuck = upTo, false
	if j.write != nil {
		close(j.write)
		j.write = nil
	}
}

// Effects returns what the journals say that processes have left which are dead, oldest first, by this moment's clock; how
// many lines of them could not be read; and the names of their files. Alive is how many others are in use. Whoever calls
// keeps all others from calling at the same time: by the lock of the directory, or as the successor of whoever has that.
func Effects(d Disk, now Clock) (notes []inflight.Update, skipped int, left []string, alive int, err error) {
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
		text, err := d.Read(name, readMost)
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
func DecodeJournal(text []byte, now Clock) (notes []inflight.Update, skipped int) {
	var clock *Clock
	for l := range bytes.Lines(text) {
		var n inflight.Update
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
			if clock != nil && !n.SentAt.IsZero() { // however the wall clock has been set since
				n.SentAt = now.Wall.Add(-now.Since(*clock) + n.SentAt.Sub(clock.Wall))
			}
			notes = append(notes, n)
		}
	}
	return notes, skipped
}
