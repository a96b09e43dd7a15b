package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/rs/zerolog"

	"pinelb.example/pinelb/internal/config"
	"pinelb.example/pinelb/internal/inflight"
	"pinelb.example/pinelb/internal/persistence"
)

const (
	lockName          = "lock"
	finalWriteTimeout = 300 * time.Millisecond // for the last writes: SIGKILL may follow soon
)

// statePersister writes what this process knows to the directory of [state]: snapshots of what it has learned, and a journal of
// effects. A nil one persists nothing.
type statePersister struct {
	*config.State
	disk       persistence.Disk
	site       string
	succession *succession
	journal    *persistence.Journal // nil: none
	log        zerolog.Logger

	ownsDirectory  bool // the directory is this process's
	lastSaveFailed bool // the last snapshot could not be written
}

// newStatePersister returns the persister that the operator's file asks for; nil, with a line in the log, where the directory
// can't be used. With a predecessor, the directory is this process's once that has ended.
func newStatePersister(s *config.State, cfg *config.Config, next *succession, log zerolog.Logger) *statePersister {
	if s == nil {
		return nil
	}
	k := &statePersister{State: s, disk: persistence.Dir(s.Dir), site: siteFingerprint(cfg), succession: next, log: log}
	err := os.MkdirAll(s.Dir, 0o700)
	if err == nil {
		err = k.tryLock()
	}
	if err == nil && !k.ownsDirectory && next.predecessor == nil {
		err = fmt.Errorf("state: %s is in use by another process", s.Dir)
	}
	if err != nil {
		log.Error().Err(err).Msg("no state is kept")
		return nil
	}
	return k
}

// tryLock locks the directory for as long as the process runs, unless another process has locked it.
func (k *statePersister) tryLock() error {
	if k.ownsDirectory {
		return nil
	}
	unlock, err := k.disk.Lock(lockName)
	k.ownsDirectory = unlock != nil
	return err
}

// restore applies the snapshot of a process that has ended, unless a running predecessor has handed over more. It reports
// whether that has a list.
func (k *statePersister) restore(cfg *config.Config) (listed bool) {
	if k == nil || k.succession.predecessor != nil {
		return false
	}
	snap, past, err := persistence.LoadSnapshot(k.disk, persistence.Now(), k.site, k.MaxAge.D())
	var h processState
	if err == nil {
		h, err = k.succession.adopt(snap.State, "snapshot", past, cfg.CachedList)
	}
	switch {
	case errors.Is(err, persistence.ErrNoSnapshot):
	case err != nil:
		k.log.Warn().Err(err).Msg("nothing is remembered")
	default:
		k.log.Info().Dur("past", past).Int("members", len(h.Table.List.Members)).Int("cordoned", len(h.Table.Cordoned)).Msg("remembered")
	}
	return err == nil && len(h.Table.List.Members) > 0
}

// startJournal reads the journals of processes that have ended and starts this one's, if [state] asks for one. It returns the
// function that waits until what the table of effects knows is on the disk; nil: there is no journal.
func (k *statePersister) startJournal() func() {
	if k == nil || !k.Journal {
		return nil
	}
	recovered, err := persistence.RecoverEffects(k.disk, persistence.Now())
	if err != nil {
		k.log.Error().Err(err).Msg("the journal of former processes is not read")
	}
	now := time.Now()
	k.succession.effects.Apply(now, inflight.Journal, recovered.Notes)
	k.succession.effects.Disconnect(now, inflight.Journal)
	past, _ := k.succession.effects.Counts()
	k.log.Info().Int("lines", len(recovered.Notes)).Int("skipped", recovered.Skipped).
		Int("alive", recovered.Alive).Int("effects", past).Msg("journal read")
	k.journal = &persistence.Journal{Disk: k.disk, Table: k.succession.effects, OnFault: func(err error) {
		if err != nil {
			k.log.Error().Err(err).Msg("the journal is not written")
		} else {
			k.log.Info().Msg("the journal is written again")
		}
	}}
	k.journal.Start(recovered.Files)
	return func() { k.journal.WaitDurable() }
}

// run writes snapshots until ctx is done.
func (k *statePersister) run(ctx context.Context) {
	if k == nil {
		return
	}
	reportedDrops := 0
	ticker := time.NewTicker(k.SnapshotInterval.D())
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			k.save()
		case <-ctx.Done():
			return
		}
		if k.journal == nil {
			continue
		}
		if n := k.journal.TakeMissed(); n > 0 {
			k.log.Warn().Int("sends", n).Msg("the journal was too slow, and they did not wait for it")
		}
		if _, n := k.succession.effects.Counts(); n > reportedDrops {
			k.log.Warn().Int("effects", n-reportedDrops).Msg("forgotten before their time, for want of memory")
			reportedDrops = n
		}
	}
}

// save writes a snapshot, once the directory is this process's. A change between success and failure is logged.
func (k *statePersister) save() {
	err := k.tryLock()
	if err == nil && !k.ownsDirectory {
		return // it is the predecessor's for as long as that runs
	}
	var state []byte
	if err == nil {
		state, err = json.Marshal(k.succession.snapshot())
	}
	if err == nil {
		_, err = persistence.SaveSnapshot(k.disk, &persistence.Snapshot{Saved: persistence.Now(), Site: k.site, State: state})
	}
	if failed := err != nil; failed != k.lastSaveFailed {
		k.lastSaveFailed = failed
		if failed {
			k.log.Error().Err(err).Msg("the snapshot is not written")
		} else {
			k.log.Info().Msg("the snapshot is written again")
		}
	}
}

// close closes the journal, and writes the last snapshot unless a successor has taken over.
func (k *statePersister) close(succeeded bool) {
	if k == nil {
		return
	}
	if k.journal != nil {
		k.journal.Close()
	}
	if !succeeded {
		k.save()
	}
}
