package pacing

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var fleets = rapid.Custom(func(t *rapid.T) Fleet {
	return Fleet{Instances: rapid.IntRange(0, 5000).Draw(t, "instances"), Rate: rapid.Float64Range(1, 2000).Draw(t, "rate"),
		Burst: rapid.IntRange(0, 500).Draw(t, "burst"), MinWatchWait: time.Second}
})

func drawDuration(t *rapid.T, name string, minimum, maximum time.Duration) time.Duration {
	return time.Duration(rapid.Int64Range(int64(minimum), int64(maximum)).Draw(t, name))
}

// Checks the spacing of an instance's calls for random outcomes, stops of the process, and calls that are up to a
// sixteenth of a period late. Two calls are at least three quarters of a period apart, so that n instances make at most
// n calls in that time. The next call is at most two periods away, or a period more than the Retry-After.
func TestSpacing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := fleets.Draw(t, "fleet")
		period := f.Period()
		now := drawDuration(t, "start", 0, 1<<50)
		p := New(f, rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)), now)
		expectWait := func(after string, maximum time.Duration) {
			t.Helper()
			if wait := p.Next() - now; wait < 0 || wait > maximum {
				t.Fatalf("after %s the next call is %s away, want 0 to %s", after, wait, maximum)
			}
		}
		expectWait("the start", f.startWindow())
		lastCall := time.Duration(-1)
		maxPeriod := max(period, maxCallInterval/2)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = p.Next() + drawDuration(t, "lateness", 0, period/16)
			if rapid.IntRange(0, 9).Draw(t, "stop") == 0 {
				now += drawDuration(t, "stop time", time.Second, time.Minute)
				p.Resumed(now)
				expectWait("a stop", 2*maxPeriod)
				continue
			}
			if lastCall >= 0 && now-lastCall < 3*period/4 {
				t.Fatalf("calls at %s and %s, less than three quarters of the period of %s apart", lastCall, now, period)
			}
			lastCall = now
			p.Sent(now)
			result := Result{Outcome: Outcome(rapid.IntRange(0, int(TimedOut)).Draw(t, "outcome")), Latency: drawDuration(t, "latency", 0, 5*time.Second)}
			if result.Outcome == Overloaded {
				result.RetryAfter = drawDuration(t, "retry after", 0, 2*time.Minute)
			}
			now += result.Latency
			if result.Outcome == NoChange {
				now += p.WatchWait()
			}
			p.Done(now, result)
			expectWait("a call", max(2*maxPeriod, min(maxRetryAfter, result.RetryAfter)+maxPeriod, maxRetryDelay))
			if result.RetryAfter > 0 && p.Next() < now+min(maxRetryAfter, result.RetryAfter) {
				t.Fatalf("the next call is %s away, the Retry-After was %s", p.Next()-now, result.RetryAfter)
			}
			if w := p.Timeout(); w < initialTimeout || w > maxTimeout {
				t.Fatalf("the time-out of a list is %s", w)
			}
			if w := p.WatchWait(); w < f.MinWatchWait/2 || w > maxWatchWait {
				t.Fatalf("a watch waits for %s", w)
			} else if p.rate == 1 && w > f.MaxWatchWait() {
				t.Fatalf("a watch waits for %s, longer than MaxWatchWait, %s", w, f.MaxWatchWait())
			}
		}
	})
}

// Compares nextTurn with a simple, slow oracle, which advances from one turn by single periods until a turn fits.
func TestNextTurn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := Fleet{Instances: rapid.IntRange(1, 300).Draw(t, "instances"), Rate: 100, MinWatchWait: time.Second}
		p := New(f, rand.New(rand.NewPCG(1, 1)), 0)
		p.turn, p.next = drawDuration(t, "turn", 0, 10*time.Second), 0
		now := drawDuration(t, "now", 0, 10*time.Second)
		earliest := now
		if rapid.Bool().Draw(t, "called before") {
			lastCall := drawDuration(t, "last call", 0, now)
			p.next = lastCall
			p.Sent(lastCall)
			earliest = max(now, lastCall+f.Period())
		}
		want := p.turn
		for want < earliest {
			want += f.Period()
		}
		for want-f.Period() >= earliest {
			want -= f.Period()
		}
		if got := p.nextTurn(now); got != want {
			t.Fatalf("turn %s, now %s, earliest %s: next turn is %s, want %s", p.turn, now, earliest, got, want)
		}
	})
}

// Checks how an instance adapts its rate: it is halved after a call that is rejected or times out, reduced by a quarter
// after a slow response, raised by an eighth of the full rate after a quick one, and kept while the service is
// unreachable.
func TestAdaptiveRate(t *testing.T) {
	quick, slow := Result{Outcome: Answered}, Result{Outcome: Answered, Latency: time.Second}
	overloaded, timedOut, down := Result{Outcome: Overloaded}, Result{Outcome: TimedOut}, Result{Outcome: Unreachable}
	for _, c := range []struct {
		name    string
		results []Result
		rate    float64
		timeout time.Duration
	}{
		{"an unreachable service changes nothing", []Result{down, down, down}, 1, initialTimeout},
		{"overload", []Result{overloaded, overloaded}, 0.25, initialTimeout},
		{"the rate is at least a sixteenth", []Result{overloaded, overloaded, overloaded, overloaded, overloaded, overloaded}, minRateShare, initialTimeout},
		{"quick responses raise the rate", []Result{overloaded, overloaded, quick, quick}, 0.5, initialTimeout},
		{"a slow response reduces the rate and keeps a sufficient time-out", []Result{slow}, 0.75, initialTimeout},
		{"timed-out calls raise the time-out to its maximum", []Result{timedOut, timedOut}, 0.25, maxTimeout},
		{"a quick response resets the time-out", []Result{timedOut, quick}, 0.625, initialTimeout},
	} {
		p := New(Fleet{Instances: 100, Rate: 100, MinWatchWait: time.Second}, rand.New(rand.NewPCG(1, 1)), 0)
		for _, result := range c.results {
			p.Sent(p.Next())
			p.Done(p.Next()+result.Latency, result)
		}
		if p.rate != c.rate || p.timeout != c.timeout {
			t.Errorf("%s: the rate is %v and the time-out %s; want %v and %s", c.name, p.rate, p.timeout, c.rate, c.timeout)
		}
	}
}
