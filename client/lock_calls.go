package client

import (
	"context"
	"net/http"
	"time"
)

// The calls of a lock, one by one. Lock keeps one alive by them.

// lockCall is the body of a call of a lock.
type lockCall struct {
	Holder string `json:"holder"`
	Fence  uint64 `json:"fence,omitempty"`
	HoldMs int64  `json:"holdMs,omitempty"`
}

// Grant is a lock as it was granted or renewed.
type Grant struct {
	Fence uint64 // the fencing token: above each that another holder got before the call
	// SentAt is when the call was sent, with a reading of the monotonic clock. The holder may count on the lock until SentAt and its hold.
	SentAt time.Time
}

// AcquireLock acquires a lock for a time, or fails with ErrHeld. Whoever has the lock already, by the name of the holder, gets it again with a
// higher fence: no two holders may use one name.
func (c *Client) AcquireLock(ctx context.Context, name, holder string, hold time.Duration) (Grant, error) {
	var granted struct {
		Fence uint64 `json:"fence"`
	}
	sentAt, err := c.callLock(ctx, name, "/begin", lockCall{Holder: holder, HoldMs: hold.Milliseconds()}, &granted, ErrHeld)
	return Grant{Fence: granted.Fence, SentAt: sentAt}, err
}

// RenewLock has a holder's time begin anew, or fails with ErrLost.
func (c *Client) RenewLock(ctx context.Context, name, holder string, fence uint64, hold time.Duration) (Grant, error) {
	sentAt, err := c.callLock(ctx, name, "/heartbeat", lockCall{Holder: holder, Fence: fence, HoldMs: hold.Milliseconds()}, nil, ErrLost)
	return Grant{Fence: fence, SentAt: sentAt}, err
}

// ReleaseLock gives a lock back. It changes nothing where the holder does not have it, or has it with another fence.
func (c *Client) ReleaseLock(ctx context.Context, name, holder string, fence uint64) error {
	_, err := c.callLock(ctx, name, "/finish", lockCall{Holder: holder, Fence: fence}, nil, ErrLost)
	return err
}

// callLock makes a call of a lock. A 409 is the error conflict.
func (c *Client) callLock(ctx context.Context, name, action string, body lockCall, into any, conflict error) (sentAt time.Time, err error) {
	path, err := pathOf("/locks/", name, action)
	if err != nil {
		return time.Time{}, err
	}
	a, err := c.call(ctx, &request{
		method: http.MethodPost, path: path, body: body, into: into, timeout: c.options.AttemptTimeout, decided: []int{http.StatusConflict},
	})
	switch {
	case err != nil:
		return time.Time{}, err
	case a.status == http.StatusConflict:
		return time.Time{}, conflict
	}
	return a.sentAt, nil
}
