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

// small is a case that any machine bears.
func small(name string) Case {
	return Case{Scenario: name, Sidecars: 36, Hosts: 12, Racks: 3, Seconds: 3, Changes: DefaultChanges(name), Seed: 1, CallTime: 20 * time.Millisecond, QueueLength: 40,
		Outage: 2 * time.Second, FinalTimeout: ample, Rack: rackCommand}
}

// Each scenario is played small, asked both ways. Whatever the machine's load, all changes come into force at all sidecars, all get a
// first list, nothing is acted on that the service has never had, and who has been answered does not ask again before its watch may end.
func TestScenarios(t *testing.T) {
	noLeaks(t)
	for _, name := range Scenarios() {
		for how, paced := range map[string]*cluster.Paced{"": nil, ", paced": {Fleet: pacing.Fleet{Instances: 36, Rate: 100, Burst: 10, Watch: time.Second}}} {
			t.Run(name+how, func(t *testing.T) {
				t.Parallel() // they wait, mostly
				c := small(name)
				c.Paced = paced
				f, err := Play(t.Context(), c)
				if err != nil {
					t.Fatal(err)
				}
				if f.NeverInForce > 0 || f.FirstNever > 0 || f.WrongDigests > 0 || f.Connections < 36 {
					t.Errorf("%+v", f)
				}
				if told := f.InForceLast > 0; told != (c.Changes*float64(c.Seconds) >= 0.5) {
					t.Errorf("changes in force: %v: %+v", told, f)
				}
				if more := f.Starts > 36; more != (name == "restarting") {
					t.Errorf("%d starts", f.Starts)
				}
				if turned := f.Rejected > 0; turned != (name == "down-503") {
					t.Errorf("%d calls turned away", f.Rejected)
				}
				if late := f.SinceBack > 0; late != (name == "down-503" || name == "down-refused") {
					t.Errorf("the last list came %g ms after the service was back", f.SinceBack)
				}
				if most := 1/0.75 + 2/float64(c.Seconds); name == "rest" && f.CallsEach > most {
					t.Errorf("%g calls a second of a sidecar at rest, %g at most", f.CallsEach, most)
				}
			})
		}
	}
}

// A play that is broken off leaves nothing behind.
func TestPlayIsBrokenOff(t *testing.T) {
	noLeaks(t)
	ctx, stop := context.WithCancel(t.Context())
	stop()
	if _, err := Play(ctx, small("rest")); !errors.Is(err, context.Canceled) {
		t.Errorf("%v", err)
	}
}

// Each fault of a case is refused with its key before anything is started.
func TestCheck(t *testing.T) {
	machine := Machine{Memory: 4 << 30, Descriptors: 4096, Ports: 28000}
	for key, spoils := range map[string][]func(*Case){
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
		for i, spoil := range spoils {
			c := small("rest")
			spoil(&c)
			var fault *KeyError
			if err := c.Check(machine); !errors.As(err, &fault) || fault.Key != key {
				t.Errorf("%s, %d: %v", key, i, err)
			}
		}
	}
	c := small("rest")
	if err := c.Check(machine); err != nil {
		t.Error(err)
	}
}
