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
	superseded  bool // a newer one was heard of
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

// isSuperseded reports whether a newer configuration than the active one was heard of.
func (c *activeConfig) isSuperseded() bool {
	current := c.current.Load()
	return current != nil && current.superseded
}

// update makes the gossip's configuration the active one.
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
