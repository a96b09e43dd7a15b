package crowds

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

// Sizes of the crowds.
const (
	crowdSize      = 240 // below what the router accepts of clients with routerDescriptors
	smallCrowdSize = 40  // of clients that each send megabytes
)

const (
	dialTimeout   = 2 * time.Second
	writeStall    = 3 * time.Second // a client that can send nothing for so long has sent what it can
	reconnectTime = 50 * time.Millisecond
	headBytes     = 1 << 20  // that a client tries to send of a head
	stalledBytes  = 60 << 10 // of a head that stays without an end
	holdTime      = 2 * time.Second
)

// behavior is what one client of a crowd sends. It returns once it can send no more; the connection stays open until the crowd leaves.
type behavior func(conn net.Conn, client int)

// crowd is clients of the same behavior that connect at once.
type crowd struct {
	address string
	size    int
	behave  behavior
}

// run lets the crowd connect and send, and returns once all have sent what they can. The crowd leaves when the test ends.
func (c crowd) run(t *testing.T) {
	t.Helper()
	var clients sync.WaitGroup
	for i := range c.size {
		clients.Go(func() {
			conn, err := net.DialTimeout("tcp", c.address, dialTimeout)
			if err != nil {
				return // the crowd may be shut out
			}
			t.Cleanup(func() { _ = conn.Close() })
			c.behave(conn, i)
		})
	}
	clients.Wait()
}

// runAgain lets the crowd connect, send, and connect again whenever it is shut out, to the test's end.
func (c crowd) runAgain(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var clients, connected sync.WaitGroup
	connected.Add(c.size)
	for i := range c.size {
		clients.Go(func() {
			first := sync.OnceFunc(connected.Done)
			for ctx.Err() == nil {
				c.visit(ctx, i, first)
				wait(ctx, reconnectTime)
			}
		})
	}
	t.Cleanup(func() {
		cancel()
		clients.Wait()
	})
	connected.Wait()
}

// visit is one connection of a client, until the other side or ctx ends it.
func (c crowd) visit(ctx context.Context, client int, connected func()) {
	defer connected()
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", c.address)
	if err != nil {
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	defer func() { _ = conn.Close() }()
	connected()
	c.behave(conn, client)
	_, _ = io.Copy(io.Discard, conn)
}

// testCrowd plays a crowd at a router of its own and checks it while the crowd is still connected.
func testCrowd(t *testing.T, size int, address func(*router) string, behave behavior) {
	t.Helper()
	r := startRouter(t)
	crowd{address: address(r), size: size, behave: behave}.run(t)
	time.Sleep(holdTime) // for what the router does after the last byte
	r.requireWithinLimits(t)
}

// testReconnectingCrowd plays a crowd that comes again whenever it is shut out.
func testReconnectingCrowd(t *testing.T, address func(*router) string, behave behavior) {
	t.Helper()
	r := startRouter(t)
	crowd{address: address(r), size: routerDescriptors * 3 / 2, behave: behave}.runAgain(t)
	time.Sleep(holdTime)
	r.requireWithinLimits(t)
}

func front(r *router) string    { return r.front }
func ready(r *router) string    { return r.ready }
func control(r *router) string  { return r.control }
func internal(r *router) string { return r.internal }
