package machines

import (
	"testing"
	"time"
)

// TestLossesKeepLimit guards against more core machines lost at once than are tolerated.
func TestLossesKeepLimit(t *testing.T) {
	l := NewLosses(5)
	if !l.Take([]int{0}, 2) || !l.Take([]int{6}, 2) || !l.Take([]int{1}, 2) {
		t.Fatal("two core machines and a forwarder can't be lost")
	}
	third := make(chan bool)
	go func() { third <- l.Take([]int{2}, 2) }()
	select {
	case <-third:
		t.Fatal("a third core machine was lost")
	case <-time.After(50 * time.Millisecond):
	}
	l.GiveBack([]int{0})
	if !<-third {
		t.Error("the next machine was not lost once another was back")
	}
	go func() { third <- l.Take([]int{3}, 2) }()
	l.Close()
	if <-third {
		t.Error("a machine was lost after the end")
	}
}
