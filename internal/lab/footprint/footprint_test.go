package footprint

import (
	"context"
	"errors"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"

	"pinelb.example/pinelb/internal/audit"
	"pinelb.example/pinelb/internal/daemon"
)

// TestMain makes this binary the sidecar and the auditor that are measured, too.
func TestMain(m *testing.M) {
	if len(os.Args) > 2 && os.Args[1] == "audit" {
		os.Exit(runAudit(os.Args[2]))
	}
	if os.Getenv("LB_CONFIG") != "" {
		hups := make(chan os.Signal, 1)
		signal.Notify(hups, syscall.SIGHUP)
		operator := ""
		if len(os.Args) > 1 {
			operator = strings.TrimPrefix(os.Args[1], "--config=")
		}
		if daemon.Serve(operator, hups) != nil { // the error is in the log
			os.Exit(1)
		}
		os.Exit(0)
	}
	goleak.VerifyTestMain(m)
}

func runAudit(path string) int {
	roster, err := audit.ReadInventory(path)
	if err != nil {
		return audit.ExitFaulty
	}
	exit, _ := audit.Run(context.Background(), audit.Options{Inventory: roster, Concurrency: auditConcurrency, Timeout: callTimeout, By: "test", Share: 0.1},
		audit.Output{To: io.Discard, JSON: true})
	return exit
}

// TestIdleMeasurement guards against figures of nothing: several sidecars are idle, each polls its discovery service and
// applies changes, and processor time, memory and bytes are counted.
func TestIdleMeasurement(t *testing.T) {
	got, err := IdleMeasurement{Program: os.Args[0], Dir: t.TempDir(), Hosts: 25, ChangeRate: 20, Processes: 2, Windows: 3, Window: 500 * time.Millisecond}.Measure(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if got.CPU <= 0 || got.RSS <= 1 || got.PeakRSS < got.RSS || got.PollRate <= 0 || got.ByteRate < got.PollRate || got.ListBytes < 25*100 ||
		got.AppliedChanges == 0 || got.MedianApplyTime <= 0 || got.MaxApplyTime < got.MedianApplyTime {
		t.Errorf("%+v", got)
	}
	if _, err := (IdleMeasurement{Program: os.Args[0], Dir: t.TempDir(), Hosts: 1, Processes: 1, Windows: 1, ControlEnabled: true, OperatorConfig: "[audit]\n[state]\ndir = \"{dir}/state\"\n"}).Measure(t.Context()); err != nil {
		t.Errorf("with an audit: %v", err)
	}
	stopped, stop := context.WithCancel(t.Context())
	stop()
	if _, err := (IdleMeasurement{Program: os.Args[0], Dir: t.TempDir(), Hosts: 1, Processes: 1, WarmUp: time.Hour}).Measure(stopped); !errors.Is(err, context.Canceled) {
		t.Errorf("stopped: %v", err)
	}
	if _, err := (IdleMeasurement{Program: "no-such-program", Dir: t.TempDir(), Hosts: 1, Processes: 1}).Measure(t.Context()); err == nil {
		t.Error("a missing program was measured")
	}
}

// TestSettingsChangeMeasurement guards against a change that is counted although it was never applied.
func TestSettingsChangeMeasurement(t *testing.T) {
	got, err := SettingsChangeMeasurement{Program: os.Args[0], Dir: t.TempDir(), KnownHosts: 25, Classes: 3, Changes: 5}.Measure(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if got.MedianApplyTime <= 0 || got.MaxApplyTime < got.MedianApplyTime || got.FileBytes < got.SettingsBytes+25*100 || got.SettingsBytes < 100 {
		t.Errorf("%+v", got)
	}
	if _, err := (SettingsChangeMeasurement{Program: os.Args[0], Dir: t.TempDir(), KnownHosts: 1, Classes: 257, Changes: 1}).Measure(t.Context()); !errors.Is(err, ErrSettingsRejected) {
		t.Errorf("settings that no sidecar accepts: %v", err)
	}
}

// TestRequestMeasurement guards against a sidecar that is measured although it serves nothing.
func TestRequestMeasurement(t *testing.T) {
	got, err := RequestMeasurement{Program: os.Args[0], Dir: t.TempDir(), Rate: 50, Window: time.Second, Seed: 1}.Measure(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if got.Failed > 0 || got.Count < 20 || got.CPU <= 0 || got.P50 <= 0 || got.P99 < got.P50 || got.DirectP50 <= 0 {
		t.Errorf("%+v", got)
	}
}

// TestAuditMeasurement guards against a fleet in which sidecars replace one another, or of which one isn't asked, and against
// audit logs whose size doesn't show in the costs.
func TestAuditMeasurement(t *testing.T) {
	for _, stubs := range []bool{false, true} {
		got, err := AuditMeasurement{Program: os.Args[0], Dir: t.TempDir(), Sidecars: 3, Stubs: stubs, AuditLogSpan: time.Minute, Rounds: 2}.Measure(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		if got.FirstRound <= 0 || got.LaterRound <= 0 || got.ProcessTime <= 0 || got.ProcessCPU <= 0 || got.LaterRoundBytes <= 0 || got.FirstRoundBytes <= got.LaterRoundBytes || got.NotUpToDate != 0 {
			t.Errorf("stubs %v: %+v", stubs, got)
		}
		if kb := got.FirstRoundBytes / 3 / 1024; stubs && kb < 5 || !stubs && kb > 5 {
			t.Errorf("stubs %v: %.1f KB of an audit log", stubs, kb)
		}
	}
}

// TestStartSidecarThatExits guards against a program that ends at once being waited for.
func TestStartSidecarThatExits(t *testing.T) {
	if _, err := StartSidecar(SidecarOptions{Program: "true", Dir: t.TempDir(), Name: "exits"}); !errors.Is(err, ErrExited) {
		t.Errorf("%v, want %v", err, ErrExited)
	}
}
