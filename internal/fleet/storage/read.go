package storage

import (
	"encoding/binary"
	"errors"
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

// readGeneration reads the records of a generation up to the first that is torn: what follows was never synced. The log's
// own reader refuses such a file, so that its entries (a length as a varint, then the bytes) are read here.
func readGeneration(path string) ([]Record, error) {
	text, err := os.ReadFile(filepath.Join(path, segmentName))
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, merry.Prepend(err, "storage")
	}
	var records []Record
	for len(text) > 0 {
		length, n := binary.Uvarint(text)
		if n <= 0 || uint64(len(text)-n) < length {
			break
		}
		payload, whole := open(text[n : n+int(length)])
		var record Record
		if !whole || cbor.Unmarshal(payload, &record) != nil {
			break
		}
		records = append(records, record)
		text = text[n+int(length):]
	}
	return records, nil
}
