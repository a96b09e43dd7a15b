package proxy

import (
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a client whose prompt of very many parts takes a router's time and memory.
func TestPromptsOfManyPartsAreCheap(t *testing.T) {
	Convey("Of many parts the longest shared prefixes are kept, and nothing else", t, func() {
		header := strings.Repeat("ab:1,", 3000) + "own:2"
		tokens, shared := parsePrefixes(header)
		So(tokens, ShouldEqual, 3002)
		So(len(shared), ShouldEqual, maxPrefixes)
		So(cap(shared), ShouldBeLessThanOrEqualTo, 2*maxPrefixes)
		for i, prefix := range shared {
			length := len(header) - len(",own:2") - i*len("ab:1,")
			So(prefix.Hash, ShouldEqual, uint32(xxhash.Sum64String(header[:length])))
			So(prefix.Units, ShouldEqual, 3000-i)
		}
	})
}

// BenchmarkPromptParts measures the parsing of a header of as many parts as a head of 64 KB holds.
func BenchmarkPromptParts(b *testing.B) {
	header := strings.Repeat(",", 60<<10)
	b.ReportAllocs()
	for b.Loop() {
		parsePrefixes(header)
	}
}
