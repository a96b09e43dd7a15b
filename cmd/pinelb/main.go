// Command pinelb is the sidecar, which forwards streams to the upstream hosts that package balance chooses, and its commands;
// a distributor of settings ("pinelb distribute"); a router of a fleet ("pinelb router"); and a client of its coordination service
// ("pinelb lock", "counter", "cell" and "watch"). Here are only the command lines and the exit statuses; the work is done by packages
// daemon, settingsserver, audit, fleet/router and client.
//
// The sidecar's commands are parsed by kong and log by zerolog, the router's and those of coordination use cobra, the router zap. Operators and scripts see the
// former's help pages, error lines and exit statuses, which cobra doesn't reproduce.
package main

import (
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"pinelb.example/pinelb/internal/daemon"
)

// exitFaulty is the exit status for invalid arguments, and for an invalid file that is checked or read.
const exitFaulty = 2

// commandLine is the grammar of "pinelb ...", except for "pinelb router ..." and those of coordination. The names of the fields are those of the commands
// and flags.
type commandLine struct {
	Serve struct {
		Config string `placeholder:"FILE" help:"The operator's file. Without it all that it could switch on is off."`
	} `cmd:"" default:"withargs" help:"Serve, as the file says that LB_CONFIG names."`
	Check struct {
		File     string `arg:"" placeholder:"FILE" help:"The operator's file."`
		Platform string `placeholder:"JSON" help:"The file that LB_CONFIG names, to be checked too."`
	} `cmd:"" help:"Check an operator's file. The exit status is 2 where it is faulty."`
	State struct {
		Show struct {
			File string `arg:"" placeholder:"FILE" help:"A snapshot, or a journal of effects, in the directory that [state] names."`
		} `cmd:"" help:"Show what a file holds, and how old each part is. The exit status is 2 where it can't be read."`
	} `cmd:"" help:"What a process has left for the one after it."`
	Audit      auditCommand `cmd:"" help:"Ask a fleet of sidecars which version each acts on. The exit status is 0 where all are up to date, 1 where not, 2 where an argument or a file is faulty, and 3 where nobody was reached."`
	Distribute struct {
		File string `arg:"" placeholder:"FILE" help:"The distributor's file: TOML, with name, region, listen, control, dir and peers."`
	} `cmd:"" help:"Be a distributor: hold services' settings, and tell them to sidecars and to other distributors."`
	Settings settingsCommand `cmd:"" help:"Publish settings at distributors, roll them back, or ask where they are in force. The exit status is 0 where it was done and, with status or --wait, all sidecars have the newest in force, 1 where not all have, 2 where an argument is faulty or a distributor refuses, and 3 where nobody was reached."`
	Version  struct{}        `cmd:"" help:"Print the version, and what it was built from and with."`
}

func main() {
	hangups := make(chan os.Signal, 1) // a pending one stands for all that come in the meantime
	signal.Notify(hangups, syscall.SIGHUP)
	os.Exit(runCommand(os.Args[1:], hangups))
}

// command carries out a command line and returns the exit status.
func runCommand(args []string, hangups <-chan os.Signal) int {
	if len(args) == 0 { // as the platform starts it: without the memory that the parser allocates
		return runSidecar("", hangups)
	}
	if args[0] == "router" {
		return runRouter(args, hangups)
	}
	if isCoordinationCommand(args[0]) {
		return runCoordination(args)
	}
	var line commandLine
	parser, err := kong.New(&line, kong.Name("pinelb"), kong.Description(
		"A load-balancing sidecar. Without a command it serves; --config=FILE then names the operator's file."))
	if err != nil {
		panic(err) // commandLine itself is invalid
	}
	ctx, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintln(os.Stderr, "pinelb:", err)
		return exitFaulty
	}
	switch ctx.Selected().Name {
	case "show":
		return showState(line.State.Show.File, os.Stdout)
	case "check":
		return runCheck(line.Check.File, line.Check.Platform)
	case "audit":
		return runAudit(&line.Audit)
	case "distribute":
		return runDistributor(line.Distribute.File)
	case "publish", "rollback", "status":
		return runSettings(ctx.Selected().Name, &line.Settings)
	case "version":
		fmt.Println(versionText())
		return 0
	}
	return runSidecar(line.Serve.Config, hangups)
}

// runSidecar runs the sidecar with the operator's file, whose path may be empty.
func runSidecar(operator string, hangups <-chan os.Signal) int {
	if daemon.Serve(operator, hangups) != nil { // which has logged the error
		return 1
	}
	return 0
}

// showState prints a file of [state].
func showState(path string, out io.Writer) int {
	if err := daemon.PrintState(path, out); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFaulty
	}
	return 0
}
