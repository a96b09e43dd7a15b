package stubfleet

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// order is what a rack's process is told to do, one JSON value after the other on its standard input; its end ends the process.
type command struct {
	Op       string `json:"Do"`   // make, start, restart, least, usage or lives
	Fleet     FleetConfig   `json:"Told"` // make: the fleet's
	First    int    // make: the number of the first sidecar
	Sidecars int    // make, restart: so many
}

// reply is its answer to each, on its standard output.
type reply struct {
	MinRevision int64  `json:"Least,omitempty"`
	Usage Usage  `json:",omitzero"`
	Incarnations []Incarnation `json:"Lives,omitempty"`
}

// Usage is what a process has taken.
type Usage struct {
	CPU    time.Duration // of user and system, so far
	Memory int64         // bytes resident now
}

// usage is this process's.
func usage() Usage {
	var r unix.Rusage
	_ = unix.Getrusage(unix.RUSAGE_SELF, &r) // it can't fail for oneself
	return Usage{CPU: time.Duration(r.Utime.Nano() + r.Stime.Nano()), Memory: resident()}
}

// resident is this process's resident memory in bytes; 0 is unknown.
func resident() int64 {
	text, _ := os.ReadFile("/proc/self/statm")
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize())
}

// ServeRack is a rack's process: it does what orders say until they end.
func ServeRack(in io.Reader, out io.Writer) error {
	orders, replies := json.NewDecoder(in), json.NewEncoder(out)
	var r *rack
	defer func() {
		if r != nil {
			r.close()
		}
	}()
	for {
		var o command
		if err := orders.Decode(&o); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return fmt.Errorf("hollow: orders: %w", err)
		}
		if (r == nil) != (o.Op == "make") {
			return fmt.Errorf("hollow: order %q at the wrong time", o.Op)
		}
		var a reply
		switch o.Op {
		case "make":
			r = newRack(o.Fleet, o.First, o.Sidecars)
		case "start":
			r.start()
		case "restart":
			r.restart(o.Sidecars)
		case "least":
			a.MinRevision = r.minRevision()
		case "usage":
			a.Usage = usage()
		case "lives":
			a.Incarnations = r.incarnations()
		default:
			return fmt.Errorf("hollow: order %q is unknown", o.Op)
		}
		if err := replies.Encode(a); err != nil {
			return fmt.Errorf("hollow: replies: %w", err)
		}
	}
}

// process is a rack as the play sees it.
type process struct {
	cmd       *exec.Cmd
	sidecars  int
	restarted int // of them, so far
	in        io.WriteCloser
	commands    *json.Encoder
	replies   *json.Decoder
}

// launch starts a rack's process and makes its sidecars, of which none runs yet.
func launch(cmd *exec.Cmd, told FleetConfig, first, sidecars int) (*process, error) {
	in, err := cmd.StdinPipe()
	if err != nil {
		return nil, fmt.Errorf("hollow: rack: %w", err)
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, fmt.Errorf("hollow: rack: %w", err)
	}
	cmd.Stderr = os.Stderr
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL} // ^C is for the play, which then ends them
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("hollow: rack: %w", err)
	}
	p := &process{cmd: cmd, sidecars: sidecars, in: in, commands: json.NewEncoder(in), replies: json.NewDecoder(out)}
	if _, err := p.call(command{Op: "make", Fleet: told, First: first, Sidecars: sidecars}); err != nil {
		p.close()
		return nil, err
	}
	return p, nil
}

func (p *process) call(o command) (reply, error) {
	if err := p.commands.Encode(o); err != nil {
		return reply{}, fmt.Errorf("hollow: rack: %s: %w", o.Op, err)
	}
	var a reply
	if err := p.replies.Decode(&a); err != nil {
		return reply{}, fmt.Errorf("hollow: rack: %s: %w", o.Op, err)
	}
	return a, nil
}

func (p *process) signal(s syscall.Signal) error {
	if err := p.cmd.Process.Signal(s); err != nil {
		return fmt.Errorf("hollow: rack: %w", err)
	}
	return nil
}

// close ends the process, stopped or not.
func (p *process) close() {
	_ = p.in.Close()
	_ = p.cmd.Process.Kill() // it has nothing to finish
	_ = p.cmd.Wait()
}
