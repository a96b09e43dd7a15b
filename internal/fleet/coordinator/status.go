package coordinator

import "pinelb.example/pinelb/internal/fleet/replication"

// Status is the state of one machine's Service for operators. The names in JSON are stable.
type Status struct {
	Epoch      uint64                `json:"epoch"`              // of the newest acceptor set that this machine knows; 0: none
	Acceptors  []replication.Replica `json:"acceptors"`          // of that epoch; they store the registers
	Acceptor   *replication.Replica  `json:"acceptor,omitempty"` // identity of this machine's acceptor; nil: it has none
	Ready      bool                  `json:"ready"`              // this machine's acceptor may promise and accept in its epoch
	Stored     int                   `json:"stored"`             // number of registers that this machine's acceptor stores
	Used       int                   `json:"used"`               // number of registers that this machine's proposer has used since its start
	Calls      uint64                `json:"calls"`              // this and the following ones: see Counters
	Unclear    uint64                `json:"unclear"`
	Refused    uint64                `json:"refused"`
	FailedOver uint64                `json:"failedOver"`
	Duplicates uint64                `json:"duplicates"`
	Dropped    uint64                `json:"dropped"`
	Syncs      uint64                `json:"syncs"`
	SyncErrors uint64                `json:"syncErrors"`         // Counters.FailedSyncs
	Expired    uint64                `json:"expired"`            // Counters.ExpiredLocks
	Bytes      int                   `json:"bytes,omitempty"`    // size of the registers that this machine's acceptor stores
	MaxBytes   int                   `json:"maxBytes,omitempty"` // Options.MaxState
	Full       bool                  `json:"full,omitempty"`     // an acceptor has no room: puts are not executed
}

// Status returns the current state. On a machine outside the core, only the counters are set.
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
	status.Bytes, status.MaxBytes, status.Full = acceptor.StoredBytes, s.options.MaxState, proposer.Full
	return status
}
