package footprint

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

func (p *Process) configPath() string {
	return filepath.Join(p.options.Dir, p.options.Name+".json")
}

// WriteConfig replaces the sidecar's configuration; version makes it differ from others. It returns the sizes of the file
// and of the settings in it, in bytes.
func (p *Process) WriteConfig(version int) (file, settings int, err error) {
	o := &p.options
	settingsJSON := SettingsJSON(o.Classes, o.Instances, o.Rank, version)
	document := map[string]any{
		"name":      o.Name,
		"listen":    "127.0.0.1:0",
		"discovery": o.DiscoveryAddr,
		"seed":      "1",
		"limits":    map[string]any{"cores": 1, "memory_mb": 128, "sockets": 1024},
		"settings":  settingsJSON,
	}
	if o.KnownHosts > 0 {
		document["known"] = memberList{Revision: 1, Complete: true, Members: makeMembers(o.KnownHosts)}
	}
	text, err := json.Marshal(document)
	if err != nil {
		return 0, 0, fmt.Errorf("footprint: %w", err)
	}
	next := p.configPath() + ".next"
	if err := os.WriteFile(next, text, fileMode); err != nil {
		return 0, 0, fmt.Errorf("footprint: %w", err)
	}
	if err := os.Rename(next, p.configPath()); err != nil {
		return 0, 0, fmt.Errorf("footprint: %w", err)
	}
	return len(text), len(settingsJSON), nil
}

// SettingsJSON returns a site's settings with so many classes. version changes a price, which has no effect here.
func SettingsJSON(classes, instances, rank, version int) json.RawMessage {
	all := []any{}
	for i := range max(1, classes) {
		all = append(all, map[string]any{
			"name":        fmt.Sprintf("class-%03d", i),
			"aim":         time.Second,
			"deadline":    3 * time.Second,
			"idempotency": "read_like",
			"key_scope":   "all",
			"worth":       3.0,
			"late_worth":  0.0,
			"memory_span": 0,
		})
	}
	text, _ := json.Marshal(map[string]any{ // no value that JSON lacks
		"allowed": map[string]any{
			"cancel":          true,
			"conn_idle":       30 * time.Second,
			"connect_timeout": 75 * time.Millisecond,
			"max_retry_after": 1500 * time.Millisecond,
			"most_held":       20000,
			"retry_after":     true,
			"second_copies":   true,
			"send_cap":        4,
		},
		"classes":     all,
		"kinds":       []string{"std"},
		"zones":       []string{"here"},
		"locality":    0,
		"n_instances": instances,
		"rank":        rank,
		"quantum":     2 * time.Millisecond,
		"prices":      map[string]any{"late_fail": 0.05, "probe": 0.01 + float64(version)*1e-6, "waste": 0.04},
		"rules": map[string]any{
			"answer_slack":        8 * time.Millisecond,
			"cold":                9 * time.Second,
			"cold_share":          0.3,
			"fall":                time.Second,
			"stop_sending_within": 3 * time.Second,
			"tip_multiple":        2.5,
		},
	})
	return text
}
