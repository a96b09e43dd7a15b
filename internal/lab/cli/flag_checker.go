package cli

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// Limits of a measurement, for the sake of the machine.
const (
	maxHosts           = 20_000 // of a list, which is under 3 MB then
	maxProcesses       = 300    // at a time
	memoryPerProcessMB = 32     // of the machine's memory, for each; half of it may be used
	maxRate            = 1000   // changes or requests a second
	maxRepeats         = 1000
	maxClasses         = 256 // of settings, as the sidecar has it
	maxChanges         = 10_000
	minWindow          = 10 * time.Millisecond
	maxWindow          = 10 * time.Minute
	spareDescriptors   = 1024 // descriptors for all but a stand-in's listener
)

// flagChecker collects the first flag whose value is out of range. Its error is an exitError with exitUsage that names the flag.
type flagChecker struct{ err error }

// fail records that a flag is invalid, unless one was recorded before.
func (b *flagChecker) fail(key, format string, args ...any) {
	if b.err == nil {
		b.err = exitError{exitUsage, fmt.Errorf("--%s: %s", key, fmt.Sprintf(format, args...))}
	}
}

// number requires lower <= v <= upper; NaN fails.
func (b *flagChecker) number(key string, v, lower, upper float64) {
	if !(v >= lower && v <= upper) {
		b.fail(key, "%v must be %v to %v", v, lower, upper)
	}
}

// sizes requires at least one size, each from 1 to upper.
func (b *flagChecker) sizes(key string, v []int, upper int) {
	if len(v) == 0 {
		b.fail(key, "names no size")
	}
	for i, n := range v {
		b.number(fmt.Sprintf("%s[%d]", key, i), float64(n), 1, float64(upper))
	}
}

// rates requires at least one rate, each from lower to maxRate.
func (b *flagChecker) rates(key string, v []float64, lower float64) {
	if len(v) == 0 {
		b.fail(key, "names no rate")
	}
	for i, n := range v {
		b.number(fmt.Sprintf("%s[%d]", key, i), n, lower, maxRate)
	}
}

// duration requires lower <= d <= maxWindow.
func (b *flagChecker) duration(key string, d, lower time.Duration) {
	if d < lower || d > maxWindow {
		b.fail(key, "%v must be %v to %v", d, lower, maxWindow)
	}
}

// processes requires that n sidecars, in parallel measurements, are no more than maxProcesses and fit into half of the memory.
func (b *flagChecker) processes(key string, n, parallel int) {
	if n*parallel > maxProcesses {
		b.fail(key, "%d sidecars, %d times beside each other, are more than %d", n, parallel, maxProcesses)
	}
	if need, available := n*parallel*memoryPerProcessMB, machineMemoryMB(); available > 0 && need > available/2 {
		b.fail(key, "%d sidecars, %d times beside each other, may take %d MB, more than half of the machine's %d", n, parallel, need, available)
	}
}

// listeners requires that this process may have a descriptor for each listener.
func (b *flagChecker) listeners(key string, v []int) {
	var limit unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) != nil {
		return
	}
	for i, n := range v {
		if uint64(n)+spareDescriptors > limit.Cur {
			b.fail(fmt.Sprintf("%s[%d]", key, i), "%d need %d descriptors, and the limit is %d", n, n+spareDescriptors, limit.Cur)
		}
	}
}

// machineMemoryMB returns the memory of the machine in MB (2^20 bytes), or 0 if it is unknown.
func machineMemoryMB() int {
	text, _ := os.ReadFile("/proc/meminfo")
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "MemTotal:"); ok {
			kb, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(rest), " kB"))
			return kb >> 10
		}
	}
	return 0
}
