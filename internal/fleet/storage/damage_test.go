package storage

import (
	"errors"
	"os"
	"testing"

	"github.com/fxamacker/cbor/v2"
	. "github.com/smartystreets/goconvey/convey"
)

// written is a log of three records, closed, and the path of its file.
func written(directory string) string {
	log, _, err := Open(directory)
	So(err, ShouldBeNil)
	So(log.StartGeneration(durable(1), []byte("state")), ShouldBeNil)
	So(log.Append(Record{HardState: durable(2), Entry: []byte("one")}), ShouldBeNil)
	So(log.Append(Record{HardState: durable(3), Entry: []byte("two")}), ShouldBeNil)
	log.Close()
	return segment(directory)
}

// Guards against a replica that comes back older under its former identity, with promises and changes forgotten.
func TestDamage(t *testing.T) {
	Convey("Whatever byte of a log is flipped, it is read whole but for its last record, or found to be damaged", t, func() {
		directory := t.TempDir()
		path := written(directory)
		whole, err := os.ReadFile(path)
		So(err, ShouldBeNil)
		_, all, err := Open(directory)
		So(err, ShouldBeNil)
		So(len(all), ShouldEqual, 3)
		found := 0
		for at := range whole {
			spoilt := append([]byte(nil), whole...)
			spoilt[at] ^= 0x10
			So(os.WriteFile(path, spoilt, 0o600), ShouldBeNil)
			log, records, err := Open(directory)
			var damaged *CorruptLogError
			if errors.As(err, &damaged) {
				found++
				So(log, ShouldNotBeNil) // it may be begun anew
				continue
			}
			So(err, ShouldBeNil)
			So(len(records), ShouldBeGreaterThanOrEqualTo, 2)
			So(records[:2], ShouldResemble, all[:2])
		}
		So(found, ShouldBeGreaterThan, len(whole)/2)
	})
	Convey("A log that is cut off anywhere in its last record is read up to it", t, func() {
		directory := t.TempDir()
		path := written(directory)
		whole, err := os.ReadFile(path)
		So(err, ShouldBeNil)
		last, err := cbor.Marshal(&Record{HardState: durable(3), Entry: []byte("two")})
		So(err, ShouldBeNil)
		for cut := len(whole) - len(last) - checksumSize; cut < len(whole); cut++ {
			So(os.WriteFile(path, whole[:cut], 0o600), ShouldBeNil)
			_, records, err := Open(directory)
			So(err, ShouldBeNil)
			So(len(records), ShouldEqual, 2)
		}
	})
	Convey("A damaged log can be begun anew", t, func() {
		directory := t.TempDir()
		path := written(directory)
		whole, err := os.ReadFile(path)
		So(err, ShouldBeNil)
		whole[20] ^= 1
		So(os.WriteFile(path, whole, 0o600), ShouldBeNil)
		log, _, err := Open(directory)
		So(err, ShouldNotBeNil)
		So(log.StartGeneration(durable(9), []byte("anew")), ShouldBeNil)
		log.Close()
		_, records, err := Open(directory)
		So(err, ShouldBeNil)
		So(string(records[0].Snapshot), ShouldEqual, "anew")
	})
}

// FuzzReadRecord: nothing that a disk may hold ends the process, or is taken for more than it is.
func FuzzReadRecord(f *testing.F) {
	payload, err := cbor.Marshal(&Record{HardState: durable(1), Snapshot: []byte("s")})
	if err != nil {
		f.Fatal(err)
	}
	sealed := seal(payload)
	f.Add(append([]byte{byte(len(sealed))}, sealed...))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01})
	f.Add([]byte{2, 0, 0})
	f.Fuzz(func(t *testing.T, text []byte) {
		_, size, ok := readRecord(text)
		if ok && (size <= checksumSize || size > len(text)) {
			t.Errorf("a record of %d bytes in a text of %d", size, len(text))
		}
		holdsRecord(text)
	})
}
