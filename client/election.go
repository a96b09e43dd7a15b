package client

import (
	"context"
	"errors"
)

// Election elects one leader among its candidates: the candidate that holds the lock with the name of the election.
type Election struct {
	client  *Client
	name    string
	options LockOptions
}

// Election returns the election with the given name. Elections and locks share one namespace.
func (c *Client) Election(name string, options LockOptions) *Election {
	return &Election{client: c, name: name, options: options}
}

// Run takes part in the election, and calls lead each time this candidate becomes the leader. When the leadership is lost, the context of
// lead is cancelled with the cause ErrLost; lead must return within LockOptions.Margin, and Run takes part in the election again. Run
// returns the error of lead if lead returns while this candidate is still the leader. It also returns when ctx ends.
func (e *Election) Run(ctx context.Context, lead func(ctx context.Context, fence uint64) error) error {
	for {
		lock, err := e.client.Acquire(ctx, e.name, e.options)
		if err != nil {
			return err
		}
		if err := e.runLeader(ctx, lock, lead); !errors.Is(err, ErrLost) {
			return err
		}
	}
}

// runLeader calls lead while the lock is held, and then releases the lock. The error is ErrLost if the leadership was lost.
func (e *Election) runLeader(ctx context.Context, lock *Lock, lead func(ctx context.Context, fence uint64) error) error {
	leaderCtx, cancel := context.WithCancelCause(ctx)
	watcherDone := make(chan struct{})
	go func() {
		defer close(watcherDone)
		select {
		case <-lock.Lost():
			cancel(lock.Err())
		case <-leaderCtx.Done():
		}
	}()
	err := lead(leaderCtx, lock.Fence())
	cancel(nil)
	<-watcherDone
	lostErr := lock.Err()
	releaseCtx, cancelRelease := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancelRelease()
	_ = lock.Release(releaseCtx) // if it fails, another candidate can become the leader when the hold expires
	if lostErr != nil {
		return lostErr
	}
	return err
}
