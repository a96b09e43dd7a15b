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

// phaseNumbers are the phases as a digest encodes them.
var phaseNumbers = map[string]int64{"Ready": 1, "Terminating": 2}

// listVersions are the endpoint lists that were written to one sidecar, by revision; members are by id. When the sidecar polls for
// what is newer than a revision, it says which of them it has adopted. Of two of one revision the later one counts.
type listVersions map[int64]map[string]map[string]any

// recordVersion records the list that the sidecar will have once it has adopted a response. If it doesn't adopt it, its next poll
// names another revision.
func (a *agent) recordVersion(poll *trace.DiscoveryPoll, response listResponse) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.listVersions == nil {
		a.listVersions = listVersions{}
	}
	members := map[string]map[string]any{}
	if !response.Complete {
		base, known := a.listVersions[poll.SinceRevision]
		if !known { // the one in its configuration
			base = a.configuredMembers()
		}
		maps.Copy(members, base)
	}
	for _, member := range response.Members {
		id := member["id"].(string)
		if member["phase"] == trace.PhaseGone.String() {
			delete(members, id)
		} else {
			members[id] = member
		}
	}
	a.listVersions[response.Revision] = members
	poll.Revision, poll.Digest = response.Revision, digestOf(members)
}

// configuredMembers is the list in the sidecar's configuration at the last start of its process, by id.
func (a *agent) configuredMembers() map[string]map[string]any {
	if a.sidecar < 0 {
		return map[string]map[string]any{}
	}
	return membersByID(a.run.fleet.sidecars[a.sidecar].configuredMembers())
}

func membersByID(members []map[string]any) map[string]map[string]any {
	byID := make(map[string]map[string]any, len(members))
	for _, member := range members {
		byID[member["id"].(string)] = member
	}
	return byID
}

// digestOf is the digest of a list by the rule of docs/design/fleet-audit.md. It is written here a second time, from the members as
// they are sent, so that the sidecar's own code is checked and not repeated.
func digestOf(members map[string]map[string]any) version.Digest {
	sum := uint64(0)
	for _, member := range members {
		var b []byte
		for _, key := range []string{"id", "locality", "flavor"} {
			text := member[key].(string)
			b = append(binary.AppendUvarint(b, uint64(len(text))), text...)
		}
		b = binary.AppendVarint(b, phaseNumbers[member["phase"].(string)])
		b = binary.AppendVarint(b, int64(member["cell"].(int)))
		b = binary.AppendVarint(b, member["up_since_ms"].(int64)*int64(time.Millisecond))
		b = binary.BigEndian.AppendUint64(b, math.Float64bits(member["size"].(float64)))
		sum += xxhash.Sum64(b)
	}
	if sum == 0 { // which is no digest
		sum = 1
	}
	return version.Digest(sum)
}

// configuredDigest is the digest of the list that a process is started with; 0 if no operator calls it. The lock is held.
func (s *sidecar) configuredDigest() version.Digest {
	if !s.run.plan.NeedsControlAccess() || len(s.members) == 0 {
		return 0
	}
	return digestOf(membersByID(s.members))
}

// configuredMembers is the list in the sidecar's configuration, as its process has read it.
func (s *sidecar) configuredMembers() []map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members
}

// memberDocuments are entries in the form in which discovery sends them to a sidecar.
func (r *run) memberDocuments(sidecar int, entries []plan.ListEntry) []map[string]any {
	documents := []map[string]any{} // not nil, which JSON would encode as null
	for _, entry := range entries {
		documents = append(documents, r.plan.ListedMember(entry, r.endpointAddress(sidecar, entry.Endpoint), r.startOrNow()))
	}
	return documents
}
