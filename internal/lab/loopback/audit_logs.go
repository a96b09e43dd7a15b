package loopback

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"pinelb.example/pinelb/internal/auditlog"
	"pinelb.example/pinelb/internal/lab/plan"
	"pinelb.example/pinelb/internal/lab/trace"
	"pinelb.example/pinelb/internal/version"
)

const (
	reportTimeout      = 5 * time.Second
	maxReportSize      = 4 << 20 // bytes
	maxReportPages     = 1000    // of one trail
	auditorStopTimeout = 5 * time.Second
	flushTimeout       = 30 * time.Second
	flushInterval      = 20 * time.Millisecond
)

// collectAudits ends the auditors as an operator does, reads the trails of the sidecars that run, and adds what auditors have of
// those that don't any more.
func (r *run) collectAudits() {
	if !r.plan.Operators() {
		return
	}
	log := &r.recorder.log
	log.AuditLogs, log.Findings = map[int][]auditlog.Entry{}, map[string][]byte{}
	for _, a := range r.auditors {
		a.signal(syscall.SIGCONT) // one that is stopped takes no other signal
		a.signal(syscall.SIGINT)
		late := time.AfterFunc(auditorStopTimeout, func() { a.signal(syscall.SIGKILL) })
		a.wait()
		late.Stop()
		log.Findings[a.plan.Name], _ = os.ReadFile(a.findingsPath()) // one that never started has found nothing
		text, _ := os.ReadFile(a.statePath())
		r.addAuditorState(text)
	}
	log.Reports = make([]auditlog.Report, len(r.plan.Sidecars))
	var mu sync.Mutex
	var all sync.WaitGroup
	for i := range r.plan.Sidecars {
		if r.plan.Sidecars[i].Box >= 0 {
			continue
		}
		all.Go(func() {
			r.flushCounts(i)
			report, entries := r.completeReport(i)
			mu.Lock()
			defer mu.Unlock()
			log.Reports[i] = report
			log.AuditLogs[i] = append(log.AuditLogs[i], entries...)
		})
	}
	all.Wait()
	for i, entries := range log.AuditLogs {
		log.AuditLogs[i] = sortedUnique(entries)
	}
}

// count has a sidecar that runs write down what it has counted: settings that differ end the count under the version before.
// It waits for that until the process has ended or for a while.
func (r *run) flushCounts(sidecar int) {
	s := r.fleet.sidecars[sidecar]
	s.signal(syscall.SIGCONT)
	before, err := r.fetchReport(sidecar, 1)
	if err != nil {
		return
	}
	s.mu.Lock()
	s.finalSettings = true
	discovery := s.discoveryAddress
	s.mu.Unlock()
	if s.reload(discovery) != nil {
		return
	}
	for until := time.Now().Add(flushTimeout); time.Now().Before(until) && s.sleep(s.currentProcess(), flushInterval); {
		if now, err := r.fetchReport(sidecar, before.Next); err == nil && now.Version.Settings != before.Version.Settings {
			return
		}
	}
}

// addAuditorState adds the entries in what an auditor has kept. One that has kept nothing has none.
func (r *run) addAuditorState(text []byte) {
	var kept struct {
		History struct {
			Sidecars map[string]struct{ Entries []auditlog.Entry }
		}
	}
	if json.Unmarshal(text, &kept) != nil {
		return
	}
	for i := range r.plan.Sidecars {
		if s, has := kept.History.Sidecars[r.plan.Sidecars[i].Name]; has && r.plan.Sidecars[i].Box < 0 {
			r.recorder.log.AuditLogs[i] = append(r.recorder.log.AuditLogs[i], s.Entries...)
		}
	}
}

// sortedUnique is each entry once, in the order of time and numbers.
func sortedUnique(entries []auditlog.Entry) []auditlog.Entry {
	slices.SortStableFunc(entries, func(a, b auditlog.Entry) int {
		return cmp.Or(cmp.Compare(a.Life, b.Life), cmp.Compare(a.Seq, b.Seq), cmp.Compare(a.Sum, b.Sum))
	})
	return slices.CompactFunc(entries, func(a, b auditlog.Entry) bool { return a.Life == b.Life && a.Seq == b.Seq && a.Sum == b.Sum })
}

// completeReport is what a sidecar answers auditors, with its whole trail; empty where nothing answers.
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

// report asks the process of a sidecar that runs, past any link.
func (r *run) fetchReport(sidecar int, since uint64) (out auditlog.Report, err error) {
	p := r.fleet.sidecars[sidecar].currentProcess()
	if p == nil || p.controlAddress == "" {
		return out, fmt.Errorf("live: sidecar %d has no process", sidecar)
	}
	_, text, err := r.controlCall(http.MethodGet, fmt.Sprintf("http://%s/admin/audit?since=%d", p.controlAddress, since), nil)
	if err != nil {
		return out, err
	}
	return out, json.Unmarshal(text, &out)
}

// operate makes an operator's call.
func (r *run) controlCall(method, url string, body []byte) (code int, text []byte, err error) {
	ctx, cancel := context.WithTimeout(r.fleet.ctx, reportTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	answer, err := r.fleet.controlClient.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer answer.Body.Close()
	text, err = io.ReadAll(io.LimitReader(answer.Body, maxReportSize))
	return answer.StatusCode, text, err
}

// orders are those that the rig has kept, to give them again.
type orderReplayer struct {
	run   *run
	mu    sync.Mutex
	saved map[int]version.Order
}

// keep remembers the order in force at a sidecar; none where there is none.
func (o *orderReplayer) save(e plan.Event) {
	o.run.scheduled.Go(func() {
		report, err := o.run.fetchReport(e.Sidecar, 1)
		o.mu.Lock()
		defer o.mu.Unlock()
		if o.saved == nil {
			o.saved = map[int]version.Order{}
		}
		if err == nil && report.Floor != nil {
			o.saved[e.ID] = version.Order{Floor: *report.Floor, Ticket: report.Ticket}
		}
	})
}

// play gives it again.
func (o *orderReplayer) replay(e plan.Event) {
	o.mu.Lock()
	order, has := o.saved[e.ID]
	o.mu.Unlock()
	if !has {
		o.run.recordRigFailure(e.Sidecar, fmt.Errorf("live: there was no order to be played again"))
		return
	}
	order.Floor.Epoch += uint64(e.Raised)
	body, err := json.Marshal(order)
	if err != nil {
		panic(err) // all of it is plain
	}
	o.run.scheduled.Go(func() {
		at := o.run.elapsed()
		code, _, _ := o.run.controlCall(http.MethodPost, "http://"+o.run.controlAddress(e.Sidecar)+"/admin/floor", body) // no answer is code 0
		o.run.recorder.addReplayedOrder(trace.ReplayedOrder{At: at, Sidecar: e.Sidecar, Epoch: order.Floor.Epoch, StatusCode: code})
	})
}
