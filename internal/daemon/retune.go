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
type tuning struct {
	op      *config.Operator
	eng     *driver.Driver
	pool    *upstream.Pool
	side    *downstream.Manager
	table   *cluster.Table
	budget  *stream.Budget           // nil: none
	rec     *accesslog.Recorder      // nil: none
	audited *audited                 // nil: nobody audits
	watch   *settingsclient.Watch    // of published settings; nil: none
	reclass []func(*config.Settings) // the fronts
	log     zerolog.Logger

	mu        sync.Mutex
	cfg       *config.Config       // in force, its classes by the numbers that they have here
	published *settingsstore.State // whose settings these are; nil: the file's
}

// classes are the names of the classes, by number.
func (t *tuning) classes() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.cfg.Settings.ClassNames
}

func aims(set *config.Settings) (out []time.Duration) {
	for _, c := range set.Classes {
		out = append(out, c.TargetLatency)
	}
	return out
}

// follow reads the configuration again at each SIGHUP, and when a floor wants it, until ctx ends, and hands on where discovery is then. One that
// can't be used changes nothing. Addresses and the machine's limits take a restart.
func (t *tuning) follow(ctx context.Context, hups <-chan os.Signal, moves chan<- string) {
	for {
		var floor <-chan struct{}
		if t.audited != nil {
			floor = t.audited.reread
		}
		select {
		case <-hups:
		case <-floor:
			t.ask(false)
			if !t.differs(os.Getenv) {
				continue // it will be looked at again while the floor is in force
			}
		case <-ctx.Done():
			return
		}
		cfg, err := t.retune(os.Getenv)
		if err != nil {
			t.log.Error().Err(err).Msg("the new configuration is not taken")
			continue
		}
		t.ask(true) // what was refused beside the former file may be right beside this one
		t.log.Info().Str("discovery", cfg.Discovery).Stringer("published", t.edition()).Strs("classes", cfg.Settings.ClassNames).Int("attempts", cfg.Settings.MaxAttempts).
			Msg("configuration read again")
		select {
		case moves <- cfg.Discovery:
		case <-ctx.Done():
			return
		}
	}
}

// retune reads the configuration and has its settings take effect, whole or not at all. Published ones stay in force.
func (t *tuning) retune(getenv func(string) string) (*config.Config, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	cfg, err := config.Reload(getenv, t.cfg)
	if err == nil && t.published != nil {
		cfg, err = cfg.With(t.published.Settings)
	}
	if err != nil {
		return nil, err
	}
	return t.adopt(cfg, "file")
}

// adopt has settings take effect, whole or not at all, and returns the configuration with the classes as it has them: the decisions
// go first, for they have to know a class before a request of it comes.
func (t *tuning) adopt(cfg *config.Config, from string) (*config.Config, error) {
	if err := t.op.Fits(cfg); err != nil {
		return nil, err
	}
	after, err := cfg.Settings.After(&t.cfg.Settings)
	if err != nil {
		return nil, err
	}
	after.Name = t.cfg.Settings.Name // by which hosts are chosen: the same for as long as the process runs
	told := *cfg
	if t.audited.settings(&told, from, func(under uint32) { err = t.eng.UpdateSettings(after.Settings, under) }); err != nil {
		t.audited.settings(t.cfg, from, t.eng.SetVersion)
		return nil, err
	}
	t.table.UpdateNames(after.ZoneNames, after.KindNames)
	t.pool.SetTimeouts(after.ConnectTimeout, after.ConnIdle)
	t.pool.SetHandshakeLimit(handshakeLimit(t.op.Fleet, &after))
	t.side.UpdateSettings(&after)
	if t.budget != nil {
		t.budget.UpdateTargets(aims(&after))
	}
	if t.rec != nil { // before the first stream of a new class can end
		t.rec.Retune(&told)
	}
	for _, reclass := range t.reclass {
		reclass(&after)
	}
	cfg.Settings = after
	t.cfg = cfg
	return &told, nil
}

// differs tells whether the settings that are there to be read are not those in force; a file that can't be used is told of.
// Published ones are not the file's to differ from.
func (t *tuning) differs(getenv func(string) string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.published != nil {
		return false
	}
	cfg, err := config.Reload(getenv, t.cfg)
	return err != nil || cfg.Site != t.cfg.Site
}
