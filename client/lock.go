package client

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"sync"
	"time"
)

const (
	defaultHold      = 10 * time.Second
	marginDivisor    = 20 // the default margin is the hold divided by it
	renewalsEachHold = 3  // so many renewals may fail, roughly, before the lock is lost
	acquireInterval  = 250 * time.Millisecond
	releaseTimeout   = time.Second // of a lock that was granted too late
)

// LockOptions say how a lock is held. The zero value has the defaults.
type LockOptions struct {
	// Holder names the holder. No two holders of a lock may have the same name at any time. Default: a random name for each Lock.
	Holder string
	// Hold is for how long the lock is granted each time, from 1 ms to 1 h: for so long it stays taken when its holder dies. Default: 10 s.
	Hold time.Duration
	// Margin is how long before the end of the hold the lock counts as lost, so that the holder has time to stop. At most half of Hold.
	// Default: a twentieth of Hold.
	Margin time.Duration
	// Interval is the pause between attempts while another holds the lock. Default: 250 ms.
	Interval time.Duration
}

func (o *LockOptions) setDefaults() error {
	if o.Holder == "" {
		o.Holder = rand.Text()
	}
	setDefault(&o.Hold, defaultHold)
	setDefault(&o.Margin, o.Hold/marginDivisor)
	setDefault(&o.Interval, acquireInterval)
	if o.Margin > o.Hold/2 {
		return &RefusedError{Reason: fmt.Sprintf("the margin %v is more than half of the hold %v", o.Margin, o.Hold)}
	}
	return nil
}

// Lock is a lock that was acquired. It is renewed in the background until it is released or lost. Its methods may be called by any goroutine.
//
// The holder's time counts from the sending of the last call that succeeded, on the monotonic clock. Once it has run out the lock is lost,
// whatever is heard later.
type Lock struct {
	client  *Client
	name    string
	options LockOptions
	fence   uint64
	cancel  context.CancelCauseFunc // ends the renewals
	ended   chan struct{}           // closed when they have ended

	mu       sync.Mutex
	deadline time.Time // from which on the lock is lost
	err      error     // why it is not held any more
}

// TryAcquire acquires a lock, or fails with ErrHeld where another has it, and with ErrLost where the grant came too late to be used.
func (c *Client) TryAcquire(ctx context.Context, name string, options LockOptions) (*Lock, error) {
	if err := options.setDefaults(); err != nil {
		return nil, err
	}
	return c.tryAcquire(ctx, name, options)
}

// Acquire acquires a lock, and waits while another has it. Where the context ends first, the error is that of the last attempt, ErrHeld mostly,
// and the context's.
func (c *Client) Acquire(ctx context.Context, name string, options LockOptions) (*Lock, error) {
	if err := options.setDefaults(); err != nil {
		return nil, err
	}
	var held error // of the attempt before
	for {
		lock, err := c.tryAcquire(ctx, name, options)
		var refused *RefusedError
		switch {
		case errors.Is(err, ErrHeld), errors.Is(err, ErrLost):
			held = err
		case held != nil && ctx.Err() != nil && errors.As(err, &refused):
			return nil, fmt.Errorf("%w: %w", held, ctx.Err())
		default:
			return lock, err
		}
		if ended := sleep(ctx, options.Interval); ended != nil {
			return nil, fmt.Errorf("%w: %w", held, ended)
		}
	}
}

func (c *Client) tryAcquire(ctx context.Context, name string, options LockOptions) (*Lock, error) {
	grant, err := c.AcquireLock(ctx, name, options.Holder, options.Hold)
	if err != nil {
		return nil, err
	}
	l := &Lock{
		client: c, name: name, options: options, fence: grant.Fence, ended: make(chan struct{}),
		deadline: grant.SentAt.Add(options.Hold - options.Margin),
	}
	if !l.IsHeld() {
		ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
		defer cancel()
		_ = c.ReleaseLock(ctx, name, options.Holder, grant.Fence) // else it is free when its time has run out
		return nil, ErrLost
	}
	background, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	l.cancel = cancel
	go l.keepAlive(background)
	return l, nil
}

// Name returns the lock's name.
func (l *Lock) Name() string { return l.name }

// Holder returns the holder's name.
func (l *Lock) Holder() string { return l.options.Holder }

// Fence returns the fencing token. It is above each that another holder got before.
func (l *Lock) Fence() uint64 { return l.fence }

// Lost returns a channel that is closed when the lock is not held any more; Err says why. It is closed after Release, too.
func (l *Lock) Lost() <-chan struct{} { return l.ended }

// Err returns nil while the lock is held, then ErrReleased, or an error that is ErrLost.
func (l *Lock) Err() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.err == nil && !time.Now().Before(l.deadline) {
		l.err = fmt.Errorf("%w: its time has run out", ErrLost)
	}
	return l.err
}

// IsHeld reports whether the lock is held at this moment. It looks at the clock itself: after a process was frozen it may be false before Lost
// is closed.
func (l *Lock) IsHeld() bool { return l.Err() == nil }

// Release ends the renewals and gives the lock back. From its call on the lock is not held. Where it fails, another can acquire the lock when
// its time has run out. It may be called again.
func (l *Lock) Release(ctx context.Context) error {
	l.end(ErrReleased)
	l.cancel(ErrReleased)
	<-l.ended
	return l.client.ReleaseLock(ctx, l.name, l.options.Holder, l.fence)
}

// end records why the lock is not held any more. The first reason stays.
func (l *Lock) end(reason error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.err == nil {
		l.err = reason
	}
}

// extend takes over a renewal, unless the lock's time has run out in the meantime.
func (l *Lock) extend(sentAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.err == nil && time.Now().Before(l.deadline) {
		l.deadline = sentAt.Add(l.options.Hold - l.options.Margin)
	}
}

func (l *Lock) presentDeadline() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.deadline
}

// keepAlive renews the lock until it is lost or released.
func (l *Lock) keepAlive(ctx context.Context) {
	defer close(l.ended)
	defer l.cancel(nil)
	interval := (l.options.Hold - l.options.Margin) / renewalsEachHold
	for {
		wait := min(interval, time.Until(l.presentDeadline()))
		if sleep(ctx, wait) != nil || !l.IsHeld() {
			return
		}
		if err := l.renew(ctx); err != nil {
			l.end(fmt.Errorf("%w: %w", ErrLost, err))
			return
		}
	}
}

// renew renews the lock once. It fails when the lock's time has run out, however long an answer takes.
func (l *Lock) renew(ctx context.Context) error {
	ctx, cancel := context.WithDeadline(ctx, l.presentDeadline())
	defer cancel()
	grant, err := l.client.RenewLock(ctx, l.name, l.options.Holder, l.fence, l.options.Hold)
	if err != nil {
		return err
	}
	l.extend(grant.SentAt)
	return l.Err()
}
