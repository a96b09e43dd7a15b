package settingsbench

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// usage returns the usage up to now.
func (r *benchmark) usage() usage {
	u := usage{at: time.Now(), calls: r.stubs.calls.Load(), bytes: r.stubs.bytes.Load(), labCPU: cpuTime(os.Getpid())}
	for _, p := range r.distributors.processes {
		u.cpu = append(u.cpu, cpuTime(p.cmd.Process.Pid))
	}
	return u
}

// fillUsage fills in what has been used since before.
func (r *benchmark) fillUsage(result *Result, before usage) {
	after := r.usage()
	seconds := after.at.Sub(before.at).Seconds()
	result.CallsPerS, result.BytesPerS, result.LabCPU = float64(after.calls-before.calls)/seconds, float64(after.bytes-before.bytes)/seconds, (after.labCPU-before.labCPU).Seconds()/seconds
	for i, p := range r.distributors.processes {
		result.MaxCPU = max(result.MaxCPU, (after.cpu[i]-before.cpu[i]).Seconds()/seconds)
		result.MaxMemoryMB = max(result.MaxMemoryMB, resident(p.cmd.Process.Pid))
	}
}

// usage is what has been used up to a moment.
type usage struct {
	at     time.Time
	calls  int64
	bytes  int64
	cpu    []time.Duration // of each distributor
	labCPU time.Duration   // of this process
}

// clockTicks is the unit of the kernel's accounts of processes, a second (USER_HZ).
const clockTicks = 100

// cpuTime returns the processor time of a process, or 0 if it has exited.
func cpuTime(pid int) time.Duration {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	_, after, _ := strings.Cut(string(text), ") ") // the name may have blanks
	fields := strings.Fields(after)
	if len(fields) < 13 {
		return 0
	}
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return time.Duration(user+system) * time.Second / clockTicks
}

// resident returns the resident memory of a process in MB, or 0 if it has exited.
func resident(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if kb, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			n, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(kb), " kB"))
			return float64(n) / 1024
		}
	}
	return 0
}

// loadAverages returns the load averages of the machine.
func loadAverages() string {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	return strings.Join(strings.Fields(string(text))[:3], " ")
}
