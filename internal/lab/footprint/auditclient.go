package footprint

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"pinelb.example/pinelb/internal/audit"
	"pinelb.example/pinelb/internal/auditlog"
)

const callTimeout = 10 * time.Second

// countBytes returns the bytes of an auditor's calls to all sidecars, made one after the other: of a first round, which
// fetches the complete audit logs, and of a later one, which fetches what is new.
func countBytes(ctx context.Context, roster *audit.Inventory) (firstRound, laterRound float64, err error) {
	var bytes atomic.Int64
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{
		DisableKeepAlives:  true,
		DisableCompression: true,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &countingConn{conn, &bytes}, nil
		},
	}}
	last := make([]uint64, len(roster.Sidecars)) // number of each sidecar's last entry
	for round := range 2 {
		bytes.Store(0)
		for i, sidecar := range roster.Sidecars {
			if last[i], err = fetchEntries(ctx, client, sidecar.Addr, max(1, last[i]), round == 0); err != nil {
				return 0, 0, err
			}
		}
		if round == 0 {
			firstRound = float64(bytes.Load())
		}
	}
	return firstRound, float64(bytes.Load()), nil
}

// fetchEntries fetches a sidecar's entries from a number on: one report of them or all. It returns the last one's number.
func fetchEntries(ctx context.Context, client *http.Client, addr string, since uint64, all bool) (last uint64, err error) {
	for {
		report, err := fetchReport(ctx, client, addr, since)
		if err != nil {
			return 0, fmt.Errorf("footprint: report of %s: %w", addr, err)
		}
		if len(report.Entries) == 0 || !all || report.Next <= since {
			return max(since, report.Next-1), nil
		}
		since = report.Next
	}
}

func fetchReport(ctx context.Context, client *http.Client, addr string, since uint64) (report auditlog.Report, err error) {
	url := fmt.Sprintf("http://%s/admin/audit?since=%d", addr, since)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return report, err
	}
	res, err := client.Do(req)
	if err != nil {
		return report, err
	}
	defer res.Body.Close()
	err = json.NewDecoder(res.Body).Decode(&report)
	return report, err
}
