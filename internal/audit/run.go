package audit

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"time"
)

const (
	saveInterval = 10 * time.Second // between two writes of the state file
	raiseTail    = 5 * time.Second  // beyond spread and grace, for the last sidecars to meet the minimum version
)

// Output is where findings are written, and for how many rounds.
type Output struct {
	To        io.Writer
	JSON      bool          // lines of JSON in place of a table
	All       bool          // the table has also the sidecars that are up to date
	Page      string        // the file of an HTML page; "": none
	StateFile string        // the file from which the audit continues and to which it is saved; "": none
	Interval  time.Duration // between the starts of two rounds; 0: one round or, with RaiseMinimum, until all are up to date
	Rounds    int           // at most; 0: no limit
}

// Run audits until ctx is done or all rounds are over, and returns the last round's exit status. An error says that a file
// can't be read or written.
func Run(ctx context.Context, o Options, out Output) (exit int, err error) {
	a := New(o)
	defer a.Close()
	if out.StateFile != "" {
		if err := a.Load(out.StateFile); err != nil {
			return ExitFaulty, err
		}
	}
	start, savedAt := time.Now(), time.Now()
	interval := max(out.Interval, 0)
	if interval == 0 {
		interval = time.Second
	}
	exit = ExitNoneReached
	lastShown := ""
	for round := 1; ; round++ {
		next := time.Now().Add(interval)
		v, err := a.Round(ctx)
		if err != nil { // interrupted
			break
		}
		exit = v.Exit()
		if lastShown, err = out.write(v, lastShown); err != nil {
			return ExitFaulty, err
		}
		last := out.isLast(round, v, time.Since(start), &o)
		if out.StateFile != "" && (last || time.Since(savedAt) >= saveInterval) {
			savedAt = time.Now()
			if err := a.Save(out.StateFile, v.At); err != nil {
				return ExitFaulty, err
			}
		}
		if last {
			return exit, nil
		}
		select {
		case <-time.After(time.Until(next)):
			continue
		case <-ctx.Done():
		}
		break
	}
	if out.StateFile != "" && a.round > 0 {
		return exit, a.Save(out.StateFile, millis(time.Now()))
	}
	return exit, nil
}

// isLast reports whether the round was the last one.
func (out *Output) isLast(round int, v *View, since time.Duration, o *Options) bool {
	switch {
	case out.Rounds > 0:
		return round >= out.Rounds
	case out.Interval > 0:
		return false
	case !o.RaiseMinimum:
		return true
	}
	return v.Count(UpToDate) == len(v.Rows) || since >= o.Grace+o.Spread+raiseTail
}

// write writes a round's findings. A table is written only where another sidecar, status or contradiction is in it than in the
// one before.
func (out *Output) write(v *View, lastShown string) (string, error) {
	if out.Page != "" {
		var text bytes.Buffer
		if err := v.Page(&text); err != nil {
			return lastShown, err
		}
		if err := replaceFile(out.Page, text.Bytes()); err != nil {
			return lastShown, err
		}
	}
	if out.JSON {
		return lastShown, v.JSON(out.To)
	}
	shown := v.Verdict() + v.NoOrdersReason
	for i := range v.Rows {
		shown += fmt.Sprintln(v.Rows[i].Name, v.Rows[i].Status)
	}
	if shown == lastShown {
		return lastShown, nil
	}
	return shown, v.Table(out.To, out.All)
}
