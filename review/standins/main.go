// Command standins has the stand-ins of the review: clients, endpoints, the operator and the platform, and the cases that use them.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"syscall"
	"time"
)

// errBroken says that the rule was broken.
var errBroken = errors.New("the rule is broken")

// environment is what a case runs in.
type environment struct {
	record  *record
	root    string // the repository
	dir     string // a temporary folder
	trouble bool
	started []*exec.Cmd
}

var cases = map[string]func(*environment) error{
	"early":       func(e *environment) error { return runEarly(e, false) },
	"early-crash": func(e *environment) error { return runEarly(e, true) },
	"upload":      runUpload,
	"last-tenant": runLastTenant,
	"two-disks":   runTwoDisks,
	"cells":       runCells,
}

func main() {
	runtime.LockOSThread() // the kernel ends the started processes when this thread ends
	if len(os.Args) == 3 && os.Args[1] == "endpoint" {
		if err := runEndpoint(os.Args[2]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(2)
		}
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins CASE RECORD")
		os.Exit(2)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

// run runs a case and returns the exit status: 0: the rule held, 1: it was broken, 2: the case could not run.
func run(play func(*environment) error, path string) int {
	r, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(dir)
	root, _ := os.Getwd()
	e := &environment{record: r, root: root, dir: dir, trouble: os.Getenv("TROUBLE") != "0"}
	r.printf("disruption: %v", e.trouble)
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		defer exec.Command("cp", "-r", dir, keep).Run()
	}
	defer e.stopEndpoints()
	timer := time.AfterFunc(115*time.Second, func() {
		r.printf("result: the case took too long")
		e.stopEndpoints()
		os.Exit(2)
	})
	defer timer.Stop()
	err = play(e)
	switch {
	case err == nil:
		r.printf("result: the rule held")
		return 0
	case errors.Is(err, errBroken):
		r.printf("result: %v", err)
		fmt.Println(err)
		return 1
	}
	r.printf("result: the case could not run: %v", err)
	fmt.Fprintln(os.Stderr, err)
	return 2
}

// startFleet starts three machines and, in the zone of each, one endpoint of the service "rig".
func (e *environment) startFleet(mode string, laterMs int) (*fleet, []*exec.Cmd, error) {
	f, err := newFleet(e.record, e.root, e.dir, 3, 3, "base,drain,config,cost,retry,recover,engine,stream,tenants,quota", "")
	if err != nil {
		return nil, nil, err
	}
	if err := f.startAll(); err != nil {
		f.stopAll()
		return nil, nil, err
	}
	var controls []string
	for _, m := range f.machines {
		controls = append(controls, f.controlOf(m))
	}
	var endpoints []*exec.Cmd
	for i, m := range f.machines {
		cmd, err := e.startEndpoint(endpointConfig{
			ID: fmt.Sprintf("i-%d", i+1), Service: "rig", Address: freePort("127.0.77.101"), Zone: m.zone, Capacity: 6,
			Controls: controls, Mode: mode, LaterMs: laterMs,
		})
		if err != nil {
			f.stopAll()
			return nil, nil, err
		}
		endpoints = append(endpoints, cmd)
	}
	return f, endpoints, nil
}

// startEndpoint starts an endpoint as a process of its own.
func (e *environment) startEndpoint(c endpointConfig) (*exec.Cmd, error) {
	c.Record = filepath.Join(e.dir, "runs.txt")
	argument, _ := json.Marshal(c)
	cmd := exec.Command(os.Args[0], "endpoint", string(argument))
	cmd.Stdout, cmd.Stderr = os.Stderr, os.Stderr
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	e.started = append(e.started, cmd)
	e.record.printf("endpoint %s of %s started at %s", c.ID, c.Service, c.Address)
	return cmd, nil
}

func (e *environment) stopEndpoints() {
	for _, cmd := range e.started {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
	e.started = nil
}

// copyRuns adds what the endpoints wrote to the record.
func (e *environment) copyRuns() {
	text, _ := os.ReadFile(filepath.Join(e.dir, "runs.txt"))
	e.record.printf("what the endpoints ran (Unix milliseconds, endpoint, event):\n%s", text)
}
