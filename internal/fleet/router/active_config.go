package router

import (
	"sync/atomic"
	"time"

	"pinelb.example/pinelb/internal/fleet/config"
	"pinelb.example/pinelb/internal/fleet/dissemination"
)

// unconfirmedAge is the age that load returns for a configuration that was never confirmed. A configuration whose last confirmation is at
// least this old counts as unconfirmed too.
const unconfirmedAge = time.Hour

// activeConfig holds the configuration by which requests are served. Readers need no lock; the gossip component writes it while it holds
// its own lock.
type activeConfig struct {
	*environment
	current atomic.Pointer[confirmedConfig] // nil: no configuration has been received
}

// confirmedConfig is a configuration with its last confirmation as the newest one.
type confirmedConfig struct {
	table       *config.Table
	confirmedAt time.Duration // time on the clock
	confirmed   bool          // confirmedAt is set
	superseded  bool          // a newer configuration is known to exist
}

// load returns the active configuration and the time since it was last confirmed to be the newest: unconfirmedAge if it was never
// confirmed. If there is no configuration, load returns nil and unconfirmedAge.
func (c *activeConfig) load() (*config.Table, time.Duration) {
	current := c.current.Load()
	if current == nil {
		return nil, unconfirmedAge
	}
	if !current.confirmed {
		return current.table, unconfirmedAge
	}
	return current.table, c.clock() - current.confirmedAt
}

// isSuperseded reports whether a newer configuration than the active one is known to exist.
func (c *activeConfig) isSuperseded() bool {
	current := c.current.Load()
	return current != nil && current.superseded
}

// update makes the configuration that the dissemination node holds the active one. The caller holds the gossip's lock.
func (c *activeConfig) update(node *dissemination.Gossiper) {
	source := &node.Config
	if source.Table == nil {
		return
	}
	at, confirmed := source.ConfirmedAt()
	next := confirmedConfig{table: source.Table, confirmedAt: at, confirmed: confirmed, superseded: node.ConfigSuperseded()}
	if current := c.current.Load(); current == nil || *current != next {
		c.current.Store(&next)
	}
}
