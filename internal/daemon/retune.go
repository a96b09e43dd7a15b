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

// tuning has a configuration that is read again take effect.
type configUpdater struct {
	operator      *config.Operator
	engine     *driver.Engine
	pool    *upstream.Pool
	side    *downstream.Side
	table   *cluster.Table
	budget  *stream.Budget           // nil: none
	recorder     *accesslog.Recorder      // nil: none
	audit *auditAgent                 // nil: nobody audits
	watch   *settingsclient.Watch    // of published settings; nil: none
	onClassesChanged []func(*config.Settings) // the fronts
	log     zerolog.Logger

	mu        sync.Mutex
	cfg       *config.Config       // in force, its classes by the numbers that they have here
	published *settingsstore.State // whose settings these are; nil: the file's
}

// classes are the names of the classes, by number.
func (t *configUpdater) classNames() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.cfg.Settings.ClassNames
}

func targetLatencies(set *config.Settings) (out []time.Duration) {
	for _, c := range set.Classes {
		out = append(out, c.Aim)
	}
	return out
}

// follow reads the configuration again at each SIGHUP, and when a floor wants it, until ctx ends, and hands on where discovery is then. One that
// can't be used changes nothing. Addresses and the machine's limits take a restart.
func (t *configUpdater) run(ctx context.Context, hups <-chan os.Signal, moves chan<- string) {
	for {
		var floor <-chan struct{}
		if t.audit != nil {
			floor = t.audit.rereadConfig
		}
		select {
		case <-hups:
		case <-floor:
			t.pollDistributors(false)
			if !t.differs(os.Getenv) {
				continue // it will be looked at again while the floor is in force
			}
		case <-ctx.Done():
			return
		}
		cfg, err := t.reload(os.Getenv)
		if err != nil {
			t.log.Error().Err(err).Msg("the new configuration is not taken")
			continue
		}
		t.pollDistributors(true) // what was refused beside the former file may be right beside this one
		t.log.Info().Str("discovery", cfg.Discovery).Stringer("published", t.publishedEdition()).Strs("classes", cfg.Settings.ClassNames).Int("attempts", cfg.Settings.MaxAttempts).
			Msg("configuration read again")
		select {
		case moves <- cfg.Discovery:
		case <-ctx.Done():
			return
		}
	}
}

// retune reads the configuration and has its settings take effect, whole or not at all. Published ones stay in force.
func (t *configUpdater) reload(getenv func(string) string) (*config.Config, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	cfg, err := config.Reload(getenv, t.cfg)
	if err == nil && t.published != nil {
		cfg, err = cfg.With(t.published.Settings)
	}
	if err != nil {
		return nil, err
	}
	return t.apply(cfg, "file")
}

// adopt has settings take effect, whole or not at all, and returns the configuration with the classes as it has them: the decisions
// go first, for they have to know a class before a request of it comes.
func (t *configUpdater) apply(cfg *config.Config, from string) (*config.Config, error) {
	if err := t.operator.Fits(cfg); err != nil {
		return nil, err
	}
	after, err := cfg.Settings.After(&t.cfg.Settings)
	if err != nil {
		return nil, err
	}
	after.Name = t.cfg.Settings.Name // by which hosts are chosen: the same for as long as the process runs
	told := *cfg
	if t.audit.changeSettings(&told, from, func(under uint32) { err = t.engine.Retune(after.Settings, under) }); err != nil {
		t.audit.changeSettings(t.cfg, from, t.engine.Adopt)
		return nil, err
	}
	t.table.Retune(after.ZoneNames, after.KindNames)
	t.pool.Retune(after.ConnectTimeout, after.ConnIdle)
	t.pool.Guard(handshakeLimit(t.operator.Fleet, &after))
	t.side.Retune(&after)
	if t.budget != nil {
		t.budget.Retune(targetLatencies(&after))
	}
	if t.recorder != nil { // before the first stream of a new class can end
		t.recorder.Retune(&told)
	}
	for _, reclass := range t.onClassesChanged {
		reclass(&after)
	}
	cfg.Settings = after
	t.cfg = cfg
	return &told, nil
}

// differs tells whether the settings that are there to be read are not those in force; a file that can't be used is told of.
// Published ones are not the file's to differ from.
func (t *configUpdater) differs(getenv func(string) string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.published != nil {
		return false
	}
	cfg, err := config.Reload(getenv, t.cfg)
	return err != nil || cfg.Site != t.cfg.Site
}
