package settingsbench

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const clockTicks = 100 // a second, of the kernel's accounts of processes (USER_HZ)

// process is one that the rig has started.
type process struct {
	cmd   *exec.Cmd
	exited chan struct{}

	mu   sync.Mutex
	lastLogLine string // line of its log
}

// launch starts a program and hands on each line of its log, to nobody if line is nil.
func launch(program string, args, env []string, line func(text []byte)) (*process, error) {
	p := &process{cmd: exec.Command(program, args...), exited: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), env...)
	log, err := p.cmd.StderrPipe()
	if err == nil {
		err = p.cmd.Start()
	}
	if err != nil {
		return nil, fmt.Errorf("distributed: %w", err)
	}
	go func() {
		defer close(p.exited)
		lines := bufio.NewScanner(log)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			p.setLastLine(lines.Text())
			if line != nil {
				line(lines.Bytes())
			}
		}
		_, _ = io.Copy(io.Discard, log)
		_ = p.cmd.Wait() // it is killed
	}()
	return p, nil
}

// keep keeps the last line of the log.
func (p *process) setLastLine(line string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastLogLine = line
}

// lastLine is the last line of its log.
func (p *process) lastLine() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastLogLine
}

// hasExited says whether the process has ended, and its log is read.
func (p *process) hasExited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// signal sends one; a process that has ended gets none.
func (p *process) signal(s syscall.Signal) error {
	if err := p.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return fmt.Errorf("distributed: %w", err)
	}
	return nil
}

func (p *process) kill() {
	_ = p.signal(syscall.SIGKILL) // it may have ended
	<-p.exited
}

// cpu is the time that a process has used; 0 where it has ended.
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

// resident is what a process has in memory, in MB; 0 where it has ended.
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

// load is the machine's load averages.
func loadAverages() string {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	return strings.Join(strings.Fields(string(text))[:3], " ")
}
