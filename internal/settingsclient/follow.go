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

// Watch follows one service's settings. Distributors that are dead, silent or talk nonsense cost nothing but their news.
type Watch struct {
	Service string
	Name    string          // by which distributors remember what is in force here
	From    []string        // the distributors' addresses, one at least
	Has     version.Edition // in force from the start; none: settings that no distributor gave
	Rand    *rand.Rand
	Log     zerolog.Logger
	// Dial opens connections, as net.Dialer.DialContext does, which it is where this is nil.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// Take has settings take effect, whole, or not at all and says why.
	Take func(settingsstore.State) error

	begun time.Time
	state *settingsstore.Follower
	conn  conn
	bad   map[fault]bool // what is in the log, and not yet that it is over
	none  bool           // it is in the log that nothing is published

	mu     sync.Mutex
	hurry  bool // the next question is not to wait,
	retry  bool // and what was refused is to be tried once more
	leaves context.CancelFunc
}

// fault is what is wrong with a distributor.
type fault struct {
	who     int
	message string
}

const (
	noAnswer  = "a distributor did not answer"
	badAnswer = "a distributor's answer is not taken"
)

// Ask has the distributors be asked at once; what is waited for is broken off. Retry has what was refused be tried once more.
func (w *Watch) Ask(retry bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hurry, w.retry = true, w.retry || retry
	if w.leaves != nil {
		w.leaves()
	}
}

// Run follows until ctx ends, and calls answered once the first answer has been dealt with.
func (w *Watch) Run(ctx context.Context, answered func()) {
	w.begun, w.bad = time.Now(), map[fault]bool{}
	w.state = settingsstore.NewFollower(w.Service, w.Name, w.From, w.Rand)
	w.state.Take(w.Has)
	if w.conn.open = w.Dial; w.Dial == nil {
		w.conn.open = (&net.Dialer{}).DialContext
	}
	defer w.conn.hangUp()
	once := sync.OnceFunc(answered)
	for ctx.Err() == nil {
		if w.turn(ctx) {
			once()
		}
	}
}

func (w *Watch) now() time.Duration { return time.Since(w.begun) }

// turn makes one call, and returns whether it was answered with what can be used.
func (w *Watch) turn(ctx context.Context) bool {
	ctx = w.begin(ctx)
	defer w.end()
	c := w.state.Next(w.now())
	sleep(ctx, c.At-w.now())
	if ctx.Err() != nil {
		return false
	}
	w.state.Ask(w.now(), c)
	a, err := w.conn.call(ctx, w.From[c.To], c.Question.Target(), c.Within)
	if err != nil && ctx.Err() != nil {
		return false // it was broken off
	}
	if err != nil {
		w.fails(c.To, err)
		return false
	}
	if a.state != nil {
		if err := w.state.Hear(w.now(), *a.state); err != nil {
			w.told(c.To, err, badAnswer)
			return false
		}
		w.take(*a.state)
	} else {
		w.state.Quiet(w.now(), a.retryAfter)
		if w.state.InForce().None() && c.Question.Refused.None() && !w.none {
			w.none = true
			w.Log.Info().Str("service", w.Service).Msg("no settings are published; the file's are in force")
		}
	}
	no, bad := fault{c.To, noAnswer}, fault{c.To, badAnswer}
	if w.bad[no] || w.bad[bad] {
		delete(w.bad, no)
		delete(w.bad, bad)
		w.Log.Info().Str("distributor", w.From[c.To]).Msg("the distributor answers again")
	}
	return true
}

// begin is the context of a turn, which ends as soon as something else is wanted.
func (w *Watch) begin(ctx context.Context) context.Context {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.hurry {
		w.state.Hurry()
	}
	if w.retry {
		w.state.Retry()
	}
	w.hurry, w.retry = false, false
	ctx, w.leaves = context.WithCancel(ctx)
	return ctx
}

func (w *Watch) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaves()
	w.leaves = nil
}

// take has settings be tried.
func (w *Watch) take(s settingsstore.State) {
	log := w.Log.With().Str("service", s.Service).Uint64("epoch", s.Epoch).Str("by", s.By).Logger()
	if err := w.Take(s); err != nil {
		w.state.Refuse(s.Edition, err)
		log.Error().Err(err).Msg("published settings are not taken")
		return
	}
	w.state.Take(s.Edition)
	log.Info().Msg("published settings are in force")
}

// fails tells the follower how a call failed.
func (w *Watch) fails(who int, err error) {
	now := w.now()
	var away *turnedAway
	var unusable *unusable
	var late net.Error
	switch {
	case errors.As(err, &unusable):
		w.state.Reject(now, err)
		w.told(who, err, badAnswer)
		return
	case errors.As(err, &away):
		w.state.Fail(now, away.retryAfter)
	case errors.Is(err, errDropped):
		w.state.Drop(now)
		return
	case errors.As(err, &late) && late.Timeout():
		if !w.state.Silent(now) {
			w.Log.Info().Msg("was stopped, it seems; the distributor is asked again")
			return
		}
	default:
		w.state.Fail(now, 0)
	}
	w.told(who, err, noAnswer)
}

// told logs a distributor's fault: once, and not every time that it is gone back to.
func (w *Watch) told(who int, err error, message string) {
	f := fault{who, message}
	if !w.bad[f] {
		w.Log.Warn().Str("distributor", w.From[who]).Err(err).Msg(message)
	}
	w.bad[f] = true
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
