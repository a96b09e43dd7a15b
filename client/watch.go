package client

import (
	"context"
	"errors"
	"iter"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// emptyGroupInterval is the pause of a watch of a group that has no revision yet.
const emptyGroupInterval = 250 * time.Millisecond

// Event is one put.
type Event struct {
	Key      string `json:"name"`
	Value    string `json:"value"`
	Revision uint64 `json:"revision"`
}

// Watcher tells the puts of a group of keys, each once, in the order of their revisions. It belongs to one goroutine.
type Watcher struct {
	client   *Client
	group    string
	revision uint64
	started  bool // revision is known
}

// watchAnswer is the body of an answer to a watch.
type watchAnswer struct {
	Events   []Event `json:"events"`
	Revision uint64  `json:"revision"`
}

// Watch watches a group: the beginning that its keys share up to the first dot, dot included. It tells the puts after a revision; 0: after the
// present one, as the first call of Next finds it. To miss nothing, call Next once (or Start), then read the keys.
func (c *Client) Watch(group string, after uint64) *Watcher {
	return &Watcher{client: c, group: group, revision: after, started: after > 0}
}

// Revision returns the revision up to which the puts were told. A later Watch goes on from there.
func (w *Watcher) Revision() uint64 { return w.revision }

// Start finds the present revision, where the watch was given none.
func (w *Watcher) Start(ctx context.Context) error {
	if w.started {
		return nil
	}
	answer, _, err := w.ask(ctx, 0)
	if err != nil {
		return err
	}
	w.revision, w.started = answer.Revision, true
	return nil
}

// Next waits for puts and returns them. It goes on at other addresses from the last revision for as long as the context lasts. The error
// ErrCompacted says that puts are passed over: read the keys again after the Start of a new Watcher.
//
// The first put of a group that had none can't be told: it is ErrCompacted, too.
func (w *Watcher) Next(ctx context.Context) ([]Event, error) {
	if err := w.Start(ctx); err != nil {
		return nil, err
	}
	for {
		before := time.Now()
		answer, address, err := w.ask(ctx, w.revision)
		switch {
		case err != nil:
			return nil, err
		case w.revision == 0 && answer.Revision > 0:
			return nil, ErrCompacted
		case len(answer.Events) > 0:
			w.revision = max(answer.Revision, answer.Events[len(answer.Events)-1].Revision)
			return answer.Events, nil
		}
		w.revision = max(w.revision, answer.Revision)
		if err := w.pause(ctx, address, time.Since(before)); err != nil {
			return nil, err
		}
	}
}

// pause waits before an answer without puts that came early is asked for again: the group is empty, or the router shuts down, and then
// another one is asked.
func (w *Watcher) pause(ctx context.Context, address int, waited time.Duration) error {
	if w.revision == 0 {
		return sleep(ctx, emptyGroupInterval)
	}
	if waited < w.client.options.WatchWait/2 {
		w.client.turnFrom(address, 0)
		return sleep(ctx, minBackoff)
	}
	return nil
}

// Events returns the puts one by one, until an error, which is the last element, or the context ends.
func (w *Watcher) Events(ctx context.Context) iter.Seq2[Event, error] {
	return func(yield func(Event, error) bool) {
		for {
			events, err := w.Next(ctx)
			if err != nil {
				yield(Event{}, err)
				return
			}
			for _, event := range events {
				if !yield(event, nil) {
					return
				}
			}
		}
	}
}

var errNotRising = errors.New("the puts do not rise")

// check has an answer whose puts are not those asked for decide nothing.
func (a *watchAnswer) check(after uint64) error {
	for _, event := range a.Events {
		if event.Revision <= after {
			*a = watchAnswer{}
			return errNotRising
		}
		after = event.Revision
	}
	return nil
}

// ask asks for the puts after a revision once.
func (w *Watcher) ask(ctx context.Context, after uint64) (answer watchAnswer, address int, err error) {
	query := url.Values{"sinceRevision": {strconv.FormatUint(after, 10)}}
	wait := time.Duration(0)
	if after > 0 {
		wait = w.client.options.WatchWait
	}
	query.Set("waitMs", strconv.FormatInt(wait.Milliseconds(), 10))
	path, err := pathOf("/watch/", w.group, "?"+query.Encode())
	if err != nil {
		return answer, 0, err
	}
	a, err := w.client.call(ctx, &request{
		method: http.MethodGet, path: path, into: &answer, check: func() error { return answer.check(after) },
		timeout: wait + w.client.options.AttemptTimeout, decided: []int{http.StatusGone},
	})
	switch {
	case err != nil:
		return answer, 0, err
	case a.status == http.StatusGone:
		return answer, 0, ErrCompacted
	}
	return answer, a.address, nil
}
