package router

import (
	"sync/atomic"
	"time"

	"pinelb.example/pinelb/internal/fleet/config"
	"pinelb.example/pinelb/internal/fleet/dissemination"
)

// unconfirmedAge is the age that stands for a configuration that nothing has confirmed. One whose last confirmation is as old counts as
// unconfirmed too.
const unconfirmedAge = time.Hour

// activeConfig is the configuration that requests are served by. Readers need no lock; the gossip stores it, under its own lock.
type activeConfig struct {
	*environment
	current atomic.Pointer[confirmedConfig] // nil: none has been received
}

type confirmedConfig struct {
	table       *config.Table
	confirmedAt time.Duration
	confirmed   bool // confirmedAt is set
}

// load returns the active configuration and the time since it was last confirmed to be the newest: unconfirmedAge where nothing has
// confirmed it, nil and unconfirmedAge where there is none.
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

// update makes the gossip's configuration the active one.
func (c *activeConfig) update(source *dissemination.ConfigReplica) {
	if source.Table == nil {
		return
	}
	at, confirmed := source.ConfirmedAt()
	current := c.current.Load()
	if current == nil || current.table != source.Table || current.confirmedAt != at || current.confirmed != confirmed {
		c.current.Store(&confirmedConfig{table: source.Table, confirmedAt: at, confirmed: confirmed})
	}
}
