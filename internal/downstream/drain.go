package downstream

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// The steps of draining, from SIGTERM on. New connections come for 0.2 to 0.4 s more; SIGKILL comes killAfter beyond the longest
// deadline, counted as maxCountedDeadline at most, at the soonest. docs/operate has what operators are promised.
const (
	maxCountedDeadline    = 3 * time.Second
	killAfter             = 700 * time.Millisecond
	closeListenersBefore  = 250 * time.Millisecond // SIGKILL: nothing new is accepted from then on
	redirectBefore        = 800 * time.Millisecond // that: responses close their connections, so that clients go to other sidecars
	redirectBeforeIfAlone = 100 * time.Millisecond // that, where there are none: or requests would cross the close
	cancelStreamsBefore   = 150 * time.Millisecond // SIGKILL: streams without a response fail
	cancelRelaysBefore    = 100 * time.Millisecond // SIGKILL: responses that are still being streamed are aborted
	exitBefore            = 50 * time.Millisecond  // SIGKILL
)

// drainSchedule has the steps of draining as times since SIGTERM.
type drainSchedule struct {
	redirect, closeListeners, cancelStreams, cancelRelays, end time.Duration
}

func (s *managerSettings) drainSchedule() drainSchedule {
	kill := s.drainTimeout + exitBefore
	closeListeners := kill - closeListenersBefore
	before := redirectBefore
	if s.alone {
		before = redirectBeforeIfAlone
	}
	return drainSchedule{
		redirect:       closeListeners - before,
		closeListeners: closeListeners,
		cancelStreams:  kill - cancelStreamsBefore,
		cancelRelays:   kill - cancelRelaysBefore,
		end:            s.drainTimeout,
	}
}

// drain shuts the frontends down in steps. Listeners stay open while connections may come, or these would be reset with what
// their clients have written. Clients keep their connections and are served for as long as possible: whether another sidecar is
// up can't be known here, and in a rolling restart of two there may be none. Where there are others, the last responses close
// their connections. No client opens new ones, and one that finds all of its connections busy takes the sidecar for dead: so
// in an overload, a request on one of the last free connections is rejected at once (lowOnConnections). Idle connections are
// closed last, when hardly any request can cross the close; clients that have no other sidecar are redirected shortly before,
// too. Streams without a response before SIGKILL fail.
//
// Where another process has succeeded this one, nothing new comes here: clients keep their connections until the next response
// on each, and draining ends with the last one.
func (m *Manager) drain(frontends []Frontend, listeners []*limitedListener) error {
	succeeded, schedule := m.succeeded.Load(), m.settings.Load().drainSchedule()
	m.log.Info().Int64("held", m.activeStreams.Load()).Bool("followed", succeeded).Msg("draining")
	start := time.Now()
	m.draining.Store(true)
	if succeeded { // the accept queue is the successor's too, so that nothing is lost by closing the listeners here
		for _, f := range frontends {
			_ = f.Listener.Close()
		}
	} else {
		<-m.After(schedule.redirect)
		m.redirecting.Store(true)
	}
	m.waitForDrain(succeeded, schedule.closeListeners-time.Since(start))
	ctx, cancel := context.WithDeadline(context.Background(), start.Add(schedule.end))
	defer cancel()
	if err := m.shutDown(ctx, frontends, listeners, schedule); err != nil {
		return err
	}
	m.log.Info().Int64("held", m.activeStreams.Load()).Dur("after", time.Since(start)).Msg("drained")
	return nil
}

// waitForDrain waits until the timeout, or, where no connection can come any more, until none is open.
func (m *Manager) waitForDrain(succeeded bool, timeout time.Duration) {
	var allClosed <-chan struct{}
	if succeeded {
		allClosed = m.limiter.allClosed()
	}
	select {
	case <-allClosed:
	case <-m.After(timeout):
	}
}

// shutDown carries out the steps from closeListeners on. What is left when ctx ends is closed.
func (m *Manager) shutDown(ctx context.Context, frontends []Frontend, listeners []*limitedListener, schedule drainSchedule) error {
	cancelStreams := m.After(schedule.cancelStreams - schedule.closeListeners)
	var cancelRelays <-chan time.Time
	m.redirecting.Store(true)
	for _, l := range listeners {
		_ = l.Close()
	}
	stopped := make(chan error, len(frontends))
	for _, f := range frontends {
		go func() { stopped <- f.Server.Shutdown(ctx) }() // it may wait for a slow connection beyond its context
	}
	m.limiter.closeIdle()
	for running := len(frontends); running > 0; {
		select {
		case err := <-stopped:
			if err != nil && !errors.Is(err, context.DeadlineExceeded) {
				return fmt.Errorf("downstream: shutdown: %w", err)
			}
			running--
		case <-cancelStreams:
			cancelStreams = nil
			m.cancelStreams()
			m.limiter.closeInactive()
			cancelRelays = m.After(schedule.cancelRelays - schedule.cancelStreams)
		case <-cancelRelays:
			cancelRelays = nil
			m.cancelRelays()
		case <-ctx.Done():
			m.closeAll(frontends)
			return nil
		}
	}
	return nil
}

// streamsCancelledError is the cause of the end of StreamContext.
type streamsCancelledError struct{ relayCtx context.Context }

func (streamsCancelledError) Error() string { return "downstream: all is cut" }

// afterRelayAbort calls abort when a response that is being streamed is to be aborted: as soon as its request's context ends
// because the client has left, or, while draining, when relayCtx ends a moment after that, for what has come from the host by
// then is to reach the client. stop is context.AfterFunc's.
func afterRelayAbort(ctx context.Context, abort func()) (stop func() bool) {
	return context.AfterFunc(ctx, func() {
		if cancelled, ok := context.Cause(ctx).(streamsCancelledError); ok {
			<-cancelled.relayCtx.Done()
		}
		abort()
	})
}
