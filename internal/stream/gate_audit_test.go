package stream

import (
	"context"
	"fmt"
	"reflect"
	"sync"
	"testing"
	"time"

	"pinelb.example/pinelb/balance"
)

// testGate is a gate that the test opens and shuts.
type testGate struct {
	mu    sync.Mutex
	takes bool
	sends int // so many attempts more
}

func (d *testGate) AcceptsStreams() (bool, time.Duration) { return d.takes, 700 * time.Millisecond }

func (d *testGate) AllowsAttempts() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sends--
	return d.sends >= 0
}

// recordedAudit is what an audit log is called with, in order.
type recordedAudit struct {
	mu     sync.Mutex
	events []string
}

func (n *recordedAudit) record(s string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.events = append(n.events, s)
}

func (n *recordedAudit) Sent(under uint32, class int, _ balance.EndpointID, crossed bool) {
	n.record(fmt.Sprint("sent ", under, " ", class, " ", crossed))
}

func (n *recordedAudit) Ended(under uint32, class int, _ balance.EndpointID, never, clientGone bool) {
	n.record(fmt.Sprint("ended ", under, " ", class, " ", never, " ", clientGone))
}

type observerFunc func(l *Record)

func (f observerFunc) Ended(l *Record) { f(l) }

// Guards against streams and attempts that pass a gate that is shut, or that blame a endpoint for it; and against an audit log that is
// missing an attempt, under its own version, that it crossed a change, or how it ended.
func TestGateAndAuditLog(t *testing.T) {
	for _, c := range []struct {
		name    string
		door    *testGate
		status  []balance.Status // of the visits that there are, in order
		outcome Outcome
		want    []string
	}{
		{"shut", &testGate{sends: 9}, nil, RejectedLocally, nil},
		{"no attempts", &testGate{takes: true}, nil, RejectedLocally, []string{"sent 1 0 false", "ended 1 0 true false"}},
		{"open", &testGate{takes: true, sends: 9}, []balance.Status{balance.OK}, Served, []string{"sent 1 0 false", "ended 1 0 false false"}},
		{"across a change", &testGate{takes: true, sends: 9}, []balance.Status{balance.Error, balance.OK}, Served,
			[]string{"sent 1 0 false", "ended 1 0 false false", "sent 2 0 true", "ended 2 0 false false"}},
		{"not connected", &testGate{takes: true, sends: 9}, []balance.Status{balance.ConnectFailed, balance.OK}, Served,
			[]string{"sent 1 0 false", "ended 1 0 true false", "sent 2 0 true", "ended 2 0 false false"}},
		{"cancelled", &testGate{takes: true, sends: 9}, []balance.Status{balance.Cancelled, balance.OK}, Served,
			[]string{"sent 1 0 false", "ended 1 0 false true", "sent 2 0 true", "ended 2 0 false false"}},
		{"shut between two attempts", &testGate{takes: true, sends: 1}, []balance.Status{balance.Rejected}, RejectedLocally,
			[]string{"sent 1 0 false", "ended 1 0 false false", "sent 2 0 true", "ended 2 0 true false"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			visits := 0
			var p *Proxy
			p = newProxy(t, 3, func(context.Context, balance.EndpointID) (balance.Status, Response) {
				visits++
				p.Driver.SetVersion(uint32(visits + 1))
				if visits > len(c.status) {
					return balance.Reset, Response{}
				}
				return c.status[visits-1], Response{}
			})
			p.Driver.SetVersion(1)
			auditLog := &recordedAudit{}
			var record Record
			p.Gate, p.AuditLog, p.Observer = c.door, auditLog, observerFunc(func(l *Record) { record = *l })
			res := p.Serve(context.Background(), request(0, time.Minute))
			if res.Outcome != c.outcome || visits != len(c.status) || c.name == "shut" && res.RetryAfter != 700*time.Millisecond {
				t.Errorf("%+v after %d visits, want %d after %d", res, visits, c.outcome, len(c.status))
			}
			n := min(len(auditLog.events), len(c.want)) // what a shut gate holds back may be retried
			if n < len(c.want) || !reflect.DeepEqual(auditLog.events[:n], c.want) {
				t.Errorf("the audit log records %q, want %q", auditLog.events, c.want)
			}
			if p.Active() != 0 {
				t.Errorf("%d streams are kept", p.Active())
			}
			for i, a := range record.Attempts {
				if want := append(c.status, balance.NotSent, balance.NotSent, balance.NotSent, balance.NotSent)[i]; a.Status != want {
					t.Errorf("attempt %d ends with %d, want %d", i, a.Status, want) // no endpoint is to blame for the gate
				}
			}
		})
	}
}
