package loopback

import (
	"encoding/binary"
	"maps"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"pinelb.example/pinelb/internal/lab/plan"
	"pinelb.example/pinelb/internal/lab/trace"
	"pinelb.example/pinelb/internal/version"
)

// phaseNumbers are the phases as a digest has them.
var phaseNumbers = map[string]int64{"Ready": 1, "Terminating": 2}

// holdings are the lists that one sidecar has come to hold, by their revision: by a call for what is newer than a revision a
// sidecar says which of them it acts on. Of two of one revision the later one counts.
type listVersions map[int64]map[string]map[string]any

// hold notes what the sidecar will hold once it has taken an answer over. An answer that it does not take over stays among the
// holdings, and by its next call nobody takes it for what it holds.
func (a *agent) recordVersion(asked *trace.DiscoveryPoll, answer listResponse) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.listVersions == nil {
		a.listVersions = listVersions{}
	}
	all := map[string]map[string]any{}
	if !answer.Complete {
		base, known := a.listVersions[asked.SinceRevision]
		if !known { // the list that it was started with
			base = a.configuredMembers()
		}
		maps.Copy(all, base)
	}
	for _, m := range answer.Members {
		id := m["id"].(string)
		if all[id] = m; m["phase"] == trace.PhaseGone.String() {
			delete(all, id)
		}
	}
	a.listVersions[answer.Revision] = all
	asked.Revision, asked.Digest = answer.Revision, digestOf(all)
}

// started is the list that the sidecar's configuration had at the last start of its process. The lock is held.
func (a *agent) configuredMembers() map[string]map[string]any {
	all := map[string]map[string]any{}
	if a.sidecar < 0 {
		return all
	}
	for _, m := range a.run.fleet.sidecars[a.sidecar].configuredMembers() {
		all[m["id"].(string)] = m
	}
	return all
}

// digestOf is a list's digest by the rule that docs/design/fleet-audit.md has: written here a second time, from the members as
// they are told, so that the sidecar's own is checked and not repeated.
func digestOf(members map[string]map[string]any) version.Digest {
	sum := uint64(0)
	for _, m := range members {
		var b []byte
		for _, key := range []string{"id", "locality", "flavor"} {
			text := m[key].(string)
			b = append(binary.AppendUvarint(b, uint64(len(text))), text...)
		}
		b = binary.AppendVarint(b, phaseNumbers[m["phase"].(string)])
		b = binary.AppendVarint(b, int64(m["cell"].(int)))
		b = binary.AppendVarint(b, m["up_since_ms"].(int64)*int64(time.Millisecond))
		b = binary.BigEndian.AppendUint64(b, math.Float64bits(m["size"].(float64)))
		sum += xxhash.Sum64(b)
	}
	if sum == 0 {
		sum = 1
	}
	return version.Digest(sum)
}

// holds is the digest of the list that a process is started with; none where no operator calls it. It needs the sidecar's lock.
func (s *sidecar) configuredDigest() version.Digest {
	if !s.fleet.plan.Operators() || len(s.members) == 0 {
		return 0
	}
	all := map[string]map[string]any{}
	for _, m := range s.members {
		all[m["id"].(string)] = m
	}
	return digestOf(all)
}

// given is the list that the sidecar's configuration has, as its process has read it.
func (s *sidecar) configuredMembers() []map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members
}

// members are entries as discovery words them to a sidecar.
func (r *run) memberDocuments(sidecar int, entries []plan.Listed) []map[string]any {
	out := []map[string]any{} // JSON has no list for nil
	for _, l := range entries {
		out = append(out, r.plan.Member(l, r.endpointAddress(sidecar, l.Box), r.startOrNow()))
	}
	return out
}
