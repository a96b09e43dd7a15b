package daemon

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"pinelb.example/pinelb/internal/auditlog"
	"pinelb.example/pinelb/internal/config"
	"pinelb.example/pinelb/internal/persistence"
	"pinelb.example/pinelb/internal/version"
)

const (
	heartbeatInterval    = 100 * time.Millisecond
	flushInterval        = 10 * time.Second // between the log's totals of attempts; a SIGKILL loses those since the last
	rejectionLogInterval = 10 * time.Second // between two lines about rejected orders: two auditors may disagree for long
	maxReportEntryBytes  = 192 << 10        // of entries in a report, so that the whole of it stays below auditlog.MaxReportBytes
	maxLoggedFaults      = 3

	never = -1 // of a time since the start
)

// auditAgent is what auditors see of this process: which version it acts on, the log of that, and whether it may act. It owns
// the version.Actor, orders the events that reach it, and carries out what it asks for. A nil agent audits nothing.
type auditAgent struct {
	options     *config.Audit
	buildID     string
	site        string
	incarnation string // differs from that of every other process
	name        string
	start       time.Time
	now         func() time.Duration // since the start, by the monotonic clock, which goes on while the process is stopped
	wallClock   func() time.Time
	auditLog    *auditlog.Log
	auditFile   *auditlog.Writer // nil: no disk
	log         zerolog.Logger

	refreshList  func()        // requests the complete list from discovery
	rereadConfig chan struct{} // requests that the configuration be read again; holds one request

	// Copies of the verdict for the gate, so that a request takes no lock. Times are nanoseconds since the start.
	lastHeartbeat  atomic.Int64
	verdictExpiry  atomic.Int64
	acceptsStreams atomic.Bool
	sendsAttempts  atomic.Bool
	retryAfter     atomic.Int64 // nanoseconds, for a client whose stream is rejected

	// mu is taken after the table's lock, and before the audit log's and the engine's.
	mu                sync.Mutex
	actor             *version.Actor
	settings          *config.Settings
	verdict           version.Verdict
	adoptedAt         time.Duration // when the version in force was adopted
	versionID         uint32        // the audit log's number of that version
	listHeardAt       time.Duration // when discovery last confirmed the list; never: not yet
	needsSuccessor    bool          // this process can't meet the minimum version; one after it could
	rejectionLoggedAt time.Duration // when a rejected order was last logged; 0: none was
}

// newAuditAgent returns nil where the operator's file asks for no audit. The audit log continues the predecessor's, or where
// there is none, what the disk has. refreshList is to be set before run.
func newAuditAgent(options *config.Audit, cfg *config.Config, persister *statePersister, s *succession, log zerolog.Logger) *auditAgent {
	if options == nil {
		return nil
	}
	a := &auditAgent{
		options:      options,
		buildID:      buildID(),
		site:         siteName(cfg),
		incarnation:  fmt.Sprintf("%016x", rand.Uint64()),
		name:         cmp.Or(cfg.Name, cfg.Listen),
		start:        time.Now(),
		wallClock:    time.Now,
		log:          log,
		rereadConfig: make(chan struct{}, 1),
		settings:     &cfg.Settings,
		listHeardAt:  never,
	}
	a.now = func() time.Duration { return time.Since(a.start) }
	entries, source := inheritedEntries(persister, s, log)
	epoch, by := auditlog.LastOrder(entries)
	a.actor = version.NewActor(0, a.actorLimits(), rand.New(rand.NewPCG(cfg.Seed^rand.Uint64(), auditStream)), epoch, by)
	a.auditLog = auditlog.NewLog(a.incarnation, source, entries, persistence.Now)
	if persister != nil {
		a.openFile(persister.disk)
	}
	a.applyVerdict(0)
	return a
}

// inheritedEntries returns the audit log's entries of processes before this one, and where they are from: "former" (the
// predecessor, which runs), "disk", or empty where there are none.
func inheritedEntries(persister *statePersister, s *succession, log zerolog.Logger) (entries []auditlog.Entry, source string) {
	if entries = s.inheritedAuditLog(); len(entries) > 0 {
		return entries, "former"
	}
	if persister == nil {
		return entries, ""
	}
	entries, faults, err := auditlog.Load(persister.disk)
	if err != nil || len(faults) > 0 {
		log.Error().Err(err).Stringers("faults", firstFaults(faults)).Msg("the trail is not whole")
	}
	if len(entries) == 0 {
		return entries, ""
	}
	return entries, "disk"
}

// openFile has the audit log written to the disk from here on.
func (a *auditAgent) openFile(disk persistence.Disk) {
	a.auditFile = &auditlog.Writer{Disk: disk, Log: a.auditLog, OnFault: func(err error) {
		if err != nil {
			a.log.Error().Err(err).Msg("the trail is not written")
		} else {
			a.log.Info().Msg("the trail is written again")
		}
	}}
	a.auditFile.Start()
}

// firstFaults returns those that are logged.
func firstFaults(faults []auditlog.Fault) (out []fmt.Stringer) {
	for _, f := range faults[:min(len(faults), maxLoggedFaults)] {
		out = append(out, f)
	}
	return out
}

