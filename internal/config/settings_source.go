package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"slices"

	"github.com/tidwall/gjson"

	"pinelb.example/pinelb/internal/settingsstore"
	"pinelb.example/pinelb/internal/tomlfile"
)

// SettingsSource is the section [settings]: the platform's settings come from distributors.
type SettingsSource struct {
	Distributors []string `toml:"from"`    // addresses with ports
	Service      string   `toml:"service"` // whose settings are followed
}

// maxDistributors bounds the time until all of them have been tried.
const maxDistributors = 16

// check returns an error for the first invalid key.
func (d *SettingsSource) check(file *tomlfile.File) error {
	if len(d.Distributors) < 1 || len(d.Distributors) > maxDistributors {
		return file.Errorf("settings.from", "must have 1 to %d addresses of distributors", maxDistributors)
	}
	for i, addr := range d.Distributors {
		if at, err := netip.ParseAddrPort(addr); err != nil || at.Port() == 0 {
			return file.Errorf("settings.from", "[%d] is no address and port: %q", i, addr)
		}
		if slices.Contains(d.Distributors[:i], addr) {
			return file.Errorf("settings.from", "[%d] stands there twice: %q", i, addr)
		}
	}
	if err := settingsstore.CheckName("", d.Service); err != nil {
		return file.Errorf("settings.service", "must be given: 1 to %d letters, digits, '.', '_' and '-', the first of the first two", settingsstore.MaxNameBytes)
	}
	return nil
}

// instanceKeys are the keys of the settings that are an instance's and not its service's. Digest leaves them out.
var instanceKeys = []string{"rank", "locality"}

// WithPublished is WithSettings for settings that have just been published. The file's settings stay as they were read:
// published ones that lack a key which the file's have are an error, for they may have been truncated. A key that was published
// later than the file may be removed again.
func (c *Config) WithPublished(settings []byte) (*Config, error) {
	out, err := c.WithSettings(settings)
	if err != nil {
		return nil, err
	}
	if key := missingKey(c.file.Get("settings"), gjson.Parse(out.RawSettings), ".settings"); key != "" {
		return nil, fmt.Errorf("config: LB_CONFIG%s is missing; the file has it", key)
	}
	return out, nil
}

// WithSettings returns the configuration with other settings, as JSON, in place of its own, except for the instance's own rank
// and locality, which stay the file's. Errors name the key as in the file.
func (c *Config) WithSettings(settings []byte) (*Config, error) {
	site, err := c.withInstanceKeys(settings)
	if err != nil {
		return nil, fmt.Errorf("config: LB_CONFIG.settings: %w", err)
	}
	out := *c
	if out.Settings, err = readSettings(&reader{path: "LB_CONFIG.settings", json: gjson.Parse(site)}); err != nil {
		return nil, err
	}
	out.RawSettings, out.Settings.Name = site, c.Settings.Name
	if err := out.check(); err != nil {
		return nil, err
	}
	return &out, out.Validate()
}

// withInstanceKeys puts the instance's own keys into settings.
func (c *Config) withInstanceKeys(settings []byte) (string, error) {
	var keys map[string]json.RawMessage
	if err := json.Unmarshal(settings, &keys); err != nil {
		return "", err
	}
	if keys == nil {
		return "", errors.New("must be an object")
	}
	for _, key := range instanceKeys {
		delete(keys, key)
		if v := c.file.Get("settings." + key); v.Exists() {
			keys[key] = json.RawMessage(v.Raw)
		}
	}
	text, err := json.Marshal(keys)
	return string(text), err
}
