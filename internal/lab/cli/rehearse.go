package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"

	"pinelb.example/pinelb/internal/accesslog"
	"pinelb.example/pinelb/internal/lab/calibration"
	"pinelb.example/pinelb/internal/lab/experiment"
	"pinelb.example/pinelb/internal/lab/result"
)

// extraSeeds is the number of further plays, with other seeds, that show how far a rehearsal scatters by itself.
const extraSeeds = 5

// rehearseCmd fits a scenario to recorded traffic and plays it.
type rehearseCmd struct {
	Records     []string `arg:"" name:"record" type:"path" help:"Records of one tier's sidecars, or logs that hold them."`
	Seed        uint64   `default:"1" help:"Seed of the rehearsal's draws."`
	Out         string   `type:"path" help:"Folder for scenario.toml, record.jsonl, result.json and report.html."`
	Evaluations int      `help:"Plays that the calibration may make: 0 is the usual number, negative is none."`
	Sockets     bool     `help:"Play it on loopback sockets as well, with the sidecar's program."`
	Pinelb      string   `type:"path" help:"The sidecar's program, for --sockets; beside this one, or found by PATH, if left out."`
}

// Run fits, plays and compares. It ends with exitViolation if a count is beyond its margin of the recorded one.
func (c *rehearseCmd) Run(ctx context.Context, t *terminal) error {
	var records []*accesslog.Recording
	for _, path := range c.Records {
		r, err := readRecordFile(path)
		if err != nil {
			return exitError{exitUsage, err}
		}
		records = append(records, r)
	}
	r, err := calibration.Fit(records, calibration.Options{Seed: c.Seed, Evaluations: c.Evaluations})
	if err != nil {
		return exitError{exitUsage, fmt.Errorf("%s: %w", strings.Join(c.Records, ", "), err)}
	}
	for _, n := range r.Notes {
		fmt.Fprintln(t.out, n)
	}
	rows, err := c.compareDraws(t.out, r)
	if err != nil {
		return err
	}
	if c.Out != "" {
		if err := r.Write(c.Out, records); err != nil {
			return err
		}
	}
	reported, err := c.playWithReport(ctx, t, r)
	if err != nil {
		return err
	}
	if !calibration.AllWithinMargin(rows) || !calibration.AllWithinMargin(reported) {
		return exitError{exitViolation, errors.New("the rehearsal is beyond its margin of what was recorded")}
	}
	return nil
}

// readRecordFile reads one file; an error names the file and the line.
func readRecordFile(path string) (*accesslog.Recording, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }() // it is only read
	r, err := accesslog.Read(f)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return r, nil
}

// compareDraws plays the rehearsal with several seeds and writes its counts beside the observed ones.
func (c *rehearseCmd) compareDraws(out io.Writer, r *calibration.Replay) ([]calibration.Row, error) {
	played, err := r.Play(r.Seed)
	if err != nil {
		return nil, err
	}
	rows := r.Compare(played)
	ranges := make([][2]int, len(rows))
	for i := range uint64(extraSeeds) {
		other, err := r.Play(r.Seed + 1 + i)
		if err != nil {
			return nil, err
		}
		for k, row := range r.Compare(other) {
			if i == 0 {
				ranges[k] = [2]int{row.Replayed, row.Replayed}
			}
			ranges[k] = [2]int{min(ranges[k][0], row.Replayed), max(ranges[k][1], row.Replayed)}
		}
	}
	return rows, writeRows(out, rows, ranges)
}

// playWithReport plays the rehearsal once more with checks and a report, if --out or --sockets is given. On sockets
// its counts are compared as well.
func (c *rehearseCmd) playWithReport(ctx context.Context, t *terminal, r *calibration.Replay) ([]calibration.Row, error) {
	if c.Out == "" && !c.Sockets {
		return nil, nil
	}
	p := playOptions{Pinelb: c.Pinelb, Virtual: !c.Sockets, Seed: r.Seed}
	o, err := p.runOnce(ctx, t, r.Scenario, experiment.Config{Arrivals: r.Arrivals}, c.Out)
	switch {
	case errors.Is(err, context.Canceled):
		return nil, exitError{exitInterrupted, errors.New("stopped")}
	case err != nil:
		return nil, err
	case o.RigRanLate():
		return nil, exitError{exitInvalidRun, errors.New("the rig itself ran late: the play on sockets says nothing")}
	}
	look := result.SummaryOptions{Colour: t.colour}
	if c.Out != "" {
		look.ReportPath = filepath.Join(c.Out, "report.html")
	}
	fmt.Fprintln(t.out)
	if err := result.WriteSummary(t.out, o.Result, look); err != nil || !c.Sockets {
		return nil, err
	}
	a := &o.Result.All
	rows := r.Compare(calibration.Counts{All: calibration.Count{InTarget: a.Served.Count, Late: a.Late.Count, Rejected: a.Rejected.Count, Failed: a.Failed.Count}})
	fmt.Fprintln(t.out, "\nOn sockets:")
	return rows, writeRows(t.out, rows, nil)
}

// writeRows writes counts beside the observed ones; ranges, if there are any, are the counts that other draws give for each.
func writeRows(out io.Writer, rows []calibration.Row, ranges [][2]int) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(w, "\n\tobserved\trehearsed\tdifference\tmargin\tkept\t")
	if ranges != nil {
		fmt.Fprint(w, "other draws\t")
	}
	fmt.Fprintln(w)
	for i, row := range rows {
		withinMargin := "yes"
		if !row.WithinMargin {
			withinMargin = "NO"
		}
		fmt.Fprintf(w, "%s\t%d\t%d\t%+d\t%.0f\t%s\t", row.Name, row.Recorded, row.Replayed, row.Replayed-row.Recorded, row.Margin, withinMargin)
		if ranges != nil {
			fmt.Fprintf(w, "%d to %d\t", ranges[i][0], ranges[i][1])
		}
		fmt.Fprintln(w)
	}
	return w.Flush()
}
