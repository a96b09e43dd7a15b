package machines

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// stopTimeout is for a process that is to end by SIGTERM; then it is killed.
const stopTimeout = 10 * time.Second

// Machine is one router: a process, an address and, for core machines, a disk. Its methods may be called from several goroutines.
type Machine struct {
	Name     string
	IP       string
	Folder   string // of the settings and the log
	Disk     string // empty: none
	Program  string // pinelb's
	Settings string // all but "bootstrap"
	Limits   Limits // that the processes are to keep

	mu         sync.Mutex
	command    *exec.Cmd // nil: no process
	ended      chan struct{}
	endWasSent bool     // the process was sent a signal that ends it
	peak       use      // of all processes
	exits      []string // ends that nobody asked for
}

// Start starts the machine's process, with the disk that it has.
func (m *Machine) Start(bootstrap bool) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.Disk != "" {
		if err := os.MkdirAll(m.Disk, 0o750); err != nil {
			return err
		}
	}
	path := filepath.Join(m.Folder, m.Name+".conf")
	if err := os.WriteFile(path, fmt.Appendf(nil, "%sbootstrap=%v\n", m.Settings, bootstrap), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.Folder, m.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the process has a descriptor of its own
	command := exec.Command(m.Program, "router")
	command.Env = append(os.Environ(), "PINELB_CONFIG="+path)
	command.Stderr = log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	m.command, m.ended, m.endWasSent = command, ended, false
	go func() {
		defer close(ended)
		m.recordEnd(command, command.Wait())
	}()
	go m.watch(command.Process.Pid, ended)
	return nil
}

// recordEnd records the end of a process that nobody asked for.
func (m *Machine) recordEnd(command *exec.Cmd, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.command != command || m.endWasSent {
		return
	}
	cause := "exit status 0"
	if err != nil {
		cause = err.Error()
	}
	m.exits = append(m.exits, fmt.Sprintf("%s: the process ended by itself: %s", m.Name, cause))
}

// Signal sends a signal to the process, where there is one.
func (m *Machine) Signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.command != nil {
		m.endWasSent = m.endWasSent || s == syscall.SIGKILL || s == syscall.SIGTERM
		_ = m.command.Process.Signal(s) // it may have ended
	}
}

// Kill ends the process as a loss of power would, and waits for its end.
func (m *Machine) Kill() {
	m.Signal(syscall.SIGKILL)
	m.awaitEnd(0)
}

// Stop ends the process in order, and kills it where that takes too long.
func (m *Machine) Stop() {
	m.Signal(syscall.SIGTERM)
	m.awaitEnd(stopTimeout)
}

// awaitEnd waits for the end of the process. After a timeout that is not 0 it is killed.
func (m *Machine) awaitEnd(timeout time.Duration) {
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
			m.Signal(syscall.SIGKILL)
		}
	}
	<-ended
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.command == command {
		m.command = nil
	}
}

// Wipe empties the disk. The process has ended.
func (m *Machine) Wipe() error { return os.RemoveAll(m.Disk) }
