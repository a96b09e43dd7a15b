package router

import (
	"slices"
	"time"

	"pinelb.example/pinelb/internal/fleet/config"
	"pinelb.example/pinelb/internal/fleet/dissemination"
	"pinelb.example/pinelb/internal/fleet/replica"
	"pinelb.example/pinelb/internal/fleet/replication"
)

// startReplica starts this machine's replica of the configuration, if the machine counts for the quorum or is a founder: a seed at the
// first start of the whole system. It returns an error if the replica can't be started.
func (r *Router) startReplica() error {
	s := r.settings
	founders := r.founders()
	if !r.isCore(founders) {
		return nil
	}
	var err error
	r.replica, err = replica.Start(replica.Options{
		Address:            r.address(),
		Directory:          s.DataDir,
		BootstrapWitnesses: founders,
		Votes:              s.CountsForQuorum,
		Tolerance: replication.Tolerance{
			Machines: s.Tolerance.Machines, Zones: s.Tolerance.Zones, Regions: s.Tolerance.Regions,
		},
		Timing:     replication.DefaultTiming(),
		LocalityOf: r.gossip.localityOf,
		Peers:      r.gossip.corePeers,
		Send: func(to string, nonce uint64, message replication.Envelope) {
			r.transport.Send(to, kindReplication, nonce, message)
		},
		OnCommit:     r.handleCommit,
		OnViewChange: r.handleViewChange,
		Clock:        r.clock,
		Log:          r.log,
	})
	return err
}

// founders returns the internal addresses of the machines that form the core at the first start of the whole system; nil at later starts.
func (e *environment) founders() []string {
	if !e.settings.Bootstrap {
		return nil
	}
	return e.settings.SeedAddresses()
}

// isCore reports whether this machine takes part in the consensus: it counts for the quorum, or is a founder.
func (e *environment) isCore(founders []string) bool {
	return e.settings.CountsForQuorum || slices.Contains(founders, e.address())
}

// handleCommit disseminates a configuration that this router's replica has committed as the primary.
func (r *Router) handleCommit(c replica.Commit) {
	var change []byte
	if c.Change != nil {
		change, _ = c.Change.Encode() // after an error, other routers fetch the whole configuration
	}
	table := c.Table
	if table.Version == 0 {
		table = emptyTable()
	}
	r.gossip.step(func(now time.Duration) *dissemination.Output {
		return r.gossip.node.Commit(now, c.Sequence, table, change)
	})
}

// emptyTable returns the configuration of a fleet for which no operator has submitted one.
func emptyTable() *config.Table {
	table, err := config.NewTable(config.EmptyDocument(), nil)
	if err != nil {
		panic(err) // can't happen: an empty configuration is valid
	}
	return table
}

// handleViewChange records a new view of this router's replica, and announces it to the other routers if this router is its primary.
func (r *Router) handleViewChange(view replication.View) {
	if view.Primary.Address != r.address() {
		r.gossip.mu.Lock()
		defer r.gossip.mu.Unlock()
		r.gossip.node.SetView(view.Number, view.Primary.Address)
		r.allocatorServer.handleViewChange(r.clock(), view)
		return
	}
	r.gossip.step(func(now time.Duration) *dissemination.Output {
		r.allocatorServer.handleViewChange(now, view)
		return r.gossip.node.AnnouncePrimary(now, view.Number)
	})
}

// confirmAsPrimary records, while this router's replica is the primary with a valid read lease, that its configuration is the newest.
func (r *Router) confirmAsPrimary() {
	if r.replica == nil {
		return
	}
	if _, sequence, at, ok := r.replica.ReadLease(); ok {
		r.gossip.confirm(sequence, at)
	}
}
