// Command pinelb is the sidecar: it takes streams from callers, has the decision module choose their
// upstream hosts, and carries out what it decides. Here are only its command line and its exit statuses.
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

// statusFaulty is the exit status where the arguments or a file that is checked are faulty.
const statusFaulty = 2

// commandLine is what can stand after "pinelb".
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
	Audit      auditLine `cmd:"" help:"Ask a fleet of sidecars which version each acts on. The exit status is 0 where all are up to date, 1 where not, 2 where an argument or a file is faulty, and 3 where nobody was reached."`
	Distribute struct {
		File string `arg:"" placeholder:"FILE" help:"The distributor's file: TOML, with name, region, listen, control, dir and peers."`
	} `cmd:"" help:"Be a distributor: hold services' settings, and tell them to sidecars and to other distributors."`
	Settings settingsLine `cmd:"" help:"Publish settings at distributors, roll them back, or ask where they are in force. The exit status is 0 where it was done and, with status or --wait, all sidecars have the newest in force, 1 where not all have, 2 where an argument is faulty or a distributor refuses, and 3 where nobody was reached."`
	Version  struct{}     `cmd:"" help:"Print the version, and what it was built from and with."`
}

func main() {
	hups := make(chan os.Signal, 1) // one that waits stands for all that come meanwhile
	signal.Notify(hups, syscall.SIGHUP)
	os.Exit(command(os.Args[1:], hups))
}

// command carries out a command line and returns the exit status.
func command(args []string, hups <-chan os.Signal) int {
	if len(args) == 0 { // as the platform starts it: what the parser allocates is spared
		return sidecar("", hups)
	}
	if args[0] == "router" {
		return runRouter(args, hups)
	}
	var line commandLine
	parser, err := kong.New(&line, kong.Name("pinelb"), kong.Description(
		"A load-balancing sidecar. Without a command it serves; --config=FILE then names the operator's file."))
	if err != nil {
		panic(err) // commandLine itself is faulty
	}
	ctx, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintln(os.Stderr, "pinelb:", err)
		return statusFaulty
	}
	switch ctx.Selected().Name {
	case "show":
		return show(line.State.Show.File, os.Stdout)
	case "check":
		return check(line.Check.File, line.Check.Platform)
	case "audit":
		return runAudit(&line.Audit)
	case "distribute":
		return runDistributor(line.Distribute.File)
	case "publish", "rollback", "status":
		return runSettings(ctx.Selected().Name, &line.Settings)
	case "version":
		fmt.Println(built())
		return 0
	}
	return sidecar(line.Serve.Config, hups)
}

func sidecar(operator string, hups <-chan os.Signal) int {
	if daemon.Serve(operator, hups) != nil { // it is in the log
		return 1
	}
	return 0
}

func show(path string, out io.Writer) int {
	if err := daemon.PrintState(path, out); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusFaulty
	}
	return 0
}
