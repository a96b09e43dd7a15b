package persistence

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	snapshotName     = "snapshot"
	TempSuffix       = ".new" // of a file's name while Replace writes what is to be there
	snapshotKind     = "snapshot"
	snapshotVersion  = 1
	maxSnapshotBytes = 8 << 20 // bytes
	maxHeaderBytes   = 64
	maxClockSkew     = 2 * time.Second // that a snapshot may seem to come from later: clocks are set by so much all the time
)

// Snapshot is what a process knew at a moment.
type Snapshot struct {
	Saved Timestamp
	Site  string          // whose it is
	State json.RawMessage // as JSON
}

// ErrNoSnapshot says that there is no snapshot.
var ErrNoSnapshot = errors.New("durable: no snapshot")

// encode is a snapshot's text.
func (s *Snapshot) encode() ([]byte, error) {
	body, err := json.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("durable: snapshot: %w", err)
	}
	if len(body) > maxSnapshotBytes-maxHeaderBytes {
		return nil, fmt.Errorf("durable: a snapshot of %d bytes, %d at most", len(body), maxSnapshotBytes-maxHeaderBytes)
	}
	return Frame(snapshotKind, snapshotVersion, body), nil
}

// Frame is a file's text: a line that says what it is, of which version, how long the rest is and what it hashes to; and the rest.
func Frame(kind string, version int, body []byte) []byte {
	return append(fmt.Appendf(nil, "pinelb %s %d %d %016x\n", kind, version, len(body), xxhash.Sum64(body)), body...)
}

// Unframe is what a text was sealed over. What is cut off, changed, or of another version is an error that says so.
func Unframe(kind string, version int, text []byte) (body []byte, err error) {
	head, body, found := bytes.Cut(text, []byte{'\n'})
	var v, size int
	var sum uint64
	if n, err := fmt.Sscanf(string(head[:min(len(head), maxHeaderBytes)]), "pinelb "+kind+" %d %d %x", &v, &size, &sum); n < 1 || v < 1 {
		return nil, fmt.Errorf("durable: not a %s: %w", kind, err)
	} else if v != version {
		return nil, fmt.Errorf("durable: a %s of version %d, %d is read", kind, v, version)
	} else if n < 3 || !found || size != len(body) {
		return nil, fmt.Errorf("durable: the %s is cut off: %d of %d bytes", kind, len(body), size)
	}
	if got := xxhash.Sum64(body); got != sum {
		return nil, fmt.Errorf("durable: the %s has changed: its sum is %016x, not %016x", kind, got, sum)
	}
	return body, nil
}

// DecodeSnapshot reads a snapshot's text. What is cut off, changed, or of another version is an error that says so.
func DecodeSnapshot(text []byte) (*Snapshot, error) {
	body, err := Unframe(snapshotKind, snapshotVersion, text[:min(len(text), maxSnapshotBytes)])
	if err != nil {
		return nil, err
	}
	s := &Snapshot{}
	if err := json.Unmarshal(body, s); err != nil {
		return nil, fmt.Errorf("durable: snapshot: %w", err)
	}
	return s, nil
}

// SaveSnapshot has a snapshot take the former one's place: whatever happens meanwhile, one of the two is there whole.
func SaveSnapshot(d Disk, s *Snapshot) (size int, err error) {
	text, err := s.encode()
	if err != nil {
		return 0, err
	}
	if err = ReplaceFile(d, snapshotName, text); err != nil {
		return 0, fmt.Errorf("durable: snapshot: %w", err)
	}
	return len(text), nil
}

// ReplaceFile has a text take a file's place: whatever happens meanwhile, the former one or this is there whole. What it has not
// finished stands under the name with TempSuffix, and may be overwritten.
func ReplaceFile(d Disk, name string, text []byte) error {
	err := createFile(d, name+TempSuffix, text)
	if err == nil {
		err = d.Rename(name+TempSuffix, name)
	}
	if err == nil {
		err = d.Sync()
	}
	return err
}

// create writes a file whole.
func createFile(d Disk, name string, text []byte) error {
	f, err := d.Create(name)
	if err != nil {
		return err
	}
	if _, err = f.Write(text); err == nil {
		err = f.Sync()
	}
	return errors.Join(err, f.Close())
}

// LoadSnapshot returns the snapshot and how old it is. One that is not this site's, from later than now or older than oldest is an
// error, as one that can't be read is; where there is none it is ErrNoSnapshot.
func LoadSnapshot(d Disk, now Timestamp, site string, oldest time.Duration) (*Snapshot, time.Duration, error) {
	text, err := d.Read(snapshotName, maxSnapshotBytes+1)
	if errors.Is(err, os.ErrNotExist) {
		return nil, 0, ErrNoSnapshot
	} else if err != nil {
		return nil, 0, fmt.Errorf("durable: snapshot: %w", err)
	}
	s, err := DecodeSnapshot(text)
	if err != nil {
		return nil, 0, err
	}
	age := now.Since(s.Saved)
	switch {
	case s.Site != site:
		return nil, age, fmt.Errorf("durable: a snapshot of another site, %q", s.Site)
	case age < -maxClockSkew:
		return nil, age, fmt.Errorf("durable: a snapshot of %v from now: the clock was set back", -age)
	case age > oldest:
		return nil, age, fmt.Errorf("durable: a snapshot of %v ago, %v at most", age.Round(time.Second), oldest)
	}
	return s, max(0, age), nil
}
