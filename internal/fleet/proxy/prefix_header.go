package proxy

import (
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"pinelb.example/pinelb/internal/fleet/placement"
)

const (
	maxTokens   = 1e9 // that a request may state; more is no number of tokens
	maxPrefixes = 4   // shared prefixes of a prompt that are distinguished
)

// parsePrefixes parses the X-Prefix-Hash header, the parts of a prompt "ID:TOKENS,ID:TOKENS,...". It returns the prompt's tokens in
// all, at least 1, and its shared prefixes from the longest to the shortest. The last part is the request's own. Parts that
// can't be parsed count no tokens.
func parsePrefixes(header string) (tokens float64, shared []placement.Prefix) {
	for at := 0; at < len(header); {
		end := strings.IndexByte(header[at:], ',')
		last := end < 0
		if last {
			end = len(header) - at
		}
		_, text, _ := strings.Cut(header[at:at+end], ":")
		if n, err := strconv.ParseFloat(text, 64); err == nil && n > 0 && n < maxTokens {
			tokens += n
		}
		if !last {
			shared = append(shared, placement.Prefix{Hash: uint32(xxhash.Sum64String(header[:at+end])), Units: tokens})
		}
		at += end + 1
	}
	slices.Reverse(shared)
	return max(1, tokens), shared[:min(len(shared), maxPrefixes)]
}
