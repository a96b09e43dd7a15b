// Package storage persists a replica's hard state and replicated state on a disk that may lose unsynced writes, tear the
// write in progress, fill up, or hang. Only the replica's goroutine calls it (package replica).
//
// A log consists of generations. Each generation is a directory of its own: its first record holds a snapshot of the state,
// and its further records are a write-ahead log of one segment. A log that has grown too large is compacted into a new
// generation. Files are never renamed, nor truncated at their front, because a power failure may keep or lose each such step
// independently of the others.
//
// Invariant: a record is synced before the next one is written, and a generation is synced before the previous one is removed.
package storage

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
)

const (
	generationPrefix = "generation-"
	directoryMode    = 0o750

	minCompactionSize = 256 << 10 // bytes; a smaller log is not compacted
	maxGrowthFactor   = 4         // the log is compacted when its size exceeds this multiple of its first record's
)

// ErrNoGeneration reports that no generation is open to append records to: none has been started yet, or the last write
// failed.
var ErrNoGeneration = errors.New("storage: no generation is open")

// Record is the data that one write makes durable. H is the type of the hard state.
type Record[H any] struct {
	HardState H      `cbor:"1,keyasint"`
	Entry     []byte `cbor:"2,keyasint,omitempty"` // a change of the state
	Snapshot  []byte `cbor:"3,keyasint,omitempty"` // replaces the state
}

// Log is a replica's log on disk. Its methods are not safe for concurrent use.
type Log[H any] struct {
	directory       string
	generation      uint64   // number of the newest generation
	segment         *segment // the newest generation's write-ahead log; nil: not open
	size            int      // total size of the open generation's records, in bytes
	firstRecordSize int      // bytes
	maxSize         int      // bytes; see LimitSize
}

// Open returns the log in a directory, and the records of its newest generation that has any, in the order in which they
// were written. It creates the directory if there is none. An empty disk gives no records. With a *CorruptLogError it also
// returns the log: it can start a new generation, but the replica must then use a new identity. Other errors are I/O errors.
func Open[H any](directory string) (*Log[H], []Record[H], error) {
	if err := os.MkdirAll(directory, directoryMode); err != nil {
		return nil, nil, wrap(err)
	}
	l := &Log[H]{directory: directory}
	generations, err := l.generations()
	if err != nil {
		return nil, nil, err
	}
	for _, generation := range slices.Backward(generations) {
		l.generation = max(l.generation, generation)
		records, err := readGeneration[H](l.generationPath(generation))
		var corrupt *CorruptLogError
		if errors.As(err, &corrupt) {
			return l, nil, err
		}
		if err != nil {
			return nil, nil, err
		}
		if len(records) > 0 {
			return l, records, nil
		}
	}
	return l, nil, nil
}

// generations returns the numbers of the generations in the directory, in ascending order.
func (l *Log[H]) generations() ([]uint64, error) {
	entries, err := os.ReadDir(l.directory)
	if err != nil {
		return nil, wrap(err)
	}
	var numbers []uint64
	for _, entry := range entries {
		digits, found := strings.CutPrefix(entry.Name(), generationPrefix)
		number, err := strconv.ParseUint(digits, 10, 64)
		if found && err == nil {
			numbers = append(numbers, number)
		}
	}
	slices.Sort(numbers)
	return numbers, nil
}

func (l *Log[H]) generationPath(generation uint64) string {
	return filepath.Join(l.directory, fmt.Sprintf("%s%020d", generationPrefix, generation))
}

// StartGeneration starts a new generation whose first record holds the hard state and the snapshot, makes it durable and
// removes the previous generations. It may be called again after an error.
func (l *Log[H]) StartGeneration(hardState H, snapshot []byte) error {
	l.Close()
	l.generation++
	if err := l.createGeneration(Record[H]{HardState: hardState, Snapshot: snapshot}); err != nil {
		l.Close()
		_ = os.RemoveAll(l.generationPath(l.generation)) // on a full disk, its files would take the space of the next generation
		return err
	}
	l.removeOldGenerations()
	return nil
}

// createGeneration creates the directory and the first record of a generation, and makes both durable.
func (l *Log[H]) createGeneration(first Record[H]) error {
	path := l.generationPath(l.generation)
	created, err := createSegment(path)
	if err != nil {
		return wrap(err)
	}
	l.segment, l.size = created, 0
	if err := l.append(first); err != nil {
		return err
	}
	l.firstRecordSize = l.size
	for _, directory := range []string{path, l.directory, filepath.Dir(l.directory)} {
		if err := syncDirectory(directory); err != nil {
			return err
		}
	}
	return nil
}

// removeOldGenerations removes all generations but the newest. It ignores errors: generations that could not be removed
// are removed when the next generation starts.
func (l *Log[H]) removeOldGenerations() {
	numbers, err := l.generations()
	if err != nil {
		return
	}
	for _, number := range numbers {
		if number < l.generation {
			_ = os.RemoveAll(l.generationPath(number))
		}
	}
	_ = syncDirectory(l.directory)
}

// Append makes a record durable. It returns ErrNoGeneration if no generation is open. After any error, the caller has to
// start a new generation.
func (l *Log[H]) Append(record Record[H]) error {
	if l.segment == nil {
		return ErrNoGeneration
	}
	if err := l.append(record); err != nil {
		l.Close()
		return err
	}
	return nil
}

func (l *Log[H]) append(record Record[H]) error {
	encoded, err := encodeRecord(&record)
	if err != nil {
		return wrap(err)
	}
	size, err := l.segment.append(encoded)
	if err != nil {
		return wrap(err)
	}
	l.size += size
	return nil
}

// LimitSize makes the log compact itself once it exceeds a size in bytes, so that the disk has room for the next generation beside it. A limit
// that is smaller than the first record is exceeded by minCompactionSize; 0 is no limit.
func (l *Log[H]) LimitSize(maxSize int) { l.maxSize = maxSize }

// NeedsCompaction reports whether the next write has to start a new generation: the log has grown too large, or no
// generation is open.
func (l *Log[H]) NeedsCompaction() bool {
	return l.segment == nil || l.size > l.compactionSize()
}

// compactionSize returns the size in bytes above which the log is compacted.
func (l *Log[H]) compactionSize() int {
	size := max(minCompactionSize, maxGrowthFactor*l.firstRecordSize)
	if l.maxSize > 0 {
		size = min(size, max(l.maxSize, l.firstRecordSize+minCompactionSize))
	}
	return size
}

// Close closes the open generation, if any. StartGeneration opens the log again.
func (l *Log[H]) Close() {
	if l.segment != nil {
		_ = l.segment.close() // every record was synced when it was written
		l.segment = nil
	}
}

// syncDirectory makes the creation and removal of a directory's entries durable.
func syncDirectory(path string) error {
	directory, err := os.Open(path)
	if err != nil {
		return wrap(err)
	}
	err = directory.Sync()
	if closeErr := directory.Close(); err == nil {
		err = closeErr
	}
	return wrap(err)
}

// wrap prefixes an error with the package's name; nil stays nil.
func wrap(err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("storage: %w", err)
}
