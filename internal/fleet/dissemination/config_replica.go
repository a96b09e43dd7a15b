package dissemination

import (
	"fmt"
	"time"

	"pinelb.example/pinelb/internal/fleet/config"
)

// maxRetainedChanges is how many of the last orders a router holds, for others that are a little behind.
const maxRetainedChanges = 64

// Config is the configuration that a router acts on, and until when it surely was the newest.
type ConfigReplica struct {
	Sequence uint64
	Table    *config.Table // nil: none is held

	confirmed   bool
	confirmedAt time.Duration
	changes  [][]byte // the last ones, up to Sequence
}

// ConfirmedAt is a moment at which no newer configuration had been acknowledged. ok is false where none is known.
func (f *ConfigReplica) ConfirmedAt() (at time.Duration, ok bool) {
	return f.confirmedAt, f.confirmed && f.Table != nil
}

// Confirm notes that the configuration of a sequence was the newest at a moment.
func (f *ConfigReplica) Confirm(sequence uint64, at time.Duration) {
	if f.Table == nil || f.Sequence < sequence {
		return
	}
	if !f.confirmed || f.confirmedAt < at {
		f.confirmed, f.confirmedAt = true, at
	}
}

// Set takes a configuration over whose table is known. order made it of the one before; nil: not known.
func (f *ConfigReplica) Set(sequence uint64, table *config.Table, order []byte) {
	if f.Table != nil && sequence <= f.Sequence {
		return
	}
	if order != nil && sequence == f.Sequence+1 {
		f.retain(order)
	} else {
		f.changes = nil
	}
	f.Sequence, f.Table = sequence, table
}

func (f *ConfigReplica) retain(order []byte) {
	f.changes = append(f.changes, order)
	if len(f.changes) > maxRetainedChanges {
		f.changes = append([][]byte(nil), f.changes[len(f.changes)-maxRetainedChanges:]...)
	}
}

// Apply takes over the configuration of a sequence by the order that made it of the one before. It returns false where
// the one before is not held.
func (f *ConfigReplica) Apply(sequence uint64, encoded []byte) (bool, error) {
	if f.Table == nil || sequence != f.Sequence+1 {
		return false, nil
	}
	order, err := config.DecodeChange(encoded)
	if err != nil {
		return false, err
	}
	state, err := (&config.State{Document: f.Table.Document}).Apply(order)
	if err != nil {
		return false, err
	}
	table, err := config.NewTable(state.Document, f.Table)
	if err != nil {
		return false, err
	}
	f.Set(sequence, table, encoded)
	return true, nil
}

// ageMs is how long ago the configuration surely was the newest, rounded up.
func (f *ConfigReplica) ageMs(now time.Duration) (age uint64, fresh bool) {
	at, fresh := f.ConfirmedAt()
	if !fresh {
		return 0, false
	}
	return uint64((now - at + time.Millisecond - 1) / time.Millisecond), true
}

// ServeFetch answers a router that holds the configuration of a sequence.
func (f *ConfigReplica) ServeFetch(now time.Duration, request FetchRequest) (FetchReply, error) {
	if f.Table == nil {
		return FetchReply{}, fmt.Errorf("dissemination: no configuration is held")
	}
	reply := FetchReply{Sequence: f.Sequence}
	reply.AgeMs, reply.Fresh = f.ageMs(now)
	behind := int(f.Sequence - min(f.Sequence, request.After))
	if request.After > 0 && behind <= len(f.changes) {
		reply.Changes = f.changes[len(f.changes)-behind:]
		return reply, nil
	}
	reply.Document = f.Table.Document.Encode()
	return reply, nil
}

// ApplyReply takes over what another router answered. It returns false where nothing was new.
func (f *ConfigReplica) ApplyReply(reply FetchReply) (bool, error) {
	if f.Table != nil && reply.Sequence <= f.Sequence {
		return false, nil
	}
	if reply.Document != nil {
		document, err := config.ParseDocument(reply.Document)
		if err != nil {
			return false, err
		}
		table, err := config.NewTable(document, f.Table)
		if err != nil {
			return false, err
		}
		f.Set(reply.Sequence, table, nil)
		return true, nil
	}
	first := reply.Sequence - uint64(len(reply.Changes)) + 1
	changed := false
	for i, order := range reply.Changes {
		applied, err := f.Apply(first+uint64(i), order)
		if err != nil {
			return changed, err
		}
		changed = changed || applied
	}
	return changed, nil
}
