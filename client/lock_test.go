package client

import (
	"context"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

const testHold = 3 * time.Second

// lockScript replies to begin with a fence, to finish with 200, and to heartbeats with heartbeat(number of earlier heartbeats).
func lockScript(heartbeat func(n int) reply) func(int, scriptedCall) reply {
	heartbeats := 0
	return func(_ int, call scriptedCall) reply {
		switch {
		case strings.HasSuffix(call.path, "/begin"):
			return ok(`{"fence":41}`)
		case strings.HasSuffix(call.path, "/finish"):
			return ok(`{}`)
		}
		heartbeats++
		return heartbeat(heartbeats - 1)
	}
}

func acquire(t *testing.T, c *Client) *Lock {
	t.Helper()
	l, err := c.Acquire(t.Context(), "l", LockOptions{Holder: "h", Hold: testHold, Margin: 100 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// Guards against a lock that is lost although its renewals succeed, and against renewals after the release.
func TestLockIsHeldUntilReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, s := scriptedClient(t, lockScript(func(int) reply { return ok(`{}`) }))
		l := acquire(t, c)
		time.Sleep(10 * testHold)
		if !l.IsHeld() || l.Fence() != 41 || l.Holder() != "h" || l.Name() != "l" {
			t.Errorf("%v", l.Err())
		}
		if err := l.Release(t.Context()); err != nil {
			t.Error(err)
		}
		<-l.Lost()
		if !errors.Is(l.Err(), ErrReleased) || l.IsHeld() {
			t.Error(l.Err())
		}
		calls := s.recorded()
		for _, call := range calls[1:] {
			if body := lockRequestOf(t, call); body.Fence != 41 || body.Holder != "h" {
				t.Errorf("sent %+v", call)
			}
		}
		if last := calls[len(calls)-1]; last.path != "/locks/l/finish" {
			t.Errorf("the last call was %s", last.path)
		}
		time.Sleep(10 * testHold)
		if len(s.recorded()) != len(calls) {
			t.Error("calls were sent after the release")
		}
	})
}

// Guards against a lock that counts as held after its hold, which starts when the last successful call was sent.
func TestLockIsLostWhenItsHoldExpires(t *testing.T) {
	for name, failure := range map[string]reply{"no response": {}, "refusals": {status: 503}, "unclear": {status: 504}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, _ := scriptedClient(t, lockScript(func(n int) reply {
					if n == 0 {
						return ok(`{}`)
					}
					return failure
				}))
				begin := time.Now()
				l := acquire(t, c)
				<-l.Lost()
				lastRenewal := (testHold - 100*time.Millisecond) / renewalsPerHold
				if want := lastRenewal + testHold - 100*time.Millisecond; time.Since(begin) != want || !errors.Is(l.Err(), ErrLost) {
					t.Errorf("lost after %v, want %v: %v", time.Since(begin), want, l.Err())
				}
			})
		})
	}
}

// Guards against a hold that is counted from the response, or from the first attempt, instead of from the sending of the successful attempt.
func TestHoldCountsFromSending(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow := ok(`{"fence":41}`)
		slow.before = func(context.Context) { time.Sleep(900 * time.Millisecond) }
		c, _ := scriptedClient(t, func(n int, _ scriptedCall) reply {
			return []reply{{status: 503}, slow, {}}[min(n, 2)]
		})
		begin := time.Now()
		l := acquire(t, c)
		if granted := time.Since(begin); granted != 900*time.Millisecond {
			t.Errorf("granted after %v", granted)
		}
		<-l.Lost()
		if took := time.Since(begin); took != testHold-100*time.Millisecond {
			t.Errorf("lost after %v", took)
		}
	})
}

// Guards against a renewal that extends a hold that expired before the response arrived.
func TestLateRenewalHasNoEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &Lock{options: LockOptions{Hold: testHold}, deadline: time.Now().Add(testHold)} // no renewals, as in a frozen process
		time.Sleep(testHold - time.Nanosecond)
		if !l.IsHeld() {
			t.Error(l.Err())
		}
		time.Sleep(time.Nanosecond)
		l.extend(time.Now())
		if l.IsHeld() || !errors.Is(l.Err(), ErrLost) {
			t.Errorf("held again: %v", l.Err())
		}
	})
}

