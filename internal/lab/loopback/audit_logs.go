package loopback

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"pinelb.example/pinelb/internal/auditlog"
)

const (
	reportTimeout      = 5 * time.Second
	maxReportSize      = 4 << 20 // bytes
	maxReportPages     = 1000    // of one audit log
	auditorStopTimeout = 5 * time.Second
	flushTimeout       = 30 * time.Second
	flushInterval      = 20 * time.Millisecond
)

var errNoProcess = errors.New("loopback: the sidecar has no process that operators can call")

// collectAudits stops the auditors as an operator does, reads the audit logs of the sidecars that run, and adds what the auditors
// have of those that no longer run.
func (r *run) collectAudits() {
	if !r.plan.NeedsControlAccess() {
		return
	}
	log := &r.recorder.log
	log.AuditLogs, log.Findings = map[int][]auditlog.Entry{}, map[string][]byte{}
	for _, a := range r.auditors {
		a.stop()
		log.Findings[a.plan.Name], _ = os.ReadFile(a.findingsPath()) // one that never started has no findings
		state, _ := os.ReadFile(a.statePath())
		r.addAuditorState(state)
	}
	log.Reports = make([]auditlog.Report, len(r.plan.Sidecars))
	var mu sync.Mutex
	var readers sync.WaitGroup
	for i := range r.plan.Sidecars {
		if r.plan.Sidecars[i].Endpoint >= 0 {
			continue
		}
		readers.Go(func() {
			r.flushCounts(i)
			report, entries := r.completeReport(i)
			mu.Lock()
			defer mu.Unlock()
			log.Reports[i] = report
			log.AuditLogs[i] = append(log.AuditLogs[i], entries...)
		})
	}
	readers.Wait()
	for i, entries := range log.AuditLogs {
		log.AuditLogs[i] = sortedUnique(entries)
	}
}

// flushCounts has a sidecar that runs write down what it has counted: other settings end the count under the version before. It
// waits for that until the process has exited, flushTimeout at most.
func (r *run) flushCounts(sidecar int) {
	s := r.fleet.sidecars[sidecar]
	s.signal(syscall.SIGCONT)
	before, err := r.fetchReport(sidecar, 1)
	if err != nil {
		return
	}
	s.mu.Lock()
	s.finalSettings = true
	discoveryAddress := s.discoveryAddress
	s.mu.Unlock()
	if s.reload(discoveryAddress) != nil {
		return
	}
	for deadline := time.Now().Add(flushTimeout); time.Now().Before(deadline) && s.sleep(s.currentProcess(), flushInterval); {
		if now, err := r.fetchReport(sidecar, before.Next); err == nil && now.Version.Settings != before.Version.Settings {
			return
		}
	}
}

// addAuditorState adds the audit log entries in an auditor's state file. One that has written none has none.
func (r *run) addAuditorState(text []byte) {
	var state struct {
		History struct {
			Sidecars map[string]struct {
				Entries []auditlog.Entry `json:"entries"`
			} `json:"sidecars"`
		} `json:"history"`
	}
	if json.Unmarshal(text, &state) != nil {
		return
	}
	for i := range r.plan.Sidecars {
		if s, has := state.History.Sidecars[r.plan.Sidecars[i].Name]; has && r.plan.Sidecars[i].Endpoint < 0 {
			r.recorder.log.AuditLogs[i] = append(r.recorder.log.AuditLogs[i], s.Entries...)
		}
	}
}

// sortedUnique sorts entries by process, number and checksum, and drops duplicates.
func sortedUnique(entries []auditlog.Entry) []auditlog.Entry {
	compare := func(a, b auditlog.Entry) int {
		return cmp.Or(cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Seq, b.Seq), cmp.Compare(a.Sum, b.Sum))
	}
	slices.SortStableFunc(entries, compare)
	return slices.CompactFunc(entries, func(a, b auditlog.Entry) bool { return compare(a, b) == 0 })
}

// completeReport is a sidecar's last report without entries, and all entries of its audit log; empty if it doesn't answer.
func (r *run) completeReport(sidecar int) (last auditlog.Report, entries []auditlog.Entry) {
	since := uint64(1)
	for range maxReportPages {
		report, err := r.fetchReport(sidecar, since)
		if err != nil {
			return last, entries
		}
		last, entries = report, append(entries, report.Entries...)
		if report.Next <= since || len(report.Entries) == 0 {
			break
		}
		since = report.Next
	}
	last.Entries = nil
	return last, entries
}

// fetchReport fetches a page of a sidecar's audit log from the process in service, past any link. Errors are errNoProcess, wrapped,
// and those of the call.
func (r *run) fetchReport(sidecar int, since uint64) (auditlog.Report, error) {
	p := r.fleet.sidecars[sidecar].currentProcess()
	if p == nil || p.controlAddress == "" {
		return auditlog.Report{}, fmt.Errorf("%w: number %d", errNoProcess, sidecar)
	}
	url := fmt.Sprintf("http://%s/admin/audit?since=%d", p.controlAddress, since)
	_, text, err := r.controlCall(http.MethodGet, url, nil)
	if err != nil {
		return auditlog.Report{}, err
	}
	var report auditlog.Report
	err = json.Unmarshal(text, &report)
	return report, err
}

// controlCall makes an operator's call; the status code is 0 if there is no response.
func (r *run) controlCall(method, url string, body []byte) (status int, text []byte, err error) {
	ctx, cancel := context.WithTimeout(r.fleet.ctx, reportTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	response, err := r.fleet.controlClient.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	text, err = io.ReadAll(io.LimitReader(response.Body, maxReportSize))
	return response.StatusCode, text, err
}
