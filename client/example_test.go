package client_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"time"

	"pinelb.example/pinelb/client"
)

// newFleet returns a server that stands in for a router's control address.
func newFleet() *httptest.Server {
	mux := http.NewServeMux()
	respond := func(pattern, body string) {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(w, body) })
	}
	respond("POST /locks/nightly-report/begin", `{"fence":41}`)
	respond("POST /locks/nightly-report/heartbeat", `{}`)
	respond("POST /locks/nightly-report/finish", `{}`)
	respond("POST /numbers/bookings", `{"value":5120}`)
	respond("POST /cells/reports.last/replace", `{"revision":931}`)
	respond("GET /watch/reports.", `{"events":[{"name":"reports.last","value":"report 5120","revision":931}],"revision":931}`)
	return httptest.NewServer(mux)
}

func Example() {
	fleet := newFleet()
	defer fleet.Close()
	c, err := client.New([]string{fleet.Listener.Addr().String()}, client.Options{})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()

	lock, err := c.Acquire(ctx, "nightly-report", client.LockOptions{Hold: 10 * time.Second})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer func() { _ = lock.Release(ctx) }()
	number, err := c.Counter("bookings").Next(ctx)
	if err != nil {
		fmt.Println(err)
		return
	}
	if !lock.IsHeld() { // check right before the operation that only the holder may perform
		fmt.Println(lock.Err())
		return
	}
	revision, err := c.Cells().Put(ctx, "reports.last", fmt.Sprint("report ", number))
	fmt.Println(lock.Fence(), number, revision, err)

	events, err := c.Watch("reports.", revision-1).Next(ctx)
	fmt.Println(events[0].Key, events[0].Value, err)
	// Output:
	// 41 5120 931 <nil>
	// reports.last report 5120 <nil>
}
