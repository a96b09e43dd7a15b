// Package config is the one place where configuration is read, checked and given defaults: the
// environment, the file that LB_CONFIG names, and the settings object that the simulator's first
// message shares with that file. Every error names the faulty key; unknown keys are ignored.
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

// Defaults of what the file may leave out: the limits of the deployment guide's scored days.
const (
	defaultCores    = 1.0
	defaultMemoryMB = 192
	defaultSockets  = 1024
	defaultConnIdle = 30 * time.Second

	minMemoryMB = 32 // the runtime and the pools take about half of this
	minSockets  = 64 // each side has to have some
)

// Limits are the bounds of the machine that a sidecar runs on.
type Limits struct {
	Cores    float64
	MemoryMB int
	Sockets  int
}

// Config is all that a sidecar is told at its start.
type Config struct {
	Name        string
	Listen      string // where callers connect
	Discovery   string // the address of discovery's agent
	Control     string // where operators call; empty: nowhere
	Seed        uint64
	Limits      Limits
	CachedList  cluster.List // the cluster as this sidecar last had it; perhaps old
	Settings    Settings
	RawSettings string // the settings as they stand in the file, as JSON

	file gjson.Result
}

// Load reads the environment and the file that LB_CONFIG names; a variable goes before its key in the file.
func Load(getenv func(string) string) (*Config, error) {
	return readConfig(getenv, func(variable, key string) string { return cmp.Or(variable, key) })
}

// Reload reads them again, to take the place of former. Now a key goes before its variable: the file may have been
// replaced, and the environment is as old as the process. A file that lacks what former's has is faulty: it may have been
// cut down on its way.
func Reload(getenv func(string) string, former *Config) (*Config, error) {
	c, err := readConfig(getenv, func(variable, key string) string { return cmp.Or(key, variable) })
	if err != nil {
		return nil, err
	}
	if key := missingKey(former.file, c.file, ""); key != "" {
		return nil, fmt.Errorf("config: LB_CONFIG%s is missing; the file in force has it", key)
	}
	if err := c.Validate(); err != nil {
		return nil, err
	}
	return c, nil
}

// Validate names the first key, as it stands in the file, without which decisions cannot be made.
func (c *Config) Validate() error { return c.Settings.validate() }

// CheckSettings names the first key of settings, as they stand in the file, with which no sidecar would start.
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
	if fault := new(balance.Fault); errors.As(err, &fault) {
		return fmt.Errorf("config: LB_CONFIG.settings.%s: %w", settingsKey(fault.Field), err)
	}
	return err
}

// lacks names the first key that was there and is not now; empty: there is none. Of lists, every member needs the keys
// that every member had. What is known of the cluster may come and go.
func missingKey(was, is gjson.Result, at string) string {
	switch {
	case was.IsObject():
		held := is.Map()
		for key, v := range was.Map() {
			if at == "" && key == "known" {
				continue
			}
			here := at + "." + key
			if !held[key].Exists() || held[key].Type == gjson.Null && v.Type != gjson.Null {
				return here
			}
			if lost := missingKey(v, held[key], here); lost != "" {
				return lost
			}
		}
	case was.IsArray():
		common := commonKeys(was.Array())
		for i, v := range is.Array() {
			held := v.Map()
			for _, key := range common {
				if !held[key].Exists() || held[key].Type == gjson.Null {
					return fmt.Sprintf("%s[%d].%s", at, i, key)
				}
			}
		}
	}
	return ""
}

// commonKeys are those that all members of a list have, which are objects or have none.
func commonKeys(list []gjson.Result) (keys []string) {
	for i, v := range list {
		if i == 0 {
			for key := range v.Map() {
				keys = append(keys, key)
			}
		}
		keys = slices.DeleteFunc(keys, func(key string) bool { return !v.Get(gjson.Escape(key)).Exists() })
	}
	return keys
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

// check names the first key that a sidecar cannot run with. What the decisions need of the settings is
// checked by Validate.
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

// check names the first key of the settings that a sidecar cannot run with, and fills in defaults.
func (s *Settings) check() error {
	switch {
	case s.ConnectTimeout <= 0:
		return fmt.Errorf("config: LB_CONFIG.settings.allowed.connect_timeout is missing")
	case s.MaxHeld <= 0:
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

// seed takes the hexadecimal number that the deployment gives; any other text is hashed, for a seed
// need only differ from start to start.
func parseSeed(text string) uint64 {
	if n, err := strconv.ParseUint(text, 16, 64); err == nil {
		return n
	}
	h := fnv.New64a()
	h.Write([]byte(text))
	return h.Sum64()
}
