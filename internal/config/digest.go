package config

import (
	"encoding/json"
	"strings"

	"github.com/cespare/xxhash/v2"

	"pinelb.example/pinelb/internal/version"
)

// DigestOf returns a text's digest: its xxHash64, and never 0, which stands for none.
func DigestOf(text []byte) version.Digest {
	return version.Digest(max(1, xxhash.Sum64(text))) // 0 stands for none
}

// Digest returns the digest of the settings in the file, regardless of their layout and of what differs between the instances
// of a tier: rank and zone.
func (c *Config) Digest() version.Digest {
	decoder := json.NewDecoder(strings.NewReader(c.RawSettings))
	decoder.UseNumber()
	var keys map[string]any
	if err := decoder.Decode(&keys); err != nil {
		return DigestOf([]byte(c.RawSettings)) // it was decoded as an object before
	}
	for _, key := range instanceKeys {
		delete(keys, key)
	}
	text, err := json.Marshal(keys) // which sorts the keys
	if err != nil {
		return DigestOf([]byte(c.RawSettings)) // what was decoded can be encoded
	}
	return DigestOf(text)
}
