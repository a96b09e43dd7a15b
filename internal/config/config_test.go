package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const good = `{"name":"n3","listen":"127.0.0.4:8080","discovery":"127.2.0.1:8500","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":256,"sockets":512},"novel":{"x":1},
 "known":{"revision":41,"complete":true,"members":[{"id":"a","host_port":"127.0.0.1:1","phase":"Ready"}]},
 "settings":{"allowed":{"connect_timeout":75000000,"most_held":20000,"send_cap":4},"n_instances":1,
  "classes":[{"name":"a","aim":1000000,"deadline":2000000,"idempotency":"read_like"}]}}`

func load(t *testing.T, text string, env map[string]string) (*Config, error) {
	t.Helper()
	return loadBy(t, Load, text, env)
}

func loadBy(t *testing.T, load func(func(string) string) (*Config, error), text string, env map[string]string) (*Config, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return load(func(key string) string {
		if v, there := env[key]; there || key != "LB_CONFIG" {
			return v
		}
		return path
	})
}

func TestLoad(t *testing.T) {
	c, err := load(t, good, map[string]string{"LB_LISTEN": "127.0.0.9:1"})
	if err != nil {
		t.Fatal(err)
	}
	if c.Settings.Name != "n3" { // which hosts it chooses by
		t.Errorf("the decisions know it as %q", c.Settings.Name)
	}
	if c.Name != "n3" || c.Listen != "127.0.0.9:1" || c.Discovery != "127.2.0.1:8500" || c.Seed != 0x8c1f30d27a5be964 ||
		c.Limits != (Limits{1, 256, 512}) || len(c.Known.Members) != 1 || c.Settings.MaxHeld != 20000 {
		t.Errorf("%+v", c)
	}
	if c.Settings.ConnIdle != 30*time.Second {
		t.Errorf("conn_idle defaults to %v", c.Settings.ConnIdle)
	}
	c, err = load(t, strings.Replace(good, `"limits":{"cores":1.0,"memory_mb":256,"sockets":512},`, "", 1), nil)
	if err != nil || c.Limits != (Limits{defaultCores, defaultMemoryMB, defaultSockets}) {
		t.Errorf("without limits: %+v, %v", c, err)
	}
}

// Guards against a sidecar that starts on a faulty configuration, or that doesn't say what is wrong.
func TestFaultsNameTheKey(t *testing.T) {
	for _, c := range []struct{ old, new, names string }{
		{`"127.0.0.4:8080"`, `"nowhere"`, "LB_LISTEN"},
		{`"127.2.0.1:8500"`, `""`, "LB_DISCOVERY"},
		{`"127.2.0.1:8500"`, `7`, "discovery"},
		{`"cores":1.0`, `"cores":0`, "limits.cores"},
		{`"cores":1.0`, `"cores":"all"`, "limits.cores"},
		{`"memory_mb":256`, `"memory_mb":1`, "limits.memory_mb"},
		{`"sockets":512`, `"sockets":3`, "limits.sockets"},
		{`"members":[`, `"members":[{"id":"b"},`, "known"},
		{`"connect_timeout":75000000`, `"x":0`, "connect_timeout"},
		{`"connect_timeout":75000000`, `"connect_timeout":-1`, "connect_timeout"},
		{`"most_held":20000`, `"most_held":2.5`, "most_held"},
		{`"most_held":20000`, `"x":0`, "most_held"},
		{`"n_instances":1`, `"n_instances":"one"`, "n_instances"},
		{`"name":"a"`, `"name":""`, "classes[0].name"},
		{`"read_like"`, `"now and then"`, "classes[0].idempotency"},
		{`"aim":1000000`, `"aim":true`, "classes[0].aim"},
		{`"classes":[`, `"classes":[3,`, "classes[0]"},
		{`"settings":{`, `"settings":[],"x":{`, "settings"},
		{`"settings":{`, `"x":{`, "settings"},
		{good, `[]`, "LB_CONFIG"},
		{good, `{"name":`, "LB_CONFIG"},
	} {
		if _, err := load(t, strings.Replace(good, c.old, c.new, 1), nil); err == nil || !strings.Contains(err.Error(), c.names) {
			t.Errorf("%s for %.40s: error %v, want one that names %s", c.new, c.old, err, c.names)
		}
	}
	for _, path := range []string{"", "/nonexistent/config.json"} {
		if _, err := load(t, good, map[string]string{"LB_CONFIG": path}); err == nil || !strings.Contains(err.Error(), "LB_CONFIG") {
			t.Errorf("LB_CONFIG %q: error %v", path, err)
		}
	}
}

// Guards against a replaced file that is overruled by the environment, which is as old as the process.
func TestReload(t *testing.T) {
	env := map[string]string{"LB_DISCOVERY": "127.2.0.1:1", "LB_NAME": "n9"}
	c, err := loadBy(t, Reload, good, env)
	if err != nil || c.Discovery != "127.2.0.1:8500" || c.Name != "n3" {
		t.Errorf("%+v, %v", c, err)
	}
	c, err = loadBy(t, Reload, strings.Replace(good, `"discovery":"127.2.0.1:8500",`, "", 1), env)
	if err != nil || c.Discovery != "127.2.0.1:1" {
		t.Errorf("a file without the key: %+v, %v", c, err)
	}
}
