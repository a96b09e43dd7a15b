package cli

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// What a measurement may ask of the machine.
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

// bounds notes the first number that can't be, with its key.
type flagChecker struct{ err error }

func (b *flagChecker) fail(key, format string, args ...any) {
	if b.err == nil {
		b.err = exitError{exitUsage, fmt.Errorf("--%s: %s", key, fmt.Sprintf(format, args...))}
	}
}

// number has to be from least to most; NaN is neither.
func (b *flagChecker) number(key string, v, least, most float64) {
	if !(v >= least && v <= most) {
		b.fail(key, "%v must be %v to %v", v, least, most)
	}
}

// sizes have to be some, each from 1 to most.
func (b *flagChecker) sizes(key string, v []int, most int) {
	if len(v) == 0 {
		b.fail(key, "names no size")
	}
	for i, n := range v {
		b.number(fmt.Sprintf("%s[%d]", key, i), float64(n), 1, float64(most))
	}
}

// rates have to be some, each from least to what can be made.
func (b *flagChecker) rates(key string, v []float64, least float64) {
	if len(v) == 0 {
		b.fail(key, "names no rate")
	}
	for i, n := range v {
		b.number(fmt.Sprintf("%s[%d]", key, i), n, least, maxRate)
	}
}

func (b *flagChecker) duration(key string, d, least time.Duration) {
	if d < least || d > maxWindow {
		b.fail(key, "%v must be %v to %v", d, least, maxWindow)
	}
}

// processes are so many sidecars, so many times beside each other: what the machine bears of them.
func (b *flagChecker) processes(key string, n, beside int) {
	if n*beside > maxProcesses {
		b.fail(key, "%d sidecars, %d times beside each other, are more than %d", n, beside, maxProcesses)
	}
	if need, mb := n*beside*memoryPerProcessMB, machineMemoryMB(); mb > 0 && need > mb/2 {
		b.fail(key, "%d sidecars, %d times beside each other, may take %d MB, more than half of the machine's %d", n, beside, need, mb)
	}
}

// listeners are so many at a time in this process.
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

// machineMemoryMB is the machine's; 0 is not known.
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
