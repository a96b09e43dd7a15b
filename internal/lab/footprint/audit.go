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
	auditHosts   = 12
	auditClasses = 3
	auditWithin  = time.Second
	auditAtATime = 256
	countEach    = 10 * time.Second // a sidecar's book has its attempts so often
	pageMost     = 192 << 10        // bytes of entries in one report
	auditSite    = "site"
	auditList    = "127.0.0.1:8500"
	callTimeout  = 10 * time.Second
	lookEach     = 2 * time.Millisecond
)

// Audit is one measurement of an auditor's rounds over so many sidecars.
type Audit struct {
	Program  string
	Dir      string
	Sidecars int
	StandIns bool          // and not processes: handlers of this process that answer with a book of their own
	Trail    time.Duration // of a stand-in's book: attempts of so long are in it
	Rounds   int           // beyond the first, of which the median is taken
}

// Audited is what they took.
type Audited struct {
	First       float64 `json:"first_ms"` // the first round, in which all trails come
	Again       float64 `json:"again_ms"`
	Whole       float64 `json:"process_ms"` // pinelb audit, once, from its start to its end
	CPU         float64 `json:"process_cpu_ms"`
	Peak        float64 `json:"process_peak_mb"` // as far as looks 2 ms apart have seen it
	BytesFirst  float64 `json:"bytes_first"`     // of all calls, both ways, HTTP's heads included and TCP's not
	BytesAgain  float64 `json:"bytes_again"`
	NotUpToDate int     `json:"not_up_to_date"`
}

// Measure takes it.
func (a Audit) Measure(ctx context.Context) (Audited, error) {
	roster, closing, err := a.fleet(ctx)
	defer func() {
		for _, c := range closing {
			c()
		}
	}()
	if err != nil {
		return Audited{}, err
	}
	out := Audited{}
	if out.BytesFirst, out.BytesAgain, err = bytesOf(ctx, roster); err != nil {
		return Audited{}, err
	}
	au := audit.New(audit.Options{Inventory: roster, Concurrency: auditAtATime, Timeout: auditWithin, By: "gauge", Share: 0.1})
	defer au.Close()
	var again []float64
	for n := range a.Rounds + 1 {
		from := time.Now()
		view, err := au.Round(ctx)
		if err != nil {
			return Audited{}, err
		}
		took := float64(time.Since(from)) / float64(time.Millisecond)
		if n == 0 {
			out.First = took
		} else {
			again = append(again, took)
		}
		out.NotUpToDate = len(view.Rows) - view.Count(audit.UpToDate)
	}
	out.Again = median(again)
	return out, a.process(ctx, roster, &out)
}

// process measures the program itself.
func (a *Audit) process(ctx context.Context, roster *audit.Inventory, out *Audited) error {
	var text strings.Builder
	for _, s := range roster.Sidecars {
		fmt.Fprintf(&text, "[[sidecar]]\nname = %q\naddr = %q\n", s.Name, s.Addr)
	}
	path := filepath.Join(a.Dir, "roster.toml")
	if err := os.WriteFile(path, []byte(text.String()), filesMode); err != nil {
		return fmt.Errorf("gauge: %w", err)
	}
	cmd := exec.CommandContext(ctx, a.Program, "audit", path, "--json")
	from := time.Now()
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("gauge: pinelb audit: %w", err)
	}
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	look := time.NewTicker(lookEach)
	defer look.Stop()
	for {
		select {
		case <-look.C: // what the kernel has of an ended child counts its parent's memory too
			_, peak := memoryOf(cmd.Process.Pid)
			out.Peak = max(out.Peak, float64(peak)/mb)
			continue
		case err := <-ended:
			out.Whole = float64(time.Since(from)) / float64(time.Millisecond)
			if cmd.ProcessState.ExitCode() < audit.ExitAllUpToDate || cmd.ProcessState.ExitCode() >= audit.ExitFaulty {
				return fmt.Errorf("gauge: pinelb audit: %w", err)
			}
		}
		break
	}
	out.CPU = float64(cmd.ProcessState.UserTime()+cmd.ProcessState.SystemTime()) / float64(time.Millisecond)
	return nil
}

