package daemon

import (
	"cmp"
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"pinelb.example/pinelb/internal/config"
	"pinelb.example/pinelb/internal/settingsclient"
	"pinelb.example/pinelb/internal/settingsstore"
	"pinelb.example/pinelb/internal/version"
)

// distributorTimeout is how long a start waits for distributors, after which the settings in force have to do until one
// answers.
const distributorTimeout = 300 * time.Millisecond

// watchPublished starts to follow published settings until ctx is done, if the operator's file names distributors. The
// predecessor's settings, inherited, apply first: an upgrade must not take clients back to older ones. The returned channel is
// closed as soon as a distributor has answered, or distributorTimeout is over.
func (t *configUpdater) watchPublished(ctx context.Context, options *config.SettingsSource, inherited []byte) <-chan struct{} {
	settled := make(chan struct{})
	done := sync.OnceFunc(func() { close(settled) })
	if options == nil {
		done()
		return settled
	}
	t.watch = &settingsclient.Client{
		Service:      options.Service,
		Name:         cmp.Or(t.cfg.Name, t.cfg.Listen),
		Distributors: options.Distributors,
		Log:          t.log,
		Apply:        t.applyPublished,
		Rand:         rand.New(rand.NewPCG(t.cfg.Seed^rand.Uint64(), settingsStream)),
	}
	if inherited != nil {
		t.applyInherited(inherited)
	}
	timeout := time.AfterFunc(distributorTimeout, func() {
		t.log.Warn().Str("service", options.Service).Stringer("in_force", t.publishedEdition()).Msg("no distributor has answered; what is in force stays")
		done()
	})
	go t.watch.Run(ctx, func() {
		timeout.Stop()
		done()
	})
	return settled
}

// applyInherited applies the predecessor's published settings, if they are of the same service and valid here.
func (t *configUpdater) applyInherited(inherited []byte) {
	s, err := settingsstore.Parse(inherited)
	if err == nil && s.Service != t.watch.Service {
		err = settingsstore.WrongServiceError{Got: s.Service, Want: t.watch.Service}
	}
	if err == nil {
		err = t.applyPublished(s)
	}
	if err != nil {
		t.log.Error().Err(err).Msg("the former process's settings are not taken")
		return
	}
	t.watch.InForce = s.Edition
	t.log.Info().Stringer("in_force", s.Edition).Msg("the former process's settings are in force")
}

// applyPublished replaces the settings in force by a distributor's, completely or, with an error, not at all.
func (t *configUpdater) applyPublished(s settingsstore.State) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	cfg, err := t.cfg.WithPublished(s.Settings)
	if err == nil {
		_, err = t.apply(cfg, "distributor")
	}
	if err == nil {
		t.published = &s
	}
	return err
}

// pollDistributors asks distributors at once, if settings come from such. With retry, they send again what was rejected here.
func (t *configUpdater) pollDistributors(retry bool) {
	if t.watch != nil {
		t.watch.Poll(retry)
	}
}

// publishedEdition returns the edition of the published settings in force; zero: the file's are in force.
func (t *configUpdater) publishedEdition() version.Edition {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.published == nil {
		return version.Edition{}
	}
	return t.published.Edition
}

// encodePublished returns the published settings in force, for a successor; nil: there are none.
func (t *configUpdater) encodePublished() []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.published == nil {
		return nil
	}
	return settingsstore.Encode(*t.published)
}
