package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against published settings that bring another instance's rank, that are taken though they are faulty or cut down, that
// can't be taken back, or whose digest is not the same at all instances.
func TestPublishedSettings(t *testing.T) {
	file := customers["one class"]
	load := func(rank string) *Config {
		path := filepath.Join(t.TempDir(), "config.json")
		text := `{"name":"n0","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","settings":` + strings.Replace(file, `"rank":2`, rank, 1) + `}`
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		c, err := Load(func(key string) string { return map[string]string{"LB_CONFIG": path}[key] })
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	a, b := load(`"rank":2`), load(`"rank":1,"locality":0`)
	more := strings.Replace(file, `"send_cap":1`, `"send_cap":3,"probing":true`, 1)
	first, err := a.WithPublished([]byte(more))
	if err != nil || first.Settings.Rank != 2 || first.Settings.MaxAttempts != 3 || first.Settings.Name != "n0" || a.Settings.MaxAttempts != 1 {
		t.Fatalf("%+v, %v", first, err)
	}
	if other, err := b.WithPublished([]byte(more)); err != nil || other.Settings.Rank != 1 || other.Digest() != first.Digest() {
		t.Errorf("another instance has %+v, %v", other, err)
	}
	if back, err := first.WithPublished([]byte(file)); err != nil || back.Settings.HealthChecks || back.Digest() != a.Digest() {
		t.Errorf("taken back: %+v, %v", back, err)
	}
	for text, key := range map[string]string{
		`null`: "settings: must be an object", `[]`: "settings: ", `{`: "settings: ", ``: "settings: ",
		strings.Replace(file, `"most_held":50,`, ``, 1):                  "settings.allowed.most_held is missing",
		strings.Replace(file, `"tip_multiple":1.5,`, ``, 1):              "settings.rules.tip_multiple",
		strings.Replace(file, `,"tenants":[]`, ``, 1):                    "settings.tenants is missing; the file has it",
		strings.Replace(file, `"deadline":400000000`, `"deadline":0`, 1): "settings.classes[0].deadline",
		strings.Replace(file, `"send_cap":1`, `"send_cap":"1"`, 1):       "settings.allowed.send_cap",
	} {
		if _, err := first.WithPublished([]byte(text)); err == nil || !strings.Contains(err.Error(), key) {
			t.Errorf("%q: %v, want %s", text, err, key)
		}
	}
}
