package ci

import (
	"context"
	"debug/elf"
	"errors"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"
)

const (
	maxBuildTime = 15 * time.Minute // as the platform's builder has it
	otherOwner   = 12345            // a user id that is neither root's nor this one's
)

// cleanTools are the programs of a machine with Go, git, the shell and the packages of deploy/system.toml.
var cleanTools = []string{"go", "git", "sh", "mkdir", "gcc", "as", "ld"}

// deployFile is the part of a deploy file that tells how the programs are built.
type deployFile struct {
	Build string `toml:"build"`
}

// cloneOfAnotherOwner returns a fresh clone of the commit that is checked out. git takes it for the repository of another user.
func cloneOfAnotherOwner(t *testing.T) string {
	t.Helper()
	clone := filepath.Join(t.TempDir(), "clone")
	top, err := filepath.Abs("..")
	if err != nil {
		t.Fatal(err)
	}
	command := exec.CommandContext(t.Context(), "git", "-c", "safe.directory=*", "clone", "-q", "--no-hardlinks", top, clone)
	if out, err := command.CombinedOutput(); err != nil {
		t.Fatalf("git clone: %v: %s", err, out)
	}
	if os.Getuid() == 0 {
		giveAway(t, clone)
	}
	return clone
}

// giveAway changes the owner of a folder with everything in it.
func giveAway(t *testing.T, folder string) {
	t.Helper()
	err := filepath.WalkDir(folder, func(path string, _ fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		return os.Lchown(path, otherOwner, otherOwner)
	})
	if err != nil {
		t.Fatal(err)
	}
}

// cleanPath returns a folder with nothing but cleanTools.
func cleanPath(t *testing.T) string {
	t.Helper()
	folder := t.TempDir()
	for _, name := range cleanTools {
		found, err := exec.LookPath(name)
		if err != nil {
			t.Fatal(err)
		}
		resolved, err := filepath.EvalSymlinks(found)
		if err := errors.Join(err, os.Symlink(resolved, filepath.Join(folder, name))); err != nil {
			t.Fatal(err)
		}
	}
	return folder
}

// cleanEnvironment is the environment of a machine with cleanTools, on which neither Go's own settings file nor its flags are set. Modules and compiled
// packages come from this user's caches.
func cleanEnvironment(t *testing.T) []string {
	t.Helper()
	environment := []string{
		"PATH=" + cleanPath(t), "HOME=" + t.TempDir(), "GOENV=off", "GOFLAGS=-buildvcs=auto",
		"GIT_TEST_ASSUME_DIFFERENT_OWNER=1", // for users who can't give a folder away
	}
	for _, name := range []string{"GOCACHE", "GOMODCACHE", "GOPROXY", "GOSUMDB", "GOTOOLCHAIN"} {
		value, err := exec.CommandContext(t.Context(), "go", "env", name).Output()
		if err != nil {
			t.Fatalf("go env %s: %v", name, err)
		}
		environment = append(environment, name+"="+strings.TrimSpace(string(value)))
	}
	return environment
}

// runClean runs a command line with a shell in a clone.
func runClean(t *testing.T, clone, line string) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), maxBuildTime)
	defer cancel()
	command := exec.CommandContext(ctx, "sh", "-c", line)
	command.Dir, command.Env = clone, cleanEnvironment(t)
	out, err := command.CombinedOutput()
	return string(out), err
}

// requireDynamic fails the test unless a program is linked against the system's C library.
func requireDynamic(t *testing.T, program string) {
	t.Helper()
	file, err := elf.Open(program)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	libraries, err := file.ImportedLibraries()
	if err != nil || len(libraries) == 0 {
		t.Errorf("%s is not linked against the C library: %v, %v", filepath.Base(program), libraries, err)
	}
}

func TestBuildLinesWorkInCloneOfAnotherOwner(t *testing.T) {
	for _, c := range []struct{ deploy, folder string }{
		{"deploy/system.toml", "target"},
		{"deploy/balancer.toml", "bin"},
	} {
		t.Run(filepath.Base(c.deploy), func(t *testing.T) {
			clone := cloneOfAnotherOwner(t)
			var deploy deployFile
			text, err := os.ReadFile(filepath.Join(clone, c.deploy))
			if err = errors.Join(err, toml.Unmarshal(text, &deploy)); err != nil || deploy.Build == "" {
				t.Fatalf("%s has no build line: %v", c.deploy, err)
			}
			if out, err := runClean(t, clone, deploy.Build); err != nil {
				t.Fatalf("%s: %v: %s", deploy.Build, err, out)
			}
			program := filepath.Join(clone, c.folder, "pinelb")
			requireDynamic(t, program)
			if out, err := runClean(t, clone, program+" version"); err != nil {
				t.Errorf("pinelb version: %v: %s", err, out)
			}
			if out, err := runClean(t, clone, "git -c safe.directory='*' status --porcelain"); err != nil || out != "" {
				t.Errorf("the build leaves files outside %s: %v: %s", c.folder, err, out)
			}
		})
	}
}
