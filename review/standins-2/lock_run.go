package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// The job that "pinelb lock run" starts: a step each stepInterval, which the rig is told of.
const (
	jobCommand   = "job"
	stepInterval = 50 * time.Millisecond
	lockHold     = 10 * time.Second // the default of "pinelb lock run"
	maxOverlap   = 500 * time.Millisecond
)

// runJob is a command of an operator: it takes a number of steps, and at SIGTERM finishes what it is at, which takes it a number of further steps. It tells
// the rig its name, its process and its fencing token with each. Arguments: the rig's address, name, steps, further steps.
func runJob(arguments []string) int {
	terminated := make(chan os.Signal, 1)
	signal.Notify(terminated, syscall.SIGTERM)
	c, err := net.Dial("tcp4", arguments[0])
	if err != nil {
		return 2
	}
	defer c.Close()
	steps, _ := strconv.Atoi(arguments[2])
	further, _ := strconv.Atoi(arguments[3])
	for ; steps > 0; steps-- {
		if _, err := fmt.Fprintf(c, "%s %d %s\n", arguments[1], os.Getpid(), os.Getenv("PINELB_FENCE")); err != nil {
			return 2
		}
		select {
		case <-terminated:
			steps = min(steps, further)
		case <-time.After(stepInterval):
		}
	}
	return 0
}

// step is one step of a job, as the rig was told of it.
type step struct {
	at    time.Duration
	name  string
	pid   int
	fence string
}

// rig is what the lock protects: it notes the steps. It doesn't look at fencing tokens.
type rig struct {
	record   *record
	listener net.Listener
	mu       sync.Mutex
	steps    []step
}

func startRig(r *record) (*rig, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	g := &rig{record: r, listener: l}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go g.serve(c)
		}
	}()
	return g, nil
}

func (g *rig) serve(c net.Conn) {
	defer c.Close()
	lines := bufio.NewScanner(c)
	for first := true; lines.Scan(); first = false {
		s := step{at: g.record.now()}
		if _, err := fmt.Sscan(lines.Text(), &s.name, &s.pid, &s.fence); err != nil {
			return
		}
		if first {
			g.record.linef("rig: first step of job %s, process %d, fencing token %s", s.name, s.pid, s.fence)
		}
		g.mu.Lock()
		g.steps = append(g.steps, s)
		g.mu.Unlock()
	}
}

// of returns the steps of a job.
func (g *rig) of(name string) (steps []step) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.steps {
		if s.name == name {
			steps = append(steps, s)
		}
	}
	return steps
}

// await waits until a job has taken a number of steps.
func (g *rig) await(name string, steps int, timeout time.Duration) bool {
	for end := time.Now().Add(timeout); len(g.of(name)) < steps; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			return false
		}
	}
	return true
}

// close ends what is left of the jobs.
func (g *rig) close() {
	g.listener.Close()
	for _, name := range []string{"first", "second"} {
		if steps := g.of(name); len(steps) > 0 {
			_ = syscall.Kill(steps[0].pid, syscall.SIGKILL)
		}
	}
}

// overlap returns for how long the first job took steps while the second one, which got the lock later, was at work.
func (g *rig) overlap() time.Duration {
	first, second := g.of("first"), g.of("second")
	var during []step // of the first job
	for _, s := range first {
		if s.at > second[0].at && s.at <= second[len(second)-1].at {
			during = append(during, s)
		}
	}
	for _, steps := range [][]step{first, second} {
		begin, end := steps[0], steps[len(steps)-1]
		g.record.linef("job %s: %d steps from %.3f to %.3f s, fencing token %s", begin.name, len(steps), begin.at.Seconds(), end.at.Seconds(), begin.fence)
	}
	if len(during) == 0 {
		g.record.linef("the first job took no step after the second had begun")
		return 0
	}
	begin, end := during[0].at, during[len(during)-1].at
	g.record.linef("steps of the first job while the second was at work: %d, from %.3f to %.3f s", len(during), begin.Seconds(), end.Seconds())
	return end - begin
}

