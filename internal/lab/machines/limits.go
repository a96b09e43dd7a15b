package machines

import (
	"bufio"
	"bytes"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// FaultRule is the rule that a process breaks which ends by itself or exceeds its machine's limits.
const FaultRule = "FAULT"

const (
	sampleInterval = 250 * time.Millisecond
	bytesPerMB     = 1 << 20
	bytesPerKB     = 1 << 10
)

// Limits are those of a machine that a process is to keep. 0: unlimited.
type Limits struct {
	MemoryMB    int
	DiskMB      int
	Descriptors int
}

// Settings returns the lines of a settings file that tell a process its limits.
func (l Limits) Settings() string {
	return fmt.Sprintf("limits.memoryMb=%d\nlimits.diskMb=%d\nlimits.fdLimit=%d\n", l.MemoryMB, l.DiskMB, l.Descriptors)
}

// use is what the processes of a machine have used at most.
type use struct {
	memory, disk uint64 // bytes
	descriptors  int
}

// watch samples what a process uses until it has ended.
func (m *Machine) watch(pid int, ended <-chan struct{}) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		m.record(sample(pid, m.Disk))
		select {
		case <-ended:
			return
		case <-ticker.C:
		}
	}
}

func (m *Machine) record(u use) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.peak.memory = max(m.peak.memory, u.memory)
	m.peak.disk = max(m.peak.disk, u.disk)
	m.peak.descriptors = max(m.peak.descriptors, u.descriptors)
}

// PeakMemory returns the highest resident memory of any process of the machine so far, in bytes.
func (m *Machine) PeakMemory() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.peak.memory
}

// Faults returns the ends of processes that nobody asked for, and the limits that a process has exceeded.
func (m *Machine) Faults() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	faults := append([]string(nil), m.exits...)
	add := func(what string, used, limit uint64, unit string) {
		if limit > 0 && used > limit {
			faults = append(faults, fmt.Sprintf("%s: %d %s of %s, and %d are allowed", m.Name, used, unit, what, limit))
		}
	}
	add("memory", m.peak.memory/bytesPerMB, uint64(m.Limits.MemoryMB), "MB")
	add("disk", m.peak.disk/bytesPerMB, uint64(m.Limits.DiskMB), "MB")
	add("descriptors", uint64(m.peak.descriptors), uint64(m.Limits.Descriptors), "open")
	return faults
}

// sample measures a process; what can't be measured, since it has ended, is 0.
func sample(pid int, disk string) use {
	process := filepath.Join("/proc", strconv.Itoa(pid))
	u := use{disk: folderBytes(disk)}
	if status, err := os.ReadFile(filepath.Join(process, "status")); err == nil {
		u.memory = peakOfStatus(status)
	}
	if descriptors, err := os.ReadDir(filepath.Join(process, "fd")); err == nil {
		u.descriptors = len(descriptors)
	}
	return u
}

// peakOfStatus returns the peak of resident memory that /proc/PID/status tells, in bytes.
func peakOfStatus(status []byte) uint64 {
	for lines := bufio.NewScanner(bytes.NewReader(status)); lines.Scan(); {
		value, found := strings.CutPrefix(lines.Text(), "VmHWM:")
		if !found {
			continue
		}
		kilobytes, err := strconv.ParseUint(strings.TrimSpace(strings.TrimSuffix(value, "kB")), 10, 64)
		if err != nil {
			return 0
		}
		return kilobytes * bytesPerKB
	}
	return 0
}

// folderBytes returns the size of the files in a folder; "": none.
func folderBytes(folder string) (total uint64) {
	if folder == "" {
		return 0
	}
	_ = filepath.WalkDir(folder, func(_ string, entry fs.DirEntry, err error) error {
		if err != nil || !entry.Type().IsRegular() {
			return nil // removed meanwhile
		}
		if info, err := entry.Info(); err == nil {
			total += uint64(info.Size())
		}
		return nil
	})
	return total
}
