package client

import (
	"context"
	"net/http"
)

// Cells are small keys with values. Keys that begin alike up to the first dot are a group, and share one rising count of revisions.
type Cells struct{ client *Client }

// Cell is a key's value.
type Cell struct {
	Value    string
	Revision uint64 // of the put that made it
}

// Cells returns the cells.
func (c *Client) Cells() *Cells { return &Cells{client: c} }

// putCall is the body of a put. IfRevision nil: whatever the key has.
type putCall struct {
	Value      string  `json:"value"`
	IfRevision *uint64 `json:"ifRevision,omitempty"`
}

// Get returns a key's present value, or ErrNotFound.
func (s *Cells) Get(ctx context.Context, key string) (Cell, error) {
	path, err := pathOf("/cells/", key, "/read")
	if err != nil {
		return Cell{}, err
	}
	var cell struct {
		Value    string `json:"value"`
		Revision uint64 `json:"revision"`
	}
	a, err := s.client.call(ctx, &request{
		method: http.MethodGet, path: path, into: &cell, timeout: s.client.options.AttemptTimeout, decided: []int{http.StatusNotFound},
	})
	switch {
	case err != nil:
		return Cell{}, err
	case a.status == http.StatusNotFound:
		return Cell{}, ErrNotFound
	}
	return Cell{Value: cell.Value, Revision: cell.Revision}, nil
}

// Put sets a key's value, whatever it has, and returns the put's revision.
//
// Use each value once for a key (add a number or a random part where it might come again): a put of a value that was put lately, or is the
// present one, is taken for a repetition, changes nothing and returns the first one's revision. By that a put without a clear answer is
// repeated safely.
func (s *Cells) Put(ctx context.Context, key, value string) (uint64, error) {
	return s.put(ctx, key, putCall{Value: value})
}

// PutIf is Put where the key has a revision; 0: where there is no such key. Else the error is a *RevisionMismatchError.
func (s *Cells) PutIf(ctx context.Context, key, value string, revision uint64) (uint64, error) {
	return s.put(ctx, key, putCall{Value: value, IfRevision: &revision})
}

func (s *Cells) put(ctx context.Context, key string, call putCall) (uint64, error) {
	path, err := pathOf("/cells/", key, "/replace")
	if err != nil {
		return 0, err
	}
	if err := checkValue(call.Value); err != nil {
		return 0, err
	}
	var made struct {
		Revision uint64 `json:"revision"`
	}
	a, err := s.client.call(ctx, &request{
		method: http.MethodPost, path: path, body: call, into: &made, timeout: s.client.options.AttemptTimeout,
		decided: []int{http.StatusPreconditionFailed}, repeat: s.client.options.History,
	})
	switch {
	case err != nil:
		return 0, err
	case a.status == http.StatusPreconditionFailed:
		return 0, &RevisionMismatchError{Key: key, Revision: made.Revision}
	}
	return made.Revision, nil
}