// fleet starts whom to ask, and returns what ends them.
func (a *Audit) fleet(ctx context.Context) (roster *audit.Inventory, closing []func(), err error) {
	roster = &audit.Inventory{}
	add := func(name, addr string) {
		roster.Sidecars = append(roster.Sidecars, audit.Sidecar{Name: name, Addr: addr})
	}
	if a.StandIns {
		for i := range a.Sidecars {
			name := fmt.Sprintf("stand-in-%04d", i)
			addr, end, err := standIn(name, a.Sidecars, a.Trail)
			if err != nil {
				return nil, closing, err
			}
			add(name, addr)
			closing = append(closing, end)
		}
		return roster, closing, nil
	}
	s, err := NewService(auditHosts)
	if err != nil {
		return nil, nil, err
	}
	closing = append(closing, s.Close)
	var all []*Process
	for i := range a.Sidecars {
		p, err := Begin(Start{Program: a.Program, Dir: a.Dir, Name: fmt.Sprintf("audited-%03d", i), Discovery: s.Addr, Operator: "[audit]\n",
			Classes: auditClasses, Instances: a.Sidecars, Rank: i, Control: true})
		if err != nil {
			return nil, closing, err
		}
		closing = append(closing, p.Close)
		all = append(all, p)
		add(p.start.Name, p.Control)
	}
	for _, p := range all {
		if _, err := p.Await("cluster changed"); err != nil {
			return nil, closing, err
		}
	}
	return roster, closing, rest(ctx, time.Second)
}

// standIn answers as a sidecar does that has been at work for so long, with counts of its attempts.
func standIn(name string, fleet int, worked time.Duration) (addr string, end func(), err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, fmt.Errorf("gauge: stand-in: %w", err)
	}
	now := persistence.Now()
	clock := now
	clock.Wall, clock.Up = now.Wall.Add(-worked), max(0, now.Up-worked)
	b := auditlog.NewLog("life "+name, "", nil, func() persistence.Timestamp { return clock })
	b.Names(func(class int, host balance.EndpointID) (string, string) {
		return fmt.Sprintf("class-%03d", class), fmt.Sprintf("host-%04d", host)
	})
	under := uint32(0)
	b.Change(func(v *version.Version) {
		v.List, v.Build = version.List{From: auditList, Revision: 7, Digest: 70}, "build"
	}, auditList, func(n uint32) { under = n })
	for at := countEach; at <= worked; at += countEach {
		for class := range auditClasses {
			for host := range auditHosts {
				b.Sent(under, class, balance.EndpointID(host+1), false)
			}
		}
		clock.Wall, clock.Up = clock.Wall.Add(countEach), clock.Up+countEach
		b.Flush()
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		since, _ := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64) // none is 0: all
		at := persistence.Now()
		report := auditlog.Report{Name: name, Zone: "here", Site: auditSite, Instances: fleet, Incarnation: "life " + name, State: "acts",
			Now: version.Millis(at.Wall.UnixMilli()), Up: version.Millis(at.Up.Milliseconds()), VersionAge: version.Millis(worked.Milliseconds())}
		report.Version, report.VersionID = b.Version()
		report.Entries, report.Next, report.Oldest = b.EntriesSince(since, pageMost)
		text, _ := json.Marshal(report) // all of it is plain
		_, _ = w.Write(text)            // who has gone needs none
	})}
	go func() { _ = server.Serve(l) }() // it ends with the listener
	return l.Addr().String(), func() { _ = server.Close() }, nil
}

// bytesOf is what an auditor's calls carry, asked one after the other: of all trails, and of what is new a moment later.
func bytesOf(ctx context.Context, roster *audit.Inventory) (first, again float64, err error) {
	var bytes atomic.Int64
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
			return &counted{conn, &bytes}, err
		}}}
	last := make([]uint64, len(roster.Sidecars))
	for round := range 2 {
		bytes.Store(0)
		for i, s := range roster.Sidecars {
			if last[i], err = pages(ctx, client, s.Addr, max(1, last[i]), round == 0); err != nil {
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
func pages(ctx context.Context, client *http.Client, addr string, since uint64, all bool) (last uint64, err error) {
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
