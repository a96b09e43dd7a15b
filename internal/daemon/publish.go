package daemon

import (
	"cmp"
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"pinelb.example/pinelb/internal/config"
	"pinelb.example/pinelb/internal/distribute"
	"pinelb.example/pinelb/internal/follow"
)

// settleWithin is how long a start waits for distributors, after which the file's settings have to do until they answer.
const settleWithin = 300 * time.Millisecond

// watched starts to follow published settings until ctx ends, where the operator's file asks for that. What it returns is closed
// as soon as distributors have been heard, or are no longer waited for.
func (t *tuning) watched(ctx context.Context, from *config.Distributed) <-chan struct{} {
	settled := make(chan struct{})
	done := sync.OnceFunc(func() { close(settled) })
	if from == nil {
		done()
		return settled
	}
	t.watch = &follow.Watch{Service: from.Service, Name: cmp.Or(t.cfg.Name, t.cfg.Listen), From: from.From, Log: t.log, Take: t.publish,
		Rand: rand.New(rand.NewPCG(t.cfg.Seed^rand.Uint64(), settingsStream))}
	late := time.AfterFunc(settleWithin, func() {
		t.log.Warn().Str("service", from.Service).Msg("no distributor has answered; the file's settings are in force")
		done()
	})
	go t.watch.Run(ctx, func() {
		late.Stop()
		done()
	})
	return settled
}

// publish has settings of a distributor take the place of those in force, whole or not at all.
func (t *tuning) publish(s distribute.State) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	cfg, err := t.cfg.Published(s.Settings)
	if err == nil {
		_, err = t.adopt(cfg, "distributor")
	}
	if err == nil {
		t.published = s.Settings
	}
	return err
}

// ask has distributors be asked at once, if settings come from such; retry has them tell again what was refused.
func (t *tuning) ask(retry bool) {
	if t.watch != nil {
		t.watch.Ask(retry)
	}
}

func (t *tuning) isPublished() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.published != nil
}
