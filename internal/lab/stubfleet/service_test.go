package stubfleet

import (
	"context"
	"testing"
	"time"

	"github.com/tidwall/gjson"

	"pinelb.example/pinelb/internal/cluster"
)

// poll returns the service's answer, as a sidecar reads it.
func poll(t *testing.T, s *Service, since int64, wait time.Duration) cluster.List {
	t.Helper()
	text, ok := s.await(t.Context(), since, wait)
	if !ok {
		t.Fatal("no answer")
	}
	list, err := cluster.ParseList(gjson.ParseBytes(text))
	if err != nil {
		t.Fatalf("%v: %s", err, text)
	}
	return list
}

// TestServiceAnswers: a poll gets the complete list, or the changes since its revision.
func TestServiceAnswers(t *testing.T) {
	s := NewService(5, nil)
	complete := poll(t, s, 0, 0)
	if !complete.Complete || complete.Revision != 1 || len(complete.Members) != 5 || complete.Digest() != s.history[0].digest {
		t.Errorf("at first: %+v", complete)
	}
	if quiet := poll(t, s, 1, time.Nanosecond); quiet.Complete || quiet.Revision != 1 || len(quiet.Members) != 0 {
		t.Errorf("with nothing new: %+v", quiet)
	}
	update := make(chan cluster.List)
	go func() { update <- poll(t, s, 1, testTimeout) }()
	s.Change()
	if got := <-update; got.Complete || got.Revision != 2 || len(got.Members) != 1 {
		t.Errorf("a watch: %+v", got)
	}
	s.Change()
	if got := poll(t, s, 1, testTimeout); got.Revision != 3 || len(got.Members) != 2 {
		t.Errorf("two changes behind: %+v", got)
	}
	if now := poll(t, s, 0, 0); now.Digest() != s.history[2].digest || now.Digest() == s.history[1].digest {
		t.Errorf("the digest of %+v is not that of the history", now)
	}
	if got := poll(t, s, 9, testTimeout); !got.Complete || got.Revision != 3 {
		t.Errorf("a revision of the future: %+v", got)
	}
	s.Reset()
	if got := poll(t, s, 3, testTimeout); !got.Complete || got.Revision != 1 || len(got.Members) != 5 {
		t.Errorf("after a reset: %+v", got)
	}
}

// TestServiceCancelled: a watch ends with its context.
func TestServiceCancelled(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if text, ok := NewService(1, nil).await(ctx, 1, testTimeout); ok {
		t.Errorf("it was answered: %s", text)
	}
}
