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
