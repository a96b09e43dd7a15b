package settingsbench

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"sync"
	"syscall"
)

// process is a process that the benchmark has started.
type process struct {
	cmd    *exec.Cmd
	exited chan struct{}

	mu          sync.Mutex
	lastLogLine string // line of the log
}

// launch starts a program and passes each line of its log to line, unless that is nil.
func launch(program string, args, env []string, line func(text []byte)) (*process, error) {
	p := &process{cmd: exec.Command(program, args...), exited: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), env...)
	log, err := p.cmd.StderrPipe()
	if err == nil {
		err = p.cmd.Start()
	}
	if err != nil {
		return nil, fmt.Errorf("settingsbench: %w", err)
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
		_ = p.cmd.Wait() // its status says nothing: it is killed
	}()
	return p, nil
}

// setLastLine stores the last line of the log.
func (p *process) setLastLine(line string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastLogLine = line
}

// lastLine returns the last line of the log.
func (p *process) lastLine() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastLogLine
}

// hasExited reports whether the process has exited, and its log is read.
func (p *process) hasExited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// signal sends a signal; a process that has exited gets none.
func (p *process) signal(s syscall.Signal) error {
	if err := p.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return fmt.Errorf("settingsbench: %w", err)
	}
	return nil
}

// kill kills the process and waits for it.
func (p *process) kill() {
	_ = p.signal(syscall.SIGKILL) // it may have exited
	<-p.exited
}
