package storage

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"

	"github.com/fxamacker/cbor/v2"
)

// segmentName is the only segment of a generation, as the write-ahead log names it.
const segmentName = "00000000000000000001"

// checksumSize is the size of the checksum (CRC-32C, big endian) before a record's payload, in bytes.
const checksumSize = 4

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// addChecksum returns a payload with its checksum before it.
func addChecksum(payload []byte) []byte {
	text := make([]byte, checksumSize, checksumSize+len(payload))
	binary.BigEndian.PutUint32(text, crc32.Checksum(payload, castagnoli))
	return append(text, payload...)
}

// verifyChecksum returns the payload of what addChecksum returned; ok is false where the checksum is wrong.
func verifyChecksum(text []byte) (payload []byte, ok bool) {
	if len(text) < checksumSize {
		return nil, false
	}
	payload = text[checksumSize:]
	return payload, binary.BigEndian.Uint32(text) == crc32.Checksum(payload, castagnoli)
}

// CorruptLogError says that a log holds complete records after one that is not: it was synced, and has changed since. What
// it holds is of no use to the replica that wrote it, which may have promised or stored more than can be read.
type CorruptLogError struct {
	Path   string
	Offset int // in bytes, of the first record that can't be read
}

func (e *CorruptLogError) Error() string {
	return fmt.Sprintf("storage: %s is damaged at byte %d, and goes on after it", e.Path, e.Offset)
}

// readGeneration reads the records of a generation up to the first one that is torn: what follows was never synced. The
// write-ahead log's own reader refuses such a file, so that its entries (a length as a varint, then the bytes) are read
// here. Each record was synced before the next one was written, so that only the last one can be torn: a complete record
// after it means that the log is corrupt.
func readGeneration[H any](directory string) ([]Record[H], error) {
	path := filepath.Join(directory, segmentName)
	text, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, wrap(err)
	}
	var records []Record[H]
	for offset := 0; offset < len(text); {
		record, size, ok := readRecord[H](text[offset:])
		if !ok {
			if containsRecord[H](text[offset+1:]) {
				return nil, &CorruptLogError{Path: path, Offset: offset}
			}
			break
		}
		records = append(records, record)
		offset += size
	}
	return records, nil
}

// readRecord reads the record that a text begins with, and how many bytes it takes; ok is false where there is none.
func readRecord[H any](text []byte) (record Record[H], size int, ok bool) {
	length, n := binary.Uvarint(text)
	if n <= 0 || length < checksumSize || uint64(len(text)-n) < length {
		return Record[H]{}, 0, false
	}
	end := n + int(length)
	payload, ok := verifyChecksum(text[n:end])
	if !ok || cbor.Unmarshal(payload, &record) != nil {
		return Record[H]{}, 0, false
	}
	return record, end, true
}

// containsRecord reports whether a complete record begins anywhere in a text.
func containsRecord[H any](text []byte) bool {
	for offset := range text {
		if !hasRecordHeader(text[offset:]) {
			continue // most offsets: a checksum of what follows would cost much
		}
		if _, _, ok := readRecord[H](text[offset:]); ok {
			return true
		}
	}
	return false
}

// A record is encoded as a map of one to three pairs, of which the first has the key 1 (RFC 8949, section 3.1).
const (
	cborMapMask   = 0xfc
	cborMapHeader = 0xa0
	cborFirstKey  = 0x01
)

// hasRecordHeader reports whether a text may begin with a record, by its length and the head of its payload.
func hasRecordHeader(text []byte) bool {
	_, n := binary.Uvarint(text)
	head := n + checksumSize
	return n > 0 && len(text) > head+1 && text[head]&cborMapMask == cborMapHeader && text[head+1] == cborFirstKey
}
