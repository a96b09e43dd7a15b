package daemon

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"os"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"pinelb.example/pinelb/internal/auditlog"
	"pinelb.example/pinelb/internal/config"
	"pinelb.example/pinelb/internal/control"
	"pinelb.example/pinelb/internal/persistence"
	"pinelb.example/pinelb/internal/version"
)

const (
	heartbeatInterval   = 100 * time.Millisecond // the actor's beats, and its moments are looked at
	flushInterval  = 10 * time.Second       // attempts are noted; what a kill loses of them
	rejectionLogInterval  = 10 * time.Second       // between two lines in the log about refused orders: two auditors may go on for long
	maxReportEntryBytes = 192 << 10              // of entries in a report: with the rest of it below trail.ReportMost
	maxSiteBytes    = 128                    // bytes of a site's name
)

// audited is this process as auditors see it: what it acts on, the trail of that, and what it may do. It owns the actor, keeps
// the events in order, and carries out what the actor wants.
type auditAgent struct {
	options *config.Audit
	buildID   string
	site    string
	incarnation    string
	name    string
	start   time.Time
	now     func() time.Duration // since the start, by the monotonic clock, which goes on while the process is stopped
	wallClock    func() time.Time
	auditLog    *auditlog.Book
	auditFile    *auditlog.File // nil: no disk
	log     zerolog.Logger

	refreshList func()        // asks the list service for the whole list; set before run
	rereadConfig  chan struct{} // has the configuration be read again

	// What the gate looks at, so that a request takes no lock.
	lastHeartbeat, verdictExpiry atomic.Int64 // when the last beat was, and up to when the verdict holds
	acceptsStreams, sendsAttempts atomic.Bool  // new streams are taken; attempts go out
	retryAfter       atomic.Int64 // a refused client is told to wait

	mu      sync.Mutex // before the book's and the engine's, after the table's
	actor   *version.Actor
	settings     *config.Settings
	verdict version.Verdict
	adoptedAt   time.Duration // when the version was adopted
	versionID   uint32
	listHeardAt   time.Duration // when the list service was heard last; below 0 is never
	needsSuccessor bool          // it has to be succeeded
	rejectionLoggedAt time.Duration // when a refused order was logged last
	round   int           // beats
}

// newAuditAgent returns nil where the operator's file does not ask for it. The trail goes on from the former process's, or where
// there is none from what the disk has.
func newAuditAgent(op *config.Audit, cfg *config.Config, keep *statePersister, next *succession, log zerolog.Logger) *auditAgent {
	if op == nil {
		return nil
	}
	a := &auditAgent{options: op, buildID: buildID(), site: siteName(cfg), incarnation: fmt.Sprintf("%016x", rand.Uint64()), name: cmp.Or(cfg.Name, cfg.Listen),
		start: time.Now(), wallClock: time.Now, log: log, rereadConfig: make(chan struct{}, 1), settings: &cfg.Settings, listHeardAt: -1}
	a.now = func() time.Duration { return time.Since(a.start) }
	past, from := next.inheritedAuditLog(), "former"
	if len(past) == 0 && keep != nil {
		from = "disk"
		var faults []auditlog.Fault
		var err error
		if past, faults, err = auditlog.Load(keep.disk); err != nil || len(faults) > 0 {
			log.Error().Err(err).Stringers("faults", firstFaults(faults)).Msg("the trail is not whole")
		}
	}
	if len(past) == 0 {
		from = ""
	}
	epoch, by := auditlog.LastOrder(past)
	a.actor = version.NewActor(0, a.actorLimits(), rand.New(rand.NewPCG(cfg.Seed^rand.Uint64(), auditStream)), epoch, by)
	a.auditLog = auditlog.NewBook(a.incarnation, from, past, persistence.Now)
	if keep != nil {
		a.auditFile = &auditlog.File{Disk: keep.disk, Book: a.auditLog, Fault: func(err error) {
			if err != nil {
				log.Error().Err(err).Msg("the trail is not written")
			} else {
				log.Info().Msg("the trail is written again")
			}
		}}
		a.auditFile.Begin()
	}
	a.applyVerdict(0)
	return a
}

// calls is for auditors.
func (a *auditAgent) controlAudit() control.Audit {
	if a == nil {
		return nil
	}
	return a
}

// told is what the log has of faults: the first ones.
func firstFaults(faults []auditlog.Fault) (out []fmt.Stringer) {
	for _, f := range faults[:min(len(faults), 3)] {
		out = append(out, f)
	}
	return out
}

// siteName is siteFingerprint as orders have it, where it is not too long. It stays the same for as long as the process runs.
func siteName(cfg *config.Config) string {
	if site := siteFingerprint(cfg); len(site) > maxSiteBytes {
		return fmt.Sprintf("tier %d of %d, %016x", cfg.Settings.Tier, cfg.Settings.Tiers, xxhash.Sum64String(site))
	} else {
		return site
	}
}

