// Package footprint measures what one sidecar costs: at rest, for a change of its settings, for requests, and for an audit
// of many sidecars. It starts real processes against a discovery service on loopback whose list, updates and bytes are
// known. The commands of pinelb-testlab that measure use it; internal/lab/scalefit fits models to what they print.
//
// A measurement takes the processor time of the kernel's accounts in /proc, so that it runs on Linux only, and should have
// the machine for itself: LoadAverage says whether it had.
package footprint

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Errors of a sidecar under measurement.
var (
	ErrExited           = errors.New("the sidecar exited")
	ErrLogTimeout       = errors.New("the sidecar did not log in time")
	ErrSettingsRejected = errors.New("the sidecar rejected its settings")
)

const (
	mebibyte = 1 << 20
	fileMode = 0o600
	dirMode  = 0o700
)

// LoadAverage returns the machine's load average over the last minute, 0 where it is unknown.
func LoadAverage() float64 {
	text, _ := os.ReadFile("/proc/loadavg")
	minute, _, _ := strings.Cut(string(text), " ")
	load, _ := strconv.ParseFloat(minute, 64)
	return load
}

// memoryOf returns the resident memory of a process now and at its peak, in bytes; 0 if it has ended.
func memoryOf(pid int) (now, peak int64) {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(text)) {
		key, value, _ := strings.Cut(line, ":")
		kilobytes, _ := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
		switch key {
		case "VmRSS":
			now = kilobytes << 10
		case "VmHWM":
			peak = kilobytes << 10
		}
	}
	return now, peak
}

// sleep waits for a time, or for the end of ctx, whose error it returns.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// median returns the median of the values, of which there is one at least.
func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return (sorted[len(sorted)/2] + sorted[(len(sorted)-1)/2]) / 2
}

// quantile returns the value that a share of all values doesn't exceed, 0 without values.
func quantile(values []float64, share float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(len(sorted)-1, int(share*float64(len(sorted))))]
}
