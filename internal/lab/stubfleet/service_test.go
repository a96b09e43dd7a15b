package stubfleet

import (
	"context"
	"testing"
	"time"

	"github.com/tidwall/gjson"

	"pinelb.example/pinelb/internal/cluster"
)

// answered is the service's answer, as a sidecar reads it.
func answered(t *testing.T, s *Service, since int64, wait time.Duration) cluster.List {
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

func TestServiceTellsChanges(t *testing.T) {
	s := NewService(5, nil)
	whole := answered(t, s, 0, 0)
	if !whole.Complete || whole.Revision != 1 || len(whole.Members) != 5 || whole.Digest() != s.history[0].digest {
		t.Errorf("at first: %+v", whole)
	}
	if quiet := answered(t, s, 1, time.Nanosecond); quiet.Complete || quiet.Revision != 1 || len(quiet.Members) != 0 {
		t.Errorf("with nothing new: %+v", quiet)
	}
	news := make(chan cluster.List)
	go func() { news <- answered(t, s, 1, ample) }()
	s.Change()
	if got := <-news; got.Complete || got.Revision != 2 || len(got.Members) != 1 {
		t.Errorf("a watch: %+v", got)
	}
	s.Change()
	if got := answered(t, s, 1, ample); got.Revision != 3 || len(got.Members) != 2 {
		t.Errorf("two changes behind: %+v", got)
	}
	if now := answered(t, s, 0, 0); now.Digest() != s.history[2].digest || now.Digest() == s.history[1].digest {
		t.Errorf("the digest of %+v is not that of the history", now)
	}
	if got := answered(t, s, 9, ample); !got.Complete || got.Revision != 3 {
		t.Errorf("a revision that there has not been: %+v", got)
	}
	s.Reset()
	if got := answered(t, s, 3, ample); !got.Complete || got.Revision != 1 || len(got.Members) != 5 {
		t.Errorf("after it has forgotten: %+v", got)
	}
}

// A watch ends with its caller.
func TestServiceIsLeft(t *testing.T) {
	ctx, leave := context.WithCancel(t.Context())
	leave()
	if text, ok := NewService(1, nil).await(ctx, 1, ample); ok {
		t.Errorf("it was answered: %s", text)
	}
}
