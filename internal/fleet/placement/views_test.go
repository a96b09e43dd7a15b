package placement

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pinelb.example/pinelb/internal/fleet/registry"
)

// viewServices are the services of the placer that TestViewsOfAnyState drives; each may be without endpoints.
var viewServices = []string{"llm", "desk"}

// placerDriver drives a placer through random states.
type placerDriver struct {
	t      *rapid.T
	placer *Placer
	now    time.Duration
	ids    []string // of the last list of endpoints
	placed []*Placement
}

func (d *placerDriver) setEndpoints() {
	var list []registry.Endpoint
	d.ids = nil
	for _, service := range viewServices {
		for i := range rapid.IntRange(0, 4).Draw(d.t, "endpoints of "+service) {
			id := fmt.Sprintf("%s-%d-%d", service, i, rapid.IntRange(0, 1).Draw(d.t, "incarnation"))
			d.ids = append(d.ids, id)
			list = append(list, registry.Endpoint{ID: id, Service: service, Address: id, Capacity: 8})
		}
	}
	d.placer.SetEndpoints(list)
}

func (d *placerDriver) place() {
	call := &Call{
		Service: rapid.SampledFrom(append(viewServices, "unknown")).Draw(d.t, "service"),
		Target:  rapid.SampledFrom([]time.Duration{0, 100 * time.Millisecond, time.Second}).Draw(d.t, "target"),
		Spent:   rapid.SampledFrom([]time.Duration{0, time.Second, time.Hour}).Draw(d.t, "spent"),
		Prompt:  Prompt{Units: rapid.SampledFrom([]float64{1, 100, 1e6}).Draw(d.t, "units"), Priority: rapid.IntRange(0, 9).Draw(d.t, "priority")},
	}
	if placed := d.placer.Place(d.now, call); placed != nil {
		d.placed = append(d.placed, placed)
	}
}

// end ends a call in one of the ways that there are.
func (d *placerDriver) end() {
	if len(d.placed) == 0 {
		return
	}
	i := rapid.IntRange(0, len(d.placed)-1).Draw(d.t, "call")
	placed := d.placed[i]
	d.placed = append(d.placed[:i], d.placed[i+1:]...)
	delay := rapid.SampledFrom([]time.Duration{0, 50 * time.Millisecond, time.Minute}).Draw(d.t, "delay")
	switch rapid.IntRange(0, 4).Draw(d.t, "end") {
	case 0:
		d.placer.RecordFirstToken(d.now, placed, delay)
	case 1:
		d.placer.RecordFirstToken(d.now, placed, delay)
		d.placer.RecordStreamEnd(d.now, placed, 2*delay, delay)
	case 2:
		d.placer.RecordFailure(d.now, placed.Endpoint)
	case 3:
		d.placer.RecordConnectFailure(d.now, placed.Endpoint)
	case 4:
		d.placer.RecordOverdue(d.now, placed.Endpoint)
	}
	d.placer.Release(placed)
}

func (d *placerDriver) suspend() {
	if len(d.ids) > 0 {
		d.placer.Suspend([]string{rapid.SampledFrom(d.ids).Draw(d.t, "suspended"), "unknown"})
	}
}

// check asks for every view, as the status and other routers do.
func (d *placerDriver) check() {
	tables := d.placer.Tables()
	views := map[string]any{"tables": tables, "services": d.placer.Services(d.now), "learned": d.placer.ExportLearned(d.now)}
	for name, view := range views {
		if _, err := json.Marshal(view); err != nil { // a number that is not finite, for one
			d.t.Fatalf("the view %s can't be encoded: %v", name, err)
		}
	}
	for _, table := range tables {
		for _, row := range table.Rows {
			if len(row) != d.placer.EndpointCount(table.Service) {
				d.t.Fatalf("a row of %s has %d shares for %d endpoints", table.Service, len(row), d.placer.EndpointCount(table.Service))
			}
			sum := 0.0
			for _, share := range row {
				sum += share.Share
			}
			if len(row) > 0 && math.Abs(sum-1) > 1e-6 {
				d.t.Fatalf("a row of %s sums to %v", table.Service, sum)
			}
		}
	}
}

// Guards against a view that only operators ask for and that fails in a state that requests don't mind, such as that of a service which had calls
// and has no endpoint left.
func TestViewsOfAnyState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := &placerDriver{t: t, placer: New(rand.New(rand.NewPCG(1, 2)))}
		steps := []func(){d.setEndpoints, d.place, d.place, d.place, d.end, d.end, d.suspend, func() {
			d.now += rapid.SampledFrom([]time.Duration{time.Millisecond, time.Second, time.Minute}).Draw(t, "passed")
		}}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			rapid.SampledFrom(steps).Draw(t, "step")()
			d.check()
		}
	})
}
