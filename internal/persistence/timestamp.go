package persistence

import (
	"os"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// Timestamp is a moment by the wall clock, and by the time since the machine started, which steps of the wall clock don't move.
// It is stored: the JSON names stay.
type Timestamp struct {
	Wall time.Time     `json:"Wall"`
	Boot string        `json:"Boot"` // which start of the machine it was, by the kernel's boot_id; empty: unknown
	Up   time.Duration `json:"Up"`   // since that start, suspended time included (CLOCK_BOOTTIME)
}

// Now returns this moment.
func Now() Timestamp {
	t := Timestamp{Wall: time.Now()}
	var up unix.Timespec
	id, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err == nil && unix.ClockGettime(unix.CLOCK_BOOTTIME, &up) == nil {
		t.Boot, t.Up = strings.TrimSpace(string(id)), time.Duration(up.Nano())
	}
	return t
}

// Since returns the time from an earlier moment to this one. Where the two are of different starts of the machine the wall clock
// decides, and it is below 0 where the earlier moment's was ahead of this one's.
func (t Timestamp) Since(earlier Timestamp) time.Duration {
	if t.Boot != "" && t.Boot == earlier.Boot {
		return t.Up - earlier.Up
	}
	return t.Wall.Sub(earlier.Wall)
}
