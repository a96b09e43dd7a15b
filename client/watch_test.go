package client

import (
	"context"
	"errors"
	"net/url"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against puts that a watch returns twice or misses when it continues at another address.
func TestWatchContinuesAtNextAddress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, s := scriptedClient(t, replyInOrder(
			ok(`{"events":[],"revision":10}`),
			ok(`{"events":[{"name":"g.a","value":"v","revision":11},{"name":"g.b","value":"w","revision":13}],"revision":14}`),
			reply{hangUp: true}, reply{},
			ok(`{"events":[{"name":"g.a","value":"x","revision":15}],"revision":15}`),
			reply{status: 410},
		))
		var revisions []uint64
		var last error
		w := c.Watch("g.", 0)
		for event, err := range w.Events(t.Context()) {
			if last = err; err == nil {
				revisions = append(revisions, event.Revision)
			}
		}
		if !slices.Equal(revisions, []uint64{11, 13, 15}) || !errors.Is(last, ErrCompacted) || w.Revision() != 15 {
			t.Errorf("returned the revisions %v, then %v at %d", revisions, last, w.Revision())
		}
		var since []string
		for _, call := range s.recorded() {
			query, _ := url.ParseQuery(call.query)
			since = append(since, query.Get("sinceRevision"))
		}
		if !slices.Equal(since, []string{"0", "10", "14", "14", "14", "15"}) || s.addresses() != "a:1 a:1 a:1 b:1 c:1 c:1" {
			t.Errorf("called with sinceRevision %v at %s", since, s.addresses())
		}
	})
}

// Guards against a watch that returns puts again or out of order.
func TestWatchRejectsPutsOutOfOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, _ := scriptedClient(t, replyInOrder(
			ok(`{"events":[{"name":"g.a","value":"v","revision":5}],"revision":7}`),
			ok(`{"events":[{"name":"g.a","value":"v","revision":8},{"name":"g.a","value":"u","revision":7}],"revision":8}`),
			ok(`{"events":[{"name":"g.a","value":"w","revision":6}],"revision":6}`),
		))
		events, err := c.Watch("g.", 5).Next(t.Context())
		if err != nil || len(events) != 1 || events[0].Value != "w" {
			t.Errorf("%v, %v", events, err)
		}
	})
}

// Guards against a first put of a group that is missed silently: the service returns no puts after revision 0.
func TestWatchOfEmptyGroupReportsGap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, _ := scriptedClient(t, replyInOrder(ok(`{"events":[],"revision":0}`), ok(`{"events":[],"revision":0}`), ok(`{"events":[],"revision":1}`)))
		if _, err := c.Watch("g.", 0).Next(t.Context()); !errors.Is(err, ErrCompacted) {
			t.Error(err)
		}
	})
}

// Guards against a watch that keeps calling a router that is shutting down, and one that continues after its context has ended.
func TestWatchOfQuietGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		quiet := ok(`{"events":[],"revision":3}`)
		quiet.before = func(ctx context.Context) { _ = sleep(ctx, defaultWatchWait) }
		c, s := scriptedClient(t, replyInOrder(ok(`{"events":[],"revision":3}`), quiet))
		ctx, cancel := context.WithTimeout(t.Context(), 25*time.Second)
		defer cancel()
		begin := time.Now()
		if _, err := c.Watch("g.", 3).Next(ctx); !errors.Is(err, context.DeadlineExceeded) || time.Since(begin) != 25*time.Second {
			t.Errorf("%v after %v", err, time.Since(begin))
		}
		if s.addresses() != "a:1 b:1 b:1 b:1" {
			t.Error(s.addresses())
		}
	})
}
