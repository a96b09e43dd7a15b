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
type stubFollowers struct {
	*applyLog
	seed        uint64
	distributors        []string
	calls       atomic.Int64
	bytes       atomic.Int64 // both ways, without the heads of TCP
	connections atomic.Int64
	partitioned       *atomic.Bool // regions don't reach one another

	cancel     context.CancelFunc
	running sync.WaitGroup
}

// startStubs starts n of them in the same moment.
func startStubs(n int, seed uint64, from []string, apart *atomic.Bool) *stubFollowers {
	h := &stubFollowers{applyLog: newApplyLog(n), seed: seed, distributors: from, partitioned: apart}
	ctx, end := context.WithCancel(context.Background())
	h.cancel = end
	for i := range n {
		w := &settingsclient.Watch{Service: Service, Name: fmt.Sprintf("hollow-%d", i), From: from, Log: zerolog.New(io.Discard),
			Rand: rand.New(rand.NewPCG(seed, uint64(i))),
			Take: func(s settingsstore.State) error {
				h.record(i, s.Edition)
				return nil
			},
			Dial: func(ctx context.Context, network, addr string) (net.Conn, error) {
				return h.dial(ctx, network, addr, regionOf(i))
			}}
		h.running.Go(func() { w.Run(ctx, func() {}) })
	}
	return h
}

func (h *stubFollowers) stop() {
	h.cancel()
	h.running.Wait()
}

// dial connects a follower of that region.
func (h *stubFollowers) dial(ctx context.Context, network, addr string, region int) (net.Conn, error) {
	abroad := false
	for i, at := range h.distributors {
		abroad = abroad || at == addr && regionOf(i) != region
	}
	if abroad && h.partitioned.Load() {
		<-ctx.Done() // nobody answers
		return nil, context.DeadlineExceeded
	}
	c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	h.connections.Add(1)
	return &countingConn{c, h, abroad}, nil
}

// counted is a connection whose calls and bytes are counted, and that carries nothing while regions are apart.
type countingConn struct {
	net.Conn
	stubs      *stubFollowers
	remote bool
}

func (c *countingConn) isCut() bool { return c.remote && c.stubs.partitioned.Load() }

func (c *countingConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.isCut() {
			c.stubs.bytes.Add(int64(n))
			return n, err
		}
	}
}

func (c *countingConn) Write(b []byte) (int, error) {
	if c.isCut() {
		return len(b), nil
	}
	c.stubs.calls.Add(1)
	c.stubs.bytes.Add(int64(len(b)))
	return c.Conn.Write(b)
}

// usage is what followers have used up to now.
type usage struct {
	at    time.Time
	calls int64
	bytes int64
	cpu   []time.Duration // of distributors
	labCPU   time.Duration   // of this process
}
