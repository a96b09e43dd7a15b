package coordinator

import (
	"cmp"
	"errors"
	"path/filepath"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"pinelb.example/pinelb/internal/fleet/coordination"
	"pinelb.example/pinelb/internal/fleet/register"
	"pinelb.example/pinelb/internal/fleet/storage"
)

// logDirectory is the log's directory within Options.Directory.
const logDirectory = "registers"

// store keeps an acceptor's registers on the disk: a journal of what this acceptor promised and accepted. Only the acceptor's goroutine uses
// it.
type store struct {
	log       *storage.Log[*register.HardState] // nil: no disk
	hardState register.HardState                // as it was read, and then as it was last written
	records   [][]register.Stored               // as they were read
}

// openStore reads the disk. An empty one, or none, makes a new identity, and so does a corrupt log: the acceptor that wrote it may have
// promised or accepted more than can be read.
func openStore(options *Options) (*store, error) {
	nonce := uint64(0)
	if len(options.Founders) == 0 {
		nonce = newNonce()
	}
	s := &store{hardState: register.InitialHardState(options.Address, nonce, options.Founders)}
	if options.Directory == "" {
		return s, nil
	}
	log, records, err := storage.Open[*register.HardState](filepath.Join(options.Directory, logDirectory))
	s.log = log
	var corrupt *storage.CorruptLogError
	if errors.As(err, &corrupt) {
		s.resetWithNewIdentity(options, err)
		return s, nil
	}
	if err != nil {
		return nil, err
	}
	return s, s.load(records)
}

// load takes over the records of a log.
func (s *store) load(records []storage.Record[*register.HardState]) error {
	for _, record := range records {
		var changed []register.Stored
		encoded := record.Entry
		if record.Snapshot != nil {
			encoded, s.records = record.Snapshot, nil
		}
		if encoded != nil {
			if err := Decode(encoded, &changed); err != nil {
				return err
			}
		}
		s.records = append(s.records, changed)
		if record.HardState != nil {
			s.hardState = *record.HardState
		}
	}
	return nil
}

// renew begins without state, under a new identity: the acceptor that wrote the log may have promised or accepted more than can be read.
func (s *store) resetWithNewIdentity(options *Options, cause error) {
	options.Log.Error("the log of the registers can't be read: the acceptor starts without state, under a new identity", zap.Error(cause))
	s.hardState, s.records = register.InitialHardState(options.Address, newNonce(), nil), nil
}

// reload reads the disk again after a write has failed. What it finds need not be durable.
func (s *store) reload(options *Options) error {
	if s.log == nil {
		return nil
	}
	s.log.Close()
	_, records, err := storage.Open[*register.HardState](filepath.Join(options.Directory, logDirectory))
	var corrupt *storage.CorruptLogError
	if errors.As(err, &corrupt) || err == nil && len(records) == 0 {
		s.resetWithNewIdentity(options, cmp.Or(err, storage.ErrNoGeneration))
		return nil
	}
	if err != nil {
		return err
	}
	return s.load(records)
}

// build makes an acceptor of what the disk holds.
func (s *store) build(now time.Duration, options coordination.Options) *register.Acceptor {
	acceptor := register.NewAcceptor(now, s.hardState, s.records, options)
	s.records = nil
	return acceptor
}

// append makes changes durable. The hard state, which is larger than most changes, is written where it has changed.
func (s *store) append(hardState register.HardState, changed []register.Stored) error {
	entry, err := cbor.Marshal(changed)
	if err != nil {
		return err
	}
	record := storage.Record[*register.HardState]{Entry: entry}
	if !hardState.Equal(&s.hardState) {
		record.HardState = &hardState
	}
	if err := s.log.Append(record); err != nil {
		return err
	}
	s.hardState = hardState
	return nil
}

// replace makes a state durable in place of the former one.
func (s *store) replace(hardState register.HardState, all []register.Stored) error {
	snapshot, err := cbor.Marshal(all)
	if err != nil {
		return err
	}
	if err := s.log.StartGeneration(&hardState, snapshot); err != nil {
		return err
	}
	s.hardState = hardState
	return nil
}

func (s *store) close() {
	if s.log != nil {
		s.log.Close()
	}
}
