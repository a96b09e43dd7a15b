package upstream

import (
	"context"
	"sync"
	"testing"
	"time"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/stream"
)

// pendingAttempt is an attempt that has its connection and is about to be sent.
type pendingAttempt struct {
	pool       *Pool
	cancel     context.CancelFunc
	clientGone bool
}

// Guards against an attempt that is sent although what it was decided on has changed between its connection and its first
// byte. The connection is kept where it can be.
func TestSendRefused(t *testing.T) {
	for _, c := range []struct {
		name     string
		change   func(a *pendingAttempt)
		status   balance.Status
		wantOpen int
	}{
		{"the decisions cancel it", func(a *pendingAttempt) { a.cancel() }, balance.Cancelled, 1},
		{"its client leaves, and the decisions don't know", func(a *pendingAttempt) { a.clientGone = true }, balance.NotSent, 1},
		{"its host drains", func(a *pendingAttempt) { a.pool.SetDraining(1, true) }, balance.NotSent, 1},
		{"its host is gone", func(a *pendingAttempt) { a.pool.Remove(1) }, balance.NotSent, 0},
		{"its host moves", func(a *pendingAttempt) { a.pool.Set(1, "127.0.0.1:1") }, balance.NotSent, 0},
		{"its host drains and is back", func(a *pendingAttempt) { a.pool.SetDraining(1, true); a.pool.SetDraining(1, false) }, balance.OK, 1},
	} {
		for _, protocol := range []string{"HTTP", "Thrift"} {
			if protocol == "Thrift" && c.status == balance.OK {
				continue // a reply would have to come
			}
			status, requests, open := attemptWithChange(t, protocol, c.change)
			if want := map[bool]int{true: 1}[c.status == balance.OK]; status != c.status || requests != want {
				t.Errorf("%s, over %s: status %d after %d requests, want %d after %d", c.name, protocol, status, requests, c.status, want)
			}
			if open != c.wantOpen {
				t.Errorf("%s, over %s: %d connections are open, want %d", c.name, protocol, open, c.wantOpen)
			}
		}
	}
}

// attemptWithChange makes an attempt, with a change once its connection is there. It returns the attempt's status, how many
// requests the host got, and how many connections are open after it.
func attemptWithChange(t *testing.T, protocol string, change func(a *pendingAttempt)) (status balance.Status, requests, open int) {
	host := newScriptedHost(t)
	var mu sync.Mutex
	count := 0
	go func() {
		for r := range host.arrivals {
			mu.Lock()
			count++
			mu.Unlock()
			reactions[0].apply(r.nc)
		}
	}()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	a := &pendingAttempt{pool: newTestPool(host.addr, 2), cancel: cancel}
	once := sync.OnceFunc(func() { change(a) })
	a.pool.CanSend = func() bool { // called once the connection is there
		once()
		return true
	}
	if protocol == "HTTP" {
		req := request()
		req.ClientGone = func() bool { return a.clientGone }
		status, _ = a.pool.Do(ctx, 1, time.Now().Add(time.Minute), req)
	} else {
		req := &stream.Request{Operation: "call", Target: "a", MediaType: framedBinary.MediaType(), Body: []byte{0}}
		req.ClientGone = func() bool { return a.clientGone }
		status, _ = (&Thrift{Pool: a.pool}).Do(ctx, 1, time.Now().Add(200*time.Millisecond), req)
	}
	mu.Lock()
	defer mu.Unlock()
	a.pool.mu.Lock()
	defer a.pool.mu.Unlock()
	return status, count, a.pool.open
}