// Guards against a holder that continues after the lock was granted to another one.
func TestLockIsLostByConflict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, _ := scriptedClient(t, lockScript(func(int) reply { return reply{status: 409, body: "{}"} }))
		begin := time.Now()
		l := acquire(t, c)
		<-l.Lost()
		if want := (testHold - 100*time.Millisecond) / renewalsPerHold; time.Since(begin) != want || !errors.Is(l.Err(), ErrLost) {
			t.Errorf("lost after %v: %v", time.Since(begin), l.Err())
		}
		if err := l.Release(t.Context()); err != nil || !errors.Is(l.Err(), ErrLost) {
			t.Errorf("%v, %v", err, l.Err())
		}
	})
}

// Guards against the use of a grant whose hold expired before the response arrived.
func TestLateGrantIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		late := ok(`{"fence":41}`)
		late.before = func(context.Context) { time.Sleep(900 * time.Millisecond) }
		c, s := scriptedClient(t, replyInOrder(late, ok(`{}`), ok(`{"fence":42}`), ok(`{}`)))
		l, err := c.Acquire(t.Context(), "l", LockOptions{Hold: 800 * time.Millisecond})
		if err != nil || l.Fence() != 42 {
			t.Fatal(l, err)
		}
		if second := s.recorded()[1]; second.path != "/locks/l/finish" || lockRequestOf(t, second).Fence != 41 {
			t.Errorf("%+v", second)
		}
		if err := l.Release(t.Context()); err != nil {
			t.Error(err)
		}
	})
}

// Guards against an Acquire that does not wait for a held lock, and one that waits after its context has ended.
func TestAcquireWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		held := reply{status: 409, body: "{}"}
		c, s := scriptedClient(t, replyInOrder(held, held, ok(`{"fence":2}`), ok(`{}`)))
		if _, err := c.TryAcquire(t.Context(), "l", LockOptions{}); !errors.Is(err, ErrHeld) {
			t.Error(err)
		}
		l, err := c.Acquire(t.Context(), "l", LockOptions{})
		if err != nil {
			t.Fatal(err)
		}
		_ = l.Release(t.Context())
		calls := s.recorded()
		if first, second := lockRequestOf(t, calls[0]).Holder, lockRequestOf(t, calls[1]).Holder; first == second || first == "" {
			t.Errorf("holders %q and %q", first, second)
		}

		c, _ = scriptedClient(t, replyInOrder(held))
		ctx, cancel := context.WithTimeout(t.Context(), 1100*time.Millisecond)
		defer cancel()
		if _, err := c.Acquire(ctx, "l", LockOptions{}); !errors.Is(err, ErrHeld) || !errors.Is(err, context.DeadlineExceeded) {
			t.Error(err)
		}
		if _, err := c.Acquire(t.Context(), "l", LockOptions{Hold: time.Second, Margin: 600 * time.Millisecond}); err == nil {
			t.Error("Acquire accepts a margin of more than half of the hold")
		}
	})
}

// Guards against a leader whose context is not cancelled when the leadership is lost, and against an election that ends then.
func TestElectionRunsAgainAfterLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fence := 0
		c, s := scriptedClient(t, func(_ int, call scriptedCall) reply {
			switch {
			case strings.HasSuffix(call.path, "/begin"):
				fence++
				return ok(`{"fence":%d}`, fence)
			case strings.HasSuffix(call.path, "/heartbeat") && fence == 1:
				return reply{status: 409, body: "{}"}
			}
			return ok(`{}`)
		})
		done := errors.New("done")
		err := c.Election("e", LockOptions{}).Run(t.Context(), func(ctx context.Context, fence uint64) error {
			if fence == 1 {
				<-ctx.Done()
				if !errors.Is(context.Cause(ctx), ErrLost) {
					t.Error(context.Cause(ctx))
				}
				return ctx.Err()
			}
			return done
		})
		if !errors.Is(err, done) || fence != 2 {
			t.Errorf("%v after fence %d", err, fence)
		}
		calls := s.recorded()
		if last := calls[len(calls)-1]; last.path != "/locks/e/finish" {
			t.Errorf("the last call was %s", last.path)
		}
	})
}
