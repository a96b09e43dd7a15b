package footprint

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"pinelb.example/pinelb/internal/audit"
)

const (
	auditHosts        = 12          // of the sidecars' endpoint list
	auditClasses      = 3           // of the sidecars' settings
	auditTimeout      = time.Second // of a call to a sidecar
	auditConcurrency  = 256         // calls at the same time
	auditPermitShare  = 0.1
	auditFleetWarmUp  = time.Second
	rssSampleInterval = 2 * time.Millisecond
)

// AuditMeasurement measures an auditor's rounds over a fleet of sidecars.
type AuditMeasurement struct {
	Program      string
	Dir          string
	Sidecars     int
	Stubs        bool          // no processes: HTTP servers of this process that answer with audit logs of their own
	AuditLogSpan time.Duration // of a stub's audit log
	Rounds       int           // after the first one; their median is taken
}

// AuditCosts are an auditor's. Times are in milliseconds.
type AuditCosts struct {
	FirstRound      float64 `json:"first_ms"` // in which it fetches the complete audit logs
	LaterRound      float64 `json:"again_ms"`
	ProcessTime     float64 `json:"process_ms"` // of the command audit from its start to its end, for one round
	ProcessCPU      float64 `json:"process_cpu_ms"`
	ProcessPeakRSS  float64 `json:"process_peak_mb"` // MiB, by samples 2 ms apart
	FirstRoundBytes float64 `json:"bytes_first"`     // of all calls in both directions, with HTTP's headers but without TCP's
	LaterRoundBytes float64 `json:"bytes_again"`
	NotUpToDate     int     `json:"not_up_to_date"` // sidecars in the last round
}

// Measure takes the measurement. An error is that of a sidecar's start, of a call or of the command, or ctx's.
func (m AuditMeasurement) Measure(ctx context.Context) (AuditCosts, error) {
	roster, closers, err := m.startFleet(ctx)
	defer func() {
		for _, closeOne := range closers {
			closeOne()
		}
	}()
	if err != nil {
		return AuditCosts{}, err
	}
	var costs AuditCosts
	if costs.FirstRoundBytes, costs.LaterRoundBytes, err = countBytes(ctx, roster); err != nil {
		return AuditCosts{}, err
	}
	if err := m.measureRounds(ctx, roster, &costs); err != nil {
		return AuditCosts{}, err
	}
	return costs, m.measureProcess(ctx, roster, &costs)
}

// measureRounds measures the rounds of an auditor in this process.
func (m *AuditMeasurement) measureRounds(ctx context.Context, roster *audit.Inventory, costs *AuditCosts) error {
	auditor := audit.New(audit.Options{Inventory: roster, Concurrency: auditConcurrency, Timeout: auditTimeout, By: "gauge", Share: auditPermitShare})
	defer auditor.Close()
	var laterRounds []float64
	for n := range m.Rounds + 1 {
		start := time.Now()
		view, err := auditor.Round(ctx)
		if err != nil {
			return err
		}
		elapsed := milliseconds(time.Since(start))
		if n == 0 {
			costs.FirstRound = elapsed
		} else {
			laterRounds = append(laterRounds, elapsed)
		}
		costs.NotUpToDate = len(view.Rows) - view.Count(audit.UpToDate)
	}
	costs.LaterRound = median(laterRounds)
	return nil
}

// measureProcess measures the command audit.
func (m *AuditMeasurement) measureProcess(ctx context.Context, roster *audit.Inventory, costs *AuditCosts) error {
	path, err := m.writeRoster(roster)
	if err != nil {
		return err
	}
	cmd := exec.CommandContext(ctx, m.Program, "audit", path, "--json")
	start := time.Now()
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("footprint: pinelb audit: %w", err)
	}
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	ticker := time.NewTicker(rssSampleInterval)
	defer ticker.Stop()
	for running := true; running; {
		select {
		case <-ticker.C: // the kernel's peak of an ended child has its parent's memory, too
			_, peak := memoryOf(cmd.Process.Pid)
			costs.ProcessPeakRSS = max(costs.ProcessPeakRSS, float64(peak)/mebibyte)
		case err := <-ended:
			running = false
			costs.ProcessTime = milliseconds(time.Since(start))
			if code := cmd.ProcessState.ExitCode(); code < audit.ExitAllUpToDate || code >= audit.ExitFaulty {
				return fmt.Errorf("footprint: pinelb audit: %w", err)
			}
		}
	}
	costs.ProcessCPU = milliseconds(cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime())
	return nil
}

// writeRoster writes the auditor's file of sidecars, and returns its path.
func (m *AuditMeasurement) writeRoster(roster *audit.Inventory) (string, error) {
	var text strings.Builder
	for _, s := range roster.Sidecars {
		fmt.Fprintf(&text, "[[sidecar]]\nname = %q\naddr = %q\n", s.Name, s.Addr)
	}
	path := filepath.Join(m.Dir, "roster.toml")
	if err := os.WriteFile(path, []byte(text.String()), fileMode); err != nil {
		return "", fmt.Errorf("footprint: %w", err)
	}
	return path, nil
}

// startFleet starts the sidecars, or their stubs. closers close those that were started, also in case of an error.
func (m *AuditMeasurement) startFleet(ctx context.Context) (roster *audit.Inventory, closers []func(), err error) {
	if m.Stubs {
		return m.startStubs()
	}
	service, err := NewDiscoveryService(auditHosts)
	if err != nil {
		return nil, nil, err
	}
	roster = &audit.Inventory{}
	closers = append(closers, service.Close)
	var processes []*Process
	for i := range m.Sidecars {
		process, err := StartSidecar(SidecarOptions{
			Program:        m.Program,
			Dir:            m.Dir,
			Name:           fmt.Sprintf("audited-%03d", i),
			DiscoveryAddr:  service.Addr,
			OperatorConfig: "[audit]\n",
			Classes:        auditClasses,
			Instances:      m.Sidecars,
			Rank:           i,
			ControlEnabled: true,
		})
		if err != nil {
			return nil, closers, err
		}
		closers = append(closers, process.Close)
		processes = append(processes, process)
		roster.Sidecars = append(roster.Sidecars, audit.Sidecar{Name: process.options.Name, Addr: process.ControlAddr})
	}
	for _, process := range processes {
		if _, err := process.AwaitLog("cluster changed"); err != nil {
			return nil, closers, err
		}
	}
	return roster, closers, sleep(ctx, auditFleetWarmUp)
}

func (m *AuditMeasurement) startStubs() (roster *audit.Inventory, closers []func(), err error) {
	roster = &audit.Inventory{}
	for i := range m.Sidecars {
		name := fmt.Sprintf("stand-in-%04d", i)
		addr, closeStub, err := startStub(name, m.Sidecars, m.AuditLogSpan)
		if err != nil {
			return nil, closers, err
		}
		closers = append(closers, closeStub)
		roster.Sidecars = append(roster.Sidecars, audit.Sidecar{Name: name, Addr: addr})
	}
	return roster, closers, nil
}
