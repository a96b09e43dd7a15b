package replica

import (
	"errors"
	"math/rand/v2"
	"path/filepath"

	"go.uber.org/zap"

	"pinelb.example/pinelb/internal/fleet/config"
	"pinelb.example/pinelb/internal/fleet/replication"
	"pinelb.example/pinelb/internal/fleet/storage"
)

// logDirectory is the log's directory within Options.Directory.
const logDirectory = "control"

// store is a replica's hard state and configuration, on the disk and in memory. Only the replica's goroutine uses it.
type store struct {
	log       *storage.Log[replication.HardState] // nil: no disk
	hardState replication.HardState
	state     *config.State // at the hard state's position, committed or not
}

// openStore reads the disk. An empty one, or none, makes a new identity, and so does a corrupt log: the replica that wrote
// it may have promised or stored more than can be read.
func openStore(options *Options) (*store, error) {
	nonce := uint64(0)
	if len(options.BootstrapWitnesses) == 0 {
		nonce = newNonce()
	}
	s := &store{
		hardState: replication.InitialHardState(options.Address, nonce, options.BootstrapWitnesses),
		state:     config.EmptyState(),
	}
	if options.Directory == "" {
		return s, nil
	}
	log, records, err := storage.Open[replication.HardState](filepath.Join(options.Directory, logDirectory))
	s.log = log
	var corrupt *storage.CorruptLogError
	if errors.As(err, &corrupt) {
		options.Log.Error("the replica's log is corrupt: it starts without state, under a new identity", zap.Error(err))
		s.hardState = replication.InitialHardState(options.Address, newNonce(), nil)
		return s, nil
	}
	if err != nil {
		return nil, err
	}
	for _, record := range records {
		state, err := apply(s.state, record.Entry, record.Snapshot)
		if err != nil {
			return nil, err
		}
		s.state, s.hardState = state, record.HardState
	}
	return s, nil
}

// newNonce draws the nonce of a new identity; 0 is that of the first start of the whole system.
func newNonce() uint64 { return rand.Uint64() | 1 }

// apply returns the state after a write with a snapshot, an entry, both or none of them.
func apply(state *config.State, entry, snapshot []byte) (*config.State, error) {
	if snapshot != nil {
		decoded, err := config.DecodeState(snapshot)
		if err != nil {
			return nil, err
		}
		state = decoded
	}
	if entry == nil {
		return state, nil
	}
	change, err := config.DecodeChange(entry)
	if err != nil {
		return nil, err
	}
	return state.Apply(change)
}

// write makes a step's write durable, and changes the state accordingly. state is the one that the write leads to; nil: it is worked out
// here. After an error the store is as before.
func (s *store) write(w *replication.Write, state *config.State) error {
	if state == nil {
		var err error
		if state, err = apply(s.state, w.Entry, w.Snapshot); err != nil {
			return err
		}
	}
	if s.log != nil {
		if err := s.writeLog(w, state); err != nil {
			return err
		}
	}
	s.state, s.hardState = state, w.HardState
	return nil
}

// writeLog appends a write that leads to a state, or starts a new generation with that state where the log needs compaction.
func (s *store) writeLog(w *replication.Write, state *config.State) error {
	if !s.log.NeedsCompaction() {
		return s.log.Append(storage.Record[replication.HardState]{HardState: w.HardState, Entry: w.Entry, Snapshot: w.Snapshot})
	}
	snapshot, err := state.Encode()
	if err != nil {
		return err
	}
	return s.log.StartGeneration(w.HardState, snapshot)
}

func (s *store) close() {
	if s.log != nil {
		s.log.Close()
	}
}
