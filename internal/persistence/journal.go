package persistence

import (
	"fmt"
	"sync"
	"time"

	"pinelb.example/pinelb/internal/inflight"
)

const (
	maxPendingBytes = 1 << 20                // of changes that are in no file yet
	syncTimeout     = 50 * time.Millisecond  // of WaitDurable: a slow disk must not delay requests for longer
	retryInterval   = time.Second            // after a disk has failed
	closeTimeout    = 200 * time.Millisecond // of Close, for the last write
)

// Journal writes the changes of a table of effects, so that they are on the disk before a request is sent. Changes that come
// while the disk syncs are written after it at once, which outlasts this process, and synced together with the next ones (group
// commit). A disk that fails, is full or slow delays nothing: WaitDurable returns false, which is counted, and OnFault is called.
//
// The exported fields are set before Start. WaitDurable and TakeMissed may be called from any goroutine between Start and Close.
type Journal struct {
	Disk  Disk
	Table *inflight.Table
	// OnFault is called with an error when the journal can't be written, and with nil when it can again.
	OnFault func(err error)

	wake chan struct{} // has run, or writeDuringSync in its place, look at what is pending; closed by Close
	done chan struct{} // closed when run has ended

	mu            sync.Mutex
	pending       []byte        // lines that are in no file yet
	enqueued      int           // changes that were ever pending
	written       int           // of those, the ones that are in a file
	writtenSignal chan struct{} // closed when written grows; nil: nobody waits for that
	writeStalled  bool          // somebody has waited too long for that
	unsynced      bool          // some changes are in a file that neither is synced nor is being synced
	nextSync      chan struct{} // closed when those and what is pending have been synced, or have failed
	syncing       chan struct{} // the same of what is being synced; nil: nothing is
	syncStalled   bool          // somebody has waited too long for that
	lastErr       error         // of the last write; written by run alone
	discarding    bool          // nothing is written: the next file begins with all that the table knows
	overflowed    bool          // changes came faster than the disk takes them, and some are in no file
	closed        bool
	missed        int // of WaitDurable's calls, those that returned false

	// Owned by run, and by writeDuringSync while run waits for it; size is under mu, too.
	file   File
	name   string
	unlock func()
	size   int // bytes
}

// Start writes a first file with all that the table knows, and has further changes follow, until Close. The files of processes
// that have ended, whose effects the table has taken over, are removed once that file is on the disk.
func (j *Journal) Start(endedFiles []string) {
	j.wake, j.nextSync, j.done = make(chan struct{}, 1), make(chan struct{}), make(chan struct{})
	j.setResult(j.rotate())
	if j.lastErr == nil {
		for _, name := range endedFiles {
			_ = j.Disk.Remove(name) // one that stays is read again, to the same effect
		}
	}
	go j.run()
}

// Close writes what is pending, within closeTimeout, and ends the journal.
func (j *Journal) Close() {
	j.mu.Lock()
	j.closed = true
	j.mu.Unlock()
	close(j.wake)
	timeout := time.NewTimer(closeTimeout)
	defer timeout.Stop()
	select {
	case <-j.done:
	case <-timeout.C:
	}
}

// enqueue takes a change from the table, and never waits.
func (j *Journal) enqueue(n inflight.Update) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.closed || j.discarding {
		return
	}
	if len(j.pending) > maxPendingBytes {
		j.discarding, j.overflowed = true, true
		return
	}
	before := len(j.pending)
	j.pending = appendNote(j.pending, n)
	if len(j.pending) > before {
		j.enqueued++
		j.signal()
	}
}

// signal wakes run; the caller holds mu.
func (j *Journal) signal() {
	if j.closed {
		return
	}
	select {
	case j.wake <- struct{}{}:
	default:
	}
}

// WaitDurable waits until all changes of the table so far are on the disk. It returns false where that takes longer than
// syncTimeout, or fails. While a sync is known to be slow it waits until the changes are in a file, and returns false: they are
// lost with the machine, but not with the process.
func (j *Journal) WaitDurable() bool {
	j.mu.Lock()
	synced := j.syncing
	ok := j.lastErr == nil && !j.closed && !j.overflowed
	if len(j.pending) > 0 || j.unsynced {
		synced = j.nextSync
	}
	if !ok || synced != nil && j.syncStalled {
		j.missed++
		j.mu.Unlock()
		if ok {
			j.waitWritten()
		}
		return false
	}
	j.mu.Unlock()
	if synced == nil {
		return true
	}
	timeout := time.NewTimer(syncTimeout)
	defer timeout.Stop()
	select {
	case <-synced:
		j.mu.Lock()
		defer j.mu.Unlock()
		if j.lastErr != nil {
			j.missed++
		}
		return j.lastErr == nil
	case <-timeout.C:
		j.mu.Lock()
		defer j.mu.Unlock()
		j.syncStalled = j.syncing != nil
		j.missed++
		return false
	}
}

// waitWritten waits until all changes of the table so far are in a file, unless the disk is known to take no writes either.
func (j *Journal) waitWritten() {
	j.mu.Lock()
	defer j.mu.Unlock()
	timeout := time.NewTimer(syncTimeout)
	defer timeout.Stop()
	for upTo := j.enqueued; j.written < upTo && j.lastErr == nil && !j.writeStalled; {
		if j.writtenSignal == nil {
			j.writtenSignal = make(chan struct{})
		}
		written := j.writtenSignal
		j.mu.Unlock()
		select {
		case <-written:
			j.mu.Lock()
		case <-timeout.C:
			j.mu.Lock()
			j.writeStalled = true
		}
	}
}

// TakeMissed returns how many times WaitDurable has returned false since the last call.
func (j *Journal) TakeMissed() (n int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	n, j.missed = j.missed, 0
	return n
}

// journalError names the journal as the cause of an error; nil stays nil.
func journalError(err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("durable: journal: %w", err)
}
