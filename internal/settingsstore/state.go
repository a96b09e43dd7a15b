// Package settingsstore decides which settings of a service are in force at whom: what a distributor has of each service, which
// of two concurrent changes wins, which sidecar has acknowledged what, and how all that is encoded between the roles.
//
// It is pure: times and events in, values out; nothing here does I/O or reads a clock. Package settingsserver drives a Store,
// package settingsclient a Follower. Neither is safe for concurrent use: the owner serializes the calls.
//
// Invariants: editions of a service are totally ordered, by epoch and then by the distributor's name; Merge is commutative in
// the newest state, so that distributors which have exchanged all records have the same one; a sidecar never goes back to an
// older edition.
//
// Errors begin with "distribute:", as they always have, for operators and distributors read them.
package settingsstore

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"pinelb.example/pinelb/internal/version"
)

// Bounds on messages, the same in all roles. Changing one is a change of the protocol.
const (
	MaxSettingsBytes    = 64 << 10                            // of a service's settings, as JSON
	maxEnvelopeBytes    = 1 << 10                             // of the rest of an encoded state
	MaxStateBytes       = MaxSettingsBytes + maxEnvelopeBytes // of an encoded state
	MaxSidecarNameBytes = 256                                 // of a sidecar's name
	MaxNameBytes        = 64                                  // of a service's name, and of a distributor's
	MaxReasonBytes      = 256                                 // of the reason why settings were rejected
	MaxWait             = 30 * time.Second                    // of a request, for something newer
)

// State is what a service's settings are under one edition.
type State struct {
	Service string
	version.Edition
	Digest   version.Digest  // of Settings, byte for byte: it detects contents that were truncated or changed
	Settings json.RawMessage // a JSON object, as the platform's file has it
}

// NewState returns the state with these contents, whose digest it takes.
func NewState(service string, e version.Edition, settings json.RawMessage) State {
	return State{service, e, DigestOf(settings), settings}
}

// DigestOf returns the digest of contents, byte for byte: their xxHash64, and never 0, which stands for none.
func DigestOf(settings []byte) version.Digest {
	return version.Digest(max(1, xxhash.Sum64(settings))) // 0 stands for none
}

// wireState is a state as JSON. The digest is a string, so that an error in it can name its key.
type wireState struct {
	Service string `json:"service"`
	version.Edition
	Digest   string          `json:"digest"`
	Settings json.RawMessage `json:"settings"`
}

// Encode encodes a state that Check accepts, as the answer to a request. Settings stand in it byte for byte.
func Encode(s State) []byte {
	text := make([]byte, 0, len(s.Settings)+maxEnvelopeBytes)
	text = fmt.Appendf(text, `{"service":%q,"epoch":%d,"by":%q,"digest":"%016x","settings":`, s.Service, s.Epoch, s.By, uint64(s.Digest))
	return append(append(text, s.Settings...), '}')
}

// Parse decodes a state, strictly: unknown keys are errors, as are contents that don't match the digest. Errors are of type
// KeyError; for a text that isn't a single JSON object the key is "JSON".
func Parse(text []byte) (State, error) {
	var w wireState
	if err := decodeStrict(text, MaxStateBytes, &w); err != nil {
		return State{}, err
	}
	return w.state()
}

func (w *wireState) state() (State, error) {
	s := State{Service: w.Service, Edition: w.Edition, Settings: w.Settings}
	if err := s.Digest.UnmarshalText([]byte(w.Digest)); err != nil {
		return State{}, KeyError{"digest", "must have 16 hexadecimal digits"}
	}
	if err := s.Check(); err != nil {
		return State{}, err
	}
	return s, nil
}

// Check returns nil for a valid state, or a KeyError.
func (s *State) Check() error {
	if err := CheckName("service", s.Service); err != nil {
		return err
	}
	if err := checkEdition("epoch", "by", s.Edition); err != nil {
		return err
	}
	if s.None() {
		return KeyError{"epoch", "is missing"}
	}
	if err := CheckSettings(s.Settings); err != nil {
		return err
	}
	if got := DigestOf(s.Settings); got != s.Digest {
		return KeyError{"digest", fmt.Sprintf("is %016x, that of the settings is %016x: they were changed on their way", uint64(s.Digest), uint64(got))}
	}
	return nil
}

// CheckSettings returns a KeyError for what can be no service's settings, whatever their keys say.
func CheckSettings(settings []byte) error {
	switch {
	case len(settings) > MaxSettingsBytes:
		return KeyError{"settings", fmt.Sprintf("has %d bytes, %d at most", len(settings), MaxSettingsBytes)}
	case len(settings) == 0 || settings[0] != '{' || !json.Valid(settings):
		return KeyError{"settings", "must be a JSON object"}
	}
	return nil
}

// CheckName returns a KeyError for what can be no name of a service or a distributor: 1 to 64 letters, digits, '.', '_' and
// '-', of which the first is a letter or a digit.
func CheckName(key, name string) error {
	if len(name) < 1 || len(name) > MaxNameBytes {
		return KeyError{key, fmt.Sprintf("must have 1 to %d bytes", MaxNameBytes)}
	}
	for i, c := range []byte(name) {
		plain := 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9'
		if !plain && (i == 0 || !strings.ContainsRune("._-", rune(c))) {
			return KeyError{key, "must be of letters, digits, '.', '_' and '-', and begin with one of the first two"}
		}
	}
	return nil
}

// checkEdition returns a KeyError for what can be no edition; the zero edition is valid. Epoch and by are its keys.
func checkEdition(epoch, by string, e version.Edition) error {
	switch {
	case e.None():
		return nil
	case e.Epoch < 1 || e.Epoch > version.MaxEpoch:
		return KeyError{epoch, fmt.Sprintf("must be from 1 to %d", uint64(version.MaxEpoch))}
	}
	return CheckName(by, e.By)
}
