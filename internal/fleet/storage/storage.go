// Package storage keeps a replica's durable part and its state on a disk that may lose what was not synced, tear what it
// was writing, fill up, or hang.
//
// Each generation of the log is a directory of its own, whose first record holds the whole state. A log that has grown
// is followed by a new generation; nothing is ever renamed or truncated at its front, since a loss of power may keep or
// lose each such step independently of the others.
package storage

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/tidwall/wal"

	"pinelb.example/pinelb/internal/fleet/replication"
)

const (
	generationPrefix = "generation-"
	logLeast         = 256 << 10 // bytes of a log that is not worth a new generation
	logGrowth        = 4         // times its first record that a log may grow to
)

// Record is what one write makes durable.
type Record struct {
	HardState replication.HardState `cbor:"1,keyasint"`
	Entry     []byte                `cbor:"2,keyasint,omitempty"` // a change of the state
	Snapshot  []byte                `cbor:"3,keyasint,omitempty"` // the whole state
}

// Log is a replica's log on the disk. Its methods are not safe for concurrent use.
type Log struct {
	directory  string
	generation uint64
	log        *wal.Log
	index      uint64
	size       int
	first      int // size of the first record
}

// Open reads what a directory holds, in the order in which it was written. No records: the disk is empty. With a
// CorruptLogError the log may be begun anew, but not as the replica that wrote it.
func Open(directory string) (*Log, []Record, error) {
	if err := os.MkdirAll(directory, 0o750); err != nil {
		return nil, nil, merry.Prepend(err, "storage")
	}
	l := &Log{directory: directory}
	generations, err := l.generations()
	if err != nil {
		return nil, nil, err
	}
	for _, generation := range slices.Backward(generations) {
		l.generation = max(l.generation, generation)
		records, err := readGeneration(l.path(generation))
		var damaged *CorruptLogError
		if errors.As(err, &damaged) {
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

// generations lists the directory's, the oldest first.
func (l *Log) generations() ([]uint64, error) {
	entries, err := os.ReadDir(l.directory)
	if err != nil {
		return nil, merry.Prepend(err, "storage")
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

func (l *Log) path(generation uint64) string {
	return filepath.Join(l.directory, fmt.Sprintf("%s%020d", generationPrefix, generation))
}

// StartGeneration starts a new generation whose first record holds the whole state, and removes the former ones. After an error
// it may be called again.
func (l *Log) StartGeneration(durable replication.HardState, snapshot []byte) error {
	l.Close()
	l.generation++
	path := l.path(l.generation)
	log, err := wal.Open(path, &wal.Options{SegmentSize: 1 << 30, NoCopy: true})
	if err != nil {
		return merry.Prepend(err, "storage")
	}
	l.log, l.index, l.size = log, 0, 0
	if err := l.append(Record{HardState: durable, Snapshot: snapshot}); err != nil {
		l.Close()
		return err
	}
	l.first = l.size
	for _, folder := range []string{path, l.directory, filepath.Dir(l.directory)} {
		if err := syncDirectory(folder); err != nil {
			l.Close()
			return err
		}
	}
	l.removeFormer()
	return nil
}

// removeFormer is done on a best effort: what stays is removed with the next generation.
func (l *Log) removeFormer() {
	numbers, err := l.generations()
	if err != nil {
		return
	}
	for _, number := range numbers {
		if number < l.generation {
			_ = os.RemoveAll(l.path(number))
		}
	}
	_ = syncDirectory(l.directory)
}

// Append makes a record durable. After an error the log has to begin a new generation.
func (l *Log) Append(record Record) error {
	if l.log == nil {
		return errors.New("storage: no generation is open")
	}
	if err := l.append(record); err != nil {
		l.Close()
		return err
	}
	return nil
}

func (l *Log) append(record Record) error {
	payload, err := cbor.Marshal(&record)
	if err != nil {
		return merry.Prepend(err, "storage")
	}
	sealed := seal(payload)
	if err := l.log.Write(l.index+1, sealed); err != nil {
		return merry.Prepend(err, "storage")
	}
	l.index++
	l.size += len(sealed)
	return nil
}

// NeedsCompaction tells whether a new generation is due.
func (l *Log) NeedsCompaction() bool {
	return l.log == nil || l.size > max(logLeast, logGrowth*l.first)
}

// Close lets go of the files.
func (l *Log) Close() {
	if l.log != nil {
		_ = l.log.Close() // all that counts was synced before
		l.log = nil
	}
}

func syncDirectory(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return merry.Prepend(err, "storage")
	}
	err = folder.Sync()
	if closing := folder.Close(); err == nil {
		err = closing
	}
	if err != nil {
		return merry.Prepend(err, "storage")
	}
	return nil
}
