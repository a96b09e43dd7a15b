package client

import (
	"context"
	"net/http"
)

// Cells gives access to cells: keys with small values. Keys with the same prefix up to the first dot form a group, which has one ascending
// sequence of revisions.
type Cells struct{ client *Client }

// Cell is the current value of a key.
type Cell struct {
	Value    string
	Revision uint64 // of the put that set the value
}

// Cells returns access to the cells of the fleet.
func (c *Client) Cells() *Cells { return &Cells{client: c} }

// putRequest is the body of a put.
type putRequest struct {
	Value      string  `json:"value"`
	IfRevision *uint64 `json:"ifRevision,omitempty"` // required revision of the key; 0: the key does not exist; nil: any
}

// Get returns the current value of a key, or ErrNotFound.
func (s *Cells) Get(ctx context.Context, key string) (Cell, error) {
	path, err := pathOf("/cells/", key, "/read")
	if err != nil {
		return Cell{}, err
	}
	var cell struct {
		Value    string `json:"value"`
		Revision uint64 `json:"revision"`
	}
	d, err := s.client.call(ctx, &request{
		method: http.MethodGet, path: path, decoded: &cell, attemptTimeout: s.client.options.AttemptTimeout,
		decisiveStatuses: []int{http.StatusNotFound},
	})
	switch {
	case err != nil:
		return Cell{}, err
	case d.status == http.StatusNotFound:
		return Cell{}, ErrNotFound
	}
	return Cell{Value: cell.Value, Revision: cell.Revision}, nil
}

// Put sets the value of a key, regardless of its current revision, and returns the revision of the put.
//
// Use each value only once for a key; append a number or a random part if a value might recur. The service treats a put of the current value,
// or of a value that was put within its history (bounds.historyS), as a repetition: it changes nothing and returns the revision of the first
// put. This makes it safe to retry a put whose outcome is unclear.
func (s *Cells) Put(ctx context.Context, key, value string) (uint64, error) {
	return s.put(ctx, key, putRequest{Value: value})
}

// PutIf is like Put, but only if the key has the given revision; 0: only if the key does not exist. Otherwise the error is a
// *RevisionMismatchError.
func (s *Cells) PutIf(ctx context.Context, key, value string, revision uint64) (uint64, error) {
	return s.put(ctx, key, putRequest{Value: value, IfRevision: &revision})
}

func (s *Cells) put(ctx context.Context, key string, payload putRequest) (uint64, error) {
	path, err := pathOf("/cells/", key, "/replace")
	if err != nil {
		return 0, err
	}
	if err := checkValue(payload.Value); err != nil {
		return 0, err
	}
	var response struct {
		Revision uint64 `json:"revision"`
	}
	d, err := s.client.call(ctx, &request{
		method: http.MethodPost, path: path, body: payload, decoded: &response, attemptTimeout: s.client.options.AttemptTimeout,
		decisiveStatuses: []int{http.StatusPreconditionFailed}, maxUnclearTime: s.client.options.History,
	})
	switch {
	case err != nil:
		return 0, err
	case d.status == http.StatusPreconditionFailed:
		return 0, &RevisionMismatchError{Key: key, Revision: response.Revision}
	}
	return response.Revision, nil
}
