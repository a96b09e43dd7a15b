package stubfleet

import (
	"os"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// Usage is what a process has used.
type Usage struct {
	CPU    time.Duration // of user and system, so far
	Memory int64         // bytes resident now
}

// usage returns that of this process.
func usage() Usage {
	var r unix.Rusage
	_ = unix.Getrusage(unix.RUSAGE_SELF, &r) // it can't fail for oneself
	return Usage{CPU: time.Duration(r.Utime.Nano() + r.Stime.Nano()), Memory: resident()}
}

// resident returns the resident memory of this process in bytes, or 0 if it is unknown.
func resident() int64 {
	text, _ := os.ReadFile("/proc/self/statm")
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize())
}
