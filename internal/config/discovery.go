package config

import (
	"time"

	"pinelb.example/pinelb/internal/pacing"
	"pinelb.example/pinelb/internal/tomlfile"
)

// Discovery is the section [discovery]: the list service is one for many sidecars, and the rate of their calls is bounded.
type Discovery struct {
	CallRate         float64           `toml:"calls"`     // a second, of all instances together
	Burst            int               `toml:"burst"`     // calls at once that the service allows
	Instances        int               `toml:"instances"` // that call it; 0: as many as the settings say
	PollTimeout      tomlfile.Duration `toml:"watch"`     // of a long poll, at least
	FullListInterval tomlfile.Duration `toml:"whole"`     // between two requests for the complete list; 0: never
	Resume           bool              `toml:"resume"`    // a restart requests the changes since the restored list, and not the complete one
}

// Defaults and limits of [discovery].
const (
	minCallRate, maxCallRate       = 1, 100_000
	maxBurst                       = 100_000
	maxInstances                   = 100_000
	defaultPollTimeout             = time.Second
	minPollTimeout, maxPollTimeout = 100 * time.Millisecond, 30 * time.Second
	defaultFullListInterval        = 5 * time.Minute
	minFullListInterval            = 10 * time.Second
)

// check sets defaults and returns an error for the first invalid key.
func (d *Discovery) check(file *tomlfile.File) error {
	if !file.Has("discovery.watch") {
		d.PollTimeout = tomlfile.Duration(defaultPollTimeout)
	}
	if !file.Has("discovery.whole") {
		d.FullListInterval = tomlfile.Duration(defaultFullListInterval)
	}
	switch {
	case d.CallRate < minCallRate || d.CallRate > maxCallRate:
		return file.Errorf("discovery.calls", "must be given, from %d to %d", minCallRate, maxCallRate)
	case d.Burst < 0 || d.Burst > maxBurst:
		return file.Errorf("discovery.burst", "must be from 0 to %d", maxBurst)
	case d.Instances < 0 || d.Instances > maxInstances:
		return file.Errorf("discovery.instances", "must be from 0 to %d", maxInstances)
	case d.PollTimeout.D() < minPollTimeout || d.PollTimeout.D() > maxPollTimeout:
		return file.Errorf("discovery.watch", "must be from %s to %s", minPollTimeout, maxPollTimeout)
	case d.FullListInterval != 0 && d.FullListInterval.D() < minFullListInterval:
		return file.Errorf("discovery.whole", "must be 0s or %s and more", minFullListInterval)
	}
	return nil
}

// Pacing returns the rate limit of one instance, of as many as the settings say.
func (d *Discovery) Pacing(instances int) pacing.Fleet {
	if d.Instances != 0 {
		instances = d.Instances
	}
	return pacing.Fleet{Instances: instances, Rate: d.CallRate, Burst: d.Burst, MinWatchWait: d.PollTimeout.D()}
}
