package stubfleet

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"go.uber.org/goleak"
)

// rackIs has the test binary be a rack's process.
const rackIs = "PINELAB_TEST_RACK"

// ample is longer than anything takes that a test waits for, however slow the machine.
const ample = time.Minute

func TestMain(m *testing.M) {
	if os.Getenv(rackIs) != "" {
		if err := ServeRack(os.Stdin, os.Stdout); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

func rackCommand() *exec.Cmd {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), rackIs+"=1")
	return cmd
}

// noLeaks has a test fail that leaves goroutines behind. To be called before anything is cleaned up that may leave some.
func noLeaks(t *testing.T) {
	t.Helper()
	there := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, there) })
}

// program builds the daemon.
func program(t *testing.T) string {
	t.Helper()
	out := filepath.Join(t.TempDir(), "pinelb")
	cmd := exec.CommandContext(t.Context(), "go", "build", "-o", out, "pinelb.example/pinelb/cmd/pinelb")
	if text, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("building the sidecar: %v\n%s", err, text)
	}
	return out
}
