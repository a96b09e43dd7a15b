package placement

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestPrefixCache(t *testing.T) {
	Convey("Cached prefixes expire, and their number is bounded", t, func() {
		var cache prefixCache
		prompt := &Prompt{Units: 100, Prefixes: []Prefix{{Hash: 1, Units: 80}, {Hash: 2, Units: 30}}}
		So(cache.uncached(0, prompt), ShouldEqual, 100)
		cache.insert(0, 2)
		So(cache.uncached(time.Second, prompt), ShouldEqual, 70)
		cache.insert(time.Second, 1)
		So(cache.uncached(time.Second, prompt), ShouldEqual, 20)
		So(cache.uncached(2*prefixTTL, prompt), ShouldEqual, 100)
		for hash := range uint32(2 * maxCachedPrefixes) {
			cache.insert(2*time.Second, hash+10)
		}
		So(len(cache), ShouldBeLessThanOrEqualTo, maxCachedPrefixes)
	})
}
