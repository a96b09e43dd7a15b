package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"pinelb.example/pinelb/internal/config"
	"pinelb.example/pinelb/internal/inflight"
	"pinelb.example/pinelb/internal/persistence"
)

const (
	lockName  = "lock"
	finalWriteTimeout = 300 * time.Millisecond // the last writes may take, for SIGKILL may be near
)

// keeper keeps what this process knows on the disk, as [state] asks for. A nil keeper keeps nothing.
type statePersister struct {
	*config.State
	disk    persistence.Disk
	site    string
	succession    *succession
	journal *persistence.Journal // nil: none
	log     zerolog.Logger

	ownsDirectory bool // the directory is this process's
	lastSaveFailed bool // the last snapshot could not be written
}

// newStatePersister returns the keeper that the operator's file asks for; nil, and a line in the log, where the directory can't be
// used. The one of a process that succeeds another has the directory once that has ended.
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

// siteFingerprint tells one site's state from another's: learned elsewhere it would mislead.
func siteFingerprint(cfg *config.Config) string {
	s := &cfg.Settings
	return fmt.Sprintf("tier %d of %d, kinds %s, zones %s", s.Tier, s.Tiers, strings.Join(s.KindNames, " "), strings.Join(s.ZoneNames, " "))
}

// lock has the directory be this process's for as long as it runs, if it is nobody else's.
func (k *statePersister) tryLock() error {
	if k.ownsDirectory {
		return nil
	}
	unlock, err := k.disk.Lock(lockName)
	k.ownsDirectory = unlock != nil
	return err
}

// remember takes over what a process that has ended has left, unless one that runs has handed over more. It returns whether
// that holds a list.
func (k *statePersister) restore(cfg *config.Config) (listed bool) {
	if k == nil || k.succession.predecessor != nil {
		return false
	}
	snap, past, err := persistence.Load(k.disk, persistence.Now(), k.site, k.Oldest.D())
	var h processState
	if err == nil {
		h, err = k.succession.adopt(snap.State, "snapshot", past, cfg.Known)
	}
	switch {
	case errors.Is(err, persistence.ErrNone):
	case err != nil:
		k.log.Warn().Err(err).Msg("nothing is remembered")
	default:
		k.log.Info().Dur("past", past).Int("members", len(h.Table.List.Members)).Int("cordoned", len(h.Table.Cordoned)).Msg("remembered")
	}
	return err == nil && len(h.Table.List.Members) > 0
}

// begin begins the journal, where there is to be one, with what those that are dead have left. It returns what keeps a
// promise, or nil.
func (k *statePersister) startJournal() func() {
	if k == nil || !k.Journal {
		return nil
	}
	notes, skipped, left, alive, err := persistence.Effects(k.disk, persistence.Now())
	if err != nil {
		k.log.Error().Err(err).Msg("the journal of former processes is not read")
	}
	now := time.Now()
	k.succession.effects.Heard(now, inflight.Journal, notes)
	k.succession.effects.Gone(now, inflight.Journal)
	past, _ := k.succession.effects.Size()
	k.log.Info().Int("lines", len(notes)).Int("skipped", skipped).Int("alive", alive).Int("effects", past).Msg("journal read")
	k.journal = &persistence.Journal{Disk: k.disk, Table: k.succession.effects, Fault: func(err error) {
		if err != nil {
			k.log.Error().Err(err).Msg("the journal is not written")
		} else {
			k.log.Info().Msg("the journal is written again")
		}
	}}
	k.journal.Begin(left)
	return func() { k.journal.Kept() }
}

// run writes snapshots until ctx ends.
func (k *statePersister) run(ctx context.Context) {
	if k == nil {
		return
	}
	dropped := 0
	every := time.NewTicker(k.Every.D())
	defer every.Stop()
	for {
		select {
		case <-every.C:
			k.save()
		case <-ctx.Done():
			return
		}
		if k.journal == nil {
			continue
		}
		if n := k.journal.Missed(); n > 0 {
			k.log.Warn().Int("sends", n).Msg("the journal was too slow, and they did not wait for it")
		}
		if _, n := k.succession.effects.Size(); n > dropped {
			k.log.Warn().Int("effects", n-dropped).Msg("forgotten before their time, for want of memory")
			dropped = n
		}
	}
}

// save writes a snapshot, once the directory is this process's.
func (k *statePersister) save() {
	err := k.tryLock()
	if err == nil && !k.ownsDirectory {
		return // the former process's, for as long as it runs
	}
	var state []byte
	if err == nil {
		state, err = json.Marshal(k.succession.snapshot())
	}
	if err == nil {
		_, err = persistence.Save(k.disk, &persistence.Snapshot{Saved: persistence.Now(), Site: k.site, State: state})
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

// end writes the last snapshot, unless a successor has taken over, and ends the journal.
func (k *statePersister) close(followed bool) {
	if k == nil {
		return
	}
	if k.journal != nil {
		k.journal.Close()
	}
	if !followed {
		k.save()
	}
}
