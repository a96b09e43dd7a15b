package auditlog

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"pinelb.example/pinelb/internal/persistence"
)

// fullDisk is a directory in which a trail's next file is a device that is always full. All such directories share the
// device, and with it the lock on the file that is begun.
func fullDisk(t *testing.T) persistence.Disk {
	t.Helper()
	path := t.TempDir()
	if err := os.Symlink("/dev/full", filepath.Join(path, tempName)); err != nil {
		t.Fatal(err)
	}
	return persistence.Dir(path)
}

// Guards against a disk that is full and never said to be: the first attempt fails for another reason, the second one for
// want of space, and an operator has to read of both.
func TestEachCauseIsReported(t *testing.T) {
	unlock, err := fullDisk(t).Lock(tempName)
	if err != nil || unlock == nil {
		t.Fatal("the lock is not to be had", err)
	}
	b := newTestLog("a", nil)
	adoptList(b, 1)
	var faults []string
	f := &Writer{Disk: fullDisk(t), Log: b, OnFault: func(err error) { faults = append(faults, err.Error()) }}
	f.setResult(f.write(true))
	if len(faults) != 1 || !strings.Contains(faults[0], "another process") {
		t.Fatalf("with the lock held elsewhere: %q", faults)
	}
	unlock()
	f.setResult(f.write(true))
	if len(faults) != 2 || !strings.Contains(faults[1], "no space left") {
		t.Fatalf("on a full disk: %q", faults)
	}
	f.setResult(f.lastErr)
	if len(faults) != 2 {
		t.Errorf("the same cause is told again: %q", faults)
	}
}
