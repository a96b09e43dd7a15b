package coordination

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// stopTimeout is for a process that is to end by SIGTERM; then it is killed.
const stopTimeout = 10 * time.Second

// machine is one router: a process, an address and, for core machines, a disk.
type machine struct {
	name     string
	ip       string
	folder   string // of the settings and the log
	disk     string // empty: none
	control  string // address that callers use
	internal string
	program  string
	settings string // all but "bootstrap"

	mu      sync.Mutex
	command *exec.Cmd // nil: no process
	ended   chan struct{}
}

// start starts the machine's process, with the disk that it has.
func (m *machine) start(bootstrap bool) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.disk != "" {
		if err := os.MkdirAll(m.disk, 0o750); err != nil {
			return err
		}
	}
	path := filepath.Join(m.folder, m.name+".conf")
	if err := os.WriteFile(path, fmt.Appendf(nil, "%sbootstrap=%v\n", m.settings, bootstrap), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the process has a descriptor of its own
	command := exec.Command(m.program, "router")
	command.Env = append(os.Environ(), "PINELB_CONFIG="+path)
	command.Stderr = log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		_ = command.Wait() // by a signal, as a rule
		close(ended)
	}()
	m.command, m.ended = command, ended
	return nil
}

// signal sends a signal to the process, where there is one.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.command != nil {
		_ = m.command.Process.Signal(s) // it may have ended
	}
}

// kill ends the process as a loss of power would, and waits for its end.
func (m *machine) kill() {
	m.signal(syscall.SIGKILL)
	m.awaitEnd(0)
}

// stop ends the process in order, and kills it where that takes too long.
func (m *machine) stop() {
	m.signal(syscall.SIGTERM)
	m.awaitEnd(stopTimeout)
}

// awaitEnd waits for the end of the process. After a timeout that is not 0 it is killed.
func (m *machine) awaitEnd(timeout time.Duration) {
	m.mu.Lock()
	command, ended := m.command, m.ended
	m.mu.Unlock()
	if command == nil {
		return
	}
	if timeout > 0 {
		select {
		case <-ended:
		case <-time.After(timeout):
			m.signal(syscall.SIGKILL)
		}
	}
	<-ended
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.command == command {
		m.command = nil
	}
}

// wipe empties the disk. The process has ended.
func (m *machine) wipe() error { return os.RemoveAll(m.disk) }

// machineSettings returns the settings of a machine but for "bootstrap".
func machineSettings(m *machine, script *Script, zone int, seeds []string, controlPort, internalPort int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "nodeName=%s\nip=%s\nzone=z%d\nregion=r\nzones.z0=r\nzones.z1=r\nzones.z2=r\n", m.name, m.ip, zone)
	fmt.Fprintf(&b, "listen.control=%s:%d\nportRange=%d,%d\nseeds=%s\n", m.ip, controlPort, internalPort, internalPort, strings.Join(seeds, ","))
	fmt.Fprintf(&b, "faultTolerance.machines=%d\nbounds.graceS=%d\ncontracts=base,coord\nbounds.historyS=%d\n", tolerated, script.GraceS,
		script.HistoryS)
	if m.disk != "" {
		fmt.Fprintf(&b, "countsForQuorum=true\ndataDir=%s\n", m.disk)
	}
	return b.String()
}
