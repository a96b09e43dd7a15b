package daemon

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"text/tabwriter"
	"time"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/persistence"
)

// PrintState prints what a file of [state] holds.
func PrintState(path string, out io.Writer) error {
	text, err := os.ReadFile(path)
	if err == nil {
		now := persistence.Now()
		snap, fault := persistence.Decode(text)
		switch {
		case fault == nil:
			err = showSnapshot(snap, now, out)
		case persistence.IsJournal(filepath.Base(path)):
			showJournal(text, now, out)
		default:
			err = fault
		}
	}
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}

func showSnapshot(s *persistence.Snapshot, now persistence.Clock, out io.Writer) error {
	var h processState
	if err := json.Unmarshal(s.State, &h); err != nil {
		return err
	}
	l := h.Engine.Learned
	if l == nil {
		return errors.New("nothing that was learned stands in it")
	}
	age := now.Since(s.Saved)
	fmt.Fprintf(out, "saved     %s, %v ago\nsite      %s\nlist      %d hosts, cordoned %q\n", s.Saved.Wall.UTC().Format(time.RFC3339),
		age.Round(time.Millisecond), s.Site, len(h.Table.List.Members), h.Table.Cordoned)
	fmt.Fprintf(out, "limit     %.1f requests, crowded %v, %s\nmeasure   %.2f of the aim uncrowded, %s\n", l.Limit, l.Crowded,
		formatValidity(age, balance.LimitFor), l.Uncrowded, formatValidity(age, balance.MeasureFor))
	fmt.Fprintf(out, "weight    a curve has %.3f of what it had when it was saved\n", balance.Weight(age))
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "\nclass\tdelay\tanswers\n")
	for i, c := range l.Classes {
		if i < len(h.Classes) {
			fmt.Fprintf(t, "%s\t%v\t%.1f\n", h.Classes[i], meanDelay(c.Delay), c.Delay.N)
		}
	}
	names := map[balance.EndpointID]string{}
	for _, m := range h.Table.List.Members {
		names[m.Endpoint] = m.ID
	}
	fmt.Fprintf(t, "\nhost\tdelay\tanswers\tejected for\ttrial\tsuspect\n")
	for _, s := range l.Hosts {
		fmt.Fprintf(t, "%s\t%v\t%.1f\t%v\t%v\t%.1f\n", names[s.Endpoint], meanDelay(s.Delay), s.Delay.N,
			max(0, s.Ejected-age).Round(time.Millisecond), s.Trial, s.Seen.Suspect)
	}
	return t.Flush()
}

func formatValidity(age, most time.Duration) string {
	if age > most {
		return fmt.Sprintf("no longer believed after %v", most)
	}
	return fmt.Sprintf("believed for another %v", (most - age).Round(time.Millisecond))
}

func meanDelay(s balance.Sample) time.Duration {
	if s.N <= 0 {
		return 0
	}
	return time.Duration(s.Sum / s.N * float64(time.Second)).Round(10 * time.Microsecond)
}

func showJournal(text []byte, now persistence.Clock, out io.Writer) {
	notes, skipped := persistence.DecodeJournal(text, now)
	fmt.Fprintf(out, "%d lines, %d more that are cut off or changed\n\n", len(notes), skipped)
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "txn\tclass\tkey\tsent\tkept for\tstate\n")
	for _, n := range notes {
		state := "may have run, and was under way"
		switch {
		case n.Back:
			state = "never ran"
		case n.Over:
			state = "may have run, and is over"
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%v ago\t%v\t%s\n", n.Txn, n.Class, n.Key, now.Wall.Sub(n.At).Round(time.Millisecond), n.Keep, state)
	}
	_ = t.Flush()
}
