package config

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"pinelb.example/pinelb/balance"
)

const good = `{"name":"n3","listen":"127.0.0.4:8080","discovery":"127.2.0.1:8500","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":256,"sockets":512},"novel":{"x":1},
 "known":{"revision":41,"complete":true,"members":[{"id":"a","host_port":"127.0.0.1:1","phase":"Ready"}]},
 "settings":{"allowed":{"connect_timeout":75000000,"most_held":20000,"send_cap":4},"n_instances":1,
  "classes":[{"name":"a","aim":1000000,"deadline":2000000,"idempotency":"read_like"}]}}`

func load(t *testing.T, text string, env map[string]string) (*Config, error) {
	t.Helper()
	return loadUsing(t, Load, text, env)
}

func loadUsing(t *testing.T, load func(func(string) string) (*Config, error), text string, env map[string]string) (*Config, error) {
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
		c.Limits != (Limits{1, 256, 512}) || len(c.CachedList.Members) != 1 || c.Settings.MaxPending != 20000 {
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

// sound has all that the decisions need as well.
var sound = strings.NewReplacer(`"n_instances":1`, `"n_instances":1,"rules":{"cold_share":0.3,"tip_multiple":2.5,"fall":1000000000}`,
	`"read_like"`, `"read_like","worth":1`).Replace(good)

// reloading is Reload in the place of a file that held sound.
func reloadFrom(t *testing.T, env map[string]string) func(func(string) string) (*Config, error) {
	t.Helper()
	former, err := load(t, sound, env)
	if err != nil {
		t.Fatal(err)
	}
	return func(getenv func(string) string) (*Config, error) { return Reload(getenv, former) }
}

// Guards against a replaced file that is overruled by the environment, which is as old as the process.
func TestReload(t *testing.T) {
	env := map[string]string{"LB_DISCOVERY": "127.2.0.1:1", "LB_NAME": "n9"}
	c, err := loadUsing(t, reloadFrom(t, env), strings.Replace(sound, "127.2.0.1:8500", "127.2.0.1:8501", 1), env)
	if err != nil || c.Discovery != "127.2.0.1:8501" || c.Name != "n3" {
		t.Errorf("%+v, %v", c, err)
	}
}

// Guards against a file that was cut down on its way, or that no deadline or number of attempts can be read of, being taken.
func TestInvalidReload(t *testing.T) {
	for _, c := range []struct{ old, new, names string }{
		{sound, "", "JSON"},
		{sound, sound[:len(sound)/2], "JSON"},
		{sound, "{}", "settings"},
		{`"discovery":"127.2.0.1:8500",`, "", "DISCOVERY"},
		{`"send_cap":4`, `"x":4`, ".settings.allowed.send_cap"},
		{`"send_cap":4`, `"send_cap":0`, "MaxAttempts"},
		{`"send_cap":4`, `"send_cap":-1`, "MaxAttempts"},
		{`"send_cap":4`, `"send_cap":1.5`, "send_cap"},
		{`"send_cap":4`, `"send_cap":"4"`, "send_cap"},
		{`"send_cap":4`, `"send_cap":null`, "send_cap"},
		{`"deadline":2000000`, `"x":2`, ".settings.classes[0].deadline"},
		{`"deadline":2000000`, `"deadline":0`, "Classes[0].Deadline"},
		{`"deadline":2000000`, `"deadline":-5`, "classes[0].deadline"},
		{`"deadline":2000000`, `"deadline":1e300`, "classes[0].deadline"},
		{`"deadline":2000000`, `"deadline":"soon"`, "classes[0].deadline"},
		{`"deadline":2000000`, `"deadline":null`, "classes[0].deadline"},
		{`"worth":1`, `"x":1`, ".settings.classes[0].worth"},
		{`"memory_mb":256,`, "", ".limits.memory_mb"},
	} {
		if !strings.Contains(sound, c.old) {
			t.Fatalf("%.40s is not in the file", c.old)
		}
		text := strings.Replace(sound, c.old, c.new, 1)
		if _, err := loadUsing(t, reloadFrom(t, nil), text, nil); err == nil || !strings.Contains(err.Error(), c.names) {
			t.Errorf("%.40s for %.40s: error %v, want one that names %s", c.new, c.old, err, c.names)
		}
	}
	for _, more := range []string{`"seen":1,"discovery"`, `"discovery"`} { // more than there was, or the same
		if _, err := loadUsing(t, reloadFrom(t, nil), strings.Replace(sound, `"discovery"`, more, 1), nil); err != nil {
			t.Error(err)
		}
	}
}

// Guards against a class that takes another's number, or one that has vanished whose number goes to another.
func TestClassNumbersAreStable(t *testing.T) {
	of := func(names ...string) *Settings {
		s := &Settings{ClassNames: names}
		for i := range names {
			s.Classes = append(s.Classes, balance.Class{Value: float64(i + 1)})
		}
		return s
	}
	first := of("a", "b", "c")
	second, err := of("d", "c").Renumbered(first)
	if err != nil || !slices.Equal(second.ClassNames, []string{"a", "b", "c", "d"}) || !slices.Equal(second.Removed, []bool{true, true, false, false}) ||
		second.Classes[2].Value != 2 || second.Classes[3].Value != 1 || second.Classes[0].Value != 1 {
		t.Errorf("%+v, %v", second, err)
	}
	third, err := of("b", "d").Renumbered(&second)
	if err != nil || !slices.Equal(third.ClassNames, second.ClassNames) || !slices.Equal(third.Removed, []bool{true, false, true, false}) {
		t.Errorf("%+v, %v", third, err)
	}
	for i := range maxNames {
		if third, err = of(fmt.Sprint(i)).Renumbered(&third); err != nil {
			return
		}
	}
	t.Error("classes are taken without bound")
}

// Guards against a tenant that takes another's number, and with it its share, while a request of it is on its way in.
func TestTenantNumbersAreStable(t *testing.T) {
	of := func(names ...string) *Settings {
		s := &Settings{TenantNames: names}
		for i := range names {
			s.Tenants = append(s.Tenants, balance.Tenant{Quota: float64(i + 1)})
		}
		return s
	}
	second, err := of("d", "c").Renumbered(of("a", "b", "c"))
	if want := []balance.Tenant{{Quota: 1}, {Quota: 2}, {Quota: 2}, {Quota: 1}}; err != nil ||
		!slices.Equal(second.TenantNames, []string{"a", "b", "c", "d"}) || !slices.Equal(second.Tenants, want) {
		t.Errorf("%+v, %v", second, err)
	}
	for i := range maxNames {
		if second, err = of(fmt.Sprint(i)).Renumbered(&second); err != nil {
			return
		}
	}
	t.Error("tenants are taken without bound")
}
