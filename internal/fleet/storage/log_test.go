package storage

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"pinelb.example/pinelb/internal/fleet/replication"
)

// testHardState returns a hard state that has promised a ballot of a round.
func testHardState(round uint64) replication.HardState {
	return replication.HardState{
		Self: replication.Replica{Address: "10.0.0.1:1", Nonce: 7}, Promised: replication.Ballot{Round: round},
	}
}

// newestSegment returns the path of the newest generation's segment.
func newestSegment(directory string) string {
	files, _ := filepath.Glob(filepath.Join(directory, generationPrefix+"*", segmentName))
	return files[len(files)-1]
}

// openLogWithTwoRecords returns an open log that holds a snapshot and a change, and its directory.
func openLogWithTwoRecords(t *testing.T) (directory string, log *Log[replication.HardState]) {
	directory = t.TempDir()
	log, records, err := Open[replication.HardState](directory)
	So(err, ShouldBeNil)
	So(records, ShouldBeEmpty)
	So(log.NeedsCompaction(), ShouldBeTrue)
	So(log.StartGeneration(testHardState(1), []byte("state")), ShouldBeNil)
	So(log.Append(Record[replication.HardState]{HardState: testHardState(2), Entry: []byte("change")}), ShouldBeNil)
	return directory, log
}

func TestLog(t *testing.T) {
	Convey("A log with two records", t, func() {
		directory, log := openLogWithTwoRecords(t)

		Convey("returns the same records when it is opened again", func() {
			log.Close()
			_, records, err := Open[replication.HardState](directory)
			So(err, ShouldBeNil)
			So(len(records), ShouldEqual, 2)
			So(string(records[0].Snapshot), ShouldEqual, "state")
			So(string(records[1].Entry), ShouldEqual, "change")
			So(records[1].HardState, ShouldResemble, testHardState(2))
		})
		Convey("loses only its last record when that record is torn at any byte or corrupted", func() {
			log.Close()
			path := newestSegment(directory)
			content, err := os.ReadFile(path)
			So(err, ShouldBeNil)
			_, complete, err := Open[replication.HardState](directory)
			So(err, ShouldBeNil)
			So(len(complete), ShouldEqual, 2)
			for cut := len(content) - 1; cut > len(content)-20; cut-- {
				So(os.WriteFile(path, content[:cut], 0o600), ShouldBeNil)
				_, records, err := Open[replication.HardState](directory)
				So(err, ShouldBeNil)
				So(len(records), ShouldEqual, 1)
			}
			corrupted := append([]byte(nil), content...)
			corrupted[len(corrupted)-2] ^= 0x40
			So(os.WriteFile(path, corrupted, 0o600), ShouldBeNil)
			_, records, err := Open[replication.HardState](directory)
			So(err, ShouldBeNil)
			So(len(records), ShouldEqual, 1)
		})
	})
}

func TestGenerations(t *testing.T) {
	Convey("A log with two records", t, func() {
		directory, log := openLogWithTwoRecords(t)

		Convey("is replaced by a new generation, and the previous generation is removed", func() {
			So(log.StartGeneration(testHardState(3), []byte("later")), ShouldBeNil)
			log.Close()
			generations, err := filepath.Glob(filepath.Join(directory, generationPrefix+"*"))
			So(err, ShouldBeNil)
			So(len(generations), ShouldEqual, 1)
			_, records, err := Open[replication.HardState](directory)
			So(err, ShouldBeNil)
			So(len(records), ShouldEqual, 1)
			So(string(records[0].Snapshot), ShouldEqual, "later")
		})
		Convey("is still read when a newer generation was started and never synced", func() {
			log.Close()
			empty := filepath.Join(directory, generationPrefix+"00000000000000000009")
			So(os.MkdirAll(empty, 0o750), ShouldBeNil)
			So(os.WriteFile(filepath.Join(empty, segmentName), []byte{0xff, 0x01}, 0o600), ShouldBeNil)
			next, records, err := Open[replication.HardState](directory)
			So(err, ShouldBeNil)
			So(len(records), ShouldEqual, 2)
			So(next.StartGeneration(testHardState(4), []byte("on")), ShouldBeNil)
			next.Close()
			_, records, err = Open[replication.HardState](directory)
			So(err, ShouldBeNil)
			So(string(records[0].Snapshot), ShouldEqual, "on")
		})
		Convey("rejects appends after a failed write until a new generation is started", func() {
			So(log.segment.close(), ShouldBeNil)
			So(log.Append(Record[replication.HardState]{HardState: testHardState(5)}), ShouldNotBeNil)
			So(log.Append(Record[replication.HardState]{HardState: testHardState(5)}), ShouldEqual, ErrNoGeneration)
			So(log.NeedsCompaction(), ShouldBeTrue)
			So(log.StartGeneration(testHardState(5), []byte("again")), ShouldBeNil)
		})
		Convey("needs compaction once it exceeds its maximum size", func() {
			large := make([]byte, minCompactionSize)
			So(log.Append(Record[replication.HardState]{HardState: testHardState(6), Entry: large}), ShouldBeNil)
			So(log.NeedsCompaction(), ShouldBeTrue)
		})
	})
}
