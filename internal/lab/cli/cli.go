// Package cli is the command line of the test lab, pinelb-testlab: it plays scenarios against real sidecars on loopback sockets, or
// against the decision module in virtual time, judges what both ends saw, and reports it. Only cmd/pinelb-testlab calls it.
//
// A command is a type with the flags as fields (read by kong) and a method Run. Run returns an exitError for every status but
// exitOK; any other error ends the program with exitEnvironment. Flags are checked before anything is started or written.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"golang.org/x/term"
)

// programName is the name that the program goes by in its messages.
const programName = "pinelb-testlab"

// The exit statuses.
const (
	exitOK          = 0
	exitViolation   = 1   // a rule or an expectation of the scenario
	exitUsage       = 2   // the scenario, a file or the arguments
	exitInvalidRun  = 3   // the test lab itself ran late: the run says nothing
	exitInterrupted = 130 // SIGINT or SIGTERM
	exitEnvironment = 4   // the test lab could not play: no program, no free address, no space on the disk
)

// commands are the command line's commands; kong derives their names from the fields unless a tag gives one.
type commands struct {
	Demo         demoCmd         `cmd:"" default:"withargs" help:"Emulated boxes, one sidecar, ten seconds of load and a failure in the middle."`
	Run          runCmd          `cmd:"" help:"Play a scenario and judge it."`
	Sweep        sweepCmd        `cmd:"" help:"Play all combinations of some keys' values and print a table."`
	Check        checkCmd        `cmd:"" help:"Check a scenario's file without playing it."`
	List         listCmd         `cmd:"" help:"Name the scenarios that come with the program."`
	Rehearse     rehearseCmd     `cmd:"" help:"Fit boxes and failures to sidecars' records and play them again."`
	Diff         diffCmd         `cmd:"" help:"Compare two results."`
	PollSim      pollSimCmd      `cmd:"" name:"asking" help:"Play in virtual time how a fleet asks one list service, by several rules."`
	Slopes       slopesCmd       `cmd:"" help:"Measure what control costs at sizes that double, with real sidecars."`
	Scale        scaleCmd        `cmd:"" help:"Measure what thousands of hollow sidecars cost a list service, and how soon a change is in force at all."`
	Rack         rackCmd         `cmd:"" hidden:"" help:"A rack of hollow sidecars, as scale starts it."`
	Distribute   distributeCmd   `cmd:"" help:"Measure how settings reach sidecars through five distributors: real ones, hollow followers and real sidecars."`
	Variants     variantsCmd     `cmd:"" help:"Make site files of deployments that nobody has out of one of the bench's."`
	Routers      routersCmd      `cmd:"" help:"Measure what control costs a fleet of routers, and how soon a configuration is in force at all."`
	Coordination coordinationCmd `cmd:"" help:"Play routers that serve locks, counters, cells and watches, with faults drawn from seeds, and judge what callers saw."`
	Requests     requestsCmd     `cmd:"" help:"Play routers before endpoints that fail, with faults and an operator drawn from seeds, and judge what clients saw."`
	Decide       decideCmd       `cmd:"" help:"Play the routers' decision before a model of the engines, beside a scheduler that knows everything."`
}

// terminal is the program's output.
type terminal struct {
	out, err io.Writer
	colour   bool // out is a terminal
	progress bool // err is a terminal
}

// exitError is an error with the exit status that it ends the program with. A nil err ends it without a message.
type exitError struct {
	status int
	err    error
}

func (e exitError) Error() string { return e.err.Error() }
func (e exitError) Unwrap() error { return e.err }

// Main runs the program and returns its exit status. The command line stands in os.Args.
func Main() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	t := &terminal{out: os.Stdout, err: os.Stderr, colour: term.IsTerminal(int(os.Stdout.Fd())), progress: term.IsTerminal(int(os.Stderr.Fd()))}
	status := run(ctx, os.Args[1:], t)
	stop()
	return status
}

// run is the program without the process: it returns the exit status.
func run(ctx context.Context, args []string, t *terminal) (status int) {
	var c commands
	done := -1
	parser, err := kong.New(&c, kong.Name(programName), kong.Writers(t.out, t.err), kong.Exit(func(code int) { done = code }),
		kong.Description("Plays scenarios against pinelb on loopback sockets or in virtual time, and judges them."),
		kong.UsageOnError())
	if err != nil {
		panic(err) // a mistake in the tags of commands
	}
	k, err := parser.Parse(args)
	if done >= 0 { // help was asked for
		return done
	}
	if err != nil {
		fmt.Fprintln(t.err, programName+":", err)
		return exitUsage
	}
	k.BindTo(ctx, (*context.Context)(nil))
	if err := k.Run(t); err != nil {
		var e exitError
		if !errors.As(err, &e) {
			e = exitError{exitEnvironment, err}
		}
		if e.err != nil {
			fmt.Fprintln(t.err, programName+":", e.err)
		}
		return e.status
	}
	return exitOK
}
