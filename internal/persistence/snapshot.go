package persistence

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"
)

const (
	snapshotName     = "snapshot"
	snapshotKind     = "snapshot"
	snapshotVersion  = 1
	maxSnapshotBytes = 8 << 20
	maxClockSkew     = 2 * time.Second // that a snapshot may seem to be from the future: clocks are set by so much all the time
)

// Snapshot is what a process knew at a moment. It is stored: the JSON names stay.
type Snapshot struct {
	Saved Timestamp       `json:"Saved"`
	Site  string          `json:"Site"`  // to which the state applies
	State json.RawMessage `json:"State"` // the caller's
}

// ErrNoSnapshot says that there is no snapshot.
var ErrNoSnapshot = errors.New("durable: no snapshot")

// encode returns the snapshot's text.
func (s *Snapshot) encode() ([]byte, error) {
	body, err := json.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("durable: snapshot: %w", err)
	}
	if len(body) > maxSnapshotBytes-maxHeaderBytes {
		return nil, formatErrorf("a snapshot of %d bytes, %d at most", len(body), maxSnapshotBytes-maxHeaderBytes)
	}
	return Frame(snapshotKind, snapshotVersion, body), nil
}

// DecodeSnapshot reads a snapshot's text. One that is cut off, changed, or of another version is a *FormatError.
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

// SaveSnapshot replaces the snapshot, atomically, and returns its size in bytes.
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

// LoadSnapshot returns the snapshot and its age. Where there is none the error is ErrNoSnapshot. One that can't be read, is of
// another site, from the future or older than maxAge is a *FormatError.
func LoadSnapshot(d Disk, now Timestamp, site string, maxAge time.Duration) (*Snapshot, time.Duration, error) {
	text, err := d.Read(snapshotName, maxSnapshotBytes+1)
	if errors.Is(err, os.ErrNotExist) {
		return nil, 0, ErrNoSnapshot
	}
	if err != nil {
		return nil, 0, fmt.Errorf("durable: snapshot: %w", err)
	}
	s, err := DecodeSnapshot(text)
	if err != nil {
		return nil, 0, err
	}
	age := now.Since(s.Saved)
	switch {
	case s.Site != site:
		return nil, age, formatErrorf("a snapshot of another site, %q", s.Site)
	case age < -maxClockSkew:
		return nil, age, formatErrorf("a snapshot of %v from now: the clock was set back", -age)
	case age > maxAge:
		return nil, age, formatErrorf("a snapshot of %v ago, %v at most", age.Round(time.Second), maxAge)
	}
	return s, max(0, age), nil
}
