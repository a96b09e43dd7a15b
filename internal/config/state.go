package config

import (
	"path/filepath"
	"time"

	"pinelb.example/pinelb/internal/tomlfile"
)

// State is the section [state]: what a process knows is kept on the disk, for the one that comes after it.
type State struct {
	Dir              string            `toml:"dir"`     // absolute path of a directory that no other sidecar uses
	SnapshotInterval tomlfile.Duration `toml:"every"`   // between two snapshots
	MaxAge           tomlfile.Duration `toml:"oldest"`  // of a snapshot that is restored
	Journal          bool              `toml:"journal"` // keyed and unsafe requests are logged before they are sent
}

// Defaults and limits of [state].
const (
	defaultSnapshotInterval = 10 * time.Second
	minSnapshotInterval     = time.Second
	maxSnapshotInterval     = 10 * time.Minute
	defaultMaxAge           = 10 * time.Minute
	maxMaxAge               = 24 * time.Hour
)

// check sets defaults and returns an error for the first invalid key.
func (s *State) check(file *tomlfile.File) error {
	if !file.Has("state.every") {
		s.SnapshotInterval = tomlfile.Duration(defaultSnapshotInterval)
	}
	if !file.Has("state.oldest") {
		s.MaxAge = tomlfile.Duration(defaultMaxAge)
	}
	switch {
	case !filepath.IsAbs(s.Dir):
		return file.Errorf("state.dir", "must be the absolute path of a directory")
	case s.SnapshotInterval.D() < minSnapshotInterval || s.SnapshotInterval.D() > maxSnapshotInterval:
		return file.Errorf("state.every", "must be from %s to %s", minSnapshotInterval, maxSnapshotInterval)
	case s.MaxAge < s.SnapshotInterval || s.MaxAge.D() > maxMaxAge:
		return file.Errorf("state.oldest", "must be from state.every to %s", maxMaxAge)
	}
	return nil
}
