package audit

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"time"
)

const (
	saveInterval = 10 * time.Second // what was gathered; and in the end
	raiseTail    = 5 * time.Second  // how long a floor's raising goes on beyond spread and grace, for the last to answer
)

// Output is where an audit's findings go, and for how long they do.
type Output struct {
	To        io.Writer
	JSON      bool          // lines of JSON, and not a table
	All       bool          // in the table also those who are up to date
	Page      string        // a file for a page; "" is none
	StateFile string        // a file from which the audit continues, and into which it is saved; "" is none
	Interval  time.Duration // from one round's beginning to the next; 0: one round, or as many as bringing up takes
	Rounds    int           // at most; 0 is without end
}

// Run audits until ctx ends or all rounds are over, and returns the exit status that the last one has. An error says that a
// file can't be read or written.
func Run(ctx context.Context, o Options, out Output) (exit int, err error) {
	a := New(o)
	defer a.Close()
	if out.StateFile != "" {
		if err := a.Load(out.StateFile); err != nil {
			return ExitFaulty, err
		}
	}
	began, saved := time.Now(), time.Now()
	every := max(out.Interval, 0)
	if every == 0 {
		every = time.Second
	}
	exit = ExitNoneReached
	told := ""
	for round := 1; ; round++ {
		next := time.Now().Add(every)
		v, err := a.Round(ctx)
		if err != nil { // interrupted
			break
		}
		exit = v.Exit()
		if told, err = out.write(v, told); err != nil {
			return ExitFaulty, err
		}
		last := out.isLast(round, v, time.Since(began), &o)
		if out.StateFile != "" && (last || time.Since(saved) >= saveInterval) {
			saved = time.Now()
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

// last tells whether a round is.
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

// write tells what a round has found. A table is only told anew when it tells of another sidecar, status or contradiction.
func (out *Output) write(v *View, told string) (string, error) {
	if out.Page != "" {
		var text bytes.Buffer
		if err := v.Page(&text); err != nil {
			return told, err
		}
		if err := replaceFile(out.Page, text.Bytes()); err != nil {
			return told, err
		}
	}
	if out.JSON {
		return told, v.JSON(out.To)
	}
	news := v.Verdict() + v.NoOrdersReason
	for i := range v.Rows {
		news += fmt.Sprintln(v.Rows[i].Name, v.Rows[i].Status)
	}
	if news == told {
		return told, nil
	}
	return news, v.Table(out.To, out.All)
}