// actorLimits returns the actor's limits by the settings in force; once the agent is shared, the caller holds mu.
func (a *auditAgent) actorLimits() version.Limits {
	return version.Limits{Site: a.site, Share: a.options.Share, Instances: a.settings.Instances, Rank: a.settings.Rank, Lease: a.options.Lease.D(),
		Closed: a.options.ShutsOutWhenIsolated()}
}

// sinceStart converts a time to the actor's clock.
func (a *auditAgent) sinceStart(t time.Time) time.Duration { return t.Sub(a.start) }

// change applies another version under its number in the audit log; where nothing is audited there are no numbers, and it
// applies under 0. Changes are serialized.
func (a *auditAgent) change(edit func(*version.Version), from string, apply func(versionID uint32)) {
	if a == nil {
		apply(0)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.changeLocked(edit, from, apply)
}

// changeLocked is change for a caller that holds mu.
func (a *auditAgent) changeLocked(edit func(*version.Version), from string, apply func(versionID uint32)) {
	a.auditLog.Change(edit, from, apply)
	now := a.now()
	v, versionID := a.auditLog.Version()
	if versionID != a.versionID {
		a.versionID, a.adoptedAt = versionID, now
	}
	a.actor.Adopt(now, v)
	a.applyVerdict(now)
}

// Listed implements cluster.Versions.
func (a *auditAgent) Listed(l version.List, apply func(versionID uint32)) {
	a.change(func(v *version.Version) { v.List = l }, l.From, apply)
}

// recordStart logs the first version: the one that the process starts with.
func (a *auditAgent) recordStart(cfg *config.Config, apply func(versionID uint32)) {
	a.change(func(v *version.Version) {
		v.Settings, v.File, v.Build = cfg.Digest(), a.options.File, a.buildID
	}, "start", apply)
}

// changeSettings applies other settings, which are from the file or from a distributor.
func (a *auditAgent) changeSettings(cfg *config.Config, from string, apply func(versionID uint32)) {
	if a == nil {
		apply(0)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.settings = &cfg.Settings
	a.actor.SetLimits(a.actorLimits())
	a.changeLocked(func(v *version.Version) { v.Settings = cfg.Digest() }, from, apply)
}

// confirmList records that discovery has answered a question of that time, and that the answer has been applied.
func (a *auditAgent) confirmList(asked time.Time) {
	a.tick() // this may be the first sign that the process had been stopped
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	a.actor.ConfirmList(now, a.sinceStart(asked))
	a.applyVerdict(now)
	if a.verdict.State != version.Resuming { // an answer from before a stop says nothing about now
		a.listHeardAt = now
	}
}

// heartbeat records that the process runs, and if it had been stopped, for how long; the caller holds mu.
func (a *auditAgent) heartbeat(now time.Duration) {
	stopped := a.actor.Heartbeat(now)
	a.lastHeartbeat.Store(int64(now))
	if stopped > 0 {
		a.auditLog.Append(auditlog.Entry{Kind: auditlog.Stopped, Duration: millis(stopped)})
		a.log.Warn().Dur("for", stopped).Msg("was stopped; nothing is sent until discovery answers, for a while")
	}
}

// tick is a heartbeat, and carries out what the actor asks for.
func (a *auditAgent) tick() {
	a.mu.Lock()
	now := a.now()
	a.heartbeat(now)
	a.applyVerdict(now)
	wants := a.actor.Actions(now)
	a.updateNeedsSuccessor(now, wants)
	a.mu.Unlock()
	if wants.RefreshList {
		a.refreshList()
	}
	if wants.RereadConfig {
		select {
		case a.rereadConfig <- struct{}{}:
		default: // a request is pending already
		}
	}
}

// updateNeedsSuccessor logs once that this process can't meet the minimum version: neither its build nor the operator's file,
// which is read at the start only, can change. The caller holds mu.
func (a *auditAgent) updateNeedsSuccessor(now time.Duration, wants version.Actions) {
	before := a.needsSuccessor
	f := a.actor.Minimum(now)
	a.needsSuccessor = wants.NeedsSuccessor || f != nil && f.File != 0 && f.File != a.options.File
	if a.needsSuccessor && !before {
		a.log.Warn().Str("build", a.buildID).Strs("floor", f.Builds).Stringer("file", hexDigest(f.File)).
			Msg("this process has to be succeeded by one that meets the floor")
	}
}

// hexDigest formats a digest for the log.
type hexDigest version.Digest

func (h hexDigest) String() string { return fmt.Sprintf("%016x", uint64(h)) }

// run sends heartbeats until ctx is done, and then closes the audit log.
func (a *auditAgent) run(ctx context.Context) {
	if a == nil {
		return
	}
	heartbeat, flush := time.NewTicker(heartbeatInterval), time.NewTicker(flushInterval)
	defer heartbeat.Stop()
	defer flush.Stop()
	for {
		select {
		case <-heartbeat.C:
			a.tick()
		case <-flush.C:
			a.auditLog.Flush()
		case <-ctx.Done():
			a.auditLog.Flush()
			a.auditLog.Append(auditlog.Entry{Kind: auditlog.Ended})
			if a.auditFile != nil {
				a.auditFile.Close()
			}
			return
		}
	}
}

func millis(d time.Duration) version.Millis { return version.Millis(d.Milliseconds()) }
