package settingsserver

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"pinelb.example/pinelb/internal/settingsstore"
)

const (
	peerWait   = 2 * time.Second        // that a watch of a peer waits for news
	peerWithin = time.Second            // beyond that it is silent: lost
	peerGap    = 20 * time.Millisecond  // between two calls: changes that come faster are told together
	peerAgain  = 500 * time.Millisecond // after a failure
	startAgain = 250 * time.Millisecond // while one of the two is starting
	whyMost    = 1 << 10                // bytes of a refusal that are read
)

// peer is the watch of one of the other distributors.
type peer struct {
	d    *Distributor
	addr string
	http *http.Client
	life string
	at   uint64
}

// follow watches a peer, and merges what it tells, until ctx ends.
func (d *Distributor) follow(ctx context.Context, addr string) {
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: peerWithin}).DialContext, MaxConnsPerHost: 1, DisableCompression: true,
		MaxResponseHeaderBytes: headMost, IdleConnTimeout: idleWithin}
	defer transport.CloseIdleConnections()
	p := &peer{d: d, addr: addr, http: &http.Client{Transport: transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}}
	lost := false
	for {
		again, err := p.call(ctx)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			again = peerAgain
			d.mu.Lock()
			d.store.PeerLost(addr)
			d.mu.Unlock()
		}
		if (err != nil) != lost {
			lost = err != nil
			d.log.Warn().Str("peer", addr).Bool("lost", lost).Err(err).Msg("another distributor")
		}
		pause := time.NewTimer(again)
		select {
		case <-pause.C:
		case <-ctx.Done():
			pause.Stop()
			return
		}
	}
}

// call asks once, and returns when to ask again.
func (p *peer) call(ctx context.Context) (again time.Duration, err error) {
	d := p.d
	d.mu.Lock()
	starting := d.store.Starting()
	d.mu.Unlock()
	wait := peerWait
	if starting { // nothing new is an answer too
		wait = 0
	}
	news, err := p.ask(ctx, wait)
	if err != nil {
		return 0, err
	}
	if news != nil {
		for _, r := range news.Records {
			if err := d.merge(r); err != nil { // there is no room for this service; the others are not to suffer from it
				d.log.Error().Str("peer", p.addr).Str("service", r.Service).Err(err).Msg("settings not taken")
			}
		}
		p.life, p.at = news.Life, news.At
		if news.More {
			return 0, nil
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.answer(d.store.PeerTold(p.addr, news != nil && news.Starting))
	if starting && !d.store.Starting() {
		d.log.Info().Int("services", len(d.store.Services())).Msg("distributor has all settings")
	}
	if starting || news != nil && news.Starting {
		return startAgain, nil
	}
	return peerGap, nil
}

// ask makes one call; nil is nothing new.
func (p *peer) ask(ctx context.Context, wait time.Duration) (*settingsstore.News, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+peerWithin)
	defer cancel()
	q := settingsstore.PeerQuestion{Life: p.life, Since: p.at, Name: p.d.cfg.Name, Wait: settingsstore.Millis(wait.Milliseconds())}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.addr+q.Target(), nil)
	if err != nil {
		return nil, fmt.Errorf("distributor: %w", err)
	}
	res, err := p.http.Do(req)
	if err != nil {
		return nil, fmt.Errorf("distributor: %w", err)
	}
	defer res.Body.Close()
	switch res.StatusCode {
	case http.StatusNoContent:
		return nil, nil
	case http.StatusOK:
	default:
		why, _ := io.ReadAll(io.LimitReader(res.Body, whyMost))
		return nil, fmt.Errorf("distributor: is answered %s: %s", res.Status, why)
	}
	text, err := io.ReadAll(io.LimitReader(res.Body, settingsstore.NewsMost+1))
	if err != nil {
		return nil, fmt.Errorf("distributor: the answer is cut off: %w", err)
	}
	news, err := settingsstore.ParseNews(text)
	if err == nil && news.Name == p.d.cfg.Name {
		return nil, errors.New("distributor: it has this distributor's name, and editions are told apart by that")
	}
	return news, err
}
