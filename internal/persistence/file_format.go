package persistence

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// TempSuffix is of a file's name while ReplaceFile writes what is to replace it.
const TempSuffix = ".new"

const maxHeaderBytes = 64

// FormatError says why a text isn't one that this release can use: not of that kind, of another version, cut off, changed, or
// not valid here.
type FormatError struct{ Reason string }

func (e *FormatError) Error() string { return "durable: " + e.Reason }

func formatErrorf(format string, args ...any) error {
	return &FormatError{Reason: fmt.Sprintf(format, args...)}
}

// Frame returns a file's text: a line with its kind, its version, the body's length and checksum (xxHash64); and the body.
func Frame(kind string, version int, body []byte) []byte {
	return append(fmt.Appendf(nil, "pinelb %s %d %d %016x\n", kind, version, len(body), xxhash.Sum64(body)), body...)
}

// Unframe returns the body of a text that Frame has returned for that kind and version. The error is a *FormatError.
func Unframe(kind string, version int, text []byte) (body []byte, err error) {
	head, body, found := bytes.Cut(text, []byte{'\n'})
	var gotVersion, size int
	var sum uint64
	n, err := fmt.Sscanf(string(head[:min(len(head), maxHeaderBytes)]), "pinelb "+kind+" %d %d %x", &gotVersion, &size, &sum)
	switch {
	case n < 1 || gotVersion < 1:
		return nil, formatErrorf("not a %s: %v", kind, err)
	case gotVersion != version:
		return nil, formatErrorf("a %s of version %d, %d is read", kind, gotVersion, version)
	case n < 3 || !found || size != len(body):
		return nil, formatErrorf("the %s is cut off: %d of %d bytes", kind, len(body), size)
	}
	if got := xxhash.Sum64(body); got != sum {
		return nil, formatErrorf("the %s has changed: its sum is %016x, not %016x", kind, got, sum)
	}
	return body, nil
}

// ReplaceFile replaces a file by a text, atomically: whatever happens meanwhile, either the former one is there or this. What
// it has not finished has the name with TempSuffix, and may be overwritten.
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

// createFile writes a file and syncs it.
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
