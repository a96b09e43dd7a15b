package stubfleet

import (
	"context"
	"errors"
	"math"
	"testing"
	"time"

	"pinelb.example/pinelb/internal/cluster"
	"pinelb.example/pinelb/internal/pacing"
)

// smallCase returns a case that any machine can play.
func smallCase(name string) Case {
	return Case{Scenario: name, Sidecars: 36, Hosts: 12, Racks: 3, Seconds: 3, Changes: DefaultChanges(name), Seed: 1, CallTime: 20 * time.Millisecond, QueueLength: 40,
		Outage: 2 * time.Second, FinalTimeout: testTimeout, Rack: rackCommand}
}

// TestScenarios plays each scenario small, with and without pacing. Whatever the machine's load, all changes come into force at all
// sidecars, all get a first list, no list is applied that the service never had, and no sidecar polls again before its watch may end.
func TestScenarios(t *testing.T) {
	verifyNoLeaks(t)
	for _, name := range Scenarios() {
		for how, paced := range map[string]*cluster.Pacing{"": nil, ", paced": {Fleet: pacing.Fleet{Instances: 36, Rate: 100, Burst: 10, MinWatchWait: time.Second}}} {
			t.Run(name+how, func(t *testing.T) {
				t.Parallel() // they wait, mostly
				c := smallCase(name)
				c.Paced = paced
				f, err := Play(t.Context(), c)
				if err != nil {
					t.Fatal(err)
				}
				if f.NeverInForce > 0 || f.FirstNever > 0 || f.WrongDigests > 0 || f.Connections < 36 {
					t.Errorf("%+v", f)
				}
				if measured := f.InForceLast > 0; measured != (c.Changes*float64(c.Seconds) >= 0.5) {
					t.Errorf("changes in force: %v: %+v", measured, f)
				}
				if restarted := f.Starts > 36; restarted != (name == "restarting") {
					t.Errorf("%d starts", f.Starts)
				}
				if rejected := f.Rejected > 0; rejected != (name == "down-503") {
					t.Errorf("%d calls rejected", f.Rejected)
				}
				if outage := f.SinceBack > 0; outage != (name == "down-503" || name == "down-refused") {
					t.Errorf("the last list came %g ms after the end of the outage", f.SinceBack)
				}
				if limit := 1/0.75 + 2/float64(c.Seconds); name == "rest" && f.CallsEach > limit {
					t.Errorf("%g calls a second of a sidecar at rest, %g at most", f.CallsEach, limit)
				}
			})
		}
	}
}

// TestPlayCancelled: a cancelled play leaves no goroutine behind.
func TestPlayCancelled(t *testing.T) {
	verifyNoLeaks(t)
	ctx, stop := context.WithCancel(t.Context())
	stop()
	if _, err := Play(ctx, smallCase("rest")); !errors.Is(err, context.Canceled) {
		t.Errorf("%v", err)
	}
}

// TestCheck: each invalid value of a case is rejected with its key.
func TestCheck(t *testing.T) {
	machine := Machine{Memory: 4 << 30, Descriptors: 4096, Ports: 28000}
	for key, invalid := range map[string][]func(*Case){
		"sidecars": {func(c *Case) { c.Sidecars = 0 }, func(c *Case) { c.Sidecars = -1 }, func(c *Case) { c.Sidecars = 4000 },
			func(c *Case) { c.Sidecars = math.MaxInt }},
		"hosts":         {func(c *Case) { c.Hosts = 0 }, func(c *Case) { c.Hosts = -12 }, func(c *Case) { c.Sidecars, c.Hosts = 1000, 3000 }},
		"changes":       {func(c *Case) { c.Changes = math.NaN() }, func(c *Case) { c.Changes = -0.1 }, func(c *Case) { c.Changes = math.Inf(1) }},
		"seconds":       {func(c *Case) { c.Seconds = 0 }, func(c *Case) { c.Seconds = -3 }, func(c *Case) { c.Seconds = 100_000 }},
		"racks":         {func(c *Case) { c.Racks = 0 }, func(c *Case) { c.Racks = 37 }, func(c *Case) { c.Racks = -1 }},
		"real":          {func(c *Case) { c.Real = -1 }, func(c *Case) { c.Real = 100_000 }, func(c *Case) { c.Real = 100 }},
		"scenario":      {func(c *Case) { c.Scenario = "storm" }, func(c *Case) { c.Scenario = "" }},
		"spread":        {func(c *Case) { c.StartSpread = -time.Second }},
		"within":        {func(c *Case) { c.FinalTimeout = -time.Second }},
		"down":          {func(c *Case) { c.Outage = -time.Second }, func(c *Case) { c.Scenario, c.Outage = "down-503", 3*time.Second }},
		"service-calls": {func(c *Case) { c.ConcurrentCalls = -4 }},
		"service-call":  {func(c *Case) { c.ConcurrentCalls, c.CallTime = 4, 0 }, func(c *Case) { c.CallTime = -time.Second }},
		"service-line":  {func(c *Case) { c.QueueLength = -1 }},
	} {
		for i, invalidate := range invalid {
			c := smallCase("rest")
			invalidate(&c)
			var keyError *KeyError
			if err := c.Check(machine); !errors.As(err, &keyError) || keyError.Key != key {
				t.Errorf("%s, %d: %v", key, i, err)
			}
		}
	}
	c := smallCase("rest")
	if err := c.Check(machine); err != nil {
		t.Error(err)
	}
}
