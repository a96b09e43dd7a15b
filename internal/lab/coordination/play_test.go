package coordination

import (
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"pinelb.example/pinelb/internal/lab/machines/machinestest"
)

const (
	testSeed     = 1320 // its script has what TestPlayedScript asks for
	testDuration = 6 * time.Second
	memoryFolder = "/dev/shm" // a killed process loses nothing there, and syncs take no time
)

// TestPlayKeepsRules guards against a rule of the service that real processes break under faults. Only rules count: a machine that is too
// busy makes no difference.
func TestPlayKeepsRules(t *testing.T) {
	folder := t.TempDir()
	program := machinestest.BuildProgram(t)
	result, err := Play(t.Context(), Options{
		Program: program, Seed: testSeed, Duration: testDuration, Folder: filepath.Join(folder, "play"), Disks: machinestest.Disks(t, memoryFolder),
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
	for kind, k := range result.Kinds {
		if k.Good == 0 {
			t.Errorf("no call %q was answered 200: the play says nothing of it", kind)
		}
	}
}

// TestPlayedScript guards against a script of TestPlayKeepsRules that a change of the draws has emptied.
func TestPlayedScript(t *testing.T) {
	s := NewScript(testSeed, testDuration)
	for _, kind := range []FaultKind{Kill, Wipe, Freeze, Blackout} {
		isPlayed := func(f Fault) bool { return f.Kind == kind && f.Machines[0] < s.Core && f.At < testDuration }
		if !slices.ContainsFunc(s.Faults, isPlayed) {
			t.Errorf("the script has no %s of a core machine: choose another seed", kind)
		}
	}
	if last := s.Faults[len(s.Faults)-1]; len(last.Frozen) <= tolerated || s.BulkBytes == 0 || s.HistoryS != 1 {
		t.Errorf("the script has no blackout at the end while most of the core is frozen, no long values or no short history: choose another seed")
	}
}

// TestScriptsRepeat guards against a script that its seed doesn't determine, or that asks for more than is tolerated.
func TestScriptsRepeat(t *testing.T) {
	kinds := map[FaultKind]bool{}
	for seed := range uint64(200) {
		s, again := NewScript(seed, 10*time.Second), NewScript(seed, 10*time.Second)
		if !slices.EqualFunc(s.Faults, again.Faults, func(a, b Fault) bool { return a.String() == b.String() && a.At == b.At }) {
			t.Fatalf("seed %d draws two scripts", seed)
		}
		for _, f := range s.Faults {
			kinds[f.Kind] = true
			if f.Kind != Stall && len(f.Machines) > tolerated {
				t.Errorf("seed %d: %s", seed, f)
			}
			for _, m := range f.Machines {
				if f.Kind == Wipe && m >= s.Core || m >= s.Core+s.Forwarders {
					t.Errorf("seed %d: %s, with %d core machines", seed, f, s.Core)
				}
			}
		}
	}
	if len(kinds) != 7 {
		t.Errorf("only the faults %v are drawn", kinds)
	}
}
