package client

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	defaultAttemptTimeout = time.Second
	defaultHistory        = 15 * time.Second
	defaultWatchWait      = 10 * time.Second
	maxIdlePerAddress     = 32 // connections
	idleTimeout           = 30 * time.Second
)

// Options configures a Client. Zero fields have the defaults.
type Options struct {
	// AttemptTimeout is how long the client waits for a response of one address before it tries the next one. Default: 1 s.
	AttemptTimeout time.Duration
	// History is how long a put is retried after an attempt with an unclear outcome. It must be below the fleet's setting bounds.historyS,
	// which is how long the service recognises a repeated put. Default: 15 s.
	History time.Duration
	// WatchWait is how long one call of a Watcher waits for puts. The service answers after one minute at the latest. Default: 10 s.
	WatchWait time.Duration
	// Transport sends the requests. Default: a transport of the client's own, whose idle connections Close closes.
	Transport http.RoundTripper
}

// Client calls the coordination service. It is safe for concurrent use.
type Client struct {
	options   Options
	addresses []string
	http      http.Client
	transport *http.Transport // the client's own transport; nil: Options.Transport is used

	mu        sync.Mutex
	preferred int         // index of the address for the first attempt of a call
	notBefore []time.Time // by address: the earliest time of the next attempt
}

// New returns a client of a fleet whose routers have the given control addresses (host:port). It opens no connection. Attempts are made at
// the addresses in the given order, so put the nearest address first.
func New(addresses []string, options Options) (*Client, error) {
	if len(addresses) == 0 {
		return nil, errors.New("client: no address")
	}
	for _, address := range addresses {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return nil, fmt.Errorf("client: %w", err)
		}
	}
	setDefault(&options.AttemptTimeout, defaultAttemptTimeout)
	setDefault(&options.History, defaultHistory)
	setDefault(&options.WatchWait, defaultWatchWait)
	c := &Client{options: options, addresses: slices.Clone(addresses), notBefore: make([]time.Time, len(addresses))}
	if options.Transport == nil {
		c.transport = &http.Transport{
			DialContext:         (&net.Dialer{Timeout: options.AttemptTimeout}).DialContext,
			MaxIdleConnsPerHost: maxIdlePerAddress,
			IdleConnTimeout:     idleTimeout,
		}
		options.Transport = c.transport
	}
	c.http = http.Client{
		Transport:     options.Transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return c, nil
}

// Close closes idle connections of the client's own transport. Release locks before.
func (c *Client) Close() {
	if c.transport != nil {
		c.transport.CloseIdleConnections()
	}
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}
