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
	defaultHold            = 10 * time.Second
	defaultMarginDivisor   = 20 // the default margin is the hold divided by this number
	renewalsPerHold        = 3  // about this number of consecutive renewals can fail before the lock is lost
	defaultAcquireInterval = 250 * time.Millisecond
	releaseTimeout         = time.Second // for releasing a lock that was granted too late, or that a former leader held
)

// LockOptions configures how a lock is acquired and held. Zero fields have the defaults.
type LockOptions struct {
	// Holder is the name of the holder. Two holders of a lock must never have the same name. Default: a random name for each Lock.
	Holder string
	// Hold is the duration of each grant and renewal, from 1 ms to 1 h. If the holder fails, the lock stays held for up to this time.
	// Default: 10 s.
	Hold time.Duration
	// Margin is how long before the end of the hold the client treats the lock as lost, so that the holder has time to stop. At most half of
	// Hold. Default: a twentieth of Hold.
	Margin time.Duration
	// Interval is the pause between attempts to acquire the lock while another holder has it. Default: 250 ms.
	Interval time.Duration
}

func (o *LockOptions) setDefaults() error {
	if o.Holder == "" {
		o.Holder = rand.Text()
	}
	setDefault(&o.Hold, defaultHold)
	setDefault(&o.Margin, o.Hold/defaultMarginDivisor)
	setDefault(&o.Interval, defaultAcquireInterval)
	if o.Margin > o.Hold/2 {
		return &RefusedError{Reason: fmt.Sprintf("the margin %v is more than half of the hold %v", o.Margin, o.Hold)}
	}
	return nil
}

// Lock is an acquired lock. It is renewed in the background until it is released or lost. It is safe for concurrent use.
//
// The hold counts from the time at which the last successful call was sent, on the monotonic clock. When the hold expires, the lock is lost,
// regardless of responses that arrive later.
type Lock struct {
	client  *Client
	name    string
	options LockOptions
	fence   uint64
	cancel  context.CancelCauseFunc // stops the renewals
	done    chan struct{}           // closed when the renewals have stopped

	mu       sync.Mutex
	deadline time.Time // the lock is lost from this time on
	err      error     // why the lock is not held any more; nil: it is held until deadline
}

// TryAcquire acquires a lock. It fails with ErrHeld if another holder has the lock, and with ErrLost if the grant arrived too late to be
// used: Hold less Margin after the call was sent.
func (c *Client) TryAcquire(ctx context.Context, name string, options LockOptions) (*Lock, error) {
	if err := options.setDefaults(); err != nil {
		return nil, err
	}
	return c.tryAcquire(ctx, name, options)
}

// Acquire acquires a lock, and waits while another holder has it. If the context ends first, the error wraps the error of the last attempt,
// usually ErrHeld, and that of the context.
func (c *Client) Acquire(ctx context.Context, name string, options LockOptions) (*Lock, error) {
	if err := options.setDefaults(); err != nil {
		return nil, err
	}
	var lastErr error // of the previous attempt
	for {
		lock, err := c.tryAcquire(ctx, name, options)
		var refused *RefusedError
		switch {
		case errors.Is(err, ErrHeld), errors.Is(err, ErrLost):
			lastErr = err
		case lastErr != nil && ctx.Err() != nil && errors.As(err, &refused):
			return nil, fmt.Errorf("%w: %w", lastErr, ctx.Err())
		default:
			return lock, err
		}
		if ctxErr := sleep(ctx, options.Interval); ctxErr != nil {
			return nil, fmt.Errorf("%w: %w", lastErr, ctxErr)
		}
	}
}

func (c *Client) tryAcquire(ctx context.Context, name string, options LockOptions) (*Lock, error) {
	grant, err := c.AcquireLock(ctx, name, options.Holder, options.Hold)
	if err != nil {
		return nil, err
	}
	l := &Lock{
		client: c, name: name, options: options, fence: grant.Fence, done: make(chan struct{}),
		deadline: grant.SentAt.Add(options.Hold - options.Margin),
	}
	if !l.IsHeld() {
		ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
		defer cancel()
		_ = c.ReleaseLock(ctx, name, options.Holder, grant.Fence) // if it fails, the lock becomes free when the hold expires
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

// Fence returns the fencing token. It is higher than each token that another holder was granted before.
func (l *Lock) Fence() uint64 { return l.fence }

// Lost returns a channel that is closed when the lock is not held any more, also after Release. Err returns the reason.
func (l *Lock) Lost() <-chan struct{} { return l.done }

// Err returns nil while the lock is held, and afterwards ErrReleased or an error that wraps ErrLost.
func (l *Lock) Err() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.err == nil && !time.Now().Before(l.deadline) {
		l.err = fmt.Errorf("%w: its time has run out", ErrLost)
	}
	return l.err
}

// IsHeld reports whether the lock is held now. It reads the clock, so that after a freeze of the process it can return false before Lost is
// closed.
func (l *Lock) IsHeld() bool { return l.Err() == nil }

// Release stops the renewals and releases the lock. The lock is not held from the start of this call, even if it fails; after a failure,
// another holder can acquire the lock when the hold expires. Release may be called again.
func (l *Lock) Release(ctx context.Context) error {
	l.setErr(ErrReleased)
	l.cancel(ErrReleased)
	<-l.done
	return l.client.ReleaseLock(ctx, l.name, l.options.Holder, l.fence)
}

// setErr records why the lock is not held any more, unless a reason is already recorded.
func (l *Lock) setErr(reason error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.err == nil {
		l.err = reason
	}
}

// extend sets the deadline after a renewal that was sent at sentAt, unless the lock has been lost or released since.
func (l *Lock) extend(sentAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.err == nil && time.Now().Before(l.deadline) {
		l.deadline = sentAt.Add(l.options.Hold - l.options.Margin)
	}
}

func (l *Lock) currentDeadline() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.deadline
}

// keepAlive renews the lock until it is lost or released.
func (l *Lock) keepAlive(ctx context.Context) {
	defer close(l.done)
	defer l.cancel(nil)
	interval := (l.options.Hold - l.options.Margin) / renewalsPerHold
	for {
		wait := min(interval, time.Until(l.currentDeadline()))
		if sleep(ctx, wait) != nil || !l.IsHeld() {
			return
		}
		if err := l.renew(ctx); err != nil {
			l.setErr(fmt.Errorf("%w: %w", ErrLost, err))
			return
		}
	}
}

// renew renews the lock once. It fails at the deadline of the lock at the latest, even if there is no response.
func (l *Lock) renew(ctx context.Context) error {
	ctx, cancel := context.WithDeadline(ctx, l.currentDeadline())
	defer cancel()
	grant, err := l.client.RenewLock(ctx, l.name, l.options.Holder, l.fence, l.options.Hold)
	if err != nil {
		return err
	}
	l.extend(grant.SentAt)
	return l.Err()
}
