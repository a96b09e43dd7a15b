package storage

import (
	"bytes"
	"path/filepath"
	"testing"

	"github.com/fxamacker/cbor/v2"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/tidwall/wal"

	"pinelb.example/pinelb/internal/fleet/replication"
)

// Guards against records that an earlier version, which wrote them with packages cbor and wal, can't read.
func TestSegmentFormat(t *testing.T) {
	Convey("Records are encoded as package cbor encodes them, at every length of the header", t, func() {
		for _, size := range []int{0, 1, 23, 24, 255, 256, 65535, 65536, maxJoinedBytes, maxJoinedBytes + 1, 1 << 20} {
			content := bytes.Repeat([]byte{7}, size)
			for _, record := range []Record[replication.HardState]{
				{HardState: testHardState(1), Entry: content}, {HardState: testHardState(2), Snapshot: content},
				{HardState: testHardState(3), Entry: content, Snapshot: content},
			} {
				encoded, err := encodeRecord(&record)
				So(err, ShouldBeNil)
				want, err := cbor.Marshal(&record)
				So(err, ShouldBeNil)
				So(bytes.Equal(append(append([]byte(nil), encoded.head...), encoded.tail...), want), ShouldBeTrue)
			}
		}
		none, err := encodeRecord(&Record[*replication.HardState]{Entry: []byte("e")})
		So(err, ShouldBeNil)
		want, err := cbor.Marshal(&Record[*replication.HardState]{Entry: []byte("e")})
		So(err, ShouldBeNil)
		So(bytes.Equal(append(none.head, none.tail...), want), ShouldBeTrue)
	})
	Convey("The write-ahead log of package wal reads a generation's segment", t, func() {
		directory, log := openLogWithTwoRecords(t)
		large := bytes.Repeat([]byte{9}, 3*maxJoinedBytes)
		So(log.Append(Record[replication.HardState]{HardState: testHardState(3), Entry: large}), ShouldBeNil)
		log.Close()
		reader, err := wal.Open(filepath.Dir(newestSegment(directory)), nil)
		So(err, ShouldBeNil)
		defer func() { _ = reader.Close() }()
		last, err := reader.LastIndex()
		So(err, ShouldBeNil)
		So(last, ShouldEqual, 3)
		framed, err := reader.Read(last)
		So(err, ShouldBeNil)
		payload, ok := verifyChecksum(framed)
		So(ok, ShouldBeTrue)
		var record Record[replication.HardState]
		So(cbor.Unmarshal(payload, &record), ShouldBeNil)
		So(bytes.Equal(record.Entry, large), ShouldBeTrue)
	})
}
