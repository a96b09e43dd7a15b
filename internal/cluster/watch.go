package cluster

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"github.com/rs/zerolog"

	"pinelb.example/pinelb/balance"
)

// Timing of an agent's watch. A watch whose agent has become unresponsive looks like one without changes until it times out, so
// that this bounds how late a release is seen.
const (
	maxWatchWait     = 1000 * time.Millisecond // that the agent is asked to hold a call until there are changes
	watchGracePeriod = 300 * time.Millisecond  // and beyond that
	minCallTimeout   = 600 * time.Millisecond  // of a first call, and of one after a failure: an agent responds at once
	maxCallTimeout   = 2 * time.Second         // after several failures: an agent may be slow
	baseRetryDelay   = 100 * time.Millisecond  // after a failure: well within the 200 ms that keep a watch alive
	maxRetryDelay    = 180 * time.Millisecond  // after many in a row: what an agent that is back has counts as reported at once
	maxOverloadDelay = 800 * time.Millisecond  // the same where it reports overload: it is not to be called harder the worse it does
	maxBackoffShift  = 8                       // of the exponential backoffs
)

var (
	errRevisionWentBack = errors.New("cluster: the revision has gone back")
	errIncompleteList   = errors.New("cluster: a part of the list instead of the whole")
)

// watch is the state of following one agent.
type watch struct {
	addr     string
	table    *Table
	rand     *rand.Rand
	log      zerolog.Logger
	refresh  *refreshRequests
	onUpdate func(sentAt time.Time) // nil: none
	dial     dialFunc               // nil: net.Dialer's

	conn        net.Conn
	reader      *bufio.Reader
	detectStops bool          // connections are read through a stopDetector
	stops       *stopDetector // of conn

	revision int64
	synced   bool // the complete list has come from this agent
}

// run fetches the list and then watches its changes until ctx ends. An agent that is down or unresponsive changes nothing that is
// known.
func (w *watch) run(ctx context.Context, synced func()) {
	defer w.disconnect()
	failures := 0 // in a row
	for ctx.Err() == nil {
		request := w.nextRequest(failures)
		request.sentAt = time.Now()
		list, interrupted, err := w.fetchInterruptible(ctx, request.wait > 0, request.target, request.timeout)
		if ctx.Err() != nil { // what an agent that was left has sent does not count
			return
		}
		if interrupted {
			w.disconnect()
			continue
		}
		if err == nil {
			err = w.update(list, request, synced)
		}
		if err != nil {
			w.backOff(ctx, err, failures)
			failures++
			continue
		}
		if failures > 0 {
			failures = 0
			w.log.Info().Msg("discovery answers again")
		}
		w.refresh.complete(request.refreshID)
		w.notifyUpdate(request.sentAt)
		synced()
	}
}

// pollRequest is one call of discovery.
type pollRequest struct {
	target      string
	wait        time.Duration // until there are changes; 0: it does not wait
	incremental bool          // for what is newer than a revision, and not for the complete list
	timeout     time.Duration // of an agent's watch; a paced one has its own
	refreshID   uint64        // of the refresh that it fulfils; 0: none
	sentAt      time.Time
}

// nextRequest returns the next call after so many failures in a row.
func (w *watch) nextRequest(failures int) pollRequest {
	timeout := callTimeout(failures)
	refreshID := w.refresh.pending()
	if !w.synced || refreshID > 0 {
		return pollRequest{target: membersPath, timeout: timeout, refreshID: refreshID}
	}
	wait := w.jitter(maxWatchWait)
	if failures > 0 { // changes that were missed are there already
		wait = min(wait, timeout-watchGracePeriod)
	}
	return pollRequest{target: changesTarget(w.revision, wait), wait: wait, incremental: true, timeout: wait + watchGracePeriod}
}

// update takes over a response. The error says why it does not count as one to that request.
func (w *watch) update(list List, r pollRequest, synced func()) error {
	if w.synced && list.Revision < w.revision {
		// The agent has restarted and does not name hosts that went meanwhile, or this is a late response: a new connection
		// shows which.
		w.synced = false
		return errRevisionWentBack
	}
	w.applyList(list)
	if r.wait == 0 && !list.Complete { // its changes count, but a host that it leaves out would stay for ever
		synced()
		return errIncompleteList
	}
	return nil
}

// backOff waits after a failed call that followed so many failures.
func (w *watch) backOff(ctx context.Context, err error, failures int) {
	w.disconnect()
	if failures == 0 { // not ten times a second for as long as it is down
		w.log.Warn().Err(err).Msg("discovery did not answer")
	}
	delay := retryDelay(failures)
	var overload *overloadError
	if errors.As(err, &overload) {
		delay = min(maxOverloadDelay, baseRetryDelay<<min(failures, maxBackoffShift))
	}
	sleep(ctx, w.jitter(delay))
}

// notifyUpdate reports that a response to a request of that time was taken over.
func (w *watch) notifyUpdate(sentAt time.Time) {
	if w.onUpdate != nil {
		w.onUpdate(sentAt)
	}
}

// retryDelay is the longest delay after a call that failed after so many failures: it doubles each time, up to maxRetryDelay.
func retryDelay(failures int) time.Duration {
	return min(maxRetryDelay, baseRetryDelay<<min(failures, maxBackoffShift))
}

// callTimeout is the time-out of a call that does not wait, after so many failures in a row: it doubles each time from the third
// on, up to maxCallTimeout. Several time-outs in a row so take well under the 4 s after which what a new agent has counts as
// reported, and the 6 s of an unresponsive watch.
func callTimeout(failures int) time.Duration {
	return min(maxCallTimeout, minCallTimeout<<min(max(0, failures-2), maxBackoffShift))
}

// jitter returns a random time between three quarters of d and d.
func (w *watch) jitter(d time.Duration) time.Duration {
	return time.Duration((0.75 + 0.25*w.rand.Float64()) * float64(d))
}

// applyList takes over a list.
func (w *watch) applyList(list List) {
	kind := balance.ListDelta
	if list.Complete {
		kind = balance.ListFull
	}
	w.table.Apply(kind, list)
	if list.Complete || len(list.Members) > 0 {
		w.log.Info().Int64("revision", list.Revision).Bool("complete", list.Complete).
			Int("members", len(list.Members)).Msg("cluster changed")
	}
	w.revision, w.synced = list.Revision, w.synced || list.Complete
}

// membersPath is the complete list.
const membersPath = "/catalog/members"

// changesTarget is the list of changes since a revision, for which the service waits up to that time.
func changesTarget(revision int64, wait time.Duration) string {
	return fmt.Sprintf("%s?since=%d&timeout_ms=%d", membersPath, revision, wait.Milliseconds())
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
