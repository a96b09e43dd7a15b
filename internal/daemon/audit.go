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
	beatEvery   = 100 * time.Millisecond // the actor's beats, and its moments are looked at
	flushEvery  = 10 * time.Second       // attempts are noted; what a kill loses of them
	refusedGap  = 10 * time.Second       // between two lines in the log about refused orders: two auditors may go on for long
	reportBytes = 192 << 10              // of entries in a report: with the rest of it below trail.ReportMost
	siteMost    = 128                    // bytes of a site's name
)

// audited is this process as auditors see it: what it acts on, the trail of that, and what it may do. It owns the actor, keeps
// the events in order, and carries out what the actor wants.
type audited struct {
	section *config.Audit
	build   string
	site    string
	life    string
	name    string
	start   time.Time
	now     func() time.Duration // since the start, by the monotonic clock, which goes on while the process is stopped
	wall    func() time.Time
	book    *auditlog.Book
	file    *auditlog.File // nil: no disk
	log     zerolog.Logger

	refresh func()        // asks the list service for the whole list; set before run
	reread  chan struct{} // has the configuration be read again

	// What the gate looks at, so that a request takes no lock.
	beat, until atomic.Int64 // when the last beat was, and up to when the verdict holds
	takes, acts atomic.Bool  // new streams are taken; attempts go out
	again       atomic.Int64 // a refused client is told to wait

	mu      sync.Mutex // before the book's and the engine's, after the table's
	actor   *version.Actor
	set     *config.Settings
	verdict version.Verdict
	since   time.Duration // when the version was adopted
	under   uint32
	heard   time.Duration // when the list service was heard last; below 0 is never
	succeed bool          // it has to be succeeded
	refused time.Duration // when a refused order was logged last
	round   int           // beats
}

// newAudited returns nil where the operator's file does not ask for it. The trail goes on from the former process's, or where
// there is none from what the disk has.
func newAudited(op *config.Audit, cfg *config.Config, keep *keeper, next *succession, log zerolog.Logger) *audited {
	if op == nil {
		return nil
	}
	a := &audited{section: op, build: build(), site: siteName(cfg), life: fmt.Sprintf("%016x", rand.Uint64()), name: cmp.Or(cfg.Name, cfg.Listen),
		start: time.Now(), wall: time.Now, log: log, reread: make(chan struct{}, 1), set: &cfg.Settings, heard: -1}
	a.now = func() time.Duration { return time.Since(a.start) }
	past, from := next.trail(), "former"
	if len(past) == 0 && keep != nil {
		from = "disk"
		var faults []auditlog.Fault
		var err error
		if past, faults, err = auditlog.Load(keep.disk); err != nil || len(faults) > 0 {
			log.Error().Err(err).Stringers("faults", told(faults)).Msg("the trail is not whole")
		}
	}
	if len(past) == 0 {
		from = ""
	}
	epoch, by := auditlog.LastOrder(past)
	a.actor = version.NewActor(0, a.limits(), rand.New(rand.NewPCG(cfg.Seed^rand.Uint64(), auditStream)), epoch, by)
	a.book = auditlog.NewBook(a.life, from, past, persistence.Now)
	if keep != nil {
		a.file = &auditlog.File{Disk: keep.disk, Book: a.book, Fault: func(err error) {
			if err != nil {
				log.Error().Err(err).Msg("the trail is not written")
			} else {
				log.Info().Msg("the trail is written again")
			}
		}}
		a.file.Begin()
	}
	a.judge(0)
	return a
}

// calls is for auditors.
func (a *audited) calls() control.Audit {
	if a == nil {
		return nil
	}
	return a
}

// told is what the log has of faults: the first ones.
func told(faults []auditlog.Fault) (out []fmt.Stringer) {
	for _, f := range faults[:min(len(faults), 3)] {
		out = append(out, f)
	}
	return out
}

// siteName is siteOf as orders have it, where it is not too long. It stays the same for as long as the process runs.
func siteName(cfg *config.Config) string {
	if site := siteOf(cfg); len(site) > siteMost {
		return fmt.Sprintf("tier %d of %d, %016x", cfg.Settings.Tier, cfg.Settings.Tiers, xxhash.Sum64String(site))
	} else {
		return site
	}
}

