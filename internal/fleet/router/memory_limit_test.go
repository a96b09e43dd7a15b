package router

import (
	"runtime/debug"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"pinelb.example/pinelb/internal/fleet/settings"
)

// Guards against a garbage collector that doesn't know the machine's limit, and lets the process grow beyond it.
func TestMemoryLimitOfTheSettingsIsApplied(t *testing.T) {
	former := debug.SetMemoryLimit(-1)
	defer debug.SetMemoryLimit(former)
	Convey("The runtime gets a part of limits.memoryMb", t, func() {
		LimitMemory(&settings.Settings{Limits: settings.Limits{MemoryMB: 200}})
		So(debug.SetMemoryLimit(-1), ShouldEqual, 140<<20)
	})
	Convey("Without a limit the runtime's own holds", t, func() {
		debug.SetMemoryLimit(former)
		LimitMemory(&settings.Settings{})
		So(debug.SetMemoryLimit(-1), ShouldEqual, former)
	})
}
