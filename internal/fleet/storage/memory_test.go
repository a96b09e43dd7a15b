package storage

import (
	"runtime"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"pinelb.example/pinelb/internal/fleet/replication"
)

// Guards against a log that takes a multiple of its size in memory, so that the process is killed for it.
func TestLargeLogTakesNoMemory(t *testing.T) {
	const (
		snapshotBytes = 32 << 20
		entryBytes    = 256 << 10
		entries       = 40
		allowance     = 4 << 20 // bytes, for all of it together
	)
	Convey("A snapshot and entries are written without copies, and nothing of them is kept", t, func() {
		log, _, err := Open[replication.HardState](t.TempDir())
		So(err, ShouldBeNil)
		snapshot, entry := make([]byte, snapshotBytes), make([]byte, entryBytes)
		var before, after, kept runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		So(log.StartGeneration(testHardState(1), snapshot), ShouldBeNil)
		for range entries {
			So(log.Append(Record[replication.HardState]{HardState: testHardState(2), Entry: entry}), ShouldBeNil)
		}
		runtime.ReadMemStats(&after)
		runtime.GC()
		runtime.ReadMemStats(&kept)
		So(after.TotalAlloc-before.TotalAlloc, ShouldBeLessThan, allowance)
		So(int64(kept.HeapAlloc)-int64(before.HeapAlloc), ShouldBeLessThan, allowance)
		log.Close()
		runtime.KeepAlive(snapshot)
	})
}

// Guards against a log that fills the disk, after which no smaller generation can be written either.
func TestLogLeavesRoomForItsNextGeneration(t *testing.T) {
	const (
		diskBytes     = 16 << 20
		maxLogBytes   = diskBytes / 2
		snapshotBytes = diskBytes * 3 / 8
		entryBytes    = 100 << 10
	)
	Convey("A log with a limit is compacted before it and its next generation exceed the disk", t, func() {
		log, _, err := Open[replication.HardState](t.TempDir())
		So(err, ShouldBeNil)
		defer log.Close()
		log.LimitSize(maxLogBytes)
		snapshot := make([]byte, snapshotBytes)
		So(log.StartGeneration(testHardState(1), snapshot), ShouldBeNil)
		So(log.NeedsCompaction(), ShouldBeFalse)
		for range 200 {
			if log.NeedsCompaction() {
				break
			}
			So(log.Append(Record[replication.HardState]{HardState: testHardState(2), Entry: make([]byte, entryBytes)}), ShouldBeNil)
		}
		So(log.NeedsCompaction(), ShouldBeTrue)
		So(log.size+snapshotBytes, ShouldBeLessThan, diskBytes)
	})
	Convey("A first record beyond the limit leaves room for some entries", t, func() {
		log, _, err := Open[replication.HardState](t.TempDir())
		So(err, ShouldBeNil)
		defer log.Close()
		log.LimitSize(1)
		So(log.StartGeneration(testHardState(1), make([]byte, 1<<20)), ShouldBeNil)
		So(log.NeedsCompaction(), ShouldBeFalse)
		So(log.Append(Record[replication.HardState]{HardState: testHardState(2), Entry: make([]byte, minCompactionSize)}), ShouldBeNil)
		So(log.NeedsCompaction(), ShouldBeTrue)
	})
}