// build names what runs: the revision that the build noted, or where it noted none, or one with changes, what the file holds.
func build() string {
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

func (a *audited) limits() version.Limits {
	return version.Limits{Site: a.site, Share: a.section.Share, Instances: a.set.Instances, Rank: a.set.Rank, Lease: a.section.Lease.D(),
		Closed: a.section.Closed()}
}

// at is a time by the actor's clock.
func (a *audited) at(t time.Time) time.Duration { return t.Sub(a.start) }

// change has another version take effect; nobody else changes it meanwhile. Where nothing is audited there are no numbers.
func (a *audited) change(edit func(*version.Version), from string, apply func(under uint32)) {
	if a == nil {
		apply(0)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.changed(edit, from, apply)
}

func (a *audited) changed(edit func(*version.Version), from string, apply func(under uint32)) {
	a.book.Change(edit, from, apply)
	now := a.now()
	v, under := a.book.Version()
	if under != a.under {
		a.under, a.since = under, now
	}
	a.actor.Adopt(now, v)
	a.judge(now)
}

// Listed is for cluster.Versions.
func (a *audited) Listed(l version.List, apply func(under uint32)) {
	a.change(func(v *version.Version) { v.List = l }, l.From, apply)
}

// begins has the version of a process that starts be the first one.
func (a *audited) begins(cfg *config.Config, apply func(under uint32)) {
	a.change(func(v *version.Version) {
		v.Settings, v.File, v.Build = cfg.Digest(), a.section.File, a.build
	}, "start", apply)
}

// settings has other settings take effect, from the file or a distributor.
func (a *audited) settings(cfg *config.Config, from string, apply func(under uint32)) {
	if a == nil {
		apply(0)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.set = &cfg.Settings
	a.actor.Retune(a.limits())
	a.changed(func(v *version.Version) { v.Settings = cfg.Digest() }, from, apply)
}

// listens tells that the list service has answered what it was asked at that time, and that the answer has been taken over.
func (a *audited) listens(asked time.Time) {
	a.tick() // it may be what tells of a stop
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	a.actor.Heard(now, a.at(asked))
	a.judge(now)
	if a.verdict.State != version.Waking { // what came from before a stop says nothing of now
		a.heard = now
	}
}

// lives is a beat.
func (a *audited) lives(now time.Duration) {
	stopped := a.actor.Beat(now)
	a.beat.Store(int64(now))
	if stopped > 0 {
		a.book.Note(auditlog.Entry{Kind: auditlog.Stopped, Took: millis(stopped)})
		a.log.Warn().Dur("for", stopped).Msg("was stopped; nothing is sent until discovery answers, for a while")
	}
}

// judge takes the actor's verdict over. A change of it is noted and logged.
func (a *audited) judge(now time.Duration) {
	v := a.actor.Verdict(now)
	if v.State != a.verdict.State || v.Why != a.verdict.Why {
		a.book.Note(auditlog.Entry{Kind: auditlog.Judged, State: v.State, Why: v.Why})
		if a.verdict.State != "" {
			a.log.Warn().Str("state", v.State).Str("why", v.Why).Msg("the audit's verdict has changed")
		}
	}
	a.verdict = v
	a.until.Store(int64(v.Until))
	a.takes.Store(v.Takes())
	a.acts.Store(v.Sends())
	again := v.Again
	if most := a.set.MaxRetryAfter; most > 0 {
		again = min(again, most)
	}
	if !a.set.RetryAfter {
		again = 0
	}
	a.again.Store(int64(again))
}

// lookAt is for the gate: whatever time alone has changed is looked at first.
func (a *audited) lookAt() {
	now := int64(a.now())
	if now-a.beat.Load() > int64(version.Gap) || now >= a.until.Load() {
		a.tick()
	}
}

// AcceptsStreams tells whether new streams are taken, and where not, when their clients should come again.
func (a *audited) AcceptsStreams() (takes bool, again time.Duration) {
	a.lookAt()
	return a.takes.Load(), time.Duration(a.again.Load())
}

// AllowsAttempts tells whether attempts go out.
func (a *audited) AllowsAttempts() bool {
	a.lookAt()
	return a.acts.Load()
}

// tick is a beat, and carries out what the actor wants.
func (a *audited) tick() {
	a.mu.Lock()
	now := a.now()
	a.lives(now)
	a.judge(now)
	wants := a.actor.Wants(now)
	a.succeeds(now, wants)
	a.mu.Unlock()
	if wants.List {
		a.refresh()
	}
	if wants.Config {
		select {
		case a.reread <- struct{}{}:
		default: // it is about to be
		}
	}
}

// succeeds tells once that this process can't come up to the floor: its build is what it is, and the operator's file is read at
// the start alone.
func (a *audited) succeeds(now time.Duration, wants version.Wants) {
	was := a.succeed
	f := a.actor.Floor(now)
	a.succeed = wants.Succeed || f != nil && f.File != 0 && f.File != a.section.File
	if a.succeed && !was {
		a.log.Warn().Str("build", a.build).Strs("floor", f.Builds).Stringer("file", hex(f.File)).Msg("this process has to be succeeded by one that meets the floor")
	}
}

type hex version.Digest

func (h hex) String() string { return fmt.Sprintf("%016x", uint64(h)) }

// run beats until ctx ends, and ends the trail.
func (a *audited) run(ctx context.Context) {
	if a == nil {
		return
	}
	beats, flush := time.NewTicker(beatEvery), time.NewTicker(flushEvery)
	defer beats.Stop()
	defer flush.Stop()
	for {
		select {
		case <-beats.C:
			a.tick()
		case <-flush.C:
			a.book.Flush()
		case <-ctx.Done():
			a.book.Flush()
			a.book.Note(auditlog.Entry{Kind: auditlog.Ended})
			if a.file != nil {
				a.file.Close()
			}
			return
		}
	}
}

// Take takes an auditor's order, or refuses it, as version.Actor does.
func (a *audited) Take(o version.Order) error {
	a.mu.Lock()
	now := a.now()
	a.lives(now)
	was := a.actor.Floor(now)
	err := a.actor.Take(now, time.Duration(a.wall().UnixNano()), o)
	e := auditlog.Entry{Kind: auditlog.Ordered, Order: &o}
	switch {
	case err != nil:
		e.Why = err.Error()
		if a.refused == 0 || now-a.refused > refusedGap {
			a.refused = now
			a.log.Warn().Err(err).Str("by", o.Floor.By).Msg("an auditor's order is refused")
		}
	case was == nil || was.Epoch != o.Floor.Epoch || was.By != o.Floor.By:
		a.log.Info().Uint64("epoch", o.Floor.Epoch).Str("by", o.Floor.By).Dur("grace", o.Floor.Grace.D()).Msg("a floor is in force")
	}
	if err == nil {
		a.actor.Vouched(now)
	}
	a.book.Note(e)
	a.mu.Unlock()
	a.tick() // what it wants may be due at once
	return err
}

// Report is what an auditor is answered, with the trail's entries from that number on.
func (a *audited) Report(since uint64) auditlog.Report {
	a.tick()
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	r := auditlog.Report{Name: a.name, Site: a.site, Rank: a.set.Rank, Instances: max(1, a.set.Instances), Life: a.life,
		Now: version.Millis(a.wall().UnixMilli()), Up: millis(persistence.Now().Up), Since: millis(now - a.since), Heard: -1, State: a.verdict.State, Why: a.verdict.Why,
		Floor: a.actor.Floor(now), Ticket: a.actor.Ticket(now), Succeed: a.succeed}
	if z := a.set.Zone; z >= 0 && z < len(a.set.ZoneNames) {
		r.Zone = a.set.ZoneNames[z]
	}
	if a.heard >= 0 {
		r.Heard = millis(now - a.heard)
	}
	r.Version, r.Under = a.book.Version()
	r.Entries, r.Next, r.First = a.book.Since(min(since, math.MaxInt64), reportBytes)
	return r
}

func millis(d time.Duration) version.Millis { return version.Millis(d.Milliseconds()) }
