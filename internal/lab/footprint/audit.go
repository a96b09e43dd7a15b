package footprint

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/audit"
	"pinelb.example/pinelb/internal/auditlog"
	"pinelb.example/pinelb/internal/persistence"
	"pinelb.example/pinelb/internal/version"
)

const (
	auditHosts       = 12
	auditClasses     = 3
	auditTimeout     = time.Second
	auditConcurrency = 256
	countInterval    = 10 * time.Second // a sidecar's book has its attempts so often
	maxReportBytes   = 192 << 10        // bytes of entries in one report
	auditSite        = "site"
	auditList        = "127.0.0.1:8500"
	callTimeout      = 10 * time.Second
	pollInterval     = 2 * time.Millisecond
)

// AuditMeasurement is one measurement of an auditor's rounds over so many sidecars.
type AuditMeasurement struct {
	Program      string
	Dir          string
	Sidecars     int
	Stubs        bool          // and not processes: handlers of this process that answer with a book of their own
	AuditLogSpan time.Duration // of a stand-in's book: attempts of so long are in it
	Rounds       int           // beyond the first, of which the median is taken
}

// AuditCosts is what they took.
type AuditCosts struct {
	FirstRound      float64 `json:"first_ms"` // the first round, in which all trails come
	LaterRound      float64 `json:"again_ms"`
	ProcessTime     float64 `json:"process_ms"` // pinelb audit, once, from its start to its end
	ProcessCPU      float64 `json:"process_cpu_ms"`
	ProcessPeakRSS  float64 `json:"process_peak_mb"` // as far as looks 2 ms apart have seen it
	FirstRoundBytes float64 `json:"bytes_first"`     // of all calls, both ways, HTTP's heads included and TCP's not
	LaterRoundBytes float64 `json:"bytes_again"`
	NotUpToDate     int     `json:"not_up_to_date"`
}

// Measure takes it.
func (a AuditMeasurement) Measure(ctx context.Context) (AuditCosts, error) {
	roster, closing, err := a.startFleet(ctx)
	defer func() {
		for _, c := range closing {
			c()
		}
	}()
	if err != nil {
		return AuditCosts{}, err
	}
	out := AuditCosts{}
	if out.FirstRoundBytes, out.LaterRoundBytes, err = countBytes(ctx, roster); err != nil {
		return AuditCosts{}, err
	}
	au := audit.New(audit.Options{Roster: roster, AtATime: auditConcurrency, Within: auditTimeout, By: "gauge", Share: 0.1})
	defer au.Close()
	var again []float64
	for n := range a.Rounds + 1 {
		from := time.Now()
		view, err := au.Round(ctx)
		if err != nil {
			return AuditCosts{}, err
		}
		took := float64(time.Since(from)) / float64(time.Millisecond)
		if n == 0 {
			out.FirstRound = took
		} else {
			again = append(again, took)
		}
		out.NotUpToDate = len(view.Rows) - view.Count(audit.UpToDate)
	}
	out.LaterRound = median(again)
	return out, a.measureProcess(ctx, roster, &out)
}

// process measures the program itself.
func (a *AuditMeasurement) measureProcess(ctx context.Context, roster *audit.Roster, out *AuditCosts) error {
	var text strings.Builder
	for _, s := range roster.Sidecars {
		fmt.Fprintf(&text, "[[sidecar]]\nname = %q\naddr = %q\n", s.Name, s.Addr)
	}
	path := filepath.Join(a.Dir, "roster.toml")
	if err := os.WriteFile(path, []byte(text.String()), fileMode); err != nil {
		return fmt.Errorf("gauge: %w", err)
	}
	cmd := exec.CommandContext(ctx, a.Program, "audit", path, "--json")
	from := time.Now()
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("gauge: pinelb audit: %w", err)
	}
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	look := time.NewTicker(pollInterval)
	defer look.Stop()
	for {
		select {
		case <-look.C: // what the kernel has of an ended child counts its parent's memory too
			_, peak := memoryOf(cmd.Process.Pid)
			out.ProcessPeakRSS = max(out.ProcessPeakRSS, float64(peak)/mebibyte)
			continue
		case err := <-ended:
			out.ProcessTime = float64(time.Since(from)) / float64(time.Millisecond)
			if cmd.ProcessState.ExitCode() < audit.AllWell || cmd.ProcessState.ExitCode() >= audit.Faulty {
				return fmt.Errorf("gauge: pinelb audit: %w", err)
			}
		}
		break
	}
	out.ProcessCPU = float64(cmd.ProcessState.UserTime()+cmd.ProcessState.SystemTime()) / float64(time.Millisecond)
	return nil
}

