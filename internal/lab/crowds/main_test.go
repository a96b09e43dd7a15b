package crowds

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// program is the path of the program under test, which TestMain builds.
var program string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

// buildAndRun builds the program, runs the tests and returns their exit status.
func buildAndRun(m *testing.M) int {
	folder, err := os.MkdirTemp("", "pinelb-crowds-")
	if err != nil {
		fmt.Println(err)
		return 1
	}
	defer func() { _ = os.RemoveAll(folder) }()
	program = filepath.Join(folder, "pinelb")
	if out, err := exec.Command("go", "build", "-o", program, "pinelb.example/pinelb/cmd/pinelb").CombinedOutput(); err != nil {
		fmt.Printf("%v: %s\n", err, out)
		return 1
	}
	return m.Run()
}
