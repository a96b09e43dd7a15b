package main

import (
	"cmp"
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"pinelb.example/pinelb/internal/audit"
	versions "pinelb.example/pinelb/internal/version"
)

// auditCommand is the grammar of "pinelb audit". The names of the fields are those of the flags.
type auditCommand struct {
	Roster string `arg:"" placeholder:"FILE" help:"The sidecars: TOML, tables [[sidecar]] with name, addr (where operators call it) and, where they are known, zone and dir (its [state] directory)."`

	List    string        `placeholder:"ADDR" help:"The list service, whose list is then the reference. Without it that is the list which was adopted last."`
	Site    string        `help:"The site. Without it that is what most sidecars say."`
	By      string        `help:"The auditor's name, another one for each start. Without it the machine's, and the time."`
	Dir     []string      `placeholder:"NAME=DIR" sep:"none" help:"The [state] directory of a dead sidecar, whose trail is read; without a name it is the directory's. May stand more than once."`
	Kept    string        `placeholder:"FILE" help:"What was gathered is kept there, and the audit continues from it."`
	AtATime int           `default:"256" help:"How many sidecars are asked at a time."`
	Within  time.Duration `default:"1s" help:"How long one is waited for."`

	JSON   bool          `help:"Lines of JSON: one for each sidecar, one for each contradiction, and a summary."`
	All    bool          `help:"In the table also those that are up to date."`
	Page   string        `placeholder:"FILE" help:"A page for a browser, written anew in each round."`
	Watch  time.Duration `placeholder:"1s" help:"Go on, a round each so often, until interrupted."`
	Rounds int           `help:"End after so many rounds."`

	Raise    bool            `help:"Raise a floor: who is under the reference, or under what --settings, --file and --build ask for, is told to come up. Without --watch that ends when all are up to date, or 5 s after spread and grace."`
	Settings versions.Digest `placeholder:"HEX" help:"The platform's settings that all are to have."`
	File     versions.Digest `placeholder:"HEX" help:"The operator's file that all are to have."`
	Build    []string        `sep:"none" help:"A build that is right. May stand more than once."`
	Grace    time.Duration   `default:"3s" help:"How long after it has heard of the floor a sidecar may be under it."`
	Spread   time.Duration   `default:"2s" help:"Over which time those under it ask the list service again."`
	For      time.Duration   `default:"1m" help:"How long a floor stands unless it is raised anew; 1h at most."`
	ShutOut  bool            `help:"Who is behind is to shut itself out, within the share. Needs --raise and --watch."`
	Share    float64         `default:"0.1" help:"Of the fleet, and of each zone, that may be shut out at once."`
}

// runAudit audits and returns the exit status.
func runAudit(line *auditCommand) int {
	o, err := line.options()
	if err == nil {
		ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
		defer stop()
		var exit int
		exit, err = audit.Run(ctx, o, audit.Output{To: os.Stdout, JSON: line.JSON, All: line.All, Page: line.Page, StateFile: line.Kept,
			Interval: line.Watch, Rounds: line.Rounds})
		if err == nil {
			return exit
		}
	}
	fmt.Fprintln(os.Stderr, "pinelb audit:", err)
	return exitFaulty
}

// options returns the audit's options. An error names the argument, or the inventory's file, line and key.
func (l *auditCommand) options() (audit.Options, error) {
	roster, err := audit.ReadInventory(l.Roster)
	if err != nil {
		return audit.Options{}, err
	}
	if l.ShutOut && l.Watch <= 0 {
		return audit.Options{}, fmt.Errorf("--shut-out needs --watch: who is shut out comes back 5 s after the last round")
	}
	if l.Watch < 0 || l.Rounds < 0 {
		return audit.Options{}, fmt.Errorf("--watch and --rounds: %v and %d must not be below 0", l.Watch, l.Rounds)
	}
	host, _ := os.Hostname() // without one the time alone distinguishes auditors
	o := audit.Options{Inventory: roster, Dirs: map[string]string{}, Site: l.Site, List: l.List, Concurrency: l.AtATime, Timeout: l.Within,
		By:           cmp.Or(l.By, host+"-"+strconv.FormatInt(time.Now().UnixMilli(), 36)),
		RaiseMinimum: l.Raise, ShutOut: l.ShutOut, Settings: l.Settings, File: l.File, Builds: l.Build,
		Grace: l.Grace, Spread: l.Spread, Validity: l.For, Share: l.Share}
	for _, d := range l.Dir {
		name, dir, named := strings.Cut(d, "=")
		if !named {
			name, dir = filepath.Base(d), d
		}
		o.Dirs[name] = dir
	}
	return o, o.Check()
}
