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

// segmentName is the file name of the only segment of a generation.
const segmentName = "00000000000000000001"

// checksumSize is the size in bytes of the checksum (CRC-32C, big endian) that precedes a record's payload.
const checksumSize = 4

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// verifyChecksum returns the payload of a record with its checksum before it; ok is false if the checksum does not match.
func verifyChecksum(framed []byte) (payload []byte, ok bool) {
	if len(framed) < checksumSize {
		return nil, false
	}
	payload = framed[checksumSize:]
	return payload, binary.BigEndian.Uint32(framed) == crc32.Checksum(payload, castagnoli)
}

// CorruptLogError reports a log that has complete records after an invalid one: the invalid record was synced, and was
// altered since. A replica must not restart from such a log under its previous identity, since it may have promised or
// stored more than can be read.
type CorruptLogError struct {
	Path   string
	Offset int // of the first invalid record, in bytes
}

func (e *CorruptLogError) Error() string {
	return fmt.Sprintf("storage: %s is corrupt at byte %d: complete records follow an invalid one", e.Path, e.Offset)
}

// readGeneration reads the records of a generation up to a torn one, which was never synced. A generation without a segment
// has no records. Each record is synced before the next one is written, so only the last one can be torn: a complete record
// after an invalid one is reported as a *CorruptLogError. The entries (a length as a varint, then the bytes) may end
// with a torn one.
func readGeneration[H any](directory string) ([]Record[H], error) {
	path := filepath.Join(directory, segmentName)
	content, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, wrap(err)
	}
	var records []Record[H]
	for offset := 0; offset < len(content); {
		record, size, ok := readRecord[H](content[offset:])
		if !ok {
			if containsRecord[H](content[offset+1:]) {
				return nil, &CorruptLogError{Path: path, Offset: offset}
			}
			break
		}
		records = append(records, record)
		offset += size
	}
	return records, nil
}

// readRecord decodes the record at the start of data, and returns its encoded size in bytes; ok is false if data does not
// start with a complete and valid record.
func readRecord[H any](data []byte) (record Record[H], size int, ok bool) {
	length, n := binary.Uvarint(data)
	if n <= 0 || length < checksumSize || uint64(len(data)-n) < length {
		return Record[H]{}, 0, false
	}
	end := n + int(length)
	payload, ok := verifyChecksum(data[n:end])
	if !ok || cbor.Unmarshal(payload, &record) != nil {
		return Record[H]{}, 0, false
	}
	return record, end, true
}

// containsRecord reports whether a complete record starts at any offset of data.
func containsRecord[H any](data []byte) bool {
	for offset := range data {
		if !hasRecordHeader(data[offset:]) {
			continue // cheap test: a checksum at every offset would be expensive
		}
		if _, _, ok := readRecord[H](data[offset:]); ok {
			return true
		}
	}
	return false
}

// A record is encoded as a CBOR map of one to three pairs, the first of which has the key 1 (RFC 8949, section 3.1).
const (
	cborMapMask   = 0xfc
	cborMapHeader = 0xa0
	cborFirstKey  = 0x01
)

// hasRecordHeader reports whether data may start with a record, judged by its length prefix and the start of its payload.
func hasRecordHeader(data []byte) bool {
	_, n := binary.Uvarint(data)
	payloadStart := n + checksumSize
	return n > 0 && len(data) > payloadStart+1 && data[payloadStart]&cborMapMask == cborMapHeader && data[payloadStart+1] == cborFirstKey
}
