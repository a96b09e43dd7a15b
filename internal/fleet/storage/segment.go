package storage

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
	"os"
	"path/filepath"

	"github.com/fxamacker/cbor/v2"
)

const (
	segmentMode = 0o640
	// maxJoinedBytes is the size of an entry or snapshot up to which it is copied behind its header, so that the record is a single write.
	maxJoinedBytes = 64 << 10
)

// Keys and major types of an encoded record: a CBOR map (RFC 8949, section 3.1).
const (
	hardStateKey = 0x01
	entryKey     = 0x02
	snapshotKey  = 0x03
	cborBytes    = 0x40 // major type 2, byte string
)

// segment is the file of a generation, open for appending. It has the format of a segment of package github.com/tidwall/wal: entries, each a length
// as a varint and then the bytes. Unlike that package it keeps nothing of the file in memory.
type segment struct {
	file *os.File
}

// createSegment creates the directory of a generation and its empty segment. Neither may exist.
func createSegment(directory string) (*segment, error) {
	if err := os.MkdirAll(filepath.Dir(directory), directoryMode); err != nil {
		return nil, err
	}
	if err := os.Mkdir(directory, directoryMode); err != nil {
		return nil, err
	}
	file, err := os.OpenFile(filepath.Join(directory, segmentName), os.O_CREATE|os.O_EXCL|os.O_WRONLY, segmentMode)
	if err != nil {
		return nil, err
	}
	return &segment{file: file}, nil
}

// append makes an encoded record durable and returns its size with its checksum, in bytes.
func (s *segment) append(r encodedRecord) (int, error) {
	size := checksumSize + len(r.head) + len(r.tail)
	prefix := binary.AppendUvarint(make([]byte, 0, binary.MaxVarintLen64+checksumSize+len(r.head)+min(len(r.tail), maxJoinedBytes)), uint64(size))
	prefix = binary.BigEndian.AppendUint32(prefix, r.checksum())
	prefix = append(prefix, r.head...)
	tail := r.tail
	if len(tail) <= maxJoinedBytes {
		prefix, tail = append(prefix, tail...), nil
	}
	if _, err := s.file.Write(prefix); err != nil {
		return 0, err
	}
	if len(tail) > 0 {
		if _, err := s.file.Write(tail); err != nil {
			return 0, err
		}
	}
	return size, s.file.Sync()
}

func (s *segment) close() error { return s.file.Close() }

// encodedRecord is an encoded Record: head and tail, one after the other. The tail is the entry or snapshot itself, which is not copied: a snapshot may
// be as large as all that the process may hold.
type encodedRecord struct {
	head, tail []byte
}

func (r encodedRecord) checksum() uint32 {
	return crc32.Update(crc32.Checksum(r.head, castagnoli), castagnoli, r.tail)
}

// encodeRecord encodes a record as package cbor would. A record has an entry or a snapshot, or neither.
func encodeRecord[H any](r *Record[H]) (encodedRecord, error) {
	if len(r.Entry) > 0 && len(r.Snapshot) > 0 {
		payload, err := cbor.Marshal(r)
		return encodedRecord{head: payload}, err
	}
	var head bytes.Buffer
	key, tail := byte(entryKey), r.Entry
	if len(r.Snapshot) > 0 {
		key, tail = snapshotKey, r.Snapshot
	}
	pairs := byte(1)
	if len(tail) > 0 {
		pairs++
	}
	head.Write([]byte{cborMapHeader | pairs, hardStateKey})
	if err := cbor.MarshalToBuffer(r.HardState, &head); err != nil {
		return encodedRecord{}, err
	}
	if len(tail) > 0 {
		head.WriteByte(key)
		head.Write(appendByteStringHeader(nil, len(tail)))
	}
	return encodedRecord{head: head.Bytes(), tail: tail}, nil
}

// appendByteStringHeader appends the shortest header of a CBOR byte string (RFC 8949, section 3).
func appendByteStringHeader(header []byte, length int) []byte {
	const oneByte, twoBytes, fourBytes, eightBytes = 24, 25, 26, 27
	switch n := uint64(length); {
	case n < oneByte:
		return append(header, cborBytes|byte(n))
	case n < 1<<8:
		return append(header, cborBytes|oneByte, byte(n))
	case n < 1<<16:
		return binary.BigEndian.AppendUint16(append(header, cborBytes|twoBytes), uint16(n))
	case n < 1<<32:
		return binary.BigEndian.AppendUint32(append(header, cborBytes|fourBytes), uint32(n))
	default:
		return binary.BigEndian.AppendUint64(append(header, cborBytes|eightBytes), n)
	}
}
