package client

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against confused outcomes of puts and reads.
func TestCellsReportOutcomes(t *testing.T) {
	c, s := scriptedClient(t, replyInOrder(
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

// Guards against a put with an unclear outcome that is retried with another body, or not retried.
func TestPutWithUnclearOutcomeIsRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, s := scriptedClient(t, replyInOrder(reply{status: 504}, reply{}, reply{hangUp: true}, ok(`{"revision":5}`)))
		if revision, err := c.Cells().PutIf(t.Context(), "g.k", "v", 4); revision != 5 || err != nil {
			t.Errorf("%d, %v", revision, err)
		}
		calls := s.recorded()
		for _, call := range calls {
			if call.body != calls[0].body {
				t.Errorf("sent the body %s after %s", call.body, calls[0].body)
			}
		}
		if s.addresses() != "a:1 b:1 c:1 a:1" {
			t.Error(s.addresses())
		}
	})
}

// Guards against a put that is retried for longer than the service recognises repetitions: it would be executed twice.
func TestPutIsNotRetriedBeyondHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, _ := scriptedClient(t, replyInOrder(reply{status: 503}, reply{status: 504}))
		begin := time.Now()
		_, err := c.Cells().Put(context.Background(), "g.k", "v")
		if !errors.Is(err, ErrUnclear) {
			t.Error(err)
		}
		if took := time.Since(begin); took < defaultHistory || took > defaultHistory+2*time.Second {
			t.Errorf("retried for %v", took)
		}
	})
}
