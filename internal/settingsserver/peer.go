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
	peerWait            = 2 * time.Second        // of a long poll
	peerTimeout         = time.Second            // beyond peerWait, after which the peer is lost
	peerInterval        = 20 * time.Millisecond  // between two polls: changes that come faster are sent together
	peerRetryInterval   = 500 * time.Millisecond // after a poll has failed
	startupPeerInterval = 250 * time.Millisecond // between two polls while one of the two is starting
	maxErrorBytes       = 1 << 10                // of an error's body that are read
)

// peer follows one of the other distributors.
type peer struct {
	d           *Distributor
	addr        string
	client      *http.Client
	incarnation string
	sequence    uint64
}

// followPeer polls a peer and merges its updates until ctx is done.
func (d *Distributor) followPeer(ctx context.Context, addr string) {
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: peerTimeout}).DialContext, MaxConnsPerHost: 1, DisableCompression: true,
		MaxResponseHeaderBytes: maxHeaderBytes, IdleConnTimeout: idleTimeout}
	defer transport.CloseIdleConnections()
	p := &peer{d: d, addr: addr, client: &http.Client{Transport: transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}}
	lost := false
	for {
		delay, err := p.poll(ctx)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			delay = peerRetryInterval
			d.mu.Lock()
			d.store.PeerLost(addr)
			d.mu.Unlock()
		}
		if (err != nil) != lost {
			lost = err != nil
			d.log.Warn().Str("peer", addr).Bool("lost", lost).Err(err).Msg("another distributor")
		}
		pause := time.NewTimer(delay)
		select {
		case <-pause.C:
		case <-ctx.Done():
			pause.Stop()
			return
		}
	}
}

// poll makes one poll, and returns how long to wait until the next.
func (p *peer) poll(ctx context.Context) (delay time.Duration, err error) {
	d := p.d
	d.mu.Lock()
	starting := d.store.Starting()
	d.mu.Unlock()
	wait := peerWait
	if starting { // an answer without updates tells something, too
		wait = 0
	}
	update, err := p.request(ctx, wait)
	if err != nil {
		return 0, err
	}
	if update != nil {
		for _, r := range update.Records {
			if err := d.merge(r); err != nil { // there are too many services; the update's other records are merged nonetheless
				d.log.Error().Str("peer", p.addr).Str("service", r.Service).Err(err).Msg("settings not taken")
			}
		}
		p.incarnation, p.sequence = update.Incarnation, update.Sequence
		if update.More {
			return 0, nil
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.wakeWatches(d.store.PeerSynced(p.addr, update != nil && update.Starting))
	if starting && !d.store.Starting() {
		d.log.Info().Int("services", len(d.store.Services())).Msg("distributor has all settings")
	}
	if starting || update != nil && update.Starting {
		return startupPeerInterval, nil
	}
	return peerInterval, nil
}

// request sends one request; a nil update is nothing new.
func (p *peer) request(ctx context.Context, wait time.Duration) (*settingsstore.Update, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+peerTimeout)
	defer cancel()
	q := settingsstore.PeerRequest{Incarnation: p.incarnation, Since: p.sequence, Name: p.d.cfg.Name, Wait: settingsstore.Millis(wait.Milliseconds())}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.addr+q.Target(), nil)
	if err != nil {
		return nil, fmt.Errorf("distributor: %w", err)
	}
	res, err := p.client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("distributor: %w", err)
	}
	defer func() { _ = res.Body.Close() }()
	switch res.StatusCode {
	case http.StatusNoContent:
		return nil, nil
	case http.StatusOK:
	default:
		why, _ := io.ReadAll(io.LimitReader(res.Body, maxErrorBytes))
		return nil, fmt.Errorf("distributor: is answered %s: %s", res.Status, why)
	}
	text, err := io.ReadAll(io.LimitReader(res.Body, settingsstore.MaxUpdateBytes+1))
	if err != nil {
		return nil, fmt.Errorf("distributor: the answer is cut off: %w", err)
	}
	update, err := settingsstore.ParseUpdate(text)
	if err == nil && update.Name == p.d.cfg.Name {
		return nil, errors.New("distributor: it has this distributor's name, and editions are told apart by that")
	}
	return update, err
}
