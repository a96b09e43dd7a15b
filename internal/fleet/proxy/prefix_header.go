package proxy

import (
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"pinelb.example/pinelb/internal/fleet/placement"
)

const (
	maxTokens   = 1e9 // numbers of tokens in headers are valid below this bound
	maxPrefixes = 4   // maximum number of shared prefixes of a prompt, the longest ones
)

// parsePrefixes parses the X-Prefix-Hash header, which lists the parts of a prompt as "ID:TOKENS,ID:TOKENS,...". It returns the
// total number of the prompt's tokens, at least 1, and its shared prefixes, the longest first. The last part is not shared with
// other prompts and ends no shared prefix. A part whose number of tokens is invalid counts as 0 tokens.
func parsePrefixes(header string) (tokens float64, shared []placement.Prefix) {
	var hash xxhash.Digest
	hash.Reset()
	hashed := 0 // bytes
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
			_, _ = hash.WriteString(header[hashed : at+end]) // it returns no error
			hashed = at + end
			shared = appendLongest(shared, placement.Prefix{Hash: uint32(hash.Sum64()), Units: tokens})
		}
		at += end + 1
	}
	slices.Reverse(shared)
	return max(1, tokens), shared
}

// appendLongest appends a prefix that is longer than the others, of which it keeps maxPrefixes.
func appendLongest(shared []placement.Prefix, longest placement.Prefix) []placement.Prefix {
	if len(shared) < maxPrefixes {
		return append(shared, longest)
	}
	copy(shared, shared[1:])
	shared[maxPrefixes-1] = longest
	return shared
}
