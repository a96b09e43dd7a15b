// Package follow has a sidecar follow its service's settings at the distributors: it makes the calls that distribute.Follower
// decides on, on net.Conn, and hands on what is to be tried.
package settingsclient

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"pinelb.example/pinelb/internal/settingsstore"
	"pinelb.example/pinelb/internal/version"
)

// Client follows one service's settings. Distributors that are dead, silent or talk nonsense cost nothing but their news.
type Client struct {
	Service      string
	Name         string          // by which distributors remember what is in force here
	Distributors []string        // the distributors' addresses, one at least
	InForce      version.Edition // in force from the start; none: settings that no distributor gave
	Rand         *rand.Rand
	Log          zerolog.Logger
	// Dial opens connections, as net.Dialer.DialContext does, which it is where this is nil.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// Apply has settings take effect, whole, or not at all and says why.
	Apply func(settingsstore.State) error

	start          time.Time
	follower       *settingsstore.Follower
	conn           conn
	reportedFaults map[fault]bool // what is in the log, and not yet that it is over
	reportedNone   bool           // it is in the log that nothing is published

	mu            sync.Mutex
	pollNow       bool // the next question is not to wait,
	retryRejected bool // and what was refused is to be tried once more
	cancelTurn    context.CancelFunc
}

// fault is what is wrong with a distributor.
type fault struct {
	distributor int
	message     string
}

const (
	noAnswer  = "a distributor did not answer"
	badAnswer = "a distributor's answer is not taken"
)

// Poll has the distributors be asked at once; what is waited for is broken off. Retry has what was refused be tried once more.
func (w *Client) Poll(retry bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pollNow, w.retryRejected = true, w.retryRejected || retry
	if w.cancelTurn != nil {
		w.cancelTurn()
	}
}

// Run follows until ctx ends, and calls answered once the first answer has been dealt with.
func (w *Client) Run(ctx context.Context, answered func()) {
	w.start, w.reportedFaults = time.Now(), map[fault]bool{}
	w.follower = settingsstore.NewFollower(w.Service, w.Name, w.Distributors, w.Rand)
	w.follower.Applied(w.InForce)
	if w.conn.dialFunc = w.Dial; w.Dial == nil {
		w.conn.dialFunc = (&net.Dialer{}).DialContext
	}
	defer w.conn.disconnect()
	once := sync.OnceFunc(answered)
	for ctx.Err() == nil {
		if w.turn(ctx) {
			once()
		}
	}
}

func (w *Client) now() time.Duration { return time.Since(w.start) }

// turn makes one call, and returns whether it was answered with what can be used.
func (w *Client) turn(ctx context.Context) bool {
	ctx = w.startTurn(ctx)
	defer w.endTurn()
	c := w.follower.Next(w.now())
	sleep(ctx, c.NotBefore-w.now())
	if ctx.Err() != nil {
		return false
	}
	w.follower.Sent(w.now(), c)
	a, err := w.conn.do(ctx, w.Distributors[c.Distributor], c.Request.Target(), c.Timeout)
	if err != nil && ctx.Err() != nil {
		return false // it was broken off
	}
	if err != nil {
		w.handleError(c.Distributor, err)
		return false
	}
	if a.state != nil {
		if err := w.follower.ReceiveState(w.now(), *a.state); err != nil {
			w.logFault(c.Distributor, err, badAnswer)
			return false
		}
		w.apply(*a.state)
	} else {
		w.follower.ReceiveNothing(w.now(), a.retryAfter)
		if w.follower.InForce().None() && c.Request.Rejected.None() && !w.reportedNone {
			w.reportedNone = true
			w.Log.Info().Str("service", w.Service).Msg("no settings are published; the file's are in force")
		}
	}
	no, bad := fault{c.Distributor, noAnswer}, fault{c.Distributor, badAnswer}
	if w.reportedFaults[no] || w.reportedFaults[bad] {
		delete(w.reportedFaults, no)
		delete(w.reportedFaults, bad)
		w.Log.Info().Str("distributor", w.Distributors[c.Distributor]).Msg("the distributor answers again")
	}
	return true
}

// begin is the context of a turn, which ends as soon as something else is wanted.
func (w *Client) startTurn(ctx context.Context) context.Context {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.pollNow {
		w.follower.SkipWait()
	}
	if w.retryRejected {
		w.follower.RetryRejected()
	}
	w.pollNow, w.retryRejected = false, false
	ctx, w.cancelTurn = context.WithCancel(ctx)
	return ctx
}

func (w *Client) endTurn() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancelTurn()
	w.cancelTurn = nil
}

// take has settings be tried.
func (w *Client) apply(s settingsstore.State) {
	log := w.Log.With().Str("service", s.Service).Uint64("epoch", s.Epoch).Str("by", s.By).Logger()
	if err := w.Apply(s); err != nil {
		w.follower.Rejected(s.Edition, err)
		log.Error().Err(err).Msg("published settings are not taken")
		return
	}
	w.follower.Applied(s.Edition)
	log.Info().Msg("published settings are in force")
}

// fails tells the follower how a call failed.
func (w *Client) handleError(who int, err error) {
	now := w.now()
	var away *statusError
	var unusable *invalidAnswerError
	var late net.Error
	switch {
	case errors.As(err, &unusable):
		w.follower.RejectAnswer(now, err)
		w.logFault(who, err, badAnswer)
		return
	case errors.As(err, &away):
		w.follower.Failed(now, away.retryAfter)
	case errors.Is(err, errConnectionLost):
		w.follower.ConnectionLost(now)
		return
	case errors.As(err, &late) && late.Timeout():
		if !w.follower.TimedOut(now) {
			w.Log.Info().Msg("was stopped, it seems; the distributor is asked again")
			return
		}
	default:
		w.follower.Failed(now, 0)
	}
	w.logFault(who, err, noAnswer)
}

// told logs a distributor's fault: once, and not every time that it is gone back to.
func (w *Client) logFault(who int, err error, message string) {
	f := fault{who, message}
	if !w.reportedFaults[f] {
		w.Log.Warn().Str("distributor", w.Distributors[who]).Err(err).Msg(message)
	}
	w.reportedFaults[f] = true
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
