package router

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"pinelb.example/pinelb/internal/fleet/dissemination"
	"pinelb.example/pinelb/internal/fleet/registry"
	"pinelb.example/pinelb/internal/fleet/settings"
)

// startCache returns a cache whose files are in a directory, and the endpoints that its router knows after the start.
func startCache(directory string) (*endpointCache, *registry.Registry) {
	e := &environment{settings: &settings.Settings{DataDir: directory}, log: zap.NewNop(), startedAt: time.Now()}
	node := dissemination.New(0, dissemination.Options{})
	cache := &endpointCache{environment: e, gossip: &gossip{environment: e, node: node}}
	cache.start()
	return cache, node.Registry
}

// Guards against leaves that are forgotten when all routers restart at once.
func TestEndpointCacheKeepsLeaves(t *testing.T) {
	Convey("A restarted router ignores heartbeats from before the leaves that its former process knew", t, func() {
		directory := t.TempDir()
		cache, former := startCache(directory)
		heartbeat := func(id string, sequence uint64, state registry.State) registry.Endpoint {
			return registry.Endpoint{ID: id, Service: "s", Address: id + ":1", Sequence: sequence, State: state}
		}
		for _, id := range []string{"draining", "ended", "ready"} {
			former.ApplyHeartbeat(0, heartbeat(id, 1, registry.Ready))
		}
		former.ApplyHeartbeat(0, heartbeat("draining", 3, registry.Draining))
		former.ApplyHeartbeat(0, registry.Endpoint{ID: "ended", State: registry.Deregistered})
		endpoints, _ := cache.gossip.endpointSnapshot(0)
		So(replaceFile(cache.file.path, endpoints), ShouldBeNil)

		_, restarted := startCache(directory)
		restarted.ApplyHeartbeat(time.Second, heartbeat("draining", 2, registry.Ready))
		restarted.ApplyHeartbeat(time.Second, heartbeat("ended", 2, registry.Ready))
		So(restarted.Ready(), ShouldBeEmpty)
		restarted.ApplyHeartbeat(time.Second, heartbeat("ready", 2, registry.Ready))
		So(len(restarted.Ready()), ShouldEqual, 1)
	})
}
