package router

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pinelb.example/pinelb/client"
)

// newClient returns a client with the addresses of all machines of the core.
func (c *testCore) newClient() *client.Client {
	var addresses []string
	for i := range c.size {
		addresses = append(addresses, fmt.Sprintf("%s:%d", c.ip(i), testControlPort))
	}
	applications, err := client.New(addresses, client.Options{WatchWait: time.Second})
	So(err, ShouldBeNil)
	return applications
}

// Guards against a client and routers that encode or interpret calls differently, and against a client that keeps calling a failed machine.
func TestClientAgainstCore(t *testing.T) {
	Convey("An application's client works with a core of five routers, also after one has failed", t, func() {
		core := newTestCore(t.TempDir(), 5)
		core.startAll(true)
		Reset(core.killAll)
		c := core.newClient()
		Reset(c.Close)
		ctx, cancel := context.WithTimeout(context.Background(), 4*testCallTimeout)
		defer cancel()

		lock, err := c.Acquire(ctx, "l", client.LockOptions{Holder: "a", Hold: 3 * time.Second})
		So(err, ShouldBeNil)
		_, err = c.TryAcquire(ctx, "l", client.LockOptions{Holder: "b"})
		So(errors.Is(err, client.ErrHeld), ShouldBeTrue)
		first, err := c.Counter("n").Next(ctx)
		So(err, ShouldBeNil)
		_, err = c.Cells().Get(ctx, "g.a")
		So(err, ShouldEqual, client.ErrNotFound)
		revision, err := c.Cells().PutIf(ctx, "g.a", "v1", 0)
		So(err, ShouldBeNil)
		var mismatch *client.RevisionMismatchError
		_, err = c.Cells().PutIf(ctx, "g.a", "v2", 0)
		So(errors.As(err, &mismatch), ShouldBeTrue)
		So(mismatch.Revision, ShouldEqual, revision)

		core.awaitAcceptors()
		core.kill(0) // the client's first address

		next, err := c.Counter("n").Next(ctx)
		So(err, ShouldBeNil)
		So(next, ShouldBeGreaterThan, first)
		second, err := c.Cells().Put(ctx, "g.b", "v3")
		So(err, ShouldBeNil)
		events, err := c.Watch("g.", revision).Next(ctx)
		So(err, ShouldBeNil)
		So(events, ShouldResemble, []client.Event{{Key: "g.b", Value: "v3", Revision: second}})
		So(lock.Err(), ShouldBeNil)
		So(lock.Release(ctx), ShouldBeNil)
		other, err := c.Acquire(ctx, "l", client.LockOptions{Holder: "b"})
		So(err, ShouldBeNil)
		So(other.Fence(), ShouldBeGreaterThan, lock.Fence())
		So(other.Release(ctx), ShouldBeNil)
	})
}
