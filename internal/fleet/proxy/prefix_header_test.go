package proxy

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestPrefixHeader(t *testing.T) {
	Convey("The prompt's tokens and shared prefixes are parsed", t, func() {
		tokens, shared := parsePrefixes("aa:800,bb:410,cc:250")
		So(tokens, ShouldEqual, 1460)
		So(len(shared), ShouldEqual, 2)
		So(shared[0].Units, ShouldEqual, 1210)
		So(shared[1].Units, ShouldEqual, 800)
		_, other := parsePrefixes("aa:800,bb:410,dd:9")
		So(other[0].Hash, ShouldEqual, shared[0].Hash)
		So(other[1].Hash, ShouldEqual, shared[1].Hash)
	})
	Convey("Parts with an invalid number of tokens count as 0 tokens", t, func() {
		for _, invalid := range []string{"", ",", "a", "a:b,c:", ":::,,,", "a:-5,b:NaN", "a:Inf,b:1e300,c:Inf"} {
			tokens, _ := parsePrefixes(invalid)
			So(tokens, ShouldEqual, 1)
		}
	})
}

// FuzzPrefixHeader searches for headers for which parsePrefixes exceeds its bounds or panics.
func FuzzPrefixHeader(f *testing.F) {
	f.Add("aa:800,bb:410,cc:250")
	f.Add("a:1e309,b:-1,,c")
	f.Fuzz(func(t *testing.T, header string) {
		tokens, shared := parsePrefixes(header)
		if !(tokens >= 1 && tokens < 1e15) || len(shared) > maxPrefixes {
			t.Fatalf("%q: %v tokens, %d prefixes", header, tokens, len(shared))
		}
	})
}
