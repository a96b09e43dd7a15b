package requests

import (
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"pinelb.example/pinelb/internal/lab/machines/machinestest"
)

const (
	testDuration = 10 * time.Second
	memoryFolder = "/dev/shm" // a killed process loses nothing there, and syncs take no time
)

// testSeeds draw scripts that have, together, what TestPlayedScripts asks for.
var testSeeds = []uint64{2, 4}

// TestPlayKeepsRules guards against a rule that real routers break while endpoints answer before they have read a request, the operator takes all
// keys away, and machines are killed, frozen and restarted.
func TestPlayKeepsRules(t *testing.T) {
	program := machinestest.BuildProgram(t)
	for _, seed := range testSeeds {
		result, err := Play(t.Context(), Options{
			Program: program, Seed: seed, Duration: testDuration, Folder: filepath.Join(t.TempDir(), "play"), Disks: machinestest.Disks(t, memoryFolder),
		})
		if err != nil {
			t.Fatal(err)
		}
		var text strings.Builder
		result.Write(&text)
		t.Log(text.String())
		for _, v := range result.Violations {
			t.Error(v)
		}
		if result.Statuses[200] < 100 || result.Long == 0 || result.Statuses[401] == 0 {
			t.Errorf("the play of seed %d says nothing: %v, %d with long bodies", seed, result.Statuses, result.Long)
		}
	}
}

// TestPlayedScripts guards against scripts of TestPlayKeepsRules that a change of the draws has emptied.
func TestPlayedScripts(t *testing.T) {
	var kinds []FaultKind
	for _, seed := range testSeeds {
		for _, f := range NewScript(seed, testDuration, 0).Faults {
			kinds = append(kinds, f.Kind)
		}
	}
	for _, kind := range []FaultKind{Kill, Freeze, Stop, Hangup, Crash, Blackout} {
		if !slices.Contains(kinds, kind) {
			t.Errorf("the scripts have no %s: choose other seeds", kind)
		}
	}
}

// TestScriptOfSeed guards against a seed that does not repeat its script, and against faults of machines that are not there.
func TestScriptOfSeed(t *testing.T) {
	kinds := map[FaultKind]bool{}
	for seed := range uint64(200) {
		s, again := NewScript(seed, 12*time.Second, 0), NewScript(seed, 12*time.Second, 0)
		if !slices.Equal(s.Faults, again.Faults) {
			t.Fatalf("seed %d draws two scripts", seed)
		}
		for _, f := range s.Faults {
			kinds[f.Kind] = true
			limit := s.Core + s.Edge
			switch f.Kind {
			case Wipe, Blackout:
				limit = s.Core
			case Crash:
				limit = endpointCount
			}
			if f.Machine >= limit {
				t.Errorf("seed %d: %s, with %d core routers and %d others", seed, f, s.Core, s.Edge)
			}
		}
	}
	if len(kinds) != 7 {
		t.Errorf("only the faults %v are drawn", kinds)
	}
}