// build names what runs: the revision that the build noted, or where it noted none, or one with changes, what the file holds.
func buildID() string {
	noted := map[string]string{}
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, s := range info.Settings {
			noted[s.Key] = s.Value
		}
	}
	revision := noted["vcs.revision"]
	if revision != "" && noted["vcs.modified"] != "true" {
		return revision
	}
	sum := xxhash.New()
	f, err := os.Open("/proc/self/exe")
	if err == nil {
		_, err = io.Copy(sum, f)
		err = errors.Join(err, f.Close())
	}
	if err != nil {
		return cmp.Or(revision, "unknown") + "+modified"
	}
	if revision != "" {
		revision += "+modified "
	}
	return fmt.Sprintf("%s%016x", revision, sum.Sum64())
}

func (a *auditAgent) actorLimits() version.Limits {
	return version.Limits{Site: a.site, Share: a.options.Share, Instances: a.settings.Instances, Rank: a.settings.Rank, Lease: a.options.Lease.D(),
		Closed: a.options.Closed()}
}

// at is a time by the actor's clock.
func (a *auditAgent) sinceStart(t time.Time) time.Duration { return t.Sub(a.start) }

// change has another version take effect; nobody else changes it meanwhile. Where nothing is audited there are no numbers.
func (a *auditAgent) change(edit func(*version.Version), from string, apply func(under uint32)) {
	if a == nil {
		apply(0)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.changeLocked(edit, from, apply)
}

func (a *auditAgent) changeLocked(edit func(*version.Version), from string, apply func(under uint32)) {
	a.auditLog.Change(edit, from, apply)
	now := a.now()
	v, under := a.auditLog.Version()
	if under != a.versionID {
		a.versionID, a.adoptedAt = under, now
	}
	a.actor.Adopt(now, v)
	a.applyVerdict(now)
}

// Listed is for cluster.Versions.
func (a *auditAgent) Listed(l version.List, apply func(under uint32)) {
	a.change(func(v *version.Version) { v.List = l }, l.From, apply)
}

// begins has the version of a process that starts be the first one.
func (a *auditAgent) recordStart(cfg *config.Config, apply func(under uint32)) {
	a.change(func(v *version.Version) {
		v.Settings, v.File, v.Build = cfg.Digest(), a.options.File, a.buildID
	}, "start", apply)
}

// settings has other settings take effect, from the file or a distributor.
func (a *auditAgent) changeSettings(cfg *config.Config, from string, apply func(under uint32)) {
	if a == nil {
		apply(0)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.settings = &cfg.Settings
	a.actor.Retune(a.actorLimits())
	a.changeLocked(func(v *version.Version) { v.Settings = cfg.Digest() }, from, apply)
}

// listens tells that the list service has answered what it was asked at that time, and that the answer has been taken over.
func (a *auditAgent) confirmList(asked time.Time) {
	a.tick() // it may be what tells of a stop
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	a.actor.Heard(now, a.sinceStart(asked))
	a.applyVerdict(now)
	if a.verdict.State != version.Waking { // what came from before a stop says nothing of now
		a.listHeardAt = now
	}
}

// lives is a beat.
func (a *auditAgent) heartbeat(now time.Duration) {
	stopped := a.actor.Beat(now)
	a.lastHeartbeat.Store(int64(now))
	if stopped > 0 {
		a.auditLog.Note(auditlog.Entry{Kind: auditlog.Stopped, Took: millis(stopped)})
		a.log.Warn().Dur("for", stopped).Msg("was stopped; nothing is sent until discovery answers, for a while")
	}
}

// judge takes the actor's verdict over. A change of it is noted and logged.
func (a *auditAgent) applyVerdict(now time.Duration) {
	v := a.actor.Verdict(now)
	if v.State != a.verdict.State || v.Why != a.verdict.Why {
		a.auditLog.Note(auditlog.Entry{Kind: auditlog.Judged, State: v.State, Why: v.Why})
		if a.verdict.State != "" {
			a.log.Warn().Str("state", v.State).Str("why", v.Why).Msg("the audit's verdict has changed")
		}
	}
	a.verdict = v
	a.verdictExpiry.Store(int64(v.Until))
	a.acceptsStreams.Store(v.Takes())
	a.sendsAttempts.Store(v.Sends())
	again := v.Again
	if most := a.settings.MaxRetryAfter; most > 0 {
		again = min(again, most)
	}
	if !a.settings.RetryAfter {
		again = 0
	}
	a.retryAfter.Store(int64(again))
}

// refreshVerdict is for the gate: whatever time alone has changed is looked at first.
func (a *auditAgent) refreshVerdict() {
	now := int64(a.now())
	if now-a.lastHeartbeat.Load() > int64(version.Gap) || now >= a.verdictExpiry.Load() {
		a.tick()
	}
}

// Takes tells whether new streams are taken, and where not, when their clients should come again.
func (a *auditAgent) Takes() (takes bool, again time.Duration) {
	a.refreshVerdict()
	return a.acceptsStreams.Load(), time.Duration(a.retryAfter.Load())
}

// Sends tells whether attempts go out.
func (a *auditAgent) Sends() bool {
	a.refreshVerdict()
	return a.sendsAttempts.Load()
}

// tick is a beat, and carries out what the actor wants.
func (a *auditAgent) tick() {
	a.mu.Lock()
	now := a.now()
	a.heartbeat(now)
	a.applyVerdict(now)
	wants := a.actor.Wants(now)
	a.updateNeedsSuccessor(now, wants)
	a.mu.Unlock()
	if wants.List {
		a.refreshList()
	}
	if wants.Config {
		select {
		case a.rereadConfig <- struct{}{}:
		default: // it is about to be
		}
	}
}

// succeeds tells once that this process can't come up to the floor: its build is what it is, and the operator's file is read at
// the start alone.
func (a *auditAgent) updateNeedsSuccessor(now time.Duration, wants version.Wants) {
	was := a.needsSuccessor
	f := a.actor.Floor(now)
	a.needsSuccessor = wants.Succeed || f != nil && f.File != 0 && f.File != a.options.File
	if a.needsSuccessor && !was {
		a.log.Warn().Str("build", a.buildID).Strs("floor", f.Builds).Stringer("file", hexDigest(f.File)).Msg("this process has to be succeeded by one that meets the floor")
	}
}

type hexDigest version.Digest

func (h hexDigest) String() string { return fmt.Sprintf("%016x", uint64(h)) }

// run beats until ctx ends, and ends the trail.
func (a *auditAgent) run(ctx context.Context) {
	if a == nil {
		return
	}
	beats, flush := time.NewTicker(heartbeatInterval), time.NewTicker(flushInterval)
	defer beats.Stop()
	defer flush.Stop()
	for {
		select {
		case <-beats.C:
			a.tick()
		case <-flush.C:
			a.auditLog.Flush()
		case <-ctx.Done():
			a.auditLog.Flush()
			a.auditLog.Note(auditlog.Entry{Kind: auditlog.Ended})
			if a.auditFile != nil {
				a.auditFile.Close()
			}
			return
		}
	}
}

// Take takes an auditor's order, or refuses it, as version.Actor does.
func (a *auditAgent) Take(o version.Order) error {
	a.mu.Lock()
	now := a.now()
	a.heartbeat(now)
	was := a.actor.Floor(now)
	err := a.actor.Take(now, time.Duration(a.wallClock().UnixNano()), o)
	e := auditlog.Entry{Kind: auditlog.Ordered, Order: &o}
	switch {
	case err != nil:
		e.Why = err.Error()
		if a.rejectionLoggedAt == 0 || now-a.rejectionLoggedAt > rejectionLogInterval {
			a.rejectionLoggedAt = now
			a.log.Warn().Err(err).Str("by", o.Floor.By).Msg("an auditor's order is refused")
		}
	case was == nil || was.Epoch != o.Floor.Epoch || was.By != o.Floor.By:
		a.log.Info().Uint64("epoch", o.Floor.Epoch).Str("by", o.Floor.By).Dur("grace", o.Floor.Grace.D()).Msg("a floor is in force")
	}
	if err == nil {
		a.actor.Vouched(now)
	}
	a.auditLog.Note(e)
	a.mu.Unlock()
	a.tick() // what it wants may be due at once
	return err
}

// Report is what an auditor is answered, with the trail's entries from that number on.
func (a *auditAgent) Report(since uint64) auditlog.Report {
	a.tick()
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	r := auditlog.Report{Name: a.name, Site: a.site, Rank: a.settings.Rank, Instances: max(1, a.settings.Instances), Life: a.incarnation,
		Now: version.Millis(a.wallClock().UnixMilli()), Up: millis(persistence.Now().Up), Since: millis(now - a.adoptedAt), Heard: -1, State: a.verdict.State, Why: a.verdict.Why,
		Floor: a.actor.Floor(now), Ticket: a.actor.Ticket(now), Succeed: a.needsSuccessor}
	if z := a.settings.Zone; z >= 0 && z < len(a.settings.ZoneNames) {
		r.Zone = a.settings.ZoneNames[z]
	}
	if a.listHeardAt >= 0 {
		r.Heard = millis(now - a.listHeardAt)
	}
	r.Version, r.Under = a.auditLog.Version()
	r.Entries, r.Next, r.First = a.auditLog.Since(min(since, math.MaxInt64), maxReportEntryBytes)
	return r
}

func millis(d time.Duration) version.Millis { return version.Millis(d.Milliseconds()) }
