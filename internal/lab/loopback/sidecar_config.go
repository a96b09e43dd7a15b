package loopback

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"pinelb.example/pinelb/internal/config"
	"pinelb.example/pinelb/internal/lab/plan"
	"pinelb.example/pinelb/internal/lab/trace"
)

const (
	seedStep       = 0x9e3779b97f4a7c15 // from the seed of one start to that of the next: 2^64 over the golden ratio
	configFileMode = 0o600
	logFileMode    = 0o644
	stateDirMode   = 0o700
)

// configPath is its configuration file.
func (s *sidecar) configPath() string { return filepath.Join(s.fleet.configDir, s.plan.Name+".json") }

// operatorPath is its operator's file, written if operatorConfig is not empty.
func (s *sidecar) operatorPath() string { return filepath.Join(s.fleet.configDir, s.plan.Name+".toml") }

// operatorConfig is the text of its operator's file; empty if it has none.
func (s *sidecar) operatorConfig() string {
	p := s.run.plan
	text := p.Scenario.OperatorFile(s.run.addresses.thrift(s.id), p.Scenario.Tiers[s.plan.Tier].Name, s.plan.HasBudget)
	return strings.NewReplacer("/{dir}", s.fleet.configDir, "{name}", s.plan.Name).Replace(text)
}

// writeConfig replaces the configuration atomically, as a sidecar may be reading it. The lock is held.
func (s *sidecar) writeConfig() error {
	p := s.run.plan
	f := &p.Scenario.Fleet
	doc := map[string]any{
		"name": s.plan.Name, "listen": s.run.addresses.sidecar(s.id), "discovery": s.discoveryAddress,
		"seed":     fmt.Sprintf("%016x", s.plan.Seed+uint64(s.startCount)*seedStep), // another one with each start
		"limits":   map[string]any{"cores": f.Cores, "memory_mb": f.MemoryMB, "sockets": f.Sockets},
		"settings": s.settings(),
	}
	if s.members = s.knownMembers(); len(s.members) > 0 {
		doc["known"] = map[string]any{"revision": 1, "complete": true, "members": s.members}
	}
	text, err := json.Marshal(doc)
	if err != nil {
		return fmt.Errorf("loopback: configuration of %s: %w", s.plan.Name, err)
	}
	if text := s.operatorConfig(); text != "" {
		if err := os.WriteFile(s.operatorPath(), []byte(text), configFileMode); err != nil {
			return fmt.Errorf("loopback: configuration: %w", err)
		}
	}
	if s.plan.AuditDiskFull {
		if err := s.fillAuditLogDisk(); err != nil {
			return err
		}
	}
	next := s.configPath() + ".next"
	if err := os.WriteFile(next, text, configFileMode); err != nil {
		return fmt.Errorf("loopback: configuration: %w", err)
	}
	if err := os.Rename(next, s.configPath()); err != nil {
		return fmt.Errorf("loopback: configuration: %w", err)
	}
	return nil
}

// settings are the plan's. At the end of a run a price that decides nothing any more is changed, which closes the audit log's present
// count: see run.flushCounts. The lock is held.
func (s *sidecar) settings() json.RawMessage {
	text := s.run.plan.Settings(s.id)
	if s.finalSettings {
		text = bytes.Replace(text, []byte(`"probe":0.01`), []byte(`"probe":0.02`), 1)
	}
	return text
}

// newAuditLog is the file in the state directory in which a process begins its audit log.
const newAuditLog = "trail.new"

// fillAuditLogDisk has every write of the audit log fail for want of space: it goes to /dev/full (full(4)).
func (s *sidecar) fillAuditLogDisk() error {
	operator, err := config.ParseOperator(s.operatorPath(), []byte(s.operatorConfig()))
	if err != nil {
		return fmt.Errorf("loopback: configuration: %w", err)
	}
	if err := os.MkdirAll(operator.State.Dir, stateDirMode); err != nil {
		return fmt.Errorf("loopback: configuration: %w", err)
	}
	if err := os.Symlink("/dev/full", filepath.Join(operator.State.Dir, newAuditLog)); err != nil && !errors.Is(err, fs.ErrExist) {
		return fmt.Errorf("loopback: configuration: %w", err)
	}
	return nil
}

// knownMembers is the endpoint list as this sidecar last had it: the plan's, with its agent's updates since.
func (s *sidecar) knownMembers() []map[string]any {
	p, now := s.run.plan, s.run.elapsed()
	byEndpoint := map[int]plan.ListEntry{}
	for _, listed := range s.plan.InitialList {
		byEndpoint[listed.Endpoint] = listed
	}
	for _, event := range p.Events {
		if event.Kind == plan.NotifySidecar && event.Sidecar == s.id && event.At <= now && p.Scenario.Fleet.InitialList != "none" {
			byEndpoint[event.Entry.Endpoint] = event.Entry
		}
	}
	var list []plan.ListEntry
	for endpoint := range p.Endpoints {
		if listed, ok := byEndpoint[endpoint]; ok && listed.Phase != trace.PhaseGone {
			list = append(list, listed)
		}
	}
	return s.run.memberDocuments(s.id, list)
}
