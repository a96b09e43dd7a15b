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
	reportWithin = 5 * time.Second
	reportMost   = 4 << 20 // bytes
	pagesMost    = 1000    // of one trail
	auditorEnds  = 5 * time.Second
	countWithin  = 30 * time.Second
	countEach    = 20 * time.Millisecond
)

// endAudits ends the auditors as an operator does, reads the trails of the sidecars that run, and adds what auditors have of
// those that don't any more.
func (r *run) endAudits() {
	if !r.plan.Operators() {
		return
	}
	log := &r.trace.log
	log.Trails, log.Findings = map[int][]auditlog.Entry{}, map[string][]byte{}
	for _, a := range r.auditors {
		a.signal(syscall.SIGCONT) // one that is stopped takes no other signal
		a.signal(syscall.SIGINT)
		late := time.AfterFunc(auditorEnds, func() { a.signal(syscall.SIGKILL) })
		a.wait()
		late.Stop()
		log.Findings[a.plan.Name], _ = os.ReadFile(a.found()) // one that never started has found nothing
		text, _ := os.ReadFile(a.kept())
		r.addKept(text)
	}
	log.Reports = make([]auditlog.Report, len(r.plan.Sidecars))
	var mu sync.Mutex
	var all sync.WaitGroup
	for i := range r.plan.Sidecars {
		if r.plan.Sidecars[i].Box >= 0 {
			continue
		}
		all.Go(func() {
			r.count(i)
			report, entries := r.wholeReport(i)
			mu.Lock()
			defer mu.Unlock()
			log.Reports[i] = report
			log.Trails[i] = append(log.Trails[i], entries...)
		})
	}
	all.Wait()
	for i, entries := range log.Trails {
		log.Trails[i] = inOrder(entries)
	}
}

// count has a sidecar that runs write down what it has counted: settings that differ end the count under the version before.
// It waits for that until the process has ended or for a while.
func (r *run) count(sidecar int) {
	s := r.fleet.sidecars[sidecar]
	s.signal(syscall.SIGCONT)
	before, err := r.report(sidecar, 1)
	if err != nil {
		return
	}
	s.mu.Lock()
	s.closing = true
	discovery := s.discovery
	s.mu.Unlock()
	if s.hup(discovery) != nil {
		return
	}
	for until := time.Now().Add(countWithin); time.Now().Before(until) && s.pause(s.last(), countEach); {
		if now, err := r.report(sidecar, before.Next); err == nil && now.Version.Settings != before.Version.Settings {
			return
		}
	}
}

// addKept adds the entries in what an auditor has kept. One that has kept nothing has none.
func (r *run) addKept(text []byte) {
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
			r.trace.log.Trails[i] = append(r.trace.log.Trails[i], s.Entries...)
		}
	}
}

// inOrder is each entry once, in the order of time and numbers.
func inOrder(entries []auditlog.Entry) []auditlog.Entry {
	slices.SortStableFunc(entries, func(a, b auditlog.Entry) int {
		return cmp.Or(cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Seq, b.Seq), cmp.Compare(a.Sum, b.Sum))
	})
	return slices.CompactFunc(entries, func(a, b auditlog.Entry) bool {
		return a.Incarnation == b.Incarnation && a.Seq == b.Seq && a.Sum == b.Sum
	})
}

// wholeReport is what a sidecar answers auditors, with its whole trail; empty where nothing answers.
func (r *run) wholeReport(sidecar int) (last auditlog.Report, entries []auditlog.Entry) {
	since := uint64(1)
	for range pagesMost {
		report, err := r.report(sidecar, since)
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
func (r *run) report(sidecar int, since uint64) (out auditlog.Report, err error) {
	p := r.fleet.sidecars[sidecar].last()
	if p == nil || p.control == "" {
		return out, fmt.Errorf("live: sidecar %d has no process", sidecar)
	}
	_, text, err := r.operate(http.MethodGet, fmt.Sprintf("http://%s/admin/audit?since=%d", p.control, since), nil)
	if err != nil {
		return out, err
	}
	return out, json.Unmarshal(text, &out)
}

// operate makes an operator's call.
func (r *run) operate(method, url string, body []byte) (code int, text []byte, err error) {
	ctx, cancel := context.WithTimeout(r.fleet.life, reportWithin)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	answer, err := r.fleet.operators.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer answer.Body.Close()
	text, err = io.ReadAll(io.LimitReader(answer.Body, reportMost))
	return answer.StatusCode, text, err
}

// orders are those that the rig has kept, to give them again.
type orders struct {
	run  *run
	mu   sync.Mutex
	kept map[int]version.Order
}

// keep remembers the order in force at a sidecar; none where there is none.
func (o *orders) keep(e plan.Event) {
	o.run.later.Go(func() {
		report, err := o.run.report(e.Sidecar, 1)
		o.mu.Lock()
		defer o.mu.Unlock()
		if o.kept == nil {
			o.kept = map[int]version.Order{}
		}
		if err == nil && report.Minimum != nil {
			o.kept[e.ID] = version.Order{Minimum: *report.Minimum, Permit: report.Permit}
		}
	})
}

// play gives it again.
func (o *orders) play(e plan.Event) {
	o.mu.Lock()
	order, has := o.kept[e.ID]
	o.mu.Unlock()
	if !has {
		o.run.broken(e.Sidecar, fmt.Errorf("live: there was no order to be played again"))
		return
	}
	order.Minimum.Epoch += uint64(e.Raised)
	body, err := json.Marshal(order)
	if err != nil {
		panic(err) // all of it is plain
	}
	o.run.later.Go(func() {
		at := o.run.now()
		code, _, _ := o.run.operate(http.MethodPost, "http://"+o.run.operators(e.Sidecar)+"/admin/floor", body) // no answer is code 0
		o.run.trace.ordered(trace.Ordered{At: at, Sidecar: e.Sidecar, Epoch: order.Minimum.Epoch, Code: code})
	})
}
