// Package settingsclient has a sidecar follow its service's published settings: it makes the calls to distributors that
// settingsstore.Follower decides on, over TCP, and passes on what is to be applied. Package daemon uses it.
//
// A Client has one goroutine, which calls Run; Poll may be called from any other. Errors begin with "follow:", as they always
// have, for they stand in the sidecar's log.
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

// Client follows one service's settings. Distributors that are down, unresponsive or faulty cost nothing but their updates. The
// exported fields are set before Run.
type Client struct {
	Service      string
	Name         string          // of the sidecar, by which distributors report what is in force here
	Distributors []string        // addresses, at least one
	InForce      version.Edition // the edition in force at the start; zero: settings that are no distributor's
	Rand         *rand.Rand
	Log          zerolog.Logger
	// Dial opens connections; nil: net.Dialer.DialContext.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// Apply applies settings, completely or, with an error that says why, not at all.
	Apply func(settingsstore.State) error

	start          time.Time
	follower       *settingsstore.Follower
	conn           conn
	reportedFaults map[fault]bool // logged, and still present
	reportedNone   bool           // it was logged that nothing is published

	mu            sync.Mutex
	pollNow       bool // the next request is not to wait
	retryRejected bool // what was rejected is to be tried once more
	cancelTurn    context.CancelFunc
}

// fault is what is wrong with a distributor: its index, and the log message.
type fault struct {
	distributor int
	message     string
}

const (
	noAnswer  = "a distributor did not answer"
	badAnswer = "a distributor's answer is not taken"
)

// Poll has a distributor be asked at once; a request that waits is cancelled. With retry, what was rejected is tried once more.
func (c *Client) Poll(retry bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pollNow, c.retryRejected = true, c.retryRejected || retry
	if c.cancelTurn != nil {
		c.cancelTurn()
	}
}

// Run follows the settings until ctx is done, and calls answered once the first valid answer has been handled.
func (c *Client) Run(ctx context.Context, answered func()) {
	c.start, c.reportedFaults = time.Now(), map[fault]bool{}
	c.follower = settingsstore.NewFollower(c.Service, c.Name, c.Distributors, c.Rand)
	c.follower.Applied(c.InForce)
	if c.conn.dialFunc = c.Dial; c.Dial == nil {
		c.conn.dialFunc = (&net.Dialer{}).DialContext
	}
	defer c.conn.disconnect()
	once := sync.OnceFunc(answered)
	for ctx.Err() == nil {
		if c.turn(ctx) {
			once()
		}
	}
}

func (c *Client) now() time.Duration { return time.Since(c.start) }

// turn makes one call, and reports whether there was a valid answer.
func (c *Client) turn(ctx context.Context) bool {
	ctx = c.startTurn(ctx)
	defer c.endTurn()
	call := c.follower.Next(c.now())
	sleep(ctx, call.NotBefore-c.now())
	if ctx.Err() != nil {
		return false
	}
	c.follower.Sent(c.now(), call)
	a, err := c.conn.do(ctx, c.Distributors[call.Distributor], call.Request.Target(), call.Timeout)
	if err != nil && ctx.Err() != nil {
		return false // Poll has cancelled it
	}
	if err != nil {
		c.handleError(call.Distributor, err)
		return false
	}
	if a.state != nil {
		if err := c.follower.ReceiveState(c.now(), *a.state); err != nil {
			c.logFault(call.Distributor, err, badAnswer)
			return false
		}
		c.apply(*a.state)
	} else {
		c.follower.ReceiveNothing(c.now(), a.retryAfter)
		if c.follower.InForce().None() && call.Request.Rejected.None() && !c.reportedNone {
			c.reportedNone = true
			c.Log.Info().Str("service", c.Service).Msg("no settings are published; the file's are in force")
		}
	}
	c.clearFaults(call.Distributor)
	return true
}

// clearFaults logs that a distributor answers again, if a fault of it was logged.
func (c *Client) clearFaults(distributor int) {
	missing, invalid := fault{distributor, noAnswer}, fault{distributor, badAnswer}
	if c.reportedFaults[missing] || c.reportedFaults[invalid] {
		delete(c.reportedFaults, missing)
		delete(c.reportedFaults, invalid)
		c.Log.Info().Str("distributor", c.Distributors[distributor]).Msg("the distributor answers again")
	}
}

// startTurn returns a turn's context, which Poll cancels.
func (c *Client) startTurn(ctx context.Context) context.Context {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pollNow {
		c.follower.SkipWait()
	}
	if c.retryRejected {
		c.follower.RetryRejected()
	}
	c.pollNow, c.retryRejected = false, false
	ctx, c.cancelTurn = context.WithCancel(ctx)
	return ctx
}

func (c *Client) endTurn() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelTurn()
	c.cancelTurn = nil
}

// apply tries settings, and records whether they are in force.
func (c *Client) apply(s settingsstore.State) {
	log := c.Log.With().Str("service", s.Service).Uint64("epoch", s.Epoch).Str("by", s.By).Logger()
	if err := c.Apply(s); err != nil {
		c.follower.Rejected(s.Edition, err)
		log.Error().Err(err).Msg("published settings are not taken")
		return
	}
	c.follower.Applied(s.Edition)
	log.Info().Msg("published settings are in force")
}

// handleError records how a call failed.
func (c *Client) handleError(distributor int, err error) {
	now := c.now()
	var status *statusError
	var invalid *invalidAnswerError
	var netErr net.Error
	switch {
	case errors.As(err, &invalid):
		c.follower.RejectAnswer(now, err)
		c.logFault(distributor, err, badAnswer)
		return
	case errors.As(err, &status):
		c.follower.Failed(now, status.retryAfter)
	case errors.Is(err, errConnectionLost):
		c.follower.ConnectionLost(now)
		return
	case errors.As(err, &netErr) && netErr.Timeout():
		if !c.follower.TimedOut(now) {
			c.Log.Info().Msg("was stopped, it seems; the distributor is asked again")
			return
		}
	default:
		c.follower.Failed(now, 0)
	}
	c.logFault(distributor, err, noAnswer)
}

// logFault logs a distributor's fault, once until it has answered again.
func (c *Client) logFault(distributor int, err error, message string) {
	f := fault{distributor, message}
	if !c.reportedFaults[f] {
		c.Log.Warn().Str("distributor", c.Distributors[distributor]).Err(err).Msg(message)
	}
	c.reportedFaults[f] = true
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
