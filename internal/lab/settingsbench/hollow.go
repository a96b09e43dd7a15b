package settingsbench

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"pinelb.example/pinelb/internal/settingsclient"
	"pinelb.example/pinelb/internal/settingsstore"
)

// hollow are followers that take whatever is published: internal/settingsclient without a sidecar around it. What they leave out is in the
// real ones: reading and checking the settings, and having them take effect.
type hollow struct {
	*stamps
	seed        uint64
	from        []string
	calls       atomic.Int64
	bytes       atomic.Int64 // both ways, without the heads of TCP
	connections atomic.Int64
	apart       *atomic.Bool // regions don't reach one another

	end     context.CancelFunc
	running sync.WaitGroup
}

// startHollow starts n of them in the same moment.
func startHollow(n int, seed uint64, from []string, apart *atomic.Bool) *hollow {
	h := &hollow{stamps: newStamps(n), seed: seed, from: from, apart: apart}
	ctx, end := context.WithCancel(context.Background())
	h.end = end
	for i := range n {
		w := &settingsclient.Client{Service: Service, Name: fmt.Sprintf("hollow-%d", i), Distributors: from, Log: zerolog.New(io.Discard),
			Rand: rand.New(rand.NewPCG(seed, uint64(i))),
			Apply: func(s settingsstore.State) error {
				h.note(i, s.Edition)
				return nil
			},
			Dial: func(ctx context.Context, network, addr string) (net.Conn, error) {
				return h.dial(ctx, network, addr, regionOf(i))
			}}
		h.running.Go(func() { w.Run(ctx, func() {}) })
	}
	return h
}

func (h *hollow) stop() {
	h.end()
	h.running.Wait()
}

// dial connects a follower of that region.
func (h *hollow) dial(ctx context.Context, network, addr string, region int) (net.Conn, error) {
	abroad := false
	for i, at := range h.from {
		abroad = abroad || at == addr && regionOf(i) != region
	}
	if abroad && h.apart.Load() {
		<-ctx.Done() // nobody answers
		return nil, context.DeadlineExceeded
	}
	c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	h.connections.Add(1)
	return &counted{c, h, abroad}, nil
}

// counted is a connection whose calls and bytes are counted, and that carries nothing while regions are apart.
type counted struct {
	net.Conn
	h      *hollow
	abroad bool
}

func (c *counted) cut() bool { return c.abroad && c.h.apart.Load() }

func (c *counted) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.cut() {
			c.h.bytes.Add(int64(n))
			return n, err
		}
	}
}

func (c *counted) Write(b []byte) (int, error) {
	if c.cut() {
		return len(b), nil
	}
	c.h.calls.Add(1)
	c.h.bytes.Add(int64(len(b)))
	return c.Conn.Write(b)
}

// usage is what followers have used up to now.
type usage struct {
	at    time.Time
	calls int64
	bytes int64
	cpu   []time.Duration // of distributors
	own   time.Duration   // of this process
}
