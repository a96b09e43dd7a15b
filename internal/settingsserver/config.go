// Package settingsserver is a distributor: the process that keeps services' settings and serves them to sidecars and to other
// distributors. Here are its listeners, its disk and its connections to its peers; what it keeps and whom it answers is decided
// by package settingsstore. The command "pinelb distribute" runs it, and "pinelb settings" calls it by OperatorClient.
//
// A published edition is on the disk before anybody is sent it; what other distributors send is written afterwards, for they
// have it too. Locks: writeMu before mu; mu is never held over I/O.
//
// Errors begin with "distributor:", as they always have, for operators read them.
package settingsserver

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"slices"

	"pinelb.example/pinelb/internal/settingsstore"
	"pinelb.example/pinelb/internal/tomlfile"
)

// Config is a distributor's file.
type Config struct {
	Name    string   `toml:"name"`    // unique among distributors, also among former ones
	Region  string   `toml:"region"`  // shown in the status only
	Listen  string   `toml:"listen"`  // address for sidecars and other distributors
	Control string   `toml:"control"` // address for operators
	Dir     string   `toml:"dir"`     // absolute path of a directory that no other process uses
	Peers   []string `toml:"peers"`   // the other distributors' addresses
}

const maxFileBytes = 1 << 20 // bytes

// ReadConfig reads a distributor's file. The error names the file, the line and the key.
func ReadConfig(path string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("distributor: %w", err)
	}
	return ParseConfig(path, text)
}

// ParseConfig parses a distributor's file; path is its name in errors.
func ParseConfig(path string, text []byte) (*Config, error) {
	if len(text) > maxFileBytes {
		return nil, fmt.Errorf("distributor: %s has over %d bytes", path, maxFileBytes)
	}
	c := &Config{}
	file, err := tomlfile.Decode(path, text, c)
	if err != nil {
		return nil, err
	}
	return c, c.check(file)
}

// check returns an error for the first key that is invalid.
func (c *Config) check(file *tomlfile.File) error {
	names := []struct{ key, name string }{{"name", c.Name}}
	if c.Region != "" {
		names = append(names, struct{ key, name string }{"region", c.Region})
	}
	for _, n := range names {
		if keyErr := (settingsstore.KeyError{}); errors.As(settingsstore.CheckName(n.key, n.name), &keyErr) {
			return file.Errorf(n.key, "%s", keyErr.Reason)
		}
	}
	for _, a := range []struct{ key, addr string }{{"listen", c.Listen}, {"control", c.Control}} {
		if _, err := netip.ParseAddrPort(a.addr); err != nil {
			return file.Errorf(a.key, "must be an address and port, not %q", a.addr)
		}
	}
	switch {
	case c.Control == c.Listen:
		return file.Errorf("control", "must be another address than listen")
	case !filepath.IsAbs(c.Dir):
		return file.Errorf("dir", "must be the absolute path of a directory")
	case len(c.Peers) >= settingsstore.MaxPeers:
		return file.Errorf("peers", "names %d distributors, %d at most", len(c.Peers), settingsstore.MaxPeers-1)
	}
	for i, addr := range c.Peers {
		at, err := netip.ParseAddrPort(addr)
		switch {
		case err != nil || at.Port() == 0:
			return file.Errorf("peers", "[%d] must be an address and port, not %q", i, addr)
		case addr == c.Listen:
			return file.Errorf("peers", "[%d] is this distributor's own address", i)
		case slices.Contains(c.Peers[:i], addr):
			return file.Errorf("peers", "[%d] names %s twice", i, addr)
		}
	}
	return nil
}
