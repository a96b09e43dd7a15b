package cluster

import (
	"testing"
	"time"

	"pinelb.example/pinelb/balance"
)

// Guards against equal lists with different digests, and against the reverse.
func TestDigest(t *testing.T) {
	members := func() []Member {
		return []Member{
			{ID: "a", Addr: "127.0.0.1:1", Zone: "z1", Kind: "k", Cell: 1, State: balance.Ready, Weight: 1, UpSince: time.Second},
			{ID: "b", Addr: "127.0.0.1:2", Zone: "z2", Kind: "k", Cell: 2, State: balance.Draining, Weight: 2},
		}
	}
	of := func(edit func(m []Member) []Member) uint64 { return uint64(List{Members: edit(members())}.Digest()) }
	first := of(func(m []Member) []Member { return m })
	for name, edit := range map[string]func(m []Member) []Member{
		"order":   func(m []Member) []Member { return []Member{m[1], m[0]} },
		"address": func(m []Member) []Member { m[0].Addr = "127.0.0.2:9"; return m },
		"gone":    func(m []Member) []Member { return append(m, Member{ID: "c", State: balance.Removed}) },
		"number":  func(m []Member) []Member { m[0].Endpoint = 7; return m },
	} {
		if of(edit) != first {
			t.Errorf("%s makes another list of it", name)
		}
	}
	seen := map[uint64]string{first: "as it was"}
	for name, edit := range map[string]func(m []Member) []Member{
		"id":      func(m []Member) []Member { m[0].ID = "c"; return m },
		"zone":    func(m []Member) []Member { m[0].Zone = "z2"; return m },
		"kind":    func(m []Member) []Member { m[0].Kind = "l"; return m },
		"cell":    func(m []Member) []Member { m[0].Cell = 3; return m },
		"state":   func(m []Member) []Member { m[0].State = balance.Draining; return m },
		"weight":  func(m []Member) []Member { m[0].Weight = 1.5; return m },
		"start":   func(m []Member) []Member { m[0].UpSince = 2 * time.Second; return m },
		"one out": func(m []Member) []Member { return m[:1] },
		"none":    func([]Member) []Member { return nil },
		"run on":  func(m []Member) []Member { m[0].ID, m[0].Zone = "az", "1"; return m },
	} {
		d := of(edit)
		if other, twice := seen[d]; twice || d == 0 {
			t.Errorf("%s: digest %x, as %q", name, d, other)
		}
		seen[d] = name
	}
}
