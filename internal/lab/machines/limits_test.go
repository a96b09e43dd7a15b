package machines

import (
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// startScript starts a machine whose process is a shell script in place of pinelb.
func startScript(t *testing.T, script string, limits Limits) *Machine {
	t.Helper()
	program := filepath.Join(t.TempDir(), "program")
	if err := os.WriteFile(program, []byte("#!/bin/sh\n"+script), 0o700); err != nil {
		t.Fatal(err)
	}
	m := &Machine{Name: "m", Folder: t.TempDir(), Program: program, Limits: limits}
	if err := m.Start(false); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(m.Kill)
	return m
}

// Guards against soaks in which processes end by themselves, start again and nobody notices.
func TestEndsByThemselvesAreFaults(t *testing.T) {
	m := startScript(t, "exit 3\n", Limits{})
	m.awaitEnd(0)
	if faults := m.Faults(); len(faults) != 1 || !strings.Contains(faults[0], "exit status 3") {
		t.Errorf("a process that ends with 3: %q", faults)
	}
	for _, s := range []syscall.Signal{syscall.SIGKILL, syscall.SIGTERM} {
		m := startScript(t, "sleep 60\n", Limits{})
		m.Signal(s)
		m.Stop()
		if faults := m.Faults(); len(faults) != 0 {
			t.Errorf("a process that is ended by %v: %q", s, faults)
		}
	}
}

// Guards against soaks in which a process exceeds the limit above which its machine would kill it.
func TestMemoryAboveTheLimitIsAFault(t *testing.T) {
	m := startScript(t, "sleep 60\n", Limits{MemoryMB: 1})
	for range 500 {
		if m.PeakMemory() >= 100<<10 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if faults := m.Faults(); m.PeakMemory() < 100<<10 || m.PeakMemory()/bytesPerMB > 1 && len(faults) == 0 {
		t.Errorf("%d bytes: %q", m.PeakMemory(), faults)
	}
	m.record(use{memory: 2 * bytesPerMB, disk: 9 * bytesPerMB, descriptors: 5})
	if faults := m.Faults(); len(faults) != 1 || !strings.Contains(faults[0], "of memory, and 1 are allowed") {
		t.Errorf("above one limit: %q", faults)
	}
	m.Limits = Limits{MemoryMB: 1 << 20, DiskMB: 8, Descriptors: 4}
	if faults := m.Faults(); len(faults) != 2 {
		t.Errorf("above two limits: %q", faults)
	}
}

func TestPeakOfStatus(t *testing.T) {
	if got := peakOfStatus([]byte("Name:\tpinelb\nVmPeak:\t 1 kB\nVmHWM:\t  2048 kB\nVmRSS:\t 3 kB\n")); got != 2048<<10 {
		t.Errorf("got %d", got)
	}
	if got := peakOfStatus([]byte("Name:\tpinelb\n")); got != 0 {
		t.Errorf("got %d of a process that has ended", got)
	}
}
