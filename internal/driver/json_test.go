package driver

import (
	"encoding/json"
	"testing"
	"time"

	"pinelb.example/pinelb/balance"
)

// Guards against names in snapshots and between processes of two versions that change with an identifier.
func TestStateJSON(t *testing.T) {
	got, err := json.Marshal(State{UncordonedAt: map[balance.EndpointID]time.Duration{3: 5}})
	if err != nil {
		t.Fatal(err)
	}
	if want := `{"Back":{"3":5},"Learned":null}`; string(got) != want {
		t.Errorf("JSON %s, want %s", got, want)
	}
}
