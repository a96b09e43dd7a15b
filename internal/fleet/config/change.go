package config

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Change is one change of the configuration, as the operator sent it. Its CBOR form is replicated and stored.
type Change struct {
	Replace bool   `cbor:"1,keyasint"` // Body is a complete configuration; otherwise a Patch
	Base    int64  `cbor:"2,keyasint"` // the version of the configuration that the change is based on
	Body    []byte `cbor:"3,keyasint"` // JSON
}

// ChangeDigest identifies a change by its content: the first half of its SHA-256 hash.
type ChangeDigest [sha256.Size / 2]byte

// Digest returns the change's digest. Changes with equal fields have the same digest, and count as one change that was sent
// again.
func (c *Change) Digest() ChangeDigest {
	hash := sha256.New()
	var header [9]byte
	if c.Replace {
		header[0] = 1
	}
	binary.BigEndian.PutUint64(header[1:], uint64(c.Base))
	hash.Write(header[:])
	hash.Write(c.Body)
	return ChangeDigest(hash.Sum(nil)[:len(ChangeDigest{})])
}

// Encode returns the change in its replicated form (CBOR). Errors wrap those of package cbor.
func (c *Change) Encode() ([]byte, error) {
	encoded, err := cbor.Marshal(c)
	if err != nil {
		return nil, fmt.Errorf("config: encode change: %w", err)
	}
	return encoded, nil
}

// DecodeChange is the inverse of Change.Encode. Errors wrap those of package cbor.
func DecodeChange(encoded []byte) (*Change, error) {
	var c Change
	if err := cbor.Unmarshal(encoded, &c); err != nil {
		return nil, fmt.Errorf("config: decode change: %w", err)
	}
	return &c, nil
}
