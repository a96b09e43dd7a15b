package router

import (
	"pinelb.example/pinelb/internal/fleet/placement"
	"pinelb.example/pinelb/internal/fleet/registry"
	"pinelb.example/pinelb/internal/fleet/replication"
)

// Status is what a running router holds, for operators.
type Status struct {
	Node          string                  `json:"node"`
	Ready         bool                    `json:"ready"`
	View          uint64                  `json:"view"`
	Primary       string                  `json:"primary"`
	Version       int64                   `json:"version"`
	Sequence      uint64                  `json:"sequence"`
	LeaseAgeMs    int64                   `json:"leaseAgeMs"` // -1: nothing has confirmed the configuration
	Routers       int                     `json:"routers"`
	Endpoints     []registry.Endpoint     `json:"endpoints"`
	Tables        []placement.TableView   `json:"tables"`
	Services      []placement.ServiceView `json:"services"`
	Replica       *ReplicaStatus          `json:"replica,omitempty"`
	Served        uint64                  `json:"served"`
	Refused       uint64                  `json:"refused"`
	Failed        uint64                  `json:"failed"`
	Broken        uint64                  `json:"broken"`
	Moved         uint64                  `json:"moved"` // attempts given up because their first token was overdue
	SentDatagrams uint64                  `json:"sentDatagrams"`
	SentBytes     uint64                  `json:"sentBytes"`
	Dropped       uint64                  `json:"dropped"`
	UptimeMs      int64                   `json:"uptimeMs"`
}

// ReplicaStatus is what a router's copy of the configuration knows of the views.
type ReplicaStatus struct {
	Leading bool             `json:"leading"`
	View    replication.View `json:"view"`
}

// Status shows what the router holds.
func (r *Router) Status() Status {
	table, age := r.Table()
	s := Status{
		Node: r.settings.NodeName, Ready: r.isReady(), LeaseAgeMs: age.Milliseconds(), Tables: r.dispatcher.Tables(),
		Served: r.front.Served.Load(), Refused: r.front.Rejected.Load(), Failed: r.front.Failed.Load(),
		Broken: r.front.Truncated.Load(), Moved: r.front.Rerouted.Load(), Services: r.dispatcher.Services(), UptimeMs: r.clock().Milliseconds(),
	}
	counters := &r.transport.Counters
	s.SentDatagrams, s.SentBytes, s.Dropped = counters.SentDatagrams.Load(), counters.SentBytes.Load(), counters.Dropped.Load()
	if table != nil {
		s.Version = table.Version
	}
	if age >= neverFresh {
		s.LeaseAgeMs = -1
	}
	if r.replica != nil {
		_, _, _, leading := r.replica.ReadLease()
		s.Replica = &ReplicaStatus{Leading: leading, View: r.replica.View()}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s.View, s.Primary = r.node.Primary()
	s.Sequence, s.Routers, s.Endpoints = r.node.Config.Sequence, r.node.Members.LiveCount(), r.node.Registry.Ready()
	return s
}

// Sent is what the router has sent to others since its start, in bytes of messages and in datagrams.
func (r *Router) Sent() (bytes, datagrams uint64) {
	if r.transport == nil {
		return 0, 0
	}
	return r.transport.Counters.SentBytes.Load(), r.transport.Counters.SentDatagrams.Load()
}
