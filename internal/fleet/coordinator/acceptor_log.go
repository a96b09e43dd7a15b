package coordinator

import (
	"slices"

	"go.uber.org/zap"

	"pinelb.example/pinelb/internal/fleet/replication"
)

// logAcceptorChange logs what has changed between two states of this machine's acceptor, after it was made durable: another set of acceptors,
// and whether this one takes part. Other changes are too frequent for a log.
func logAcceptorChange(log *zap.Logger, previous, current *AcceptorStatus) {
	epoch := current.Config.Epoch
	if epoch != previous.Config.Epoch {
		log.Info("acceptors changed", zap.Uint64("epoch", epoch), zap.Any("acceptors", current.Config.Acceptors),
			zap.Any("added", without(current.Config.Acceptors, previous.Config.Acceptors)),
			zap.Any("removed", without(previous.Config.Acceptors, current.Config.Acceptors)))
	}
	switch {
	case previous.isReady() && !current.isReady():
		log.Info("acceptor sealed: it takes no part before it has the registers of the new epoch, or none at all", zap.Uint64("epoch", epoch),
			zap.Bool("isMember", current.Config.Has(current.Self)), zap.Int("registers", current.StoredRegisters))
	case current.isReady() && (!previous.isReady() || epoch != previous.Config.Epoch):
		log.Info("acceptor takes part", zap.Uint64("epoch", epoch), zap.Uint64("nonce", current.Self.Nonce), zap.Int("registers", current.StoredRegisters))
	}
}

// takesPart reports whether the acceptor may promise and accept in the present epoch.
func (s *AcceptorStatus) isReady() bool {
	return s.Config.Epoch > 0 && s.ReadyEpoch == s.Config.Epoch && s.Config.Has(s.Self)
}

// without returns the replicas that are not among others.
func without(replicas, others []replication.Replica) []replication.Replica {
	return slices.DeleteFunc(slices.Clone(replicas), func(r replication.Replica) bool { return slices.Contains(others, r) })
}
