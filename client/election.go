package client

import (
	"context"
	"errors"
)

// Election chooses one leader among those that campaign: who holds the lock of the election's name.
type Election struct {
	client  *Client
	name    string
	options LockOptions
}

// Election returns the election of a name. Names of elections are names of locks.
func (c *Client) Election(name string, options LockOptions) *Election {
	return &Election{client: c, name: name, options: options}
}

// Run campaigns, and calls lead whenever this caller is the leader. The context of lead is cancelled, with the cause ErrLost, when the
// leadership is lost; lead then has LockOptions.Margin to return, and Run campaigns again. Run returns when lead returns while it is the
// leader, with its error, and when ctx ends.
func (e *Election) Run(ctx context.Context, lead func(ctx context.Context, fence uint64) error) error {
	for {
		lock, err := e.client.Acquire(ctx, e.name, e.options)
		if err != nil {
			return err
		}
		if err := e.serve(ctx, lock, lead); !errors.Is(err, ErrLost) {
			return err
		}
	}
}

// serve runs lead while the lock is held, and releases the lock. The error is ErrLost where the leadership was lost.
func (e *Election) serve(ctx context.Context, lock *Lock, lead func(ctx context.Context, fence uint64) error) error {
	leading, cancel := context.WithCancelCause(ctx)
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		select {
		case <-lock.Lost():
			cancel(lock.Err())
		case <-leading.Done():
		}
	}()
	err := lead(leading, lock.Fence())
	cancel(nil)
	<-watched
	lost := lock.Err()
	release, cancelRelease := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancelRelease()
	_ = lock.Release(release) // else another leads when the time of this one has run out
	if lost != nil {
		return lost
	}
	return err
}
