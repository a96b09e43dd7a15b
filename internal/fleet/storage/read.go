package storage

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"
)

// segmentName is the only segment of a generation, as the log names it.
const segmentName = "00000000000000000001"

const checksumSize = 4

var checksums = crc32.MakeTable(crc32.Castagnoli)

// seal puts a checksum before a payload.
func seal(payload []byte) []byte {
	sealed := make([]byte, checksumSize, checksumSize+len(payload))
	binary.BigEndian.PutUint32(sealed, crc32.Checksum(payload, checksums))
	return append(sealed, payload...)
}

// open takes a payload out that seal has sealed; ok is false where it is torn.
func open(sealed []byte) (payload []byte, ok bool) {
	if len(sealed) < checksumSize {
		return nil, false
	}
	payload = sealed[checksumSize:]
	return payload, binary.BigEndian.Uint32(sealed) == crc32.Checksum(payload, checksums)
}

// CorruptLogError says that a log holds whole records after one that is not: it was synced, and has changed since. What it
// holds is of no use to the replica that wrote it: it may have promised or stored more than can be read.
type CorruptLogError struct {
	Path   string
	Offset int // of the first record that can't be read
}

func (e *CorruptLogError) Error() string {
	return fmt.Sprintf("storage: %s is damaged at byte %d, and goes on after it", e.Path, e.Offset)
}

// readGeneration reads the records of a generation up to the first that is torn: what follows was never synced. The log's
// own reader refuses such a file, so that its entries (a length as a varint, then the bytes) are read here. Each record was
// synced before the next one was begun, so that only the last one can be torn: a whole record after it is damage.
func readGeneration(path string) ([]Record, error) {
	path = filepath.Join(path, segmentName)
	text, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, merry.Prepend(err, "storage")
	}
	var records []Record
	for at := 0; at < len(text); {
		record, size, ok := readRecord(text[at:])
		if !ok {
			if holdsRecord(text[at+1:]) {
				return nil, &CorruptLogError{Path: path, Offset: at}
			}
			break
		}
		records = append(records, record)
		at += size
	}
	return records, nil
}

// readRecord reads the record that a text begins with, and how many bytes it takes; ok is false where there is none.
func readRecord(text []byte) (record Record, size int, ok bool) {
	length, n := binary.Uvarint(text)
	if n <= 0 || length < checksumSize || uint64(len(text)-n) < length {
		return Record{}, 0, false
	}
	payload, whole := open(text[n : n+int(length)])
	if !whole || cbor.Unmarshal(payload, &record) != nil {
		return Record{}, 0, false
	}
	return record, n + int(length), true
}

// holdsRecord tells whether a whole record begins anywhere in a text.
func holdsRecord(text []byte) bool {
	for at := range text {
		if !looksLikeRecord(text[at:]) {
			continue // most places: a checksum of what follows would cost much
		}
		if _, _, ok := readRecord(text[at:]); ok {
			return true
		}
	}
	return false
}

// A record is encoded as a map of one to three pairs, of which the first has the key 1 (RFC 8949, section 3.1).
const (
	mapMask   = 0xfc
	mapHeader = 0xa0
	firstKey  = 0x01
)

// looksLikeRecord tells whether a text may begin with a record, by its length and the head of its payload.
func looksLikeRecord(text []byte) bool {
	_, n := binary.Uvarint(text)
	head := n + checksumSize
	return n > 0 && len(text) > head+1 && text[head]&mapMask == mapHeader && text[head+1] == firstKey
}
