package upstream

import (
	"context"
	"sync"
	"testing"
	"time"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/stream"
)

// Guards against an attempt that goes out although what it was decided on is over: something happens between its connection
// and its first byte, whatever it has waited for. The connection is kept where it can be.
func TestWithheld(t *testing.T) {
	type crossing struct {
		p     *Pool
		leave context.CancelFunc
		left  bool
	}
	framed := &stream.Request{Operation: "call", Target: "a", MediaType: framedBinary.MediaType(), Body: []byte{0}}
	for _, c := range []struct {
		name   string
		happen func(x *crossing)
		status balance.Status
		kept   int
	}{
		{"the decisions withdraw it", func(x *crossing) { x.leave() }, balance.Cancelled, 1},
		{"its client leaves, and the decisions don't know", func(x *crossing) { x.left = true }, balance.Moot, 1},
		{"its host drains", func(x *crossing) { x.p.SetDraining(1, true) }, balance.Moot, 1},
		{"its host is gone", func(x *crossing) { x.p.Remove(1) }, balance.Moot, 0},
		{"its host moves", func(x *crossing) { x.p.Set(1, "127.0.0.1:1") }, balance.Moot, 0},
		{"its host drains and is back", func(x *crossing) { x.p.SetDraining(1, true); x.p.SetDraining(1, false) }, balance.OK, 1},
	} {
		for _, over := range []string{"HTTP", "Thrift"} {
			if over == "Thrift" && c.status == balance.OK {
				continue // which would take a reply
			}
			s := newScripted(t)
			var mu sync.Mutex
			visits := 0
			go func() {
				for a := range s.arrivals {
					mu.Lock()
					visits++
					mu.Unlock()
					says[0].end(a.nc)
				}
			}()
			ctx, leave := context.WithCancel(context.Background())
			x := &crossing{p: poolFor(s.addr, 2), leave: leave}
			once := sync.OnceFunc(func() { c.happen(x) })
			x.p.CanSend = func() bool { // asked as the connection is there
				once()
				return true
			}
			var status balance.Status
			if over == "HTTP" {
				req := request()
				req.Left = func() bool { return x.left }
				status, _ = x.p.Do(ctx, 1, time.Now().Add(time.Minute), req)
			} else {
				req := *framed
				req.Left = func() bool { return x.left }
				status, _ = (&Thrift{Pool: x.p}).Do(ctx, 1, time.Now().Add(200*time.Millisecond), &req)
			}
			mu.Lock()
			if want := map[bool]int{true: 1}[c.status == balance.OK]; status != c.status || visits != want {
				t.Errorf("%s, over %s: status %d after %d visits, want %d after %d", c.name, over, status, visits, c.status, want)
			}
			mu.Unlock()
			x.p.mu.Lock()
			if x.p.open != c.kept {
				t.Errorf("%s, over %s: %d connections are open, want %d", c.name, over, x.p.open, c.kept)
			}
			x.p.mu.Unlock()
			leave()
		}
	}
}
