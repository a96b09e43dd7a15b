package coordination

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"pinelb.example/pinelb/internal/lab/coordination/history"
	"pinelb.example/pinelb/internal/lab/machines"
)

// KindCounts count the calls of one kind.
type KindCounts struct {
	Calls   int           `json:"calls"`
	Good    int           `json:"good"`    // answered 200
	Unclear int           `json:"unclear"` // their outcome is not known
	Refused int           `json:"refused"` // 429 and 503
	Worst   time.Duration `json:"worst"`   // latency of a good one; of a watch: with its wait
	P99     time.Duration `json:"p99"`     // latency of the good ones
}

// Result is what a play showed.
type Result struct {
	Script     *Script                      `json:"script"`
	Played     []string                     `json:"played"` // the faults, with their times
	Faults     map[string]int               `json:"faults"` // played, by their kind
	Passed     map[string]int               `json:"passed"` // passed over, by their kind
	Kinds      map[history.Kind]*KindCounts `json:"kinds"`
	LongestGap time.Duration                `json:"longestGap"`        // between good answers to any caller
	GapBegin   time.Duration                `json:"gapBegin"`          // when the longest gap began
	Settled    bool                         `json:"settled"`           // all acceptors took part at the end
	SettleTime time.Duration                `json:"settleTime"`        // until then
	Readback   time.Duration                `json:"readback"`          // the worst time until an answer at the end
	LatePauses time.Duration                `json:"latePauses"`        // the most by which the lab itself ran late
	LateSyncs  time.Duration                `json:"lateSyncs"`         // the longest sync of the lab itself
	TooBusy    []string                     `json:"tooBusy,omitempty"` // answers that did not come at the end, on a machine that was late itself
	Undecided  []string                     `json:"undecided,omitempty"`
	PeakMemory uint64                       `json:"peakMemory"` // bytes, of the largest process
	Violations []history.Violation          `json:"violations,omitempty"`

	history *history.History
}

func (p *play) newResult(last *readback) *Result {
	h := p.history()
	report := history.Check(h)
	r := &Result{
		Script: p.script, Played: p.faults.played, Faults: p.faults.counts, Passed: p.faults.passed, Readback: last.worst,
		LatePauses: p.lateness.pauses, LateSyncs: p.lateness.syncs,
		Undecided: report.Undecided, Violations: report.Violations, history: h, Kinds: countKinds(h.Calls),
	}
	r.GapBegin, r.LongestGap = longestGap(h.Calls)
	r.PeakMemory = p.fleet.peakMemory()
	for _, text := range p.fleet.faults() {
		r.Violations = append(r.Violations, history.Violation{Rule: machines.FaultRule, Text: text})
	}
	if p.lateness.isTooBusy() {
		r.TooBusy = last.unanswered
		return r
	}
	for _, text := range last.unanswered {
		r.Violations = append(r.Violations, history.Violation{Rule: history.Lost, Text: "no answer at the end: " + text})
	}
	return r
}

func countKinds(calls []*history.Call) map[history.Kind]*KindCounts {
	kinds := map[history.Kind]*KindCounts{}
	latencies := map[history.Kind][]time.Duration{}
	for _, call := range calls {
		if kinds[call.Kind] == nil {
			kinds[call.Kind] = &KindCounts{}
		}
		k := kinds[call.Kind]
		k.Calls++
		switch call.Status {
		case http.StatusOK:
			k.Good++
			latencies[call.Kind] = append(latencies[call.Kind], call.Received-call.Sent)
		case history.Unclear:
			k.Unclear++
		case http.StatusTooManyRequests, http.StatusServiceUnavailable:
			k.Refused++
		}
	}
	for kind, list := range latencies {
		slices.Sort(list)
		kinds[kind].Worst, kinds[kind].P99 = list[len(list)-1], list[len(list)*99/100]
	}
	return kinds
}

// longestGap returns the longest time without a good answer to any caller.
func longestGap(calls []*history.Call) (begin, longest time.Duration) {
	var times []time.Duration
	for _, call := range calls {
		if call.Status == http.StatusOK {
			times = append(times, call.Received)
		}
	}
	slices.Sort(times)
	for i := 1; i < len(times); i++ {
		if gap := times[i] - times[i-1]; gap > longest {
			begin, longest = times[i-1], gap
		}
	}
	return begin, longest
}

// Save writes the result and the history to files in a folder.
func (r *Result) Save(folder string) error {
	if err := writeJSON(filepath.Join(folder, "result.json"), r); err != nil {
		return err
	}
	return writeJSON(filepath.Join(folder, "history.json"), r.history)
}

func writeJSON(path string, value any) error {
	text, err := json.MarshalIndent(value, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, text, 0o600)
}

// Write prints the result.
func (r *Result) Write(w io.Writer) {
	s := r.Script
	fmt.Fprintf(w, "seed %d: %d core machines, %d forwarders, history %d s, long values %d B, faults %s", s.Seed, s.Core, s.Forwarders, s.HistoryS, s.BulkBytes,
		countsText(r.Faults))
	if len(r.Passed) > 0 {
		fmt.Fprintf(w, ", passed over %s", countsText(r.Passed))
	}
	fmt.Fprintf(w, "\n  the largest process peaked at %d MB\n", r.PeakMemory>>20)
	for _, kind := range []history.Kind{history.Acquire, history.Renew, history.Release, history.Increment, history.Put, history.Get, history.Watch} {
		if k := r.Kinds[kind]; k != nil {
			fmt.Fprintf(w, "  %-9s %5d calls, %5d good, %4d unclear, %3d refused, p99 %v, worst %v\n", kind, k.Calls, k.Good, k.Unclear, k.Refused,
				k.P99.Round(time.Millisecond), k.Worst.Round(time.Millisecond))
		}
	}
	fmt.Fprintf(w, "  longest time without a good answer %v, from %.1f s; settled at the end: %v, after %v; worst answer at the end after %v\n",
		r.LongestGap.Round(time.Millisecond), r.GapBegin.Seconds(), r.Settled, r.SettleTime.Round(time.Millisecond), r.Readback.Round(time.Millisecond))
	fmt.Fprintf(w, "  the machine: a pause too long by %v, a sync of %v\n", r.LatePauses.Round(time.Millisecond), r.LateSyncs.Round(time.Millisecond))
	for _, text := range r.TooBusy {
		fmt.Fprintf(w, "  void, the machine was too busy: no answer at the end: %s\n", text)
	}
	if len(r.Undecided) > 0 {
		fmt.Fprintf(w, "  linearizability not decided in time: %s\n", strings.Join(r.Undecided, ", "))
	}
	for _, v := range r.Violations {
		fmt.Fprintln(w, " ", v)
	}
}

func countsText(counts map[string]int) string {
	var parts []string
	for kind, count := range counts {
		parts = append(parts, fmt.Sprintf("%d %s", count, kind))
	}
	slices.SortFunc(parts, cmp.Compare)
	return strings.Join(parts, ", ")
}
