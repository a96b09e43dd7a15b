package coordinator

import "pinelb.example/pinelb/internal/fleet/replication"

// Status is what operators see of a machine's part. The names in JSON are stable.
type Status struct {
	Epoch      uint64                `json:"epoch"`     // of the acceptors that this machine knows; 0: none
	Acceptors  []replication.Replica `json:"acceptors"` // that hold the registers
	Acceptor   *replication.Replica  `json:"acceptor,omitempty"`
	Ready      bool                  `json:"ready"`  // this machine's acceptor takes part
	Stored     int                   `json:"stored"` // registers that this machine's acceptor holds
	Used       int                   `json:"used"`   // registers that this machine's proposer has used
	Calls      uint64                `json:"calls"`  // the counters count since the start
	Unclear    uint64                `json:"unclear"`
	Refused    uint64                `json:"refused"`
	FailedOver uint64                `json:"failedOver"`
	Duplicates uint64                `json:"duplicates"`
	Dropped    uint64                `json:"dropped"`
	Syncs      uint64                `json:"syncs"`
	SyncErrors uint64                `json:"syncErrors"`
	Expired    uint64                `json:"expired"` // locks that this machine's proposer gave to another because their holder's time had run out
}

// Status returns the present state.
func (s *Service) Status() Status {
	status := Status{
		Calls: s.Counters.Calls.Load(), Unclear: s.Counters.Unclear.Load(), Refused: s.Counters.Refused.Load(),
		FailedOver: s.Counters.FailedOver.Load(), Duplicates: s.Counters.Duplicates.Load(), Dropped: s.Counters.Dropped.Load(),
		Syncs: s.Counters.Syncs.Load(), SyncErrors: s.Counters.FailedSyncs.Load(),
		Expired: s.Counters.ExpiredLocks.Load(),
	}
	if s.proposer == nil {
		return status
	}
	proposer, acceptor := s.proposer.published.Load(), s.acceptor.status()
	status.Epoch, status.Acceptors, status.Used = proposer.Config.Epoch, proposer.Config.Acceptors, proposer.UsedRegisters
	status.Acceptor, status.Stored = &acceptor.Self, acceptor.StoredRegisters
	status.Ready = acceptor.isReady()
	return status
}
