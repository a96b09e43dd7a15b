package config

import (
	"time"

	"pinelb.example/pinelb/internal/tomlfile"
)

// Fleet is the section [fleet]: how the instances of a tier differ from each other.
type Fleet struct {
	// Numbered says that the settings' rank and number of instances are correct, so that upstream hosts are chosen
	// by them and not by the sidecar's name.
	Numbered bool `toml:"numbered"`
	// Spread is the time over which sidecars that have a list already distribute their first calls to discovery, where
	// many start at once and call one service. At most 5 s.
	Spread tomlfile.Duration `toml:"spread"`
	// Handshakes is how many connections all instances together may open to one upstream host in 100 ms; 0: no bound.
	Handshakes int `toml:"handshakes"`
}

// maxHandshakes is more than any host accepts.
const maxHandshakes = 10_000

// check returns an error for the first invalid key.
func (f *Fleet) check(file *tomlfile.File) error {
	switch {
	case f.Spread < 0 || f.Spread.D() > maxSpread:
		return file.Errorf("fleet.spread", "must be from 0s to %s", maxSpread)
	case f.Handshakes < 0 || f.Handshakes > maxHandshakes:
		return file.Errorf("fleet.handshakes", "must be from 0 to %d", maxHandshakes)
	}
	return nil
}

// maxSpread bounds how long a sidecar has only a list that may be outdated.
const maxSpread = 5 * time.Second
