package requests

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"pinelb.example/pinelb/internal/lab/machines"
)

// Result is what a play showed.
type Result struct {
	Script     *Script           `json:"script"`
	Played     []string          `json:"played"` // the faults, with their times
	Faults     map[FaultKind]int `json:"faults"`
	Requests   int               `json:"requests"`
	Statuses   map[int]int       `json:"statuses"` // of the responses; 0: none
	Runs       map[string]int    `json:"runs"`     // by the endpoints' behaviors
	Long       int               `json:"long"`     // requests with long bodies
	Changes    int               `json:"changes"`
	Emptied    int               `json:"emptied"`    // changes after which nobody had a key
	PeakMemory uint64            `json:"peakMemory"` // bytes, of the largest process
	Violations []Violation       `json:"violations,omitempty"`

	history *History
}

func (p *play) newResult() *Result {
	h := p.recorder.snapshot()
	r := &Result{
		Script: p.script, Played: p.faults.played, Faults: p.faults.counts, Requests: len(h.Requests), Statuses: map[int]int{}, Runs: map[string]int{},
		Changes: len(h.Changes), Violations: append(Check(h), p.late...), history: h,
	}
	r.PeakMemory = p.fleet.peakMemory()
	for _, text := range p.fleet.faults() {
		r.Violations = append(r.Violations, Violation{Rule: machines.FaultRule, Text: text})
	}
	for _, request := range h.Requests {
		r.Statuses[request.Status]++
		if request.BodyBytes == longBodyBytes {
			r.Long++
		}
	}
	for _, run := range h.Runs {
		r.Runs[run.Behavior]++
	}
	for _, change := range h.Changes {
		if len(change.Keys) == 0 {
			r.Emptied++
		}
	}
	return r
}

// Save writes the result and the history to files in a folder.
func (r *Result) Save(folder string) error {
	for name, value := range map[string]any{"result.json": r, "history.json": r.history} {
		text, err := json.MarshalIndent(value, "", " ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(folder, name), text, 0o600); err != nil {
			return err
		}
	}
	return nil
}

// maxPrintedViolations is how many violations of one play are printed; all of them are saved.
const maxPrintedViolations = 12

// Write prints the result.
func (r *Result) Write(w io.Writer) {
	s := r.Script
	fmt.Fprintf(w, "seed %d: %d core routers, %d others, faults %s\n", s.Seed, s.Core, s.Edge, countsText(r.Faults))
	fmt.Fprintf(w, "  %d requests, %d with long bodies, statuses %s; %d changes, %d of them left no key\n", r.Requests, r.Long, countsText(r.Statuses), r.Changes,
		r.Emptied)
	fmt.Fprintf(w, "  the largest process peaked at %d MB\n", r.PeakMemory>>20)
	for i, v := range r.Violations {
		if i == maxPrintedViolations {
			fmt.Fprintf(w, "  and %d more\n", len(r.Violations)-i)
			break
		}
		fmt.Fprintln(w, " ", v)
	}
}

func countsText[K cmp.Ordered](counts map[K]int) string {
	var parts []string
	for _, key := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%d %v", counts[key], key))
	}
	return strings.Join(parts, ", ")
}
