package loopback

import (
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"

	"pinelb.example/pinelb/internal/lab/trace"
)

const maxLogTail = 4 << 10 // bytes of a log that tell a crash

// measure notes what the process has taken so far.
func (s *sidecar) measureUsage() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.running() {
		return
	}
	proc := fmt.Sprintf("/proc/%d/", s.process.cmd.Process.Pid)
	if fds, err := os.ReadDir(proc + "fd"); err == nil {
		s.used.MaxDescriptors = max(s.used.MaxDescriptors, len(fds))
	}
	status, _ := os.ReadFile(proc + "status") // it may have just ended
	for line := range strings.Lines(string(status)) {
		if peak, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, _ := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(peak), " kB"), 10, 64)
			s.used.PeakMemory = max(s.used.PeakMemory, kb<<10)
		}
	}
}

// usage is what all its processes have taken, once they have ended.
func (s *sidecar) usage() trace.Usage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.used
}

// tail is the end of a file, from the beginning of a line.
func tail(path string) string {
	f, err := os.Open(path)
	if err != nil {
		return err.Error()
	}
	defer f.Close()
	size, _ := f.Seek(0, io.SeekEnd)
	from := max(0, size-maxLogTail)
	text, _ := io.ReadAll(io.NewSectionReader(f, from, maxLogTail))
	if from > 0 {
		_, after, _ := strings.Cut(string(text), "\n")
		return after
	}
	return string(text)
}
