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

// Guards against limits of the registers that a machine can't hold.
func TestRegistersFitTheMachine(t *testing.T) {
	Convey("The registers and their log have bounds that follow from the machine's limits", t, func() {
		for _, c := range []struct{ memoryMB, diskMB, state, log int }{
			{284, 64, 24 << 20, 32 << 20},
			{184, 64, 184 << 20 / 10, 32 << 20},
			{284, 0, 284 << 20 / 10, 0},
			{2840, 16, 6 << 20, 8 << 20},
		} {
			s := &settings.Settings{DataDir: "d", Limits: settings.Limits{MemoryMB: c.memoryMB, DiskMB: c.diskMB}}
			So(maxStateBytes(s), ShouldEqual, c.state)
			So(maxLogBytes(s), ShouldEqual, c.log)
		}
		So(maxLogBytes(&settings.Settings{Limits: settings.Limits{DiskMB: 64}}), ShouldEqual, 0)
	})
}
