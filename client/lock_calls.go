package client

import (
	"context"
	"net/http"
	"time"
)

// This file has the single calls of the lock service. Lock uses them to keep a lock held.

// lockRequest is the body of a call that concerns a lock.
type lockRequest struct {
	Holder string `json:"holder"`
	Fence  uint64 `json:"fence,omitempty"`
	HoldMs int64  `json:"holdMs,omitempty"`
}

// Grant is the result of acquiring or renewing a lock.
type Grant struct {
	Fence uint64 // the fencing token, higher than each token that another holder was granted before the call
	// SentAt is the time at which the successful attempt was sent, with a reading of the monotonic clock. The holder can rely on the
	// lock until SentAt plus the hold.
	SentAt time.Time
}

// AcquireLock acquires a lock for the duration hold, or fails with ErrHeld. If the lock is already held under the same holder name, it is
// granted again with a higher fence. Two holders must therefore never use the same name.
func (c *Client) AcquireLock(ctx context.Context, name, holder string, hold time.Duration) (Grant, error) {
	var granted struct {
		Fence uint64 `json:"fence"`
	}
	sentAt, err := c.callLock(ctx, name, "/begin", lockRequest{Holder: holder, HoldMs: hold.Milliseconds()}, &granted, ErrHeld)
	return Grant{Fence: granted.Fence, SentAt: sentAt}, err
}

// RenewLock restarts the hold of a lock, or fails with ErrLost. It does not change the fence.
func (c *Client) RenewLock(ctx context.Context, name, holder string, fence uint64, hold time.Duration) (Grant, error) {
	sentAt, err := c.callLock(ctx, name, "/heartbeat", lockRequest{Holder: holder, Fence: fence, HoldMs: hold.Milliseconds()}, nil, ErrLost)
	return Grant{Fence: fence, SentAt: sentAt}, err
}

// ReleaseLock releases a lock. It has no effect if the holder does not have the lock, or has it with another fence.
func (c *Client) ReleaseLock(ctx context.Context, name, holder string, fence uint64) error {
	_, err := c.callLock(ctx, name, "/finish", lockRequest{Holder: holder, Fence: fence}, nil, ErrLost)
	return err
}

// callLock makes a call that concerns a lock. It returns the error conflict for a response with the status 409.
func (c *Client) callLock(ctx context.Context, name, action string, body lockRequest, decoded any, conflict error) (sentAt time.Time, err error) {
	path, err := pathOf("/locks/", name, action)
	if err != nil {
		return time.Time{}, err
	}
	d, err := c.call(ctx, &request{
		method: http.MethodPost, path: path, body: body, decoded: decoded, attemptTimeout: c.options.AttemptTimeout,
		decisiveStatuses: []int{http.StatusConflict},
	})
	switch {
	case err != nil:
		return time.Time{}, err
	case d.status == http.StatusConflict:
		return time.Time{}, conflict
	}
	return d.sentAt, nil
}
