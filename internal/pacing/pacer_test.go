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

// However calls end and the process is stopped, and though calls are made up to a sixteenth of a period late, an instance leaves
// three quarters of a period between any two, so that n of them make n calls in that time at most; and none waits longer than
// stated for its next one: two periods, or the Retry-After and a period.
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
		slowest := max(period, maxCallInterval/2)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = p.Next() + drawDuration(t, "late", 0, period/16)
			if rapid.IntRange(0, 9).Draw(t, "stop") == 0 {
				now += drawDuration(t, "stopped", time.Second, time.Minute)
				p.Resumed(now)
				expectWait("a stop", 2*slowest)
				continue
			}
			if lastCall >= 0 && now-lastCall < 3*period/4 {
				t.Fatalf("calls at %s and %s, a period is %s", lastCall, now, period)
			}
			lastCall = now
			p.Sent(now)
			e := Result{Outcome: Outcome(rapid.IntRange(0, int(TimedOut)).Draw(t, "how")), Latency: drawDuration(t, "took", 0, 5*time.Second)}
			if e.Outcome == Overloaded {
				e.RetryAfter = drawDuration(t, "advice", 0, 2*time.Minute)
			}
			now += e.Latency
			if e.Outcome == NoChange {
				now += p.WatchWait()
			}
			p.Done(now, e)
			expectWait("a call", max(2*slowest, min(maxRetryAfter, e.RetryAfter)+slowest, maxRetryDelay))
			if e.RetryAfter > 0 && p.Next() < now+min(maxRetryAfter, e.RetryAfter) {
				t.Fatalf("the next call is after %s, the Retry-After was %s", p.Next()-now, e.RetryAfter)
			}
			if w := p.Timeout(); w < initialTimeout || w > maxTimeout {
				t.Fatalf("the time-out is %s", w)
			}
			if w := p.WatchWait(); w < f.MinWatchWait/2 || w > maxWatchWait {
				t.Fatalf("a watch waits for %s", w)
			} else if p.rate == 1 && w > f.MaxWatchWait() {
				t.Fatalf("a watch waits for %s, longer than the longest, %s", w, f.MaxWatchWait())
			}
		}
	})
}

// A simple, slow oracle of an instance's turns: one period after the other from the first, until one fits.
func TestNextTurn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := Fleet{Instances: rapid.IntRange(1, 300).Draw(t, "instances"), Rate: 100, MinWatchWait: time.Second}
		p := New(f, rand.New(rand.NewPCG(1, 1)), 0)
		p.turn, p.next = drawDuration(t, "slot", 0, 10*time.Second), 0
		now := drawDuration(t, "now", 0, 10*time.Second)
		from := now
		if rapid.Bool().Draw(t, "asked") {
			lastSent := drawDuration(t, "last", 0, now)
			p.next = lastSent
			p.Sent(lastSent)
			from = max(now, lastSent+f.Period())
		}
		want := p.turn
		for want < from {
			want += f.Period()
		}
		for want-f.Period() >= from {
			want -= f.Period()
		}
		if got := p.nextTurn(now); got != want {
			t.Fatalf("slot %s, now %s, from %s: %s, want %s", p.turn, now, from, got, want)
		}
	})
}

// How an instance adapts its rate: it halves after each call that is rejected or times out, falls less after slow ones, rises by
// an eighth with each quick response, and stays where nobody listens.
func TestAdaptiveRate(t *testing.T) {
	quick, slow := Result{Outcome: Answered}, Result{Outcome: Answered, Latency: time.Second}
	overloaded, timedOut, down := Result{Outcome: Overloaded}, Result{Outcome: TimedOut}, Result{Outcome: Unreachable}
	for _, c := range []struct {
		name    string
		ends    []Result
		rate    float64
		timeout time.Duration
	}{
		{"an unreachable service changes nothing", []Result{down, down, down}, 1, initialTimeout},
		{"overload", []Result{overloaded, overloaded}, 0.25, initialTimeout},
		{"never less than a sixteenth", []Result{overloaded, overloaded, overloaded, overloaded, overloaded, overloaded}, minRate, initialTimeout},
		{"quick responses give it back", []Result{overloaded, overloaded, quick, quick}, 0.5, initialTimeout},
		{"slow responses take some, and are waited for", []Result{slow}, 0.75, initialTimeout},
		{"a time-out doubles the time-out", []Result{timedOut, timedOut}, 0.25, maxTimeout},
		{"and a quick response ends that", []Result{timedOut, quick}, 0.625, initialTimeout},
	} {
		p := New(Fleet{Instances: 100, Rate: 100, MinWatchWait: time.Second}, rand.New(rand.NewPCG(1, 1)), 0)
		for _, e := range c.ends {
			p.Sent(p.Next())
			p.Done(p.Next()+e.Latency, e)
		}
		if p.rate != c.rate || p.timeout != c.timeout {
			t.Errorf("%s: rate %v, the time-out is %s; want %v, %s", c.name, p.rate, p.timeout, c.rate, c.timeout)
		}
	}
}
