package loopback

import (
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"

	"pinelb.example/pinelb/internal/lab/trace"
)

const maxLogTail = 4 << 10 // bytes of a log that go into the trace of a crash

// measureUsage measures what the process in service has taken so far, by Linux's /proc (proc(5)).
func (s *sidecar) measureUsage() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.running() {
		return
	}
	proc := fmt.Sprintf("/proc/%d/", s.process.cmd.Process.Pid)
	if descriptors, err := os.ReadDir(proc + "fd"); err == nil {
		s.used.MaxDescriptors = max(s.used.MaxDescriptors, len(descriptors))
	}
	status, _ := os.ReadFile(proc + "status") // empty if it has just exited
	for line := range strings.Lines(string(status)) {
		if peak, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, _ := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(peak), " kB"), 10, 64)
			s.used.PeakMemory = max(s.used.PeakMemory, kb<<10)
		}
	}
}

// usage is what all its processes have taken; complete once they have exited.
func (s *sidecar) usage() trace.Usage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.used
}

// tail is the end of a file, from the beginning of a line; the error's text if it can't be read.
func tail(path string) string {
	file, err := os.Open(path)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = file.Close() }() // it was only read
	size, err := file.Seek(0, io.SeekEnd)
	if err != nil {
		return err.Error()
	}
	start := max(0, size-maxLogTail)
	text, err := io.ReadAll(io.NewSectionReader(file, start, maxLogTail))
	if err != nil {
		return err.Error()
	}
	if start > 0 {
		_, after, _ := strings.Cut(string(text), "\n")
		return after
	}
	return string(text)
}
