package daemon

import (
	"context"
	"os"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"pinelb.example/pinelb/internal/accesslog"
	"pinelb.example/pinelb/internal/cluster"
	"pinelb.example/pinelb/internal/config"
	"pinelb.example/pinelb/internal/downstream"
	"pinelb.example/pinelb/internal/driver"
	"pinelb.example/pinelb/internal/settingsclient"
	"pinelb.example/pinelb/internal/settingsstore"
	"pinelb.example/pinelb/internal/stream"
	"pinelb.example/pinelb/internal/upstream"
)

// configUpdater applies a configuration that is read again, or settings that a distributor publishes, to the running parts.
type configUpdater struct {
	operator         *config.Operator
	engine           *driver.Driver
	pool             *upstream.Pool
	side             *downstream.Manager
	table            *cluster.Table
	budget           *stream.Budget           // nil: no retry budget
	recorder         *accesslog.Recorder      // nil: no access log
	audit            *auditAgent              // nil: no audit
	watch            *settingsclient.Client   // nil: no distributors
	onClassesChanged []func(*config.Settings) // one of each front
	log              zerolog.Logger

	mu        sync.Mutex
	cfg       *config.Config       // in force; its classes have the numbers that they have here
	published *settingsstore.State // the settings in force; nil: they are the file's
}

// classNames returns the names of the classes, by number.
func (t *configUpdater) classNames() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.cfg.Settings.ClassNames
}

// targetLatencies returns each class's, by number.
func targetLatencies(set *config.Settings) (out []time.Duration) {
	for _, c := range set.Classes {
		out = append(out, c.TargetLatency)
	}
	return out
}

// run reads the configuration again at each SIGHUP, and when the audit asks for it, until ctx is done, and sends discovery's
// address on moves. A configuration that is invalid changes nothing. Addresses and the machine's limits need a restart.
func (t *configUpdater) run(ctx context.Context, hups <-chan os.Signal, moves chan<- string) {
	for {
		var requested <-chan struct{}
		if t.audit != nil {
			requested = t.audit.rereadConfig
		}
		select {
		case <-hups:
		case <-requested:
			t.pollDistributors(false)
			if !t.differs(os.Getenv) {
				continue // the audit asks again for as long as its order is in force
			}
		case <-ctx.Done():
			return
		}
		cfg, err := t.reload(os.Getenv)
		if err != nil {
			t.log.Error().Err(err).Msg("the new configuration is not taken")
			continue
		}
		t.pollDistributors(true) // what was rejected with the former file may be valid with this one
		t.log.Info().Str("discovery", cfg.Discovery).Stringer("published", t.publishedEdition()).
			Strs("classes", cfg.Settings.ClassNames).Int("attempts", cfg.Settings.MaxAttempts).
			Msg("configuration read again")
		select {
		case moves <- cfg.Discovery:
		case <-ctx.Done():
			return
		}
	}
}

// reload reads the configuration and applies its settings, completely or, with an error, not at all. Published ones stay in
// force.
func (t *configUpdater) reload(getenv func(string) string) (*config.Config, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	cfg, err := config.Reload(getenv, t.cfg)
	if err == nil && t.published != nil {
		cfg, err = cfg.WithSettings(t.published.Settings)
	}
	if err != nil {
		return nil, err
	}
	return t.apply(cfg, "file")
}

// apply applies settings, completely or, with an error, not at all, and returns the configuration as it was read. The engine
// goes first, for it has to know a class before a request of that class comes. The caller holds mu.
func (t *configUpdater) apply(cfg *config.Config, from string) (*config.Config, error) {
	if err := t.operator.CheckAgainst(cfg); err != nil {
		return nil, err
	}
	after, err := cfg.Settings.Renumbered(&t.cfg.Settings)
	if err != nil {
		return nil, err
	}
	after.Name = t.cfg.Settings.Name // endpoints are chosen by it: it is the same for as long as the process runs
	asRead := *cfg
	t.audit.changeSettings(&asRead, from, func(versionID uint32) { err = t.engine.UpdateSettings(after.Settings, versionID) })
	if err != nil {
		t.audit.changeSettings(t.cfg, from, t.engine.SetVersion)
		return nil, err
	}
	t.table.UpdateNames(after.ZoneNames, after.KindNames)
	t.pool.SetTimeouts(after.ConnectTimeout, after.ConnIdle)
	t.pool.SetHandshakeLimit(handshakeLimit(t.operator.Fleet, &after))
	t.side.UpdateSettings(&after)
	if t.budget != nil {
		t.budget.UpdateTargets(targetLatencies(&after))
	}
	if t.recorder != nil { // before the first stream of a new class can end
		t.recorder.SetConfig(&asRead)
	}
	for _, reclass := range t.onClassesChanged {
		reclass(&after)
	}
	cfg.Settings = after
	t.cfg = cfg
	return &asRead, nil
}

// differs reports whether the settings in the file are not those in force, or can't be read, in which case reload logs why.
// Published settings are not compared with the file's.
func (t *configUpdater) differs(getenv func(string) string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.published != nil {
		return false
	}
	cfg, err := config.Reload(getenv, t.cfg)
	return err != nil || cfg.RawSettings != t.cfg.RawSettings
}
