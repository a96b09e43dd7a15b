package router

import (
	"pinelb.example/pinelb/internal/fleet/coordinator"
	"pinelb.example/pinelb/internal/fleet/placement"
	"pinelb.example/pinelb/internal/fleet/registry"
	"pinelb.example/pinelb/internal/fleet/replication"
)

// Status is the state of a running router, for operators: "pinelb router status" shows it as JSON. The JSON names of its fields are stable;
// registry.Endpoint is encoded with the names of its Go fields. Counters count from the start of the process.
type Status struct {
	Node          string                    `json:"node"`
	Ready         bool                      `json:"ready"`
	Draining      bool                      `json:"draining"` // the router is shutting down
	View          uint64                    `json:"view"`
	Primary       string                    `json:"primary"`    // internal address
	Version       int64                     `json:"version"`    // version of the active configuration, as set by the operator
	Sequence      uint64                    `json:"sequence"`   // sequence number of the active configuration in the replicated log
	LeaseAgeMs    int64                     `json:"leaseAgeMs"` // milliseconds since the configuration was last confirmed; -1: never, or an hour or more ago
	ConfigLag     ConfigLagStatus           `json:"configLag"`
	Routers       int                       `json:"routers"`   // live routers, including this one
	Endpoints     []registry.Endpoint       `json:"endpoints"` // ready endpoints of all services, configured or not
	Tables        []placement.TableStatus   `json:"tables"`
	Services      []placement.ServiceStatus `json:"services"`
	Replica       *ReplicaStatus            `json:"replica,omitempty"`
	Served        uint64                    `json:"served"`                 // requests that were served
	Refused       uint64                    `json:"refused"`                // requests that did not run: rejected (429, 503) or denied (400, 401, 404, 413)
	Failed        uint64                    `json:"failed"`                 // requests that may have run but got no response
	Broken        uint64                    `json:"broken"`                 // responses that were truncated
	Superseded    uint64                    `json:"superseded"`             // refused requests that were rejected because a newer configuration was known but not yet active
	Moved         uint64                    `json:"moved"`                  // attempts that were cancelled because their first token was overdue
	SentDatagrams uint64                    `json:"sentDatagrams"`          // to other routers
	SentBytes     uint64                    `json:"sentBytes"`              // to other routers
	Dropped       uint64                    `json:"dropped"`                // invalid messages from other routers
	Ignored       uint64                    `json:"heartbeatsIgnored"`      // reports of endpoints that were late or whose endpoint had been deregistered
	UptimeMs      int64                     `json:"uptimeMs"`               // milliseconds since the start
	TooLarge      uint64                    `json:"tooLarge,omitempty"`     // messages to other routers that were not sent because none accepts one of that size
	KeysRequired  bool                      `json:"keysRequired,omitempty"` // requests need a key, on routes that are not public
	Coordination  *coordinator.Status       `json:"coordination,omitempty"`
	Resources     ResourceStatus            `json:"resources,omitzero"`
	ClientUse     ClientUse                 `json:"clientUse,omitzero"` // what the clients of each listener hold
}

// ConfigLagStatus describes the lag of the active configuration behind the newest one that the router knows of.
type ConfigLagStatus struct {
	Ms       int64    `json:"ms"`       // milliseconds since the router learned of a newer configuration that is not active; 0: there is none
	Known    uint64   `json:"known"`    // newest known sequence number
	Received uint64   `json:"received"` // newest sequence number received, active or not
	Fetching []string `json:"fetching"` // internal addresses of the routers from which it is being fetched
}

// ReplicaStatus is the state of a router's replica of the configuration.
type ReplicaStatus struct {
	ConfirmedPrimary bool             `json:"leading"` // this router is the primary and holds a read lease from a majority
	View             replication.View `json:"view"`
}

// Status returns the router's state. It may be called while the router runs.
func (r *Router) Status() Status {
	table, age := r.ActiveConfig()
	s := Status{
		Node: r.settings.NodeName, Ready: r.isReady(), LeaseAgeMs: age.Milliseconds(), UptimeMs: r.clock().Milliseconds(),
		Tables: r.dispatcher.Tables(), Services: r.dispatcher.Services(), Replica: r.replicaStatus(), Resources: r.resources.status(), ClientUse: r.overload.use(),
	}
	if table != nil {
		s.Version = table.Version
		s.KeysRequired = table.Document.KeyPolicy().RequiresKey()
	}
	if age >= unconfirmedAge {
		s.LeaseAgeMs = -1
	}
	r.addCounters(&s)
	s.Coordination = r.coordination.status()
	r.gossip.addStatus(&s)
	return s
}

// replicaStatus returns the state of the replica; nil: this router has none.
func (r *Router) replicaStatus() *ReplicaStatus {
	if r.replica == nil {
		return nil
	}
	_, _, _, leading := r.replica.ReadLease()
	return &ReplicaStatus{ConfirmedPrimary: leading, View: r.replica.View()}
}

func (r *Router) addCounters(s *Status) {
	s.Served = r.proxy.Served.Load()
	s.Refused = r.proxy.Rejected.Load()
	s.Failed = r.proxy.Failed.Load()
	s.Broken = r.proxy.Truncated.Load()
	s.Superseded = r.proxy.Superseded.Load()
	s.Moved = r.proxy.Rerouted.Load()
	s.Draining, s.Ignored = r.draining.Load(), r.endpointReports.ignored.Load()
	s.SentBytes, s.SentDatagrams = r.Sent()
	s.Dropped = r.transport.Counters.Dropped.Load()
	s.TooLarge = r.transport.Counters.TooLarge.Load()
}

func (g *gossip) addStatus(s *Status) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s.View, s.Primary = g.node.Primary()
	s.Sequence = g.node.Config.Sequence
	lag := g.node.ConfigLag(g.clock())
	s.ConfigLag = ConfigLagStatus{Ms: lag.TimeBehind.Milliseconds(), Known: lag.Known, Received: lag.Received, Fetching: lag.Fetching}
	s.Routers = g.node.Members.LiveCount()
	s.Endpoints = g.node.Registry.Ready()
}

// SentReplies returns the number of bytes of replies to other routers' calls since the start; most of them are fetched configurations.
func (r *Router) SentReplies() uint64 {
	if r.transport == nil {
		return 0
	}
	return r.transport.Counters.ReplyBytes.Load()
}

// Sent returns the number of bytes of messages and the number of datagrams that this router has sent to other routers since its start.
func (r *Router) Sent() (bytes, datagrams uint64) {
	if r.transport == nil {
		return 0, 0
	}
	return r.transport.Counters.SentBytes.Load(), r.transport.Counters.SentDatagrams.Load()
}
