package footprint

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/tidwall/gjson"
)

const (
	logTimeout     = 20 * time.Second // until a process says something that is waited for
	fileMode       = 0o600
	dirMode        = 0o700
	maxUnreadLines = 4096 // of a log, that nobody has read yet
)

// SidecarOptions is how a sidecar is started.
type SidecarOptions struct {
	Program        string
	Dir            string // for its files
	Name           string
	DiscoveryAddr  string
	OperatorConfig string // the operator's file, in which {dir} is a directory of the sidecar's own; "" is none
	KnownHosts     int    // hosts that its configuration names
	Classes        int    // of its settings
	Instances      int    // that it is told of
	Rank           int
	ControlEnabled bool // operators can call it
}

// Process is a sidecar that runs.
type Process struct {
	Addr        string // where callers connect
	ControlAddr string // where operators do; "" is nowhere

	options SidecarOptions
	cmd     *exec.Cmd
	lines   chan LogLine
	reader  sync.WaitGroup
	closed  chan struct{} // closed by Close
}

// LogLine is one of its log, and when it was read.
type LogLine struct {
	At     time.Time
	Fields gjson.Result
}

// StartSidecar starts a sidecar and waits until callers can connect.
func StartSidecar(s SidecarOptions) (*Process, error) {
	s.Dir = filepath.Join(s.Dir, s.Name) // its own: two that share one and an address take over from one another
	if err := os.Mkdir(s.Dir, dirMode); err != nil {
		return nil, fmt.Errorf("gauge: %w", err)
	}
	p := &Process{options: s, lines: make(chan LogLine, maxUnreadLines), closed: make(chan struct{})}
	if _, _, err := p.WriteConfig(0); err != nil {
		return nil, err
	}
	p.cmd = exec.Command(s.Program)
	if s.OperatorConfig != "" {
		path := filepath.Join(s.Dir, s.Name+".toml")
		if err := os.WriteFile(path, []byte(strings.ReplaceAll(s.OperatorConfig, "{dir}", s.Dir)), fileMode); err != nil {
			return nil, fmt.Errorf("gauge: %w", err)
		}
		p.cmd.Args = append(p.cmd.Args, "--config="+path)
	}
	p.cmd.Env = append(os.Environ(), "LB_CONFIG="+p.configPath(), "LB_NAME="+s.Name, "LB_LISTEN=127.0.0.1:0", "LB_DISCOVERY="+s.DiscoveryAddr,
		"LB_CONTROL=", "TMPDIR="+s.Dir)
	if s.ControlEnabled {
		p.cmd.Env = append(p.cmd.Env, "LB_CONTROL=127.0.0.1:0")
	}
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	out, err := p.cmd.StderrPipe()
	if err != nil {
		return nil, fmt.Errorf("gauge: %w", err)
	}
	if err := p.launch(); err != nil {
		close(p.closed)
		return nil, fmt.Errorf("gauge: %s: %w", s.Program, err)
	}
	p.reader.Go(func() { p.readLog(out) })
	for p.Addr == "" || s.ControlEnabled && p.ControlAddr == "" {
		line, err := p.AwaitLog("listening", "listening for operators")
		if err != nil {
			p.Close()
			return nil, err
		}
		if line.Fields.Get("message").Str == "listening" {
			p.Addr = line.Fields.Get("addr").Str
		} else {
			p.ControlAddr = line.Fields.Get("addr").Str
		}
	}
	return p, nil
}

// launch starts the process from a thread that lives as long: the kernel kills it when that ends.
func (p *Process) launch() error {
	started := make(chan error)
	go func() {
		runtime.LockOSThread()
		started <- p.cmd.Start()
		<-p.closed
	}()
	return <-started
}

// Close kills it and waits.
func (p *Process) Close() {
	_ = p.cmd.Process.Kill() // it may have ended
	p.reader.Wait()
	_ = p.cmd.Wait()
	close(p.closed)
}

func (p *Process) configPath() string { return filepath.Join(p.options.Dir, p.options.Name+".json") }

// WriteConfig writes its configuration anew; version tells one from the other. It returns the sizes of the file and of the
// settings in it, in bytes.
func (p *Process) WriteConfig(version int) (file, settings int, err error) {
	s := &p.options
	set := SettingsJSON(s.Classes, s.Instances, s.Rank, version)
	doc := map[string]any{"name": s.Name, "listen": "127.0.0.1:0", "discovery": s.DiscoveryAddr, "seed": "1",
		"limits": map[string]any{"cores": 1, "memory_mb": 128, "sockets": 1024}, "settings": set}
	if s.KnownHosts > 0 {
		doc["known"] = knownHosts(s.KnownHosts)
	}
	text, err := json.Marshal(doc)
	if err != nil {
		return 0, 0, fmt.Errorf("gauge: %w", err)
	}
	next := p.configPath() + ".next"
	if err = os.WriteFile(next, text, fileMode); err == nil {
		err = os.Rename(next, p.configPath())
	}
	if err != nil {
		return 0, 0, fmt.Errorf("gauge: %w", err)
	}
	return len(text), len(set), nil
}

