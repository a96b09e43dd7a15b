package pacing

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Simulates a fleet whose instances start at random times and open connections at random, and all at once when the host
// resets them. The connections of the whole fleet in each 100 ms are counted. If instances have whole numbers of
// connections in 100 ms, the bound is never exceeded. With turns, no instance opens two connections within a period,
// less the permitted lateness, so that the mean stays within the bound. The maximum is that of independent draws: a
// Poisson process exceeds its mean by five standard deviations less than once in 1e4 windows. A configured number of
// instances that is wrong by a factor of five makes the bound wrong by that factor.
func TestFleetHandshakeRate(t *testing.T) {
	for _, c := range []struct {
		name                                   string
		running, configured, hosts, handshakes int
		numbered                               bool
		maxMean                                float64 // expected connections in 100 ms
	}{
		{"whole numbers", 5, 5, 12, 20, true, 20},
		{"one connection each", 20, 20, 12, 20, true, 20},
		{"turns", 200, 200, 12, 10, false, 10},
		{"a subset of 48 hosts", 34, 200, 48, 10, true, 10},
		{"a third of the instances running", 100, 300, 12, 10, false, 10 / 3.},
		{"a fifth of the instances configured", 200, 40, 12, 10, false, 50},
		{"five times as many configured", 40, 200, 12, 10, false, 2},
	} {
		maxPeak := c.maxMean
		share := HandshakeLimit{MaxHandshakes: c.handshakes, Instances: c.configured, Numbered: c.numbered}.Share(c.hosts)
		if share.Interval > handshakeWindow {
			maxPeak = 1.1*c.maxMean + 5*math.Sqrt(1.1*c.maxMean) // 100 ms plus the permitted lateness
		}
		for seed := range uint64(3) {
			r := rand.New(rand.NewPCG(seed, 1))
			var all []time.Duration
			for range c.running {
				all = append(all, simulateInstance(t, c.name, r, share)...)
			}
			worst := maxInWindow(all)
			if float64(worst) > maxPeak || float64(worst) < c.maxMean/2 {
				t.Errorf("%s, seed %d: %d connections in 100 ms, want at most %.1f", c.name, seed, worst, maxPeak)
			}
		}
	}
}

// simulateInstance simulates one instance for 30 s, and returns the times at which it opened connections.
func simulateInstance(t *testing.T, name string, r *rand.Rand, share Share) (opened []time.Duration) {
	limiter, now := HandshakeLimiter{Phase: r.Float64()}, time.Duration(r.Float64()*float64(time.Second))
	for now < 30*time.Second {
		if at := limiter.Next(share, now); at < now || at > now+share.Interval {
			t.Fatalf("%s: at %s the next connection may be opened at %s, the period is %s", name, now, at, share.Interval)
		} else if r.IntN(3) > 0 { // wait for the turn, with some lateness
			now = at + time.Duration(r.Float64()*1.2*float64(maxHandshakeLateness))
		}
		if now > 5*time.Second && now < 6*time.Second {
			now = 6 * time.Second // the host resets all connections, and all instances reconnect at once
		}
		if limiter.Allow(share, now) {
			opened = append(opened, now)
		}
		if r.IntN(8) == 0 {
			now += time.Duration(r.Float64() * float64(time.Second))
		}
	}
	for i := share.Burst; i < len(opened); i++ {
		if gap := opened[i] - opened[i-share.Burst]; gap < min(share.Interval, max(handshakeWindow, share.Interval-maxHandshakeLateness)) {
			t.Fatalf("%s: an instance opens a connection, and %d more within %s", name, share.Burst, gap)
		}
	}
	return opened
}

// maxInWindow sorts the times, and returns their maximum number in one window.
func maxInWindow(all []time.Duration) int {
	slices.Sort(all)
	worst, from := 0, 0
	for i, at := range all {
		for at-all[from] >= handshakeWindow {
			from++
		}
		worst = max(worst, i-from+1)
	}
	return worst
}

// Compares Next with a simple, slow oracle: the first of the next milliseconds in which the limiter's rule allows a
// connection. The share changes during the test, as it does when the host list changes. No connection waits longer than
// two periods.
func TestHandshakeLimiterNext(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limiter := HandshakeLimiter{Phase: rapid.Float64Range(0, 0.999).Draw(t, "phase")}
		now := drawDuration(t, "start", 0, time.Hour).Truncate(time.Millisecond)
		var opened []time.Duration
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			s := Share{Burst: 1, Interval: drawDuration(t, "interval", 2*handshakeWindow, 3*time.Second).Truncate(time.Millisecond)}
			if rapid.Bool().Draw(t, "whole numbers") {
				s = Share{Burst: rapid.IntRange(1, 5).Draw(t, "burst"), Interval: handshakeWindow}
			}
			allowed := func(at time.Duration) bool {
				n := len(opened)
				if s.Interval == handshakeWindow {
					return n < s.Burst || at-opened[n-s.Burst] >= handshakeWindow
				}
				turn := time.Duration(limiter.Phase * float64(s.Interval))
				turn += time.Duration(math.Floor(float64(at-turn)/float64(s.Interval))) * s.Interval
				return at-turn <= maxHandshakeLateness && (n == 0 || opened[n-1] < turn && at-opened[n-1] >= s.Interval-maxHandshakeLateness)
			}
			want := now
			for !allowed(want) {
				want += time.Millisecond
			}
			got := limiter.Next(s, now)
			if got > want || got <= want-time.Millisecond || got > now+2*s.Interval {
				t.Fatalf("phase %v, %+v, opened %v, now %s: Next is %s, want %s", limiter.Phase, s, opened, now, got, want)
			}
			if limiter.Allow(s, now) != (want == now) {
				t.Fatalf("Allow at %s is wrong: the next connection may be opened at %s", now, want)
			} else if want == now {
				opened = append(opened, now)
			}
			now += drawDuration(t, "elapsed", 0, 4*time.Second).Truncate(time.Millisecond)
		}
	})
}

// Checks an instance's share for several configured numbers.
func TestShare(t *testing.T) {
	for _, c := range []struct {
		limit HandshakeLimit
		hosts int
		want  Share
	}{
		{HandshakeLimit{Instances: 300}, 12, Share{}},
		{HandshakeLimit{MaxHandshakes: 10, Instances: 1}, 12, Share{}},
		{HandshakeLimit{MaxHandshakes: 10, Instances: 3}, 12, Share{3, handshakeWindow}},
		{HandshakeLimit{MaxHandshakes: 10, Instances: 10}, 12, Share{1, handshakeWindow}},
		{HandshakeLimit{MaxHandshakes: 10, Instances: 200}, 48, Share{1, 2 * time.Second}},
		{HandshakeLimit{MaxHandshakes: 10, Instances: 300, Numbered: true}, 48, Share{1, 500 * time.Millisecond}}, // 8 hosts per instance
		{HandshakeLimit{MaxHandshakes: 1, Instances: 10, Numbered: true}, 100, Share{1, 600 * time.Millisecond}},  // 6 instances per host
		{HandshakeLimit{MaxHandshakes: 10, Instances: 300, Numbered: true}, 0, Share{1, 3 * time.Second}},
	} {
		if got := c.limit.Share(c.hosts); got != c.want {
			t.Errorf("%+v, %d hosts: %+v, want %+v", c.limit, c.hosts, got, c.want)
		}
	}
}