// fleet starts whom to ask, and returns what ends them.
func (a *AuditMeasurement) startFleet(ctx context.Context) (roster *audit.Roster, closing []func(), err error) {
	roster = &audit.Roster{}
	add := func(name, addr string) {
		roster.Sidecars = append(roster.Sidecars, audit.Sidecar{Name: name, Addr: addr})
	}
	if a.Stubs {
		for i := range a.Sidecars {
			name := fmt.Sprintf("stand-in-%04d", i)
			addr, end, err := startStub(name, a.Sidecars, a.AuditLogSpan)
			if err != nil {
				return nil, closing, err
			}
			add(name, addr)
			closing = append(closing, end)
		}
		return roster, closing, nil
	}
	s, err := NewDiscoveryService(auditHosts)
	if err != nil {
		return nil, nil, err
	}
	closing = append(closing, s.Close)
	var all []*Process
	for i := range a.Sidecars {
		p, err := StartSidecar(SidecarOptions{Program: a.Program, Dir: a.Dir, Name: fmt.Sprintf("audited-%03d", i), DiscoveryAddr: s.Addr, OperatorConfig: "[audit]\n",
			Classes: auditClasses, Instances: a.Sidecars, Rank: i, ControlEnabled: true})
		if err != nil {
			return nil, closing, err
		}
		closing = append(closing, p.Close)
		all = append(all, p)
		add(p.options.Name, p.ControlAddr)
	}
	for _, p := range all {
		if _, err := p.AwaitLog("cluster changed"); err != nil {
			return nil, closing, err
		}
	}
	return roster, closing, sleep(ctx, time.Second)
}

// startStub answers as a sidecar does that has been at work for so long, with counts of its attempts.
func startStub(name string, fleet int, worked time.Duration) (addr string, end func(), err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, fmt.Errorf("gauge: stand-in: %w", err)
	}
	now := persistence.Now()
	clock := now
	clock.Wall, clock.Up = now.Wall.Add(-worked), max(0, now.Up-worked)
	b := auditlog.NewBook("life "+name, "", nil, func() persistence.Clock { return clock })
	b.Names(func(class int, host balance.EndpointID) (string, string) {
		return fmt.Sprintf("class-%03d", class), fmt.Sprintf("host-%04d", host)
	})
	under := uint32(0)
	b.Change(func(v *version.Version) {
		v.List, v.Build = version.List{From: auditList, Revision: 7, Digest: 70}, "build"
	}, auditList, func(n uint32) { under = n })
	for at := countInterval; at <= worked; at += countInterval {
		for class := range auditClasses {
			for host := range auditHosts {
				b.Sent(under, class, balance.EndpointID(host+1), false)
			}
		}
		clock.Wall, clock.Up = clock.Wall.Add(countInterval), clock.Up+countInterval
		b.Flush()
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		since, _ := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64) // none is 0: all
		at := persistence.Now()
		report := auditlog.Report{Name: name, Zone: "here", Site: auditSite, Instances: fleet, Life: "life " + name, State: "acts",
			Now: version.Millis(at.Wall.UnixMilli()), Up: version.Millis(at.Up.Milliseconds()), Since: version.Millis(worked.Milliseconds())}
		report.Version, report.Under = b.Version()
		report.Entries, report.Next, report.First = b.Since(since, maxReportBytes)
		text, _ := json.Marshal(report) // all of it is plain
		_, _ = w.Write(text)            // who has gone needs none
	})}
	go func() { _ = server.Serve(l) }() // it ends with the listener
	return l.Addr().String(), func() { _ = server.Close() }, nil
}

// countBytes is what an auditor's calls carry, asked one after the other: of all trails, and of what is new a moment later.
func countBytes(ctx context.Context, roster *audit.Roster) (first, again float64, err error) {
	var bytes atomic.Int64
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
			return &countingConn{conn, &bytes}, err
		}}}
	last := make([]uint64, len(roster.Sidecars))
	for round := range 2 {
		bytes.Store(0)
		for i, s := range roster.Sidecars {
			if last[i], err = fetchEntries(ctx, client, s.Addr, max(1, last[i]), round == 0); err != nil {
				return 0, 0, err
			}
		}
		if round == 0 {
			first = float64(bytes.Load())
		}
	}
	return first, float64(bytes.Load()), nil
}

// pages asks a sidecar for its entries from one on, and all that follow if they are wanted; it returns the last one's number.
func fetchEntries(ctx context.Context, client *http.Client, addr string, since uint64, all bool) (last uint64, err error) {
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/admin/audit?since=%d", addr, since), nil)
		if err != nil {
			return 0, fmt.Errorf("gauge: %w", err)
		}
		res, err := client.Do(req)
		if err != nil {
			return 0, fmt.Errorf("gauge: %w", err)
		}
		var r auditlog.Report
		err = json.NewDecoder(res.Body).Decode(&r)
		res.Body.Close()
		if err != nil {
			return 0, fmt.Errorf("gauge: report of %s: %w", addr, err)
		}
		if n := len(r.Entries); n == 0 || !all || r.Next <= since {
			return max(since, r.Next-1), nil
		}
		since = r.Next
	}
}
