package routers

import (
	"context"
	"testing"
	"time"
)

// Guards against a rig that does not play, and against changes that do not reach every router. How long it takes decides
// nothing: a machine however busy gets there.
func TestPlay(t *testing.T) {
	result, err := Play(context.Background(), Config{
		Routers: 12, Core: 3, Endpoints: 12, Tenants: 20, Models: 3, Changes: 3, Rest: 500 * time.Millisecond, Within: time.Minute,
	})
	if err != nil {
		t.Fatal(err)
	}
	if result.Failed > 0 || result.RestBytes <= 0 {
		t.Errorf("%+v", result)
	}
}

func TestCheck(t *testing.T) {
	for _, c := range []Config{{}, {Routers: 3, Core: 4, Rest: 1, Within: 1}, {Routers: 3, Core: 3}} {
		if c.Check() == nil {
			t.Errorf("%+v is taken", c)
		}
	}
}
