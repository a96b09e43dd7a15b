package storage

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"os"
	"testing"

	"github.com/fxamacker/cbor/v2"
	. "github.com/smartystreets/goconvey/convey"

	"pinelb.example/pinelb/internal/fleet/replication"
)

// writeTestLog writes a log of three records, closes it and returns the path of its segment.
func writeTestLog(directory string) string {
	log, _, err := Open[replication.HardState](directory)
	So(err, ShouldBeNil)
	So(log.StartGeneration(testHardState(1), []byte("state")), ShouldBeNil)
	So(log.Append(Record[replication.HardState]{HardState: testHardState(2), Entry: []byte("one")}), ShouldBeNil)
	So(log.Append(Record[replication.HardState]{HardState: testHardState(3), Entry: []byte("two")}), ShouldBeNil)
	log.Close()
	return newestSegment(directory)
}

// Guards against a replica that restarts from a corrupt log under its previous identity, without promises and changes that
// it had stored.
func TestCorruptLog(t *testing.T) {
	Convey("With a bit flipped in any byte, a log loses at most its last record, or is reported as corrupt", t, func() {
		directory := t.TempDir()
		path := writeTestLog(directory)
		content, err := os.ReadFile(path)
		So(err, ShouldBeNil)
		_, all, err := Open[replication.HardState](directory)
		So(err, ShouldBeNil)
		So(len(all), ShouldEqual, 3)
		corruptCount := 0
		for offset := range content {
			corrupted := append([]byte(nil), content...)
			corrupted[offset] ^= 0x10
			So(os.WriteFile(path, corrupted, 0o600), ShouldBeNil)
			log, records, err := Open[replication.HardState](directory)
			var corrupt *CorruptLogError
			if errors.As(err, &corrupt) {
				corruptCount++
				So(log, ShouldNotBeNil) // it can start a new generation
				continue
			}
			So(err, ShouldBeNil)
			So(len(records), ShouldBeGreaterThanOrEqualTo, 2)
			So(records[:2], ShouldResemble, all[:2])
		}
		So(corruptCount, ShouldBeGreaterThan, len(content)/2)
	})
	Convey("A log that is truncated anywhere in its last record returns the records before it", t, func() {
		directory := t.TempDir()
		path := writeTestLog(directory)
		content, err := os.ReadFile(path)
		So(err, ShouldBeNil)
		last, err := cbor.Marshal(&Record[replication.HardState]{HardState: testHardState(3), Entry: []byte("two")})
		So(err, ShouldBeNil)
		for cut := len(content) - len(last) - checksumSize; cut < len(content); cut++ {
			So(os.WriteFile(path, content[:cut], 0o600), ShouldBeNil)
			_, records, err := Open[replication.HardState](directory)
			So(err, ShouldBeNil)
			So(len(records), ShouldEqual, 2)
		}
	})
	Convey("A corrupt log can start a new generation", t, func() {
		directory := t.TempDir()
		path := writeTestLog(directory)
		content, err := os.ReadFile(path)
		So(err, ShouldBeNil)
		content[20] ^= 1
		So(os.WriteFile(path, content, 0o600), ShouldBeNil)
		log, _, err := Open[replication.HardState](directory)
		So(err, ShouldNotBeNil)
		So(log.StartGeneration(testHardState(9), []byte("again")), ShouldBeNil)
		log.Close()
		_, records, err := Open[replication.HardState](directory)
		So(err, ShouldBeNil)
		So(string(records[0].Snapshot), ShouldEqual, "again")
	})
}

// addChecksum returns a payload preceded by its checksum.
func addChecksum(payload []byte) []byte {
	framed := make([]byte, checksumSize, checksumSize+len(payload))
	binary.BigEndian.PutUint32(framed, crc32.Checksum(payload, castagnoli))
	return append(framed, payload...)
}

// FuzzReadRecord looks for data on which the reader panics, or returns a record that is larger than the data.
func FuzzReadRecord(f *testing.F) {
	payload, err := cbor.Marshal(&Record[replication.HardState]{HardState: testHardState(1), Snapshot: []byte("s")})
	if err != nil {
		f.Fatal(err)
	}
	record := addChecksum(payload)
	f.Add(append([]byte{byte(len(record))}, record...))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01})
	f.Add([]byte{2, 0, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		_, size, ok := readRecord[replication.HardState](data)
		if ok && (size <= checksumSize || size > len(data)) {
			t.Errorf("got a record of %d bytes in %d bytes of data", size, len(data))
		}
		containsRecord[replication.HardState](data)
	})
}
