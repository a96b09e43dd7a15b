package client

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against outcomes of puts and reads that are mixed up.
func TestCellsTellOutcomes(t *testing.T) {
	c, s := scriptedClient(t, inTurn(
		ok(`{"revision":931}`), ok(`{"revision":932}`), reply{status: 412, body: `{"revision":940}`},
		ok(`{"value":"v","revision":940}`), reply{status: 404, body: `{"error":"there is no such key"}`},
	))
	ctx := t.Context()
	if revision, err := c.Cells().Put(ctx, "g.k", "u"); revision != 931 || err != nil {
		t.Errorf("%d, %v", revision, err)
	}
	if revision, err := c.Cells().PutIf(ctx, "g.k", "v", 0); revision != 932 || err != nil {
		t.Errorf("%d, %v", revision, err)
	}
	var mismatch *RevisionMismatchError
	if _, err := c.Cells().PutIf(ctx, "g.k", "w", 907); !errors.As(err, &mismatch) || mismatch.Revision != 940 || mismatch.Key != "g.k" {
		t.Error(err)
	}
	if cell, err := c.Cells().Get(ctx, "g.k"); err != nil || cell != (Cell{Value: "v", Revision: 940}) {
		t.Errorf("%+v, %v", cell, err)
	}
	if _, err := c.Cells().Get(ctx, "g.none"); !errors.Is(err, ErrNotFound) {
		t.Error(err)
	}
	calls := s.recorded()
	for i, want := range []string{`{"value":"u"}`, `{"value":"v","ifRevision":0}`, `{"value":"w","ifRevision":907}`} {
		if calls[i].body != want || calls[i].path != "/cells/g.k/replace" {
			t.Errorf("sent %+v", calls[i])
		}
	}
}

// Guards against a put that is sent again with another value, and against one that is given up.
func TestPutWithoutClearAnswerIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, s := scriptedClient(t, inTurn(reply{status: 504}, reply{}, reply{breakOff: true}, ok(`{"revision":5}`)))
		if revision, err := c.Cells().PutIf(t.Context(), "g.k", "v", 4); revision != 5 || err != nil {
			t.Errorf("%d, %v", revision, err)
		}
		calls := s.recorded()
		for _, call := range calls {
			if call.body != calls[0].body {
				t.Errorf("sent %s after %s", call.body, calls[0].body)
			}
		}
		if s.addresses() != "a:1 b:1 c:1 a:1" {
			t.Error(s.addresses())
		}
	})
}

// Guards against a put that is repeated for longer than the service recognizes it: it would be made twice.
func TestPutIsNotRepeatedBeyondHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, _ := scriptedClient(t, inTurn(reply{status: 503}, reply{status: 504}))
		begin := time.Now()
		_, err := c.Cells().Put(context.Background(), "g.k", "v")
		if !errors.Is(err, ErrUnclear) {
			t.Error(err)
		}
		if took := time.Since(begin); took < defaultHistory || took > defaultHistory+2*time.Second {
			t.Errorf("repeated for %v", took)
		}
	})
}
