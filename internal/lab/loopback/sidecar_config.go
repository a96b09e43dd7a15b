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
	seedStep  = 0x9e3779b97f4a7c15 // from one start's seed to the next
	filesMode = 0o600
)

// file is its configuration.
func (s *sidecar) file() string { return filepath.Join(s.fleet.dir, s.plan.Name+".json") }

// operator is its operator's file, where operatorText is not empty.
func (s *sidecar) operator() string { return filepath.Join(s.fleet.dir, s.plan.Name+".toml") }

func (s *sidecar) operatorText() string {
	p := s.fleet.plan
	text := p.Scenario.OperatorText(s.fleet.net.thrift(s.id), p.Scenario.Tier[s.plan.Tier].Name, s.plan.Accounts)
	return strings.NewReplacer("/{dir}", s.fleet.dir, "{name}", s.plan.Name).Replace(text)
}

// configure writes the configuration anew, as a whole: a sidecar may be reading it. It needs the lock.
func (s *sidecar) configure() error {
	p := s.fleet.plan
	f := &p.Scenario.Fleet
	doc := map[string]any{
		"name": s.plan.Name, "listen": s.fleet.net.sidecar(s.id), "discovery": s.discovery,
		"seed":     fmt.Sprintf("%016x", s.plan.Seed+uint64(s.starts)*seedStep), // new with each start
		"limits":   map[string]any{"cores": f.Cores, "memory_mb": f.MemoryMB, "sockets": f.Sockets},
		"settings": s.settings(),
	}
	if s.knows = s.known(); len(s.knows) > 0 {
		doc["known"] = map[string]any{"revision": 1, "complete": true, "members": s.knows}
	}
	text, err := json.Marshal(doc)
	if err != nil {
		return fmt.Errorf("live: configuration of %s: %w", s.plan.Name, err)
	}
	if text := s.operatorText(); text != "" {
		if err := os.WriteFile(s.operator(), []byte(text), filesMode); err != nil {
			return fmt.Errorf("live: %w", err)
		}
	}
	if s.plan.Full {
		if err := s.fillDisk(); err != nil {
			return err
		}
	}
	next := s.file() + ".next"
	if err := os.WriteFile(next, text, filesMode); err != nil {
		return fmt.Errorf("live: %w", err)
	}
	if err := os.Rename(next, s.file()); err != nil {
		return fmt.Errorf("live: %w", err)
	}
	return nil
}

// settings are the plan's; at the end of a run a price that decides nothing any more is another one. It needs the lock.
func (s *sidecar) settings() json.RawMessage {
	text := s.fleet.plan.Settings(s.id)
	if s.closing {
		text = bytes.Replace(text, []byte(`"probe":0.01`), []byte(`"probe":0.02`), 1)
	}
	return text
}

// newTrail is the file that a process begins its trail in.
const newTrail = "trail.new"

// fillDisk has the disk take no trail: what is written to it goes to a device that is always full.
func (s *sidecar) fillDisk() error {
	op, err := config.ParseOperator(s.operator(), []byte(s.operatorText()))
	if err != nil {
		return fmt.Errorf("live: %w", err)
	}
	if err := os.MkdirAll(op.State.Dir, 0o700); err != nil {
		return fmt.Errorf("live: %w", err)
	}
	if err := os.Symlink("/dev/full", filepath.Join(op.State.Dir, newTrail)); err != nil && !errors.Is(err, fs.ErrExist) {
		return fmt.Errorf("live: %w", err)
	}
	return nil
}

// known is the list as this sidecar last had it: the plan's, and what its agent has been told since.
func (s *sidecar) known() []map[string]any {
	p, now := s.fleet.plan, s.fleet.now()
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
	return s.fleet.run.members(s.id, out)
}
