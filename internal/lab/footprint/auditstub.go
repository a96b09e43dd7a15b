package footprint

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/auditlog"
	"pinelb.example/pinelb/internal/persistence"
	"pinelb.example/pinelb/internal/version"
)

const (
	flushInterval  = 10 * time.Second // after which a sidecar's audit log has the counts of its attempts
	maxReportBytes = 192 << 10        // of entries in one report
	stubSite       = "site"
	stubDiscovery  = "127.0.0.1:8500"
)

// startStub serves the audit report of a sidecar that has counted attempts for a time. It returns its address.
func startStub(name string, fleet int, worked time.Duration) (addr string, closeStub func(), err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, fmt.Errorf("footprint: stub: %w", err)
	}
	log := stubLog(name, worked)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		since, _ := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64) // none is 0: all entries
		now := persistence.Now()
		report := auditlog.Report{
			Name:        name,
			Zone:        "here",
			Site:        stubSite,
			Instances:   fleet,
			Incarnation: "life " + name,
			State:       "acts",
			Now:         version.Millis(now.Wall.UnixMilli()),
			Up:          version.Millis(now.Up.Milliseconds()),
			VersionAge:  version.Millis(worked.Milliseconds()),
		}
		report.Version, report.VersionID = log.Version()
		report.Entries, report.Next, report.Oldest = log.EntriesSince(since, maxReportBytes)
		text, _ := json.Marshal(report) // no value that JSON lacks
		_, _ = w.Write(text)            // fails if the client has gone
	})}
	go func() { _ = server.Serve(listener) }() // until Close
	return listener.Addr().String(), func() { _ = server.Close() }, nil
}

// stubLog returns an audit log with the counts of a sidecar that has sent attempts of each class to each host for a time.
func stubLog(name string, worked time.Duration) *auditlog.Log {
	now := persistence.Now()
	clock := now
	clock.Wall, clock.Up = now.Wall.Add(-worked), max(0, now.Up-worked)
	log := auditlog.NewLog("life "+name, "", nil, func() persistence.Timestamp { return clock })
	log.Names(func(class int, host balance.EndpointID) (string, string) {
		return fmt.Sprintf("class-%03d", class), fmt.Sprintf("host-%04d", host)
	})
	under := uint32(0) // the version that attempts are counted under
	log.Change(func(v *version.Version) {
		v.List, v.Build = version.List{From: stubDiscovery, Revision: 7, Digest: 70}, "build"
	}, stubDiscovery, func(n uint32) { under = n })
	for at := flushInterval; at <= worked; at += flushInterval {
		for class := range auditClasses {
			for host := range auditHosts {
				log.Sent(under, class, balance.EndpointID(host+1), false)
			}
		}
		clock.Wall, clock.Up = clock.Wall.Add(flushInterval), clock.Up+flushInterval
		log.Flush()
	}
	return log
}
