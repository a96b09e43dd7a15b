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

// door is a gate that the test opens and shuts.
type door struct {
	mu    sync.Mutex
	takes bool
	sends int // so many attempts more
}

func (d *door) Takes() (bool, time.Duration) { return d.takes, 700 * time.Millisecond }

func (d *door) Sends() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sends--
	return d.sends >= 0
}

// told is what a trail is told, in order.
type told struct {
	mu   sync.Mutex
	said []string
}

func (n *told) say(s string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.said = append(n.said, s)
}

func (n *told) Sent(under uint32, class int, _ balance.EndpointID, crossed bool) {
	n.say(fmt.Sprint("sent ", under, " ", class, " ", crossed))
}

func (n *told) Ended(under uint32, class int, _ balance.EndpointID, never, left bool) {
	n.say(fmt.Sprint("ended ", under, " ", class, " ", never, " ", left))
}

type observed func(l *Life)

func (f observed) Ended(l *Life) { f(l) }

// Guards against streams and attempts that pass a gate that is shut, or that blame a host for it; and against a trail that is
// not told of an attempt, by its own number, that it crossed a change, or how it ended.
func TestGateAndTrail(t *testing.T) {
	for _, c := range []struct {
		name   string
		door   *door
		status []balance.Status // of the visits that there are, in order
		want   Outcome
		told   []string
	}{
		{"shut", &door{sends: 9}, nil, Refused, nil},
		{"no attempts", &door{takes: true}, nil, Refused, []string{"sent 1 0 false", "ended 1 0 true false"}},
		{"open", &door{takes: true, sends: 9}, []balance.Status{balance.OK}, Served, []string{"sent 1 0 false", "ended 1 0 false false"}},
		{"across a change", &door{takes: true, sends: 9}, []balance.Status{balance.Error, balance.OK}, Served,
			[]string{"sent 1 0 false", "ended 1 0 false false", "sent 2 0 true", "ended 2 0 false false"}},
		{"not connected", &door{takes: true, sends: 9}, []balance.Status{balance.ConnectFailed, balance.OK}, Served,
			[]string{"sent 1 0 false", "ended 1 0 true false", "sent 2 0 true", "ended 2 0 false false"}},
		{"withdrawn", &door{takes: true, sends: 9}, []balance.Status{balance.Cancelled, balance.OK}, Served,
			[]string{"sent 1 0 false", "ended 1 0 false true", "sent 2 0 true", "ended 2 0 false false"}},
		{"shut between two attempts", &door{takes: true, sends: 1}, []balance.Status{balance.Rejected}, Refused,
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
			trail := &told{}
			var life Life
			p.Gate, p.Trail, p.Observer = c.door, trail, observed(func(l *Life) { life = *l })
			res := p.Serve(context.Background(), request(0, time.Minute))
			if res.Outcome != c.want || visits != len(c.status) || c.name == "shut" && res.RetryAfter != 700*time.Millisecond {
				t.Errorf("%+v after %d visits, want %d after %d", res, visits, c.want, len(c.status))
			}
			n := min(len(trail.said), len(c.told)) // what a shut gate holds back may be tried again
			if n < len(c.told) || !reflect.DeepEqual(trail.said[:n], c.told) {
				t.Errorf("the trail is told %q, want %q", trail.said, c.told)
			}
			if p.Out() != 0 {
				t.Errorf("%d streams are kept", p.Out())
			}
			for i, a := range life.Attempts {
				if want := append(c.status, balance.NotSent, balance.NotSent, balance.NotSent, balance.NotSent)[i]; a.Status != want {
					t.Errorf("attempt %d ends with %d, want %d", i, a.Status, want) // no host is to blame for the gate
				}
			}
		})
	}
}
