package proxy

import (
	"encoding/hex"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// Guards against a change of the encoding of announcements, which routers of other versions decode. The expected encodings were
// recorded with the code of commit 945ccb8.
func TestAnnouncementEncoding(t *testing.T) {
	for name, c := range map[string]struct {
		announcement Announcement
		encoded      string
	}{
		"prompt": {Announcement{
			Origin: 0x01020304, Endpoint: 0xa0b0c0d0, Priority: 3, Units: 5000, Prefixes: []uint32{7, 70000}, Prompt: 6000, Output: 250, MaxEventGapMs: 300,
			Observation: &ObservationReport{Endpoint: 9, PrefillUnits: 800, Units: 900, DelayMs: 120, WaitMs: 17},
			Stall:       &StallReport{Endpoint: 10, LongestMs: 350, PrefillMs: 600},
		}, "8c1a010203041aa0b0c0d00319138882071a0001117000f419177018fa19012c8509190320190384187811830a19015e190258"},
		"failure": {Announcement{Origin: 1, Endpoint: 2, Failures: 1, Overdue: true}, "8c01020000f601f5000000f6f6"},
	} {
		encoded, err := cbor.Marshal(c.announcement)
		if err != nil {
			t.Fatal(err)
		}
		if got := hex.EncodeToString(encoded); got != c.encoded {
			t.Errorf("%s: encoded as %s, expected %s", name, got, c.encoded)
		}
	}
}
