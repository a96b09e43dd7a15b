package upstream

import (
	"context"
	"sync"
	"testing"
	"time"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/stream"
)

// Guards against an attempt that is sent although what it was decided on has changed between its connection and its first
// byte. The connection is kept where it can be.
func TestSendRefused(t *testing.T) {
	type crossing struct {
		p          *Pool
		cancel     context.CancelFunc
		clientLeft bool
	}
	framed := &stream.Request{Operation: "call", Target: "a", MediaType: framedBinary.MediaType(), Body: []byte{0}}
	for _, c := range []struct {
		name   string
		change func(x *crossing)
		status balance.Status
		kept   int
	}{
		{"the decisions cancel it", func(x *crossing) { x.cancel() }, balance.Cancelled, 1},
		{"its client leaves, and the decisions don't know", func(x *crossing) { x.clientLeft = true }, balance.Moot, 1},
		{"its host drains", func(x *crossing) { x.p.SetDraining(1, true) }, balance.Moot, 1},
		{"its host is gone", func(x *crossing) { x.p.Remove(1) }, balance.Moot, 0},
		{"its host moves", func(x *crossing) { x.p.Set(1, "127.0.0.1:1") }, balance.Moot, 0},
		{"its host drains and is back", func(x *crossing) { x.p.SetDraining(1, true); x.p.SetDraining(1, false) }, balance.OK, 1},
	} {
		for _, over := range []string{"HTTP", "Thrift"} {
			if over == "Thrift" && c.status == balance.OK {
				continue // which would take a reply
			}
			s := newScriptedHost(t)
			var mu sync.Mutex
			requests := 0
			go func() {
				for a := range s.arrivals {
					mu.Lock()
					requests++
					mu.Unlock()
					reactions[0].apply(a.nc)
				}
			}()
			ctx, cancel := context.WithCancel(context.Background())
			x := &crossing{p: newTestPool(s.addr, 2), cancel: cancel}
			once := sync.OnceFunc(func() { c.change(x) })
			x.p.CanSend = func() bool { // called once the connection is there
				once()
				return true
			}
			var status balance.Status
			if over == "HTTP" {
				req := request()
				req.Left = func() bool { return x.clientLeft }
				status, _ = x.p.Do(ctx, 1, time.Now().Add(time.Minute), req)
			} else {
				req := *framed
				req.Left = func() bool { return x.clientLeft }
				status, _ = (&Thrift{Pool: x.p}).Do(ctx, 1, time.Now().Add(200*time.Millisecond), &req)
			}
			mu.Lock()
			if want := map[bool]int{true: 1}[c.status == balance.OK]; status != c.status || requests != want {
				t.Errorf("%s, over %s: status %d after %d visits, want %d after %d", c.name, over, status, requests, c.status, want)
			}
			mu.Unlock()
			x.p.mu.Lock()
			if x.p.open != c.kept {
				t.Errorf("%s, over %s: %d connections are open, want %d", c.name, over, x.p.open, c.kept)
			}
			x.p.mu.Unlock()
			cancel()
		}
	}
}
