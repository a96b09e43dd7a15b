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
	"pinelb.example/pinelb/internal/inflight"
	"pinelb.example/pinelb/internal/persistence"
)

// errNothingLearned says that a snapshot has no learned state: it is of a release from before there was such.
var errNothingLearned = errors.New("nothing that was learned stands in it")

// PrintState prints a file of [state], a snapshot or a journal, for people. The error names the file and why it can't be read.
func PrintState(path string, out io.Writer) error {
	text, err := os.ReadFile(path)
	if err == nil {
		err = printState(path, text, out)
	}
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}

func printState(path string, text []byte, out io.Writer) error {
	now := persistence.Now()
	snapshot, err := persistence.DecodeSnapshot(text)
	switch {
	case err == nil:
		return printSnapshot(snapshot, now, out)
	case persistence.IsJournal(filepath.Base(path)):
		printJournal(text, now, out)
		return nil
	default:
		return err
	}
}

func printSnapshot(snapshot *persistence.Snapshot, now persistence.Timestamp, out io.Writer) error {
	var state processState
	if err := json.Unmarshal(snapshot.State, &state); err != nil {
		return err
	}
	learned := state.Engine.Learned
	if learned == nil {
		return errNothingLearned
	}
	age := now.Since(snapshot.Saved)
	fmt.Fprintf(out, "saved     %s, %v ago\nsite      %s\nlist      %d hosts, cordoned %q\n",
		snapshot.Saved.Wall.UTC().Format(time.RFC3339), age.Round(time.Millisecond), snapshot.Site,
		len(state.Table.List.Members), state.Table.Cordoned)
	fmt.Fprintf(out, "limit     %.1f requests, crowded %v, %s\nmeasure   %.2f of the aim uncrowded, %s\n",
		learned.Limit, learned.Congested, formatValidity(age, balance.MaxLimitAge),
		learned.Baseline, formatValidity(age, balance.MaxBaselineAge))
	fmt.Fprintf(out, "weight    a curve has %.3f of what it had when it was saved\n", balance.DecayWeight(age))
	return printLearned(&state, age, out)
}

// printLearned prints what was learned of each class and of each endpoint, age ago.
func printLearned(state *processState, age time.Duration, out io.Writer) error {
	learned := state.Engine.Learned
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "\nclass\tdelay\tanswers\n")
	for i, c := range learned.Classes {
		if i < len(state.Classes) {
			fmt.Fprintf(table, "%s\t%v\t%.1f\n", state.Classes[i], meanDelay(c.Latency), c.Latency.N)
		}
	}
	names := map[balance.EndpointID]string{}
	for _, m := range state.Table.List.Members {
		names[m.Endpoint] = m.ID
	}
	fmt.Fprintf(table, "\nhost\tdelay\tanswers\tejected for\ttrial\tsuspect\n")
	for _, s := range learned.Endpoints {
		fmt.Fprintf(table, "%s\t%v\t%.1f\t%v\t%v\t%.1f\n", names[s.Endpoint], meanDelay(s.Latency), s.Latency.N,
			max(0, s.EjectedFor-age).Round(time.Millisecond), s.HalfOpen, s.Evidence.Suspicion)
	}
	return table.Flush()
}

// formatValidity formats for how long a figure of that age still counts.
func formatValidity(age, maxAge time.Duration) string {
	if age > maxAge {
		return fmt.Sprintf("no longer believed after %v", maxAge)
	}
	return fmt.Sprintf("believed for another %v", (maxAge - age).Round(time.Millisecond))
}

// meanDelay rounds to what the measurement is good for; 0 where nothing was measured.
func meanDelay(s balance.MeanState) time.Duration {
	if s.N <= 0 {
		return 0
	}
	return time.Duration(s.Sum / s.N * float64(time.Second)).Round(10 * time.Microsecond)
}

func printJournal(text []byte, now persistence.Timestamp, out io.Writer) {
	notes, skipped := persistence.DecodeJournal(text, now)
	fmt.Fprintf(out, "%d lines, %d more that are cut off or changed\n\n", len(notes), skipped)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "txn\tclass\tkey\tsent\tkept for\tstate\n")
	for _, n := range notes {
		fmt.Fprintf(table, "%s\t%s\t%s\t%v ago\t%v\t%s\n", n.Txn, n.Class, n.Key, now.Wall.Sub(n.SentAt).Round(time.Millisecond), n.Retention, effectStatus(n))
	}
	_ = table.Flush()
}

func effectStatus(n inflight.Update) string {
	switch {
	case n.Retracted:
		return "never ran"
	case n.Done:
		return "may have run, and is over"
	default:
		return "may have run, and was under way"
	}
}
