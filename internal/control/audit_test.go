package control

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strings"
	"testing"

	"pinelb.example/pinelb/internal/auditlog"
	"pinelb.example/pinelb/internal/version"
)

// auditRecorder refuses orders of the epochs 1 and 2, and counts the others.
type auditRecorder struct {
	orders int
	since  uint64
}

func (a *auditRecorder) Report(since uint64) auditlog.Report {
	a.since = since
	return auditlog.Report{Name: "n0"}
}

func (a *auditRecorder) Take(o version.Order) error {
	switch o.Minimum.Epoch {
	case 1:
		return version.StaleOrderError{Reason: "of yesterday"}
	case 2:
		return version.WrongSiteError{Site: "there", Own: "here"}
	}
	a.orders++
	return nil
}

// Guards against a wrong response to an auditor's call, or any in a process without [audit].
func TestAuditCalls(t *testing.T) {
	a := &auditRecorder{}
	addr := serve(t, &hostRecorder{}, a, true)
	withoutAudit := serve(t, &hostRecorder{}, nil, true)
	order := func(epoch int) string {
		return fmt.Sprintf(`{"floor":{"epoch":%d,"by":"a","site":"here","grace_ms":0,"spread_ms":0,"for_ms":1000}}`, epoch)
	}
	for _, c := range []struct {
		call, body string
		status     int
		names      string
		since      uint64
	}{
		{"GET /admin/audit", "", 200, "n0", 0},
		{"GET /admin/audit?since=7", "", 200, "n0", 7},
		{"GET /admin/audit?since=-7", "", 400, "since", 0},
		{"GET /admin/audit?since=1&since=2", "", 400, "more than once", 0},
		{"GET /admin/audit?since=%2", "", 400, "malformed", 0},
		{"GET /admin/audit", "x", 400, "no body", 0},
		{"POST /admin/audit", "", 405, "GET", 0},
		{"GET /admin/floor", "", 405, "POST", 0},
		{"POST /admin/floor", "", 400, "JSON", 0},
		{"POST /admin/floor", order(3)[:20], 400, "JSON", 0},
		{"POST /admin/floor", order(-3), 400, "epoch", 0},
		{"POST /admin/floor", order(1), 409, "yesterday", 0},
		{"POST /admin/floor", order(2), 403, "there", 0},
		{"POST /admin/floor", order(3) + strings.Repeat(" ", version.MaxOrderBytes), 400, "at most", 0},
		{"POST /admin/floor", order(3), 200, "n0", math.MaxUint64},
	} {
		text := fmt.Sprintf("%s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", c.call, len(c.body), c.body)
		a.since = 0
		status, answer := call(t, addr, text)
		if status != c.status || !strings.Contains(answer, c.names) || strings.Count(answer, "\n") != 1 || a.since != c.since {
			t.Errorf("%s %s: %d %q, since %d, want %d and %q", c.call, c.body, status, answer, a.since, c.status, c.names)
		}
		if status == http.StatusOK && !json.Valid([]byte(answer)) {
			t.Errorf("%s: %q", c.call, answer)
		}
		if status, answer := call(t, withoutAudit, text); status != 404 || !strings.Contains(answer, "/admin/uncordon") {
			t.Errorf("without [audit] %s gets %d %q", c.call, status, answer)
		}
	}
	if a.orders != 1 {
		t.Errorf("%d orders were taken over", a.orders)
	}
}
