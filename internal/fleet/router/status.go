package router

import (
	"pinelb.example/pinelb/internal/fleet/coordinator"
	"pinelb.example/pinelb/internal/fleet/placement"
	"pinelb.example/pinelb/internal/fleet/registry"
	"pinelb.example/pinelb/internal/fleet/replication"
)

// Status is the state of a running router, for operators: "pinelb router status" shows it as JSON. The names of its fields in JSON are
// stable; registry.Endpoint has those of its Go fields. The counters count since the start.
type Status struct {
	Node          string                    `json:"node"`
	Ready         bool                      `json:"ready"`
	Draining      bool                      `json:"draining"` // it shuts down
	View          uint64                    `json:"view"`
	Primary       string                    `json:"primary"`    // internal address
	Version       int64                     `json:"version"`    // of the active configuration, as the operator gave it
	Sequence      uint64                    `json:"sequence"`   // of the active configuration, in the log
	LeaseAgeMs    int64                     `json:"leaseAgeMs"` // milliseconds since the configuration was confirmed; -1: never, or an hour or more ago
	ConfigLag     ConfigLagStatus           `json:"configLag"`
	Routers       int                       `json:"routers"`   // alive, this one included
	Endpoints     []registry.Endpoint       `json:"endpoints"` // that are ready, of all services, configured or not
	Tables        []placement.TableStatus   `json:"tables"`
	Services      []placement.ServiceStatus `json:"services"`
	Replica       *ReplicaStatus            `json:"replica,omitempty"`
	Served        uint64                    `json:"served"`            // requests
	Refused       uint64                    `json:"refused"`           // requests that did not run: rejected (429, 503) or denied (400, 401, 404, 413)
	Failed        uint64                    `json:"failed"`            // requests that may have run and have no response
	Broken        uint64                    `json:"broken"`            // responses that were truncated
	Superseded    uint64                    `json:"superseded"`        // of the refused requests: rejected because a newer configuration was not yet in force
	Moved         uint64                    `json:"moved"`             // attempts that were cancelled because their first token was overdue
	SentDatagrams uint64                    `json:"sentDatagrams"`     // to other routers
	SentBytes     uint64                    `json:"sentBytes"`         // to other routers
	Dropped       uint64                    `json:"dropped"`           // messages of other routers that were invalid
	Ignored       uint64                    `json:"heartbeatsIgnored"` // endpoints' reports that were late, or of endpoints that were deregistered
	UptimeMs      int64                     `json:"uptimeMs"`          // milliseconds
	Coordination  *coordinator.Status       `json:"coordination,omitempty"`
}

// ConfigLagStatus says how far the active configuration is behind the newest one that the router has heard of.
type ConfigLagStatus struct {
	Ms       int64    `json:"ms"`       // milliseconds since the router first heard of one that is not active; 0: none
	Known    uint64   `json:"known"`    // newest sequence heard of
	Received uint64   `json:"received"` // newest sequence received, active or not
	Fetching []string `json:"fetching"` // internal addresses of the routers that are asked for it
}

// ReplicaStatus is what a router's replica of the configuration knows of the views.
type ReplicaStatus struct {
	ConfirmedPrimary bool             `json:"leading"` // this router is the primary, as a majority has confirmed lately
	View             replication.View `json:"view"`
}

// Status returns the router's state. It may be called while the router runs.
func (r *Router) Status() Status {
	table, age := r.ActiveConfig()
	s := Status{
		Node: r.settings.NodeName, Ready: r.isReady(), LeaseAgeMs: age.Milliseconds(), UptimeMs: r.clock().Milliseconds(),
		Tables: r.dispatcher.Tables(), Services: r.dispatcher.Services(), Replica: r.replicaStatus(),
	}
	if table != nil {
		s.Version = table.Version
	}
	if age >= unconfirmedAge {
		s.LeaseAgeMs = -1
	}
	r.addCounters(&s)
	s.Coordination = r.coordination.status()
	r.gossip.addStatus(&s)
	return s
}

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

// SentReplies returns the bytes of replies to other routers' calls since the start: configurations that they fetched, mostly.
func (r *Router) SentReplies() uint64 {
	if r.transport == nil {
		return 0
	}
	return r.transport.Counters.ReplyBytes.Load()
}

// Sent returns what this router has sent to others since its start, in bytes of messages and in datagrams.
func (r *Router) Sent() (bytes, datagrams uint64) {
	if r.transport == nil {
		return 0, 0
	}
	return r.transport.Counters.SentBytes.Load(), r.transport.Counters.SentDatagrams.Load()
}
