package settingsbench

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"

	"github.com/rs/zerolog"

	"pinelb.example/pinelb/internal/settingsclient"
	"pinelb.example/pinelb/internal/settingsstore"
)

// stubFollowers follow the distributors by internal/settingsclient without a sidecar, and accept whatever is published. What they
// leave out is measured at the sidecars: reading and checking the settings, and applying them.
type stubFollowers struct {
	*applyLog
	seed         uint64
	distributors []string
	calls        atomic.Int64
	bytes        atomic.Int64 // both ways, without the overhead of TCP
	connections  atomic.Int64
	partitioned  *atomic.Bool // regions cannot reach each other

	cancel  context.CancelFunc
	running sync.WaitGroup
}

// startStubs starts n followers at the same moment.
func startStubs(n int, seed uint64, distributors []string, partitioned *atomic.Bool) *stubFollowers {
	s := &stubFollowers{applyLog: newApplyLog(n), seed: seed, distributors: distributors, partitioned: partitioned}
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	for i := range n {
		w := &settingsclient.Client{Service: Service, Name: fmt.Sprintf("hollow-%d", i), Distributors: distributors, Log: zerolog.New(io.Discard),
			Rand: rand.New(rand.NewPCG(seed, uint64(i))),
			Apply: func(state settingsstore.State) error {
				s.record(i, state.Edition)
				return nil
			},
			Dial: func(ctx context.Context, network, addr string) (net.Conn, error) {
				return s.dial(ctx, network, addr, regionOf(i))
			}}
		s.running.Go(func() { w.Run(ctx, func() {}) })
	}
	return s
}

// stop stops all followers and waits for them.
func (s *stubFollowers) stop() {
	s.cancel()
	s.running.Wait()
}

// dial connects a follower of a region.
func (s *stubFollowers) dial(ctx context.Context, network, addr string, region int) (net.Conn, error) {
	remote := false
	for i, distributor := range s.distributors {
		remote = remote || distributor == addr && regionOf(i) != region
	}
	if remote && s.partitioned.Load() {
		<-ctx.Done() // as without an answer
		return nil, context.DeadlineExceeded
	}
	c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	s.connections.Add(1)
	return &countingConn{c, s, remote}, nil
}

// countingConn counts calls and bytes, and drops them during a partition if it is to another region.
type countingConn struct {
	net.Conn
	stubs  *stubFollowers
	remote bool
}

// isCut reports whether the connection is partitioned.
func (c *countingConn) isCut() bool { return c.remote && c.stubs.partitioned.Load() }

// Read implements net.Conn.
func (c *countingConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.isCut() {
			c.stubs.bytes.Add(int64(n))
			return n, err
		}
	}
}

// Write implements net.Conn.
func (c *countingConn) Write(b []byte) (int, error) {
	if c.isCut() {
		return len(b), nil
	}
	c.stubs.calls.Add(1)
	c.stubs.bytes.Add(int64(len(b)))
	return c.Conn.Write(b)
}
