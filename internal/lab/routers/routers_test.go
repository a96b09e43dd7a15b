package routers

import (
	"context"
	"testing"
	"time"
)

// TestPlay guards against a play that does not run, and against changes that do not reach every router. How long it takes decides
// nothing: a machine however busy gets there.
func TestPlay(t *testing.T) {
	result, err := Play(context.Background(), Config{
		Routers: 12, Core: 3, Endpoints: 12, Tenants: 20, Models: 3, Changes: 3, Routes: 200, Rest: 500 * time.Millisecond, Timeout: time.Minute,
		Losses: []Loss{{CoreRouters: 1}, {CoreRouters: 2}}, LossTimeout: 5 * time.Second,
	})
	if err != nil {
		t.Fatal(err)
	}
	if result.Failed > 0 || result.RestBytes <= 0 || len(result.Losses) != 2 {
		t.Errorf("%+v", result)
	}
	if result.ChangeKB <= 0 {
		t.Errorf("a change costs %v KB", result.ChangeKB)
	}
	if one := result.Losses[0]; one.Lost != 1 || one.AckMs < 0 || one.AppliedMs < one.AckMs || one.RecoveredMs <= 0 {
		t.Errorf("one of three: %+v", one)
	}
	if two := result.Losses[1]; two.Lost != 2 || two.AckMs >= 0 || two.RecoveredMs <= 0 {
		t.Errorf("a change was acknowledged by one of three: %+v", two)
	}
}

func TestCheck(t *testing.T) {
	for _, c := range []Config{{}, {Routers: 3, Core: 4, Rest: 1, Timeout: 1}, {Routers: 3, Core: 3}} {
		if c.Check() == nil {
			t.Errorf("%+v is accepted", c)
		}
	}
}

func TestParseLoss(t *testing.T) {
	for text, want := range map[string]Loss{"zone": {Zone: true}, "4": {CoreRouters: 4}} {
		if got, err := ParseLoss(text); err != nil || got != want || got.String() != text {
			t.Errorf("%s: %+v, %v", text, got, err)
		}
	}
	for _, text := range []string{"", "0", "-1", "rack"} {
		if _, err := ParseLoss(text); err == nil {
			t.Errorf("%q is accepted", text)
		}
	}
}
