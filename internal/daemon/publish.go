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

// distributorTimeout is how long a start waits for distributors, after which the file's settings have to do until they answer.
const distributorTimeout = 300 * time.Millisecond

// watched starts to follow published settings until ctx ends, where the operator's file asks for that. Those that the former process
// has in force are until then: the order that clients see must not go back with an upgrade. What it returns is closed as soon as
// distributors have been heard, or are no longer waited for.
func (t *configUpdater) watchPublished(ctx context.Context, from *config.Distributed, former []byte) <-chan struct{} {
	settled := make(chan struct{})
	done := sync.OnceFunc(func() { close(settled) })
	if from == nil {
		done()
		return settled
	}
	t.watch = &settingsclient.Watch{Service: from.Service, Name: cmp.Or(t.cfg.Name, t.cfg.Listen), From: from.From, Log: t.log, Take: t.applyPublished,
		Rand: rand.New(rand.NewPCG(t.cfg.Seed^rand.Uint64(), settingsStream))}
	if former != nil {
		t.applyInherited(former)
	}
	late := time.AfterFunc(distributorTimeout, func() {
		t.log.Warn().Str("service", from.Service).Stringer("in_force", t.publishedEdition()).Msg("no distributor has answered; what is in force stays")
		done()
	})
	go t.watch.Run(ctx, func() {
		late.Stop()
		done()
	})
	return settled
}

// succeeds has the settings be in force that the former process had, if they are of the same service and can be used here.
func (t *configUpdater) applyInherited(former []byte) {
	s, err := settingsstore.Parse(former)
	if err == nil && s.Service != t.watch.Service {
		err = settingsstore.OtherService{Told: s.Service, Asked: t.watch.Service}
	}
	if err == nil {
		err = t.applyPublished(s)
	}
	if err != nil {
		t.log.Error().Err(err).Msg("the former process's settings are not taken")
		return
	}
	t.watch.Has = s.Edition
	t.log.Info().Stringer("in_force", s.Edition).Msg("the former process's settings are in force")
}

// publish has settings of a distributor take the place of those in force, whole or not at all.
func (t *configUpdater) applyPublished(s settingsstore.State) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	cfg, err := t.cfg.Published(s.Settings)
	if err == nil {
		_, err = t.apply(cfg, "distributor")
	}
	if err == nil {
		t.published = &s
	}
	return err
}

// ask has distributors be asked at once, if settings come from such; retry has them tell again what was refused.
func (t *configUpdater) pollDistributors(retry bool) {
	if t.watch != nil {
		t.watch.Ask(retry)
	}
}

// edition is that of the published settings that are in force; none: they are the file's.
func (t *configUpdater) publishedEdition() version.Edition {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.published == nil {
		return version.Edition{}
	}
	return t.published.Edition
}

// handed are the published settings that are in force, for a successor; nil: there are none.
func (t *configUpdater) encodePublished() []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.published == nil {
		return nil
	}
	return settingsstore.Encode(*t.published)
}
