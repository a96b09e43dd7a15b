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

// logDirectory is the name of the log's directory in Options.Directory.
const logDirectory = "control"

// store holds a replica's hard state and configuration, on disk and in memory. Only the replica's goroutine uses it.
type store struct {
	log       *storage.Log[replication.HardState] // nil: no disk
	hardState replication.HardState
	state     *config.State // at the hard state's position, committed or not
}

// openStore reads the log from the disk. If there is no disk, or the disk is empty, the store starts without state, under a new
// identity. So it does if the log is corrupt: the replica that wrote the log may have promised or stored more than can be read.
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

// newNonce returns a random nonce for a new identity. It is never 0, the nonce at the first start of the whole system.
func newNonce() uint64 { return rand.Uint64() | 1 }

// apply returns the state after a write that has a snapshot, an entry, both or neither.
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

// write makes a step's write durable and updates the state. state is the state after the write; nil: it is computed here. After
// an error the store is unchanged.
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

// writeLog appends a write to the log. If the log needs compaction, it starts a new generation with the state after the write
// instead.
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

// close closes the log, if there is one.
func (s *store) close() {
	if s.log != nil {
		s.log.Close()
	}
}
