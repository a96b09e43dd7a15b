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
	maxIdleConnections    = 32 // to each address
	idleTimeout           = 30 * time.Second
)

// Options are a client's settings. The zero value has the defaults.
type Options struct {
	// AttemptTimeout is how long an address may be silent before the next one is asked. Default: 1 s.
	AttemptTimeout time.Duration
	// History is how long a put without a clear answer is repeated. It has to be below the fleet's bounds.historyS: the service recognizes a
	// put that comes again for that long. Default: 15 s.
	History time.Duration
	// WatchWait is how long one call of a watch waits for puts; the service answers after a minute at most. Default: 10 s.
	WatchWait time.Duration
	// Transport makes the connections. Default: one of the client's own, which Close closes.
	Transport http.RoundTripper
}

// Client calls the coordination service. Its methods may be called by any goroutine.
type Client struct {
	options   Options
	addresses []string
	http      http.Client
	transport *http.Transport // the client's own; nil: Options.Transport

	mu        sync.Mutex
	preferred int         // index of the address that is asked first
	notBefore []time.Time // by address: when it may be asked again
}

// New returns a client of the fleet whose routers have these control addresses (host:port). Nothing is sent yet. Addresses are asked in the
// order given: give the nearest first.
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
			MaxIdleConnsPerHost: maxIdleConnections,
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

// Close closes connections that are not in use. Release locks first.
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
