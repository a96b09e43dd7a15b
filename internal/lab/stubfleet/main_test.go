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

// rackVariable is the environment variable that has the test binary run as a rack's process.
const rackVariable = "PINELAB_TEST_RACK"

// testTimeout is longer than anything takes that a test waits for, however slow the machine.
const testTimeout = time.Minute

func TestMain(m *testing.M) {
	if os.Getenv(rackVariable) != "" {
		if err := ServeRack(os.Stdin, os.Stdout); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// rackCommand returns the command of a rack's process.
func rackCommand() *exec.Cmd {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), rackVariable+"=1")
	return cmd
}

// verifyNoLeaks fails a test that leaves goroutines behind. Call it before registering clean-ups that stop some.
func verifyNoLeaks(t *testing.T) {
	t.Helper()
	existing := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, existing) })
}

// buildSidecar builds the daemon and returns its path.
func buildSidecar(t *testing.T) string {
	t.Helper()
	out := filepath.Join(t.TempDir(), "pinelb")
	cmd := exec.CommandContext(t.Context(), "go", "build", "-o", out, "pinelb.example/pinelb/cmd/pinelb")
	if text, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("building the sidecar: %v\n%s", err, text)
	}
	return out
}