// Reload has it read its configuration again.
func (p *Process) Reload() error { return p.cmd.Process.Signal(syscall.SIGHUP) }

// AwaitLog is the next line of its log with one of those messages. An error says that none came in time, or that the process ended.
func (p *Process) AwaitLog(messages ...string) (LogLine, error) {
	over := time.NewTimer(logTimeout)
	defer over.Stop()
	for {
		select {
		case line, ok := <-p.lines:
			if !ok {
				return LogLine{}, fmt.Errorf("gauge: %s ended before it said %q", p.options.Name, messages)
			}
			for _, m := range messages {
				if line.Fields.Get("message").Str == m {
					return line, nil
				}
			}
		case <-over.C:
			return LogLine{}, fmt.Errorf("gauge: %s did not say %q within %v", p.options.Name, messages, logTimeout)
		}
	}
}

// read passes its log on. What nobody takes is dropped: the process must not wait for a reader.
func (p *Process) readLog(out io.Reader) {
	defer close(p.lines)
	in := bufio.NewScanner(out)
	for in.Scan() {
		select {
		case p.lines <- LogLine{time.Now(), gjson.Parse(in.Text())}:
		default:
		}
	}
}

// ProcessCPU is what its threads have taken so far. A thread that has ended takes its part with it; Go's hardly ever do.
func (p *Process) CPU() time.Duration {
	var sum time.Duration
	dir := fmt.Sprintf("/proc/%d/task", p.cmd.Process.Pid)
	tasks, _ := os.ReadDir(dir) // none of one that has ended
	for _, t := range tasks {
		text, _ := os.ReadFile(filepath.Join(dir, t.Name(), "schedstat"))
		ns, _, _ := strings.Cut(string(text), " ")
		n, _ := strconv.ParseInt(ns, 10, 64)
		sum += time.Duration(n)
	}
	return sum
}

// Memory is what it has resident now and had at most, in bytes.
func (p *Process) Memory() (now, peak int64) { return memoryOf(p.cmd.Process.Pid) }

func memoryOf(pid int) (now, peak int64) {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid)) // none of one that has ended
	for line := range strings.Lines(string(text)) {
		key, value, _ := strings.Cut(line, ":")
		kb, _ := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
		switch key {
		case "VmRSS":
			now = kb << 10
		case "VmHWM":
			peak = kb << 10
		}
	}
	return now, peak
}

// SettingsJSON are a site's with so many classes; version is a price that decides nothing here.
func SettingsJSON(classes, instances, rank, version int) json.RawMessage {
	all := []any{}
	for i := range max(1, classes) {
		all = append(all, map[string]any{"name": fmt.Sprintf("class-%03d", i), "aim": time.Second, "deadline": 3 * time.Second,
			"idempotency": "read_like", "key_scope": "all", "worth": 3.0, "late_worth": 0.0, "memory_span": 0})
	}
	text, _ := json.Marshal(map[string]any{ // all of it is plain
		"allowed": map[string]any{"cancel": true, "conn_idle": 30 * time.Second, "connect_timeout": 75 * time.Millisecond,
			"max_retry_after": 1500 * time.Millisecond, "most_held": 20000, "retry_after": true, "second_copies": true, "send_cap": 4},
		"classes": all, "kinds": []string{"std"}, "zones": []string{"here"}, "locality": 0, "n_instances": instances, "rank": rank,
		"quantum": 2 * time.Millisecond, "prices": map[string]any{"late_fail": 0.05, "probe": 0.01 + float64(version)*1e-6, "waste": 0.04},
		"rules": map[string]any{"answer_slack": 8 * time.Millisecond, "cold": 9 * time.Second, "cold_share": 0.3, "fall": time.Second,
			"stop_sending_within": 3 * time.Second, "tip_multiple": 2.5}})
	return text
}

// known is a list of so many hosts, as a configuration has it.
func knownHosts(hosts int) memberList {
	out := memberList{Revision: 1, Complete: true}
	for i := range hosts {
		out.Members = append(out.Members, member{fmt.Sprintf("host-%04d", i), fmt.Sprintf(hostAddrFormat, i/hostsPerSubnet, 1+i%hostsPerSubnet, hostPort), "here", "std", 0, "Ready", 1, 0})
	}
	return out
}
