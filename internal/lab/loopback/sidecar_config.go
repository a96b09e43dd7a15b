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
	seedStep       = 0x9e3779b97f4a7c15 // from one start's seed to the next
	configFileMode = 0o600
)

// file is its configuration.
func (s *sidecar) configPath() string { return filepath.Join(s.fleet.configDir, s.plan.Name+".json") }

// operator is its operator's file, where operatorConfig is not empty.
func (s *sidecar) operatorPath() string { return filepath.Join(s.fleet.configDir, s.plan.Name+".toml") }

func (s *sidecar) operatorConfig() string {
	p := s.fleet.plan
	text := p.Scenario.OperatorText(s.fleet.addresses.thrift(s.id), p.Scenario.Tier[s.plan.Tier].Name, s.plan.Accounts)
	return strings.NewReplacer("/{dir}", s.fleet.configDir, "{name}", s.plan.Name).Replace(text)
}

// configure writes the configuration anew, as a whole: a sidecar may be reading it. It needs the lock.
func (s *sidecar) writeConfig() error {
	p := s.fleet.plan
	f := &p.Scenario.Fleet
	doc := map[string]any{
		"name": s.plan.Name, "listen": s.fleet.addresses.sidecar(s.id), "discovery": s.discoveryAddress,
		"seed":     fmt.Sprintf("%016x", s.plan.Seed+uint64(s.startCount)*seedStep), // new with each start
		"limits":   map[string]any{"cores": f.Cores, "memory_mb": f.MemoryMB, "sockets": f.Sockets},
		"settings": s.settings(),
	}
	if s.members = s.knownMembers(); len(s.members) > 0 {
		doc["known"] = map[string]any{"revision": 1, "complete": true, "members": s.members}
	}
	text, err := json.Marshal(doc)
	if err != nil {
		return fmt.Errorf("live: configuration of %s: %w", s.plan.Name, err)
	}
	if text := s.operatorConfig(); text != "" {
		if err := os.WriteFile(s.operatorPath(), []byte(text), configFileMode); err != nil {
			return fmt.Errorf("live: %w", err)
		}
	}
	if s.plan.Full {
		if err := s.fillAuditLogDisk(); err != nil {
			return err
		}
	}
	next := s.configPath() + ".next"
	if err := os.WriteFile(next, text, configFileMode); err != nil {
		return fmt.Errorf("live: %w", err)
	}
	if err := os.Rename(next, s.configPath()); err != nil {
		return fmt.Errorf("live: %w", err)
	}
	return nil
}

// settings are the plan's; at the end of a run a price that decides nothing any more is another one. It needs the lock.
func (s *sidecar) settings() json.RawMessage {
	text := s.fleet.plan.Settings(s.id)
	if s.finalSettings {
		text = bytes.Replace(text, []byte(`"probe":0.01`), []byte(`"probe":0.02`), 1)
	}
	return text
}

// newAuditLog is the file that a process begins its trail in.
const newAuditLog = "trail.new"

// fillAuditLogDisk has the disk take no trail: what is written to it goes to a device that is always full.
func (s *sidecar) fillAuditLogDisk() error {
	op, err := config.ParseOperator(s.operatorPath(), []byte(s.operatorConfig()))
	if err != nil {
		return fmt.Errorf("live: %w", err)
	}
	if err := os.MkdirAll(op.State.Dir, 0o700); err != nil {
		return fmt.Errorf("live: %w", err)
	}
	if err := os.Symlink("/dev/full", filepath.Join(op.State.Dir, newAuditLog)); err != nil && !errors.Is(err, fs.ErrExist) {
		return fmt.Errorf("live: %w", err)
	}
	return nil
}

// known is the list as this sidecar last had it: the plan's, and what its agent has been told since.
func (s *sidecar) knownMembers() []map[string]any {
	p, now := s.fleet.plan, s.fleet.elapsed()
	list := map[int]plan.Listed{}
	for _, l := range s.plan.Known {
		list[l.Box] = l
	}
	for _, e := range p.Events {
		if e.Kind == plan.Tell && e.Sidecar == s.id && e.At <= now && p.Scenario.Fleet.Known != "none" {
			list[e.Entry.Box] = e.Entry
		}
	}
	var out []plan.Listed
	for box := range p.Boxes {
		if l, ok := list[box]; ok && l.Phase != trace.PhaseGone {
			out = append(out, l)
		}
	}
	return s.fleet.run.memberDocuments(s.id, out)
}
