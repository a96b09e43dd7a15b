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

// emptyGroupPollInterval is the interval at which a Watcher polls a group without any put yet.
const emptyGroupPollInterval = 250 * time.Millisecond

// Event is one put.
type Event struct {
	Key      string `json:"name"`
	Value    string `json:"value"`
	Revision uint64 `json:"revision"`
}

// Watcher returns the puts of a group of keys, each put once, in ascending order of their revisions. It is not safe for concurrent use.
type Watcher struct {
	client   *Client
	group    string
	revision uint64
	started  bool // revision is set
}

// watchResponse is the body of the response to a watch call.
type watchResponse struct {
	Events   []Event `json:"events"`
	Revision uint64  `json:"revision"`
}

// Watch returns a Watcher of a group, which is the common prefix of its keys up to and including the first dot. The Watcher returns the puts
// after the given revision; 0: after the revision that is current at the first call of Start or Next. To miss no put, call Start, then read
// the keys, then call Next.
func (c *Client) Watch(group string, after uint64) *Watcher {
	return &Watcher{client: c, group: group, revision: after, started: after > 0}
}

// Revision returns the revision up to which the Watcher has returned the puts. Pass it to Watch to continue from there.
func (w *Watcher) Revision() uint64 { return w.revision }

// Start gets the current revision from the service, if Watch was called without a revision.
func (w *Watcher) Start(ctx context.Context) error {
	if w.started {
		return nil
	}
	response, _, err := w.fetch(ctx, 0)
	if err != nil {
		return err
	}
	w.revision, w.started = response.Revision, true
	return nil
}

// Next waits for puts and returns them. If an address fails, it continues from the last revision at another one, until the context ends. The
// error ErrCompacted means that puts have been missed: create a new Watcher, call Start, and read the keys again.
//
// The first put of a group can't be watched: the service returns no puts after revision 0. Next returns ErrCompacted for it, too.
func (w *Watcher) Next(ctx context.Context) ([]Event, error) {
	if err := w.Start(ctx); err != nil {
		return nil, err
	}
	for {
		sentAt := time.Now()
		response, address, err := w.fetch(ctx, w.revision)
		switch {
		case err != nil:
			return nil, err
		case w.revision == 0 && response.Revision > 0:
			return nil, ErrCompacted
		case len(response.Events) > 0:
			w.revision = max(response.Revision, response.Events[len(response.Events)-1].Revision)
			return response.Events, nil
		}
		w.revision = max(w.revision, response.Revision)
		if err := w.pause(ctx, address, time.Since(sentAt)); err != nil {
			return nil, err
		}
	}
}

// pause waits before the next call if a response without puts arrived early. Either the group is empty, or the router is shutting down; in
// the latter case the next call goes to another address.
func (w *Watcher) pause(ctx context.Context, address int, waited time.Duration) error {
	if w.revision == 0 {
		return sleep(ctx, emptyGroupPollInterval)
	}
	if waited < w.client.options.WatchWait/2 {
		w.client.avoidAddress(address, 0)
		return sleep(ctx, minBackoff)
	}
	return nil
}

// Events returns an iterator over the puts. It ends with the first error, including that of the context, as its last element.
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

var errNotAscending = errors.New("the puts do not rise")

// validate returns an error, and clears the response, if the puts are not in ascending order of revisions above the given one.
func (r *watchResponse) validate(after uint64) error {
	for _, event := range r.Events {
		if event.Revision <= after {
			*r = watchResponse{}
			return errNotAscending
		}
		after = event.Revision
	}
	return nil
}

// fetch makes one call for the puts after a revision. It also returns the index of the address that responded.
func (w *Watcher) fetch(ctx context.Context, after uint64) (response watchResponse, address int, err error) {
	query := url.Values{"sinceRevision": {strconv.FormatUint(after, 10)}}
	wait := time.Duration(0)
	if after > 0 {
		wait = w.client.options.WatchWait
	}
	query.Set("waitMs", strconv.FormatInt(wait.Milliseconds(), 10))
	path, err := pathOf("/watch/", w.group, "?"+query.Encode())
	if err != nil {
		return response, 0, err
	}
	d, err := w.client.call(ctx, &request{
		method: http.MethodGet, path: path, decoded: &response, validate: func() error { return response.validate(after) },
		attemptTimeout: wait + w.client.options.AttemptTimeout, decisiveStatuses: []int{http.StatusGone},
	})
	switch {
	case err != nil:
		return response, 0, err
	case d.status == http.StatusGone:
		return response, 0, ErrCompacted
	}
	return response, d.address, nil
}
