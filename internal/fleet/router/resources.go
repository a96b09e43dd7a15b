package router

import (
	"io/fs"
	"os"
	"path/filepath"
	"runtime/metrics"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

const (
	memorySampleInterval = time.Second
	memoryLogInterval    = time.Minute // minimum time between two warnings
	memoryWarningRatio   = 0.85        // of limits.memoryMb: the use from which on a warning is logged
	bytesPerMB           = 1 << 20
	descriptorFolder     = "/proc/self/fd"
)

// ResourceStatus tells what the process uses of its machine's limits (limits.* of the settings). A limit of 0 is unknown.
type ResourceStatus struct {
	Memory          uint64 `json:"memory"`          // bytes that the runtime holds: heap, stacks and its own; without the program's text
	PeakMemory      uint64 `json:"peakMemory"`      // the highest of them, sampled once a second
	MemoryLimit     uint64 `json:"memoryLimit"`     // bytes; a process above it is killed
	Descriptors     int    `json:"descriptors"`     // open file descriptors; 0: can't be counted here
	DescriptorLimit int    `json:"descriptorLimit"` // of the process
	Disk            uint64 `json:"disk"`            // bytes of all files in dataDir
	DiskLimit       uint64 `json:"diskLimit"`       // bytes
}

// resourceMonitor watches the memory of the process and logs when it comes close to its limit.
type resourceMonitor struct {
	*environment
	peak       atomic.Uint64 // bytes
	nextSample time.Duration // only the goroutine of Router.Run uses this and the next one
	nextLog    time.Duration
}

// tick samples the memory once per memorySampleInterval, and logs a warning above memoryWarningRatio.
func (m *resourceMonitor) tick() {
	now := m.clock()
	if now < m.nextSample {
		return
	}
	m.nextSample = now + memorySampleInterval
	used := runtimeMemory()
	m.peak.Store(max(m.peak.Load(), used))
	limit := m.memoryLimit()
	if limit == 0 || float64(used) < memoryWarningRatio*float64(limit) || now < m.nextLog {
		return
	}
	m.nextLog = now + memoryLogInterval
	m.log.Warn("memory is close to its limit", zap.Uint64("bytes", used), zap.Uint64("limit", limit))
}

func (m *resourceMonitor) memoryLimit() uint64 {
	return uint64(max(0, m.settings.Limits.MemoryMB)) * bytesPerMB
}

// status measures what is in use.
func (m *resourceMonitor) status() ResourceStatus {
	used := runtimeMemory()
	return ResourceStatus{
		Memory: used, PeakMemory: max(m.peak.Load(), used), MemoryLimit: m.memoryLimit(),
		Descriptors: openDescriptors(), DescriptorLimit: m.settings.Limits.FileDescriptors,
		Disk: folderSize(m.settings.DataDir), DiskLimit: uint64(max(0, m.settings.Limits.DiskMB)) * bytesPerMB,
	}
}

// logStart tells which limits the process has begun with, so that an end by the platform can be compared with them.
func (m *resourceMonitor) logStart() {
	limits := m.settings.Limits
	m.log.Info("the router starts", zap.Float64("cpuShare", limits.CPUShare), zap.Int("memoryMb", limits.MemoryMB),
		zap.Int("fdLimit", limits.FileDescriptors), zap.Int("diskMb", limits.DiskMB), zap.Strings("contracts", m.settings.Contracts),
		zap.Bool("bootstrap", m.settings.Bootstrap))
}

// logEnd tells why the process ends and how much memory it has used. A process whose log has neither this line nor a panic was killed.
func (m *resourceMonitor) logEnd(reason string) {
	m.log.Info("the router stops", zap.String("reason", reason), zap.Int64("uptimeMs", m.clock().Milliseconds()),
		zap.Uint64("peakMemory", max(m.peak.Load(), runtimeMemory())))
}

// runtimeMemory returns the memory that Go's runtime has mapped and not given back, in bytes.
func runtimeMemory() uint64 {
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(samples)
	return samples[0].Value.Uint64() - samples[1].Value.Uint64()
}

// openDescriptors returns the number of open file descriptors; 0: the system doesn't tell.
func openDescriptors() int {
	entries, err := os.ReadDir(descriptorFolder)
	if err != nil {
		return 0
	}
	return len(entries)
}

// folderSize returns the total size of the files in a folder, in bytes. Files that are removed meanwhile don't count.
func folderSize(folder string) (total uint64) {
	if folder == "" {
		return 0
	}
	_ = filepath.WalkDir(folder, func(_ string, entry fs.DirEntry, err error) error {
		if err != nil || !entry.Type().IsRegular() {
			return nil
		}
		if info, err := entry.Info(); err == nil {
			total += uint64(info.Size())
		}
		return nil
	})
	return total
}
