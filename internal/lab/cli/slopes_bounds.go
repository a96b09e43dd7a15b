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
	hostsMost     = 20_000 // of a list, which is under 3 MB then
	processesMost = 300    // at a time
	processMB     = 32     // of the machine's memory, for each; half of it may be used
	rateMost      = 1000   // changes or requests a second
	repeatMost    = 1000
	classesMost   = 256 // of settings, as the sidecar has it
	changesMost   = 10_000
	windowLeast   = 10 * time.Millisecond
	windowMost    = 10 * time.Minute
	filesSpare    = 1024 // descriptors for all but a stand-in's listener
)

// bounds notes the first number that can't be, with its key.
type bounds struct{ err error }

func (b *bounds) fault(key, format string, args ...any) {
	if b.err == nil {
		b.err = exit{faulty, fmt.Errorf("--%s: %s", key, fmt.Sprintf(format, args...))}
	}
}

// number has to be from least to most; NaN is neither.
func (b *bounds) number(key string, v, least, most float64) {
	if !(v >= least && v <= most) {
		b.fault(key, "%v must be %v to %v", v, least, most)
	}
}

// sizes have to be some, each from 1 to most.
func (b *bounds) sizes(key string, v []int, most int) {
	if len(v) == 0 {
		b.fault(key, "names no size")
	}
	for i, n := range v {
		b.number(fmt.Sprintf("%s[%d]", key, i), float64(n), 1, float64(most))
	}
}

// rates have to be some, each from least to what can be made.
func (b *bounds) rates(key string, v []float64, least float64) {
	if len(v) == 0 {
		b.fault(key, "names no rate")
	}
	for i, n := range v {
		b.number(fmt.Sprintf("%s[%d]", key, i), n, least, rateMost)
	}
}

func (b *bounds) span(key string, d, least time.Duration) {
	if d < least || d > windowMost {
		b.fault(key, "%v must be %v to %v", d, least, windowMost)
	}
}

// processes are so many sidecars, so many times beside each other: what the machine bears of them.
func (b *bounds) processes(key string, n, beside int) {
	if n*beside > processesMost {
		b.fault(key, "%d sidecars, %d times beside each other, are more than %d", n, beside, processesMost)
	}
	if need, mb := n*beside*processMB, memoryMB(); mb > 0 && need > mb/2 {
		b.fault(key, "%d sidecars, %d times beside each other, may take %d MB, more than half of the machine's %d", n, beside, need, mb)
	}
}

// listeners are so many at a time in this process.
func (b *bounds) listeners(key string, v []int) {
	var limit unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) != nil {
		return
	}
	for i, n := range v {
		if uint64(n)+filesSpare > limit.Cur {
			b.fault(fmt.Sprintf("%s[%d]", key, i), "%d need %d descriptors, and the limit is %d", n, n+filesSpare, limit.Cur)
		}
	}
}

// memoryMB is the machine's; 0 is not known.
func memoryMB() int {
	text, _ := os.ReadFile("/proc/meminfo")
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "MemTotal:"); ok {
			kb, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(rest), " kB"))
			return kb >> 10
		}
	}
	return 0
}
