package pollsim

import (
	"testing"
	"time"

	"pinelb.example/pinelb/internal/lab/model"
)

// TestColdStart plays the measured case in virtual time: a service of 200 calls a second that is down for 3 s. By the daemon's rule no
// call is rejected, all have a list within 1.5 times what the service could do, and the queue is never full, on every seed; by the rule
// for an agent of the machine most calls are rejected, so that the case can fail.
func TestColdStart(t *testing.T) {
	for _, n := range []int{1, 10, 300, 1000} {
		for seed := range uint64(5) {
			c := Case{Instances: n, StartSpread: time.Second, Rate: 150, Burst: 20, ConcurrentCalls: 4, CallTime: 20 * time.Millisecond, QueueLength: 40, Overload: model.OverflowReject,
				InitialOutage: 3 * time.Second, Length: 20 * time.Second, Seed: seed + 1}
			f := Play(c, Policies["pace"])
			limit := max(time.Second, time.Duration(1.5*float64(n)/200*float64(time.Second)))
			if f.Rejected > 0 || f.Unanswered > 0 || f.MaxQueue >= c.QueueLength || f.SinceBack > limit {
				t.Errorf("%d instances, seed %d: %+v; all may have a list after %s", n, seed+1, f, limit)
			}
			if f != Play(c, Policies["pace"]) {
				t.Errorf("%d instances, seed %d: another play differs", n, seed+1)
			}
			if plain := Play(c, Policies["agent"]); n >= 300 && plain.Rejected < plain.Calls/2 {
				t.Errorf("%d instances, seed %d: the rule for an agent comes through: %+v", n, seed+1, plain)
			}
		}
	}
}

// TestFaultyService: a service that is unstable, answers late, or has an update for all at once is never polled beyond its queue.
func TestFaultyService(t *testing.T) {
	base := Case{Instances: 300, StartSpread: time.Second, Rate: 150, Burst: 20, ConcurrentCalls: 4, CallTime: 20 * time.Millisecond, QueueLength: 40, Overload: model.OverflowReject,
		Length: 60 * time.Second}
	for name, change := range map[string]func(*Case){
		"up for 1 s in 5":           func(c *Case) { c.UpTime, c.DownTime = time.Second, 4*time.Second },
		"every answer late":         func(c *Case) { c.ExtraLatency = 2500 * time.Millisecond },
		"an update for all at once": func(c *Case) { c.UpdateInterval = 7 * time.Second },
		"a third starts":            func(c *Case) { c.Instances, c.ConfiguredInstances = 100, 300 },
		"down for half":             func(c *Case) { c.InitialOutage = 30 * time.Second },
	} {
		for seed := range uint64(5) {
			c := base
			c.Seed = seed + 1
			change(&c)
			if f := Play(c, Policies["pace"]); f.Rejected > 0 || f.Unanswered > 0 {
				t.Errorf("%s, seed %d: %+v", name, c.Seed, f)
			}
		}
	}
}

// TestPartitionOfAnHour: instances that are partitioned for an hour are answered again within two periods and the time-out of a connect
// after it, without a thundering herd: no call is rejected. By the rule for an agent of the machine many are, so that the case can fail.
func TestPartitionOfAnHour(t *testing.T) {
	for seed := range uint64(3) {
		c := Case{Instances: 300, StartSpread: time.Second, Rate: 150, Burst: 20, ConcurrentCalls: 4, CallTime: 20 * time.Millisecond, QueueLength: 40, Overload: model.OverflowReject,
			Partitioned: 100, PartitionAt: time.Minute, PartitionTime: time.Hour, Length: 62 * time.Minute, Seed: seed + 1}
		period := time.Duration(float64(c.Instances) / c.Rate * float64(time.Second))
		if f := Play(c, Policies["pace"]); f.Rejected > 0 || f.Unanswered > 0 || f.HealTime == 0 || f.HealTime > 2*period+dialTimeout {
			t.Errorf("seed %d: %+v", c.Seed, f)
		}
		c.Length = c.PartitionAt + c.PartitionTime/2
		if f := Play(c, Policies["pace"]); f.Unanswered != c.Partitioned || f.HealTime != 0 {
			t.Errorf("seed %d: in the middle of the partition: %+v", c.Seed, f)
		}
		c.PartitionTime, c.Length = 10*time.Second, 90*time.Second
		if f := Play(c, Policies["agent"]); f.Rejected == 0 {
			t.Errorf("seed %d: the rule for an agent comes through: %+v", c.Seed, f)
		}
	}
}
