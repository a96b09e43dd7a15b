// Package config reads, checks and completes all configuration: the environment, the file that LB_CONFIG names, the operator's
// file, and the settings object that the simulator's first message shares with LB_CONFIG's file. Every error names the key.
// Unknown keys of JSON are ignored, those of TOML are errors.
//
// Load, Reload and LoadOperator read the environment and files; everything else is pure. A value is not changed once it has
// been returned; Settings, a Config's or a published one, are replaced as a whole.
package config

import (
	"cmp"
	"errors"
	"fmt"
	"hash/fnv"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"time"

	"github.com/tidwall/gjson"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/cluster"
)

// Defaults of optional keys, by the deployment guide, and lower bounds.
const (
	defaultCores    = 1.0
	defaultMemoryMB = 192
	defaultSockets  = 1024
	defaultConnIdle = 30 * time.Second

	minMemoryMB = 32 // the runtime and the pools need about half of this
	minSockets  = 64 // callers and upstream hosts need some each
)

// Limits are what the platform grants a sidecar.
type Limits struct {
	Cores    float64
	MemoryMB int
	Sockets  int
}

// Config is what the platform configures a sidecar with.
type Config struct {
	Name        string
	Listen      string // address for callers
	Discovery   string // the address of discovery's agent
	Control     string // address for operators; empty: none
	Seed        uint64
	Limits      Limits
	CachedList  cluster.List // the endpoints that this sidecar last had; may be outdated
	Settings    Settings
	RawSettings string // the settings as they are in the file, as JSON

	file gjson.Result
}

// Load reads the environment and the file that LB_CONFIG names; a variable takes precedence over its key in the file.
func Load(getenv func(string) string) (*Config, error) {
	return readConfig(getenv, func(variable, key string) string { return cmp.Or(variable, key) })
}

// Validate returns an error for the first key, as in the file, without which the engine can't decide.
func (c *Config) Validate() error { return c.Settings.validate() }

// CheckSettings returns an error for the first key of settings, as in the file, with which no sidecar would start.
func CheckSettings(settings []byte) error {
	if !gjson.ValidBytes(settings) {
		return fmt.Errorf("config: LB_CONFIG.settings: is not valid JSON")
	}
	s, err := readSettings(&reader{path: "LB_CONFIG.settings", json: gjson.ParseBytes(settings)})
	if err == nil {
		err = s.check()
	}
	if err == nil {
		err = s.validate()
	}
	return err
}

func (s *Settings) validate() error {
	err := s.Validate()
	if fault := new(balance.SettingError); errors.As(err, &fault) {
		return fmt.Errorf("config: LB_CONFIG.settings.%s: %w", settingsKey(fault.Field), err)
	}
	return err
}

func readConfig(getenv func(string) string, prefer func(variable, key string) string) (*Config, error) {
	path := getenv("LB_CONFIG")
	if path == "" {
		return nil, fmt.Errorf("config: LB_CONFIG is not set")
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("config: LB_CONFIG: %w", err)
	}
	if !gjson.ValidBytes(data) {
		return nil, fmt.Errorf("config: LB_CONFIG: %s is not valid JSON", path)
	}
	r := &reader{path: "LB_CONFIG", json: gjson.ParseBytes(data)}
	if !r.json.IsObject() {
		return nil, fmt.Errorf("config: LB_CONFIG: %s must hold an object", path)
	}
	either := func(variable, key string) string {
		return prefer(getenv(variable), r.text(key))
	}
	limits := r.object("limits")
	c := &Config{
		Name: either("LB_NAME", "name"), Listen: either("LB_LISTEN", "listen"),
		Discovery: either("LB_DISCOVERY", "discovery"), Control: either("LB_CONTROL", "control"), Seed: parseSeed(r.text("seed")),
		Limits: Limits{
			Cores:    limits.numberOr("cores", defaultCores),
			MemoryMB: int(limits.numberOr("memory_mb", defaultMemoryMB)),
			Sockets:  int(limits.numberOr("sockets", defaultSockets)),
		},
	}
	if known := r.object("known").json; known.Exists() {
		if c.CachedList, err = cluster.ParseList(known); err != nil {
			return nil, fmt.Errorf("config: LB_CONFIG.known: %w", err)
		}
	}
	settings := r.object("settings")
	if err := r.firstError(); err != nil {
		return nil, err
	}
	if c.Settings, err = readSettings(settings); err != nil {
		return nil, err
	}
	c.RawSettings, c.file = settings.json.Raw, r.json
	c.Settings.Name = cmp.Or(c.Name, c.Listen)
	return c, c.check()
}

// check returns an error for the first key that a sidecar can't run with. What the engine needs of the settings is checked by
// Validate.
func (c *Config) check() error {
	for _, a := range []struct{ key, addr string }{{"LB_LISTEN", c.Listen}, {"LB_DISCOVERY", c.Discovery}} {
		if _, err := netip.ParseAddrPort(a.addr); err != nil {
			return fmt.Errorf("config: %s: %w", a.key, err)
		}
	}
	if _, err := netip.ParseAddrPort(c.Control); err != nil && c.Control != "" {
		return fmt.Errorf("config: LB_CONTROL: %w", err)
	}
	switch {
	case c.Limits.Cores <= 0:
		return fmt.Errorf("config: LB_CONFIG.limits.cores must be above 0")
	case c.Limits.MemoryMB < minMemoryMB:
		return fmt.Errorf("config: LB_CONFIG.limits.memory_mb must be %d or more", minMemoryMB)
	case c.Limits.Sockets < minSockets:
		return fmt.Errorf("config: LB_CONFIG.limits.sockets must be %d or more", minSockets)
	}
	return c.Settings.check()
}

// check returns an error for the first key of the settings that a sidecar can't run with, and sets defaults.
func (s *Settings) check() error {
	switch {
	case s.ConnectTimeout <= 0:
		return fmt.Errorf("config: LB_CONFIG.settings.allowed.connect_timeout is missing")
	case s.MaxPending <= 0:
		return fmt.Errorf("config: LB_CONFIG.settings.allowed.most_held is missing")
	}
	if s.ConnIdle == 0 {
		s.ConnIdle = defaultConnIdle
	}
	for what, names := range map[string][]string{"classes": s.ClassNames, "tenants": s.TenantNames} {
		for i, name := range names {
			if name == "" || slices.Contains(names[:i], name) {
				return fmt.Errorf("config: LB_CONFIG.settings.%s[%d].name is missing or not unique", what, i)
			}
		}
	}
	return nil
}

// parseSeed parses the hexadecimal number that the deployment sets; any other text is hashed, for a seed only has to differ
// between starts.
func parseSeed(text string) uint64 {
	if n, err := strconv.ParseUint(text, 16, 64); err == nil {
		return n
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(text)) // which never fails
	return h.Sum64()
}
