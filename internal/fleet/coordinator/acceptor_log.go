package coordinator

import (
	"slices"

	"go.uber.org/zap"

	"pinelb.example/pinelb/internal/fleet/replication"
)

// logAcceptorChange logs a change of the acceptor set, and of whether this machine's acceptor is ready. It is called when
// the status is published: before the state is durable at the start and after a reload, and after the write otherwise. Other
// changes are too frequent to be logged.
func logAcceptorChange(log *zap.Logger, previous, current *AcceptorStatus) {
	epoch := current.Config.Epoch
	if epoch != previous.Config.Epoch {
		log.Info("acceptors changed", zap.Uint64("epoch", epoch), zap.Any("acceptors", current.Config.Acceptors),
			zap.Any("added", without(current.Config.Acceptors, previous.Config.Acceptors)),
			zap.Any("removed", without(previous.Config.Acceptors, current.Config.Acceptors)))
	}
	switch {
	case previous.isReady() && !current.isReady():
		log.Info("acceptor sealed: not ready until it has collected the registers of the new epoch; a non-member does not collect them",
			zap.Uint64("epoch", epoch), zap.Bool("isMember", current.Config.Has(current.Self)), zap.Int("registers", current.StoredRegisters))
	case current.isReady() && (!previous.isReady() || epoch != previous.Config.Epoch):
		log.Info("acceptor takes part", zap.Uint64("epoch", epoch), zap.Uint64("nonce", current.Self.Nonce),
			zap.Int("registers", current.StoredRegisters))
	}
}

// isReady reports whether the acceptor may promise and accept in the current epoch.
func (s *AcceptorStatus) isReady() bool {
	return s.Config.Epoch > 0 && s.ReadyEpoch == s.Config.Epoch && s.Config.Has(s.Self)
}

// without returns the replicas that are not in others.
func without(replicas, others []replication.Replica) []replication.Replica {
	return slices.DeleteFunc(slices.Clone(replicas), func(r replication.Replica) bool { return slices.Contains(others, r) })
}