// lockRun starts "pinelb lock run" on one machine for a command.
func lockRun(f *fleet, name string, command ...string) (*exec.Cmd, error) {
	arguments := []string{"lock", "run", "nightly", "--hold", lockHold.String(), "--timeout", "100s"}
	for _, m := range f.machines[:3] {
		arguments = append(arguments, "--address", m.control())
	}
	arguments = append(append(arguments, "--"), command...)
	process := exec.Command("target/pinelb", arguments...)
	if err := process.Start(); err != nil {
		return nil, err
	}
	f.record.linef("%s: process %d runs target/pinelb %v", name, process.Process.Pid, arguments)
	go func() {
		_ = process.Wait()
		f.record.linef("%s: \"pinelb lock run\" has ended: %v", name, process.ProcessState)
	}()
	return process, nil
}

// playLock starts the routers, the rig and a "pinelb lock run" on each of two machines, has disrupt act on the first, and judges. steps is the length of the
// first job.
func playLock(f *fleet, steps int, commandOf func(rigAddress, name string, steps int) []string, disrupt func(lockRun *exec.Cmd, job int)) (bool, error) {
	f.coordination = true
	if err := f.start(); err != nil {
		return false, err
	}
	g, err := startRig(f.record)
	if err != nil {
		return false, err
	}
	defer g.close()
	time.Sleep(3 * time.Second)
	for i, name := range []string{"first", "second"} {
		process, err := lockRun(f, name, commandOf(g.listener.Addr().String(), name, steps)...)
		if err != nil {
			return false, err
		}
		defer func() { _ = process.Process.Kill() }()
		if i > 0 {
			continue
		}
		if !g.await(name, 20, 20*time.Second) {
			return false, fmt.Errorf("the first job does not begin")
		}
		defer func() { _ = process.Process.Signal(syscall.SIGCONT) }()
		if trouble() {
			go func() {
				time.Sleep(2 * time.Second)
				disrupt(process, g.of(name)[0].pid)
			}()
		}
	}
	if !g.await("second", 100, 60*time.Second) {
		return false, fmt.Errorf("the second job does not begin")
	}
	return g.overlap() > maxOverlap, nil
}

// lockRunDies: "pinelb lock run" is killed while it runs a script, whose command goes on; the hold ends, and another machine runs its command. Rule ONE.
func lockRunDies(f *fleet) (bool, error) {
	script := func(rigAddress, name string, steps int) []string {
		return []string{"sh", "-c", fmt.Sprintf("target/standins2 %s %s %s %d 0\nexit $?", jobCommand, rigAddress, name, steps)}
	}
	return playLock(f, 400, script, func(lockRun *exec.Cmd, _ int) {
		_ = lockRun.Process.Kill()
		f.record.linef("first: \"pinelb lock run\" is killed")
	})
}

// lockRunSleeps: "pinelb lock run" and its command sleep past the end of the hold, another machine runs its command, and the first ones wake. Rule ONE.
func lockRunSleeps(f *fleet) (bool, error) {
	command := func(rigAddress, name string, steps int) []string {
		return []string{"target/standins2", jobCommand, rigAddress, name, strconv.Itoa(steps), "40"}
	}
	return playLock(f, 400, command, func(lockRun *exec.Cmd, job int) {
		_ = lockRun.Process.Signal(syscall.SIGSTOP)
		_ = syscall.Kill(-job, syscall.SIGSTOP)
		f.record.linef("first: \"pinelb lock run\" and its command sleep")
		time.Sleep(lockHold + 2*time.Second)
		_ = syscall.Kill(-job, syscall.SIGCONT)
		_ = lockRun.Process.Signal(syscall.SIGCONT)
		f.record.linef("first: \"pinelb lock run\" and its command wake")
	})
}
