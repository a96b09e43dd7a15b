package coordinator

import (
	"bytes"
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

// store keeps an acceptor's registers on disk, as a log of its promises and accepted values. It is not safe for concurrent
// use: only the acceptor's goroutine uses it.
type store struct {
	log       *storage.Log[*register.HardState] // nil: in memory only
	hardState register.HardState                // as last read or written
	records   [][]register.Stored               // as read from the log; nil after build
}

// openStore reads the log from disk. Without a log, the acceptor gets a new identity: its nonce is 0 at the first start of the
// whole system (Options.Founders is set), and random otherwise. With a corrupt log, it starts without state under
// a new identity: see resetWithNewIdentity.
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
	if log != nil {
		log.LimitSize(options.MaxLog)
	}
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

// load sets the hard state and the registers from the records of a log.
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

// resetWithNewIdentity discards the state and draws a new identity. The acceptor that wrote the log may have promised or
// accepted more than can be read, and continuing under its identity could break its promises.
func (s *store) resetWithNewIdentity(options *Options, cause error) {
	options.Log.Error("the log of the registers can't be read: the acceptor starts without state, under a new identity", zap.Error(cause))
	s.hardState, s.records = register.InitialHardState(options.Address, newNonce(), nil), nil
}

// reload reads the log from disk again after a failed write. The records that it finds may not be durable.
// Only the records of the reopened log are used. s.log stays the closed log; the next replace starts a new generation in it,
// which opens it again.
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

// build returns an acceptor with the state that was read from disk.
func (s *store) build(now time.Duration, options coordination.Options) *register.Acceptor {
	acceptor := register.NewAcceptor(now, s.hardState, s.records, options)
	s.records = nil
	return acceptor
}

// append makes changes and the hard state durable. The hard state is written only if it has changed, because it is larger than
// most changes.
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

// replace makes a hard state and all registers durable in a new generation of the log, which replaces the former one.
func (s *store) replace(hardState register.HardState, all []register.Stored) error {
	var snapshot bytes.Buffer
	snapshot.Grow(register.SizeOf(all))
	if err := cbor.MarshalToBuffer(all, &snapshot); err != nil {
		return err
	}
	if err := s.log.StartGeneration(&hardState, snapshot.Bytes()); err != nil {
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
