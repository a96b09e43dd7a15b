package router

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"pinelb.example/pinelb/internal/fleet/settings"
)

func newTestMonitor(limits settings.Limits, folder string) (*resourceMonitor, *observer.ObservedLogs) {
	core, logs := observer.New(zapcore.InfoLevel)
	e := &environment{settings: &settings.Settings{Limits: limits, DataDir: folder}, log: zap.New(core), startedAt: time.Now()}
	return &resourceMonitor{environment: e}, logs
}

// Guards against ends of a process whose cause can't be told from its log and its status.
func TestResourcesAreReported(t *testing.T) {
	Convey("The status has the use and the limit of memory, descriptors and disk", t, func() {
		folder := t.TempDir()
		So(os.MkdirAll(filepath.Join(folder, "control"), 0o750), ShouldBeNil)
		So(os.WriteFile(filepath.Join(folder, "control", "segment"), make([]byte, 4096), 0o600), ShouldBeNil)
		monitor, _ := newTestMonitor(settings.Limits{MemoryMB: 284, FileDescriptors: 4100, DiskMB: 64}, folder)
		status := monitor.status()
		So(status.Memory, ShouldBeGreaterThan, 1<<20)
		So(status.PeakMemory, ShouldBeGreaterThanOrEqualTo, status.Memory)
		So(status.MemoryLimit, ShouldEqual, 284<<20)
		So(status.Descriptors, ShouldBeGreaterThan, 2)
		So(status.DescriptorLimit, ShouldEqual, 4100)
		So(status.Disk, ShouldEqual, 4096)
		So(status.DiskLimit, ShouldEqual, 64<<20)
	})
	Convey("A process close to its memory limit logs it, once a minute", t, func() {
		monitor, logs := newTestMonitor(settings.Limits{MemoryMB: 1}, "")
		monitor.tick()
		monitor.nextSample = 0
		monitor.tick()
		So(logs.FilterMessage("memory is close to its limit").Len(), ShouldEqual, 1)
	})
	Convey("A process far below its limit does not", t, func() {
		monitor, logs := newTestMonitor(settings.Limits{MemoryMB: 64 << 10}, "")
		monitor.tick()
		So(logs.Len(), ShouldEqual, 0)
	})
	Convey("Its start and its end are logged with the limits and the reason", t, func() {
		monitor, logs := newTestMonitor(settings.Limits{MemoryMB: 284}, "")
		monitor.logStart()
		monitor.logEnd(reasonSignal)
		So(logs.All()[0].ContextMap()["memoryMb"], ShouldEqual, 284)
		So(logs.All()[1].ContextMap()["reason"], ShouldEqual, reasonSignal)
	})
}
