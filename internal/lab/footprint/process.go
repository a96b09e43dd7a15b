package footprint

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/tidwall/gjson"
)

const (
	logTimeout     = 20 * time.Second // until a process logs a message that is awaited
	maxUnreadLines = 4096             // of a process's log
)

// SidecarOptions says how a sidecar is started.
type SidecarOptions struct {
	Program        string
	Dir            string // in which the sidecar gets a directory of its own
	Name           string // unique in Dir
	DiscoveryAddr  string
	OperatorConfig string // content of the operator's file, in which {dir} stands for the sidecar's directory; "" is none
	KnownHosts     int    // in the configuration
	Classes        int    // in the settings
	Instances      int    // of the fleet, by the settings
	Rank           int    // of the sidecar in the fleet, by the settings
	ControlEnabled bool   // operators can call it
}

// Process is a running sidecar.
type Process struct {
	Addr        string // of the listener for callers
	ControlAddr string // of the listener for operators; "" is none

	options SidecarOptions
	cmd     *exec.Cmd
	lines   chan LogLine // closed when the log ends
	reader  sync.WaitGroup
	closed  chan struct{} // closed by Close
}

// LogLine is a line of a process's log.
type LogLine struct {
	At     time.Time // when it was read
	Fields gjson.Result
}

func (l *LogLine) message() string { return l.Fields.Get("message").Str }

// StartSidecar starts a sidecar and waits until callers, and operators if enabled, can connect. The caller has to Close it.
func StartSidecar(options SidecarOptions) (*Process, error) {
	// Two sidecars with the same directory and address would take over from one another.
	options.Dir = filepath.Join(options.Dir, options.Name)
	if err := os.Mkdir(options.Dir, dirMode); err != nil {
		return nil, fmt.Errorf("footprint: %w", err)
	}
	p := &Process{options: options, lines: make(chan LogLine, maxUnreadLines), closed: make(chan struct{})}
	if _, _, err := p.WriteConfig(0); err != nil {
		return nil, err
	}
	if err := p.prepare(); err != nil {
		return nil, err
	}
	log, err := p.cmd.StderrPipe()
	if err != nil {
		return nil, fmt.Errorf("footprint: %w", err)
	}
	if err := p.launch(); err != nil {
		close(p.closed)
		return nil, fmt.Errorf("footprint: %s: %w", options.Program, err)
	}
	p.reader.Go(func() { p.readLog(log) })
	if err := p.awaitListeners(); err != nil {
		p.Close()
		return nil, err
	}
	return p, nil
}

// prepare makes the command, and writes the operator's file.
func (p *Process) prepare() error {
	o := &p.options
	p.cmd = exec.Command(o.Program)
	if o.OperatorConfig != "" {
		path := filepath.Join(o.Dir, o.Name+".toml")
		text := strings.ReplaceAll(o.OperatorConfig, "{dir}", o.Dir)
		if err := os.WriteFile(path, []byte(text), fileMode); err != nil {
			return fmt.Errorf("footprint: %w", err)
		}
		p.cmd.Args = append(p.cmd.Args, "--config="+path)
	}
	p.cmd.Env = append(os.Environ(), "LB_CONFIG="+p.configPath(), "LB_NAME="+o.Name, "LB_LISTEN=127.0.0.1:0",
		"LB_DISCOVERY="+o.DiscoveryAddr, "LB_CONTROL=", "TMPDIR="+o.Dir)
	if o.ControlEnabled {
		p.cmd.Env = append(p.cmd.Env, "LB_CONTROL=127.0.0.1:0")
	}
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	return nil
}

// launch starts the process from a thread that lives until Close: the kernel sends Pdeathsig when that thread ends.
func (p *Process) launch() error {
	started := make(chan error)
	go func() {
		runtime.LockOSThread()
		started <- p.cmd.Start()
		<-p.closed
	}()
	return <-started
}

func (p *Process) awaitListeners() error {
	for p.Addr == "" || p.options.ControlEnabled && p.ControlAddr == "" {
		line, err := p.AwaitLog("listening", "listening for operators")
		if err != nil {
			return err
		}
		addr := line.Fields.Get("addr").Str
		if line.message() == "listening" {
			p.Addr = addr
		} else {
			p.ControlAddr = addr
		}
	}
	return nil
}

// Close kills the process and waits for its end.
func (p *Process) Close() {
	_ = p.cmd.Process.Kill() // fails if it has ended
	p.reader.Wait()
	_ = p.cmd.Wait()
	close(p.closed)
}

// Reload has the process read its configuration again.
func (p *Process) Reload() error { return p.cmd.Process.Signal(syscall.SIGHUP) }

// AwaitLog returns the next line of the log with one of those messages. Its error is ErrExited or ErrLogTimeout.
func (p *Process) AwaitLog(messages ...string) (LogLine, error) {
	timeout := time.NewTimer(logTimeout)
	defer timeout.Stop()
	for {
		select {
		case line, ok := <-p.lines:
			if !ok {
				return LogLine{}, fmt.Errorf("footprint: %s: %w: awaited %q", p.options.Name, ErrExited, messages)
			}
			if slices.Contains(messages, line.message()) {
				return line, nil
			}
		case <-timeout.C:
			return LogLine{}, fmt.Errorf("footprint: %s: %w: awaited %q for %v", p.options.Name, ErrLogTimeout, messages, logTimeout)
		}
	}
}

// readLog passes the log on. Lines beyond maxUnreadLines are dropped: the process must not wait for a reader.
func (p *Process) readLog(log io.Reader) {
	defer close(p.lines)
	scanner := bufio.NewScanner(log)
	for scanner.Scan() {
		select {
		case p.lines <- LogLine{time.Now(), gjson.Parse(scanner.Text())}:
		default:
		}
	}
}

// CPU returns the processor time of the process's threads so far. A thread that has ended is not counted any more; Go's
// runtime hardly ever ends one.
func (p *Process) CPU() time.Duration {
	var sum time.Duration
	dir := fmt.Sprintf("/proc/%d/task", p.cmd.Process.Pid)
	threads, _ := os.ReadDir(dir) // none if it has ended
	for _, thread := range threads {
		text, _ := os.ReadFile(filepath.Join(dir, thread.Name(), "schedstat"))
		field, _, _ := strings.Cut(string(text), " ")
		nanoseconds, _ := strconv.ParseInt(field, 10, 64)
		sum += time.Duration(nanoseconds)
	}
	return sum
}

// Memory returns the process's resident memory now and at its peak, in bytes.
func (p *Process) Memory() (now, peak int64) { return memoryOf(p.cmd.Process.Pid) }
