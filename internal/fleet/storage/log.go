// Package storage keeps a replica's hard state and replicated state on a disk that may lose what was not synced, tear what
// it was writing, fill up, or hang. Only the replica's goroutine calls it (package replica).
//
// A log consists of generations. Each one is a directory of its own, whose first record holds a snapshot of the state and
// whose further records are a write-ahead log of one segment. A log that has grown is followed by a new generation; nothing
// is ever renamed or truncated at its front, since a loss of power may keep or lose each such step independently of the
// others.
//
// Invariant: a record is synced before the next one is written, and a generation before the former one is removed.
package storage

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/tidwall/wal"
)

const (
	generationPrefix = "generation-"
	directoryMode    = 0o750
	segmentSize      = 1 << 30 // bytes; more than a generation grows to, so that it is one segment

	minCompactionSize = 256 << 10 // bytes; a smaller log is not compacted
	maxGrowthFactor   = 4         // of a log, as a multiple of its first record
)

// ErrNoGeneration says that the log has no generation that records can be appended to: none was started yet, or the last
// write failed.
var ErrNoGeneration = errors.New("storage: no generation is open")

// Record is what one write makes durable.
type Record[H any] struct {
	HardState H      `cbor:"1,keyasint"`
	Entry     []byte `cbor:"2,keyasint,omitempty"` // a change of the state
	Snapshot  []byte `cbor:"3,keyasint,omitempty"` // replaces the state
}

// Log is a replica's log on the disk. Its methods are not safe for concurrent use.
type Log[H any] struct {
	directory       string
	generation      uint64   // the newest
	wal             *wal.Log // of the newest generation; nil: not open
	lastIndex       uint64   // in the write-ahead log
	size            int      // bytes of the generation's records
	firstRecordSize int
}

// Open reads what a directory holds, in the order in which it was written, and creates the directory where there is none.
// No records: the disk is empty. With a *CorruptLogError it returns the log too, which may start a new generation, but not
// as the replica that wrote the former one.
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

// generations lists the numbers of the directory's generations, the oldest first.
func (l *Log[H]) generations() ([]uint64, error) {
	entries, err := os.ReadDir(l.directory)
	if err != nil {
		return nil, wrap(err)
	}
	var numbers []uint64
	for _, entry := range entries {
		text, found := strings.CutPrefix(entry.Name(), generationPrefix)
		number, err := strconv.ParseUint(text, 10, 64)
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

// StartGeneration starts a new generation whose first record holds the snapshot, and removes the former ones. After an
// error it may be called again.
func (l *Log[H]) StartGeneration(hardState H, snapshot []byte) error {
	l.Close()
	l.generation++
	if err := l.createGeneration(Record[H]{HardState: hardState, Snapshot: snapshot}); err != nil {
		l.Close()
		_ = os.RemoveAll(l.generationPath(l.generation)) // on a full disk what is left would take the room of the next one
		return err
	}
	l.removeOldGenerations()
	return nil
}

// createGeneration makes a generation's directory and its first record durable.
func (l *Log[H]) createGeneration(first Record[H]) error {
	path := l.generationPath(l.generation)
	log, err := wal.Open(path, &wal.Options{SegmentSize: segmentSize, NoCopy: true})
	if err != nil {
		return wrap(err)
	}
	l.wal, l.lastIndex, l.size = log, 0, 0
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

// removeOldGenerations works on a best effort: what stays is removed with the next generation.
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

// Append makes a record durable. After an error, which may be ErrNoGeneration, the log has to start a new generation.
func (l *Log[H]) Append(record Record[H]) error {
	if l.wal == nil {
		return ErrNoGeneration
	}
	if err := l.append(record); err != nil {
		l.Close()
		return err
	}
	return nil
}

func (l *Log[H]) append(record Record[H]) error {
	payload, err := cbor.Marshal(&record)
	if err != nil {
		return wrap(err)
	}
	text := addChecksum(payload)
	if err := l.wal.Write(l.lastIndex+1, text); err != nil {
		return wrap(err)
	}
	l.lastIndex++
	l.size += len(text)
	return nil
}

// NeedsCompaction reports whether a new generation is due, because the log has grown or has no open generation.
func (l *Log[H]) NeedsCompaction() bool {
	return l.wal == nil || l.size > max(minCompactionSize, maxGrowthFactor*l.firstRecordSize)
}

// Close closes the files. Records can be appended again after StartGeneration.
func (l *Log[H]) Close() {
	if l.wal != nil {
		_ = l.wal.Close() // every record was synced when it was written
		l.wal = nil
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

// wrap names the package in an error; nil stays nil.
func wrap(err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("storage: %w", err)
}
