package stubfleet

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"syscall"
)

// Operations of a rack.
const (
	opMake         = "make" // makes the rack, and comes first
	opStart        = "start"
	opRestart      = "restart"
	opMinRevision  = "least"
	opUsage        = "usage"
	opIncarnations = "lives"
)

// command is a command to a rack's process: one JSON value after the other on its standard input, whose end ends the process.
type command struct {
	Op       string      `json:"Do"`   // one of the operations
	Fleet    FleetConfig `json:"Told"` // make: the fleet's
	First    int         // make: the number of the first sidecar
	Sidecars int         // make, restart: so many
}

// reply is the reply to a command, on the standard output.
type reply struct {
	MinRevision  int64         `json:"Least,omitempty"`
	Usage        Usage         `json:",omitzero"`
	Incarnations []Incarnation `json:"Lives,omitempty"`
}

// ServeRack runs a rack's process: it executes commands until the input ends.
func ServeRack(in io.Reader, out io.Writer) error {
	commands, replies := json.NewDecoder(in), json.NewEncoder(out)
	var r *rack
	defer func() {
		if r != nil {
			r.close()
		}
	}()
	for {
		var cmd command
		if err := commands.Decode(&cmd); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return fmt.Errorf("stubfleet: commands: %w", err)
		}
		if (r == nil) != (cmd.Op == opMake) {
			return fmt.Errorf("stubfleet: command %q at the wrong time", cmd.Op)
		}
		var a reply
		switch cmd.Op {
		case opMake:
			r = newRack(cmd.Fleet, cmd.First, cmd.Sidecars)
		case opStart:
			r.start()
		case opRestart:
			r.restart(cmd.Sidecars)
		case opMinRevision:
			a.MinRevision = r.minRevision()
		case opUsage:
			a.Usage = usage()
		case opIncarnations:
			a.Incarnations = r.incarnations()
		default:
			return fmt.Errorf("stubfleet: command %q is unknown", cmd.Op)
		}
		if err := replies.Encode(a); err != nil {
			return fmt.Errorf("stubfleet: replies: %w", err)
		}
	}
}

// process is the play's handle of a rack's process.
type process struct {
	cmd       *exec.Cmd
	sidecars  int
	restarted int // stubs so far
	in        io.WriteCloser
	commands  *json.Encoder
	replies   *json.Decoder
}

// launch starts a rack's process and has it make its stubs, of which none runs yet.
func launch(cmd *exec.Cmd, config FleetConfig, first, sidecars int) (*process, error) {
	in, err := cmd.StdinPipe()
	if err != nil {
		return nil, fmt.Errorf("stubfleet: rack: %w", err)
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, fmt.Errorf("stubfleet: rack: %w", err)
	}
	cmd.Stderr = os.Stderr
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL} // SIGINT is for the play, which then kills them
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("stubfleet: rack: %w", err)
	}
	p := &process{cmd: cmd, sidecars: sidecars, in: in, commands: json.NewEncoder(in), replies: json.NewDecoder(out)}
	if _, err := p.call(command{Op: opMake, Fleet: config, First: first, Sidecars: sidecars}); err != nil {
		p.close()
		return nil, err
	}
	return p, nil
}

// call sends a command and returns the reply.
func (p *process) call(c command) (reply, error) {
	if err := p.commands.Encode(c); err != nil {
		return reply{}, fmt.Errorf("stubfleet: rack: %s: %w", c.Op, err)
	}
	var a reply
	if err := p.replies.Decode(&a); err != nil {
		return reply{}, fmt.Errorf("stubfleet: rack: %s: %w", c.Op, err)
	}
	return a, nil
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) error {
	if err := p.cmd.Process.Signal(s); err != nil {
		return fmt.Errorf("stubfleet: rack: %w", err)
	}
	return nil
}

// close kills the process, which may be stopped, and waits for it.
func (p *process) close() {
	_ = p.in.Close()
	_ = p.cmd.Process.Kill() // nothing is lost
	_ = p.cmd.Wait()
}
