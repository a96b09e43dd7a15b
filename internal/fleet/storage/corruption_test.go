package storage

import (
	"errors"
	"os"
	"testing"

	"github.com/fxamacker/cbor/v2"
	. "github.com/smartystreets/goconvey/convey"

	"pinelb.example/pinelb/internal/fleet/replication"
)

// written is a log of three records, closed, and the path of its file.
func writeTestLog(directory string) string {
	log, _, err := Open[replication.HardState](directory)
	So(err, ShouldBeNil)
	So(log.StartGeneration(testHardState(1), []byte("state")), ShouldBeNil)
	So(log.Append(Record[replication.HardState]{HardState: testHardState(2), Entry: []byte("one")}), ShouldBeNil)
	So(log.Append(Record[replication.HardState]{HardState: testHardState(3), Entry: []byte("two")}), ShouldBeNil)
	log.Close()
	return newestSegment(directory)
}

// Guards against a replica that comes back older under its former identity, with promises and changes forgotten.
func TestCorruptLog(t *testing.T) {
	Convey("Whatever byte of a log is flipped, it is read completely but for its last record, or found to be corrupt", t, func() {
		directory := t.TempDir()
		path := writeTestLog(directory)
		content, err := os.ReadFile(path)
		So(err, ShouldBeNil)
		_, all, err := Open[replication.HardState](directory)
		So(err, ShouldBeNil)
		So(len(all), ShouldEqual, 3)
		found := 0
		for at := range content {
			corrupted := append([]byte(nil), content...)
			corrupted[at] ^= 0x10
			So(os.WriteFile(path, corrupted, 0o600), ShouldBeNil)
			log, records, err := Open[replication.HardState](directory)
			var corrupt *CorruptLogError
			if errors.As(err, &corrupt) {
				found++
				So(log, ShouldNotBeNil) // it may start a new generation
				continue
			}
			So(err, ShouldBeNil)
			So(len(records), ShouldBeGreaterThanOrEqualTo, 2)
			So(records[:2], ShouldResemble, all[:2])
		}
		So(found, ShouldBeGreaterThan, len(content)/2)
	})
	Convey("A log that is cut off anywhere in its last record is read up to it", t, func() {
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

// FuzzReadRecord: nothing that a disk may hold ends the process, or is taken for more than it is.
func FuzzReadRecord(f *testing.F) {
	payload, err := cbor.Marshal(&Record[replication.HardState]{HardState: testHardState(1), Snapshot: []byte("s")})
	if err != nil {
		f.Fatal(err)
	}
	record := addChecksum(payload)
	f.Add(append([]byte{byte(len(record))}, record...))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01})
	f.Add([]byte{2, 0, 0})
	f.Fuzz(func(t *testing.T, text []byte) {
		_, size, ok := readRecord[replication.HardState](text)
		if ok && (size <= checksumSize || size > len(text)) {
			t.Errorf("a record of %d bytes in a text of %d", size, len(text))
		}
		containsRecord[replication.HardState](text)
	})
}
