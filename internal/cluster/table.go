package cluster

import (
	"hash/fnv"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/version"
)

// minRecentNames is how many names of former hosts are kept at least.
const minRecentNames = 1024

// Hosts is told where each upstream host is to be reached; the connection pools are one.
type Hosts interface {
	Set(id balance.EndpointID, addr string)
	// SetDraining says whether nothing new is to go to a host that was Set.
	SetDraining(id balance.EndpointID, on bool)
	Remove(id balance.EndpointID)
}

// Decisions is told what discovery says, and operators.
type Decisions interface {
	// Membership takes over a list, and the number of the version with it under which is decided from then on; 0 is none,
	// or the same as before.
	Membership(kind balance.ListKind, entries []balance.Entry, under uint32)
	Cordon(id balance.EndpointID, out bool)
	Expect(in time.Duration) // a list may come then, and not before
}

// Observer is told each list that the table takes over, its members numbered and in the order of their ids. It
// must not keep them.
type Observer interface {
	Listed(kind balance.ListKind, members []Member)
}

// Versions numbers what is acted on.
type Versions interface {
	// Listed notes that another list is acted on from now on, and calls apply with the number of the version that it makes,
	// before any other change of the version.
	Listed(l version.List, apply func(under uint32))
}

// Table turns discovery's names into the decisions' numbers. The number of a host follows from its
// discovery id alone, so that every sidecar numbers the cluster alike and a ring of it is the same for all.
type Table struct {
	Observer Observer // nil: nobody; set before the first list
	Versions Versions // nil: nobody; set before the first list
	// StaleCache says that cached lists may be: whoever they name may have started since. Set before the first list.
	StaleCache bool

	hosts     Hosts
	decisions Decisions

	mu           sync.Mutex // discovery and operators come at once
	zones, kinds []string
	numbers      map[string]balance.EndpointID // of those listed, and those cordoned
	ids          map[balance.EndpointID]string
	listed       map[string]Member
	cordoned     map[string]bool
	revision     int64 // of the last list
	from         string

	// Where versions are numbered.
	digest      uint64                        // the sum of those of the members that are listed
	published   version.List                  // that Versions has been told
	recentNames map[balance.EndpointID]string // of those in taken, and of former ones, whose last attempts may still be out
}

// NewTable returns an empty table; zones and kinds are the settings' names, in their order.
func NewTable(zones, kinds []string, hosts Hosts, decisions Decisions) *Table {
	return &Table{zones: zones, kinds: kinds, hosts: hosts, decisions: decisions,
		numbers: map[string]balance.EndpointID{}, ids: map[balance.EndpointID]string{}, listed: map[string]Member{},
		cordoned: map[string]bool{}}
}

// Apply takes over a list. A host is made reachable before the decisions hear of it, and dropped after.
func (t *Table) Apply(kind balance.ListKind, list List) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.apply(kind, list)
}

func (t *Table) apply(kind balance.ListKind, list List) {
	t.revision, t.from = list.Revision, list.From
	t.StaleCache = t.StaleCache && kind == balance.ListCached // from a list of the present on, what is held is no guess
	// In the order of ids, or two that collide would be numbered by the order in which they came. Of one id the last word counts.
	slices.SortStableFunc(list.Members, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
	entries := make([]balance.Entry, 0, len(list.Members))
	gone := map[string]bool{}
	if kind != balance.ListDelta {
		for id := range t.listed {
			gone[id] = true
		}
	}
	for i := range list.Members {
		m := &list.Members[i]
		id := t.assignNumber(m.ID)
		m.Endpoint = id
		delete(gone, m.ID)
		if m.State == balance.Gone {
			gone[m.ID] = true
		} else {
			t.updateDigest(m.ID, m)
			if was, listed := t.listed[m.ID]; listed && m.UpSince > was.UpSince {
				t.hosts.Remove(id) // a new process: what is open leads to the former one, which may never have said that it ended
			}
			t.listed[m.ID] = *m
			t.hosts.Set(id, m.Addr)
			t.hosts.SetDraining(id, m.State != balance.Ready || t.cordoned[m.ID])
		}
		entries = append(entries, balance.Entry{
			Endpoint: id, State: m.State, Weight: m.Weight, Zone: indexOrLen(t.zones, m.Zone),
			Cell: m.Cell, Kind: indexOrLen(t.kinds, m.Kind), UpSince: m.UpSince, Guess: t.StaleCache,
		})
	}
	if t.Observer != nil { // before the decisions, whose sends name these hosts
		t.Observer.Listed(kind, list.Members)
	}
	for id := range gone {
		t.updateDigest(id, nil)
	}
	t.publish(func(under uint32) { t.decisions.Membership(kind, entries, under) })
	for id := range gone {
		t.hosts.Remove(t.numbers[id])
		delete(t.listed, id)
		t.releaseNumber(id)
	}
}

// sum keeps the digest in step: a member takes the place of the one that was listed under that id, or nil does.
func (t *Table) updateDigest(id string, m *Member) {
	if t.Versions == nil {
		return
	}
	if was, listed := t.listed[id]; listed {
		t.digest -= was.digest()
	}
	if m != nil {
		t.digest += m.digest()
	}
}

// numbered has a list that is not the one that was adopted last take effect with a number of its own.
func (t *Table) publish(apply func(under uint32)) {
	now := version.List{From: t.from, Revision: t.revision, Digest: version.Digest(max(1, t.digest))} // as List.Digest
	if t.Versions == nil || now == t.published {
		apply(0)
		return
	}
	t.published = now
	t.Versions.Listed(now, apply)
}

// Cordon takes a host out for as long as it takes until Uncordon, whatever discovery lists meanwhile. It returns false
// where nobody has such a host.
func (t *Table) Cordon(id string) bool { return t.setCordon(id, true) }

// Uncordon puts a host back. One that is not out stays as it is; it returns false where nobody has it.
func (t *Table) Uncordon(id string) bool { return t.setCordon(id, false) }

func (t *Table) setCordon(id string, out bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	n, known := t.numbers[id]
	if !known {
		return false
	}
	t.hosts.SetDraining(n, out || t.listed[id].State != balance.Ready)
	t.decisions.Cordon(n, out)
	if out {
		t.cordoned[id] = true
	} else {
		delete(t.cordoned, id)
		t.releaseNumber(id)
	}
	return true
}

// UpdateNames takes over changed names of zones and kinds; the decisions are told of the cluster anew where they have changed.
func (t *Table) UpdateNames(zones, kinds []string) {
	t.mu.Lock() // to the end: a drain that is told meanwhile would be undone by what was held before
	defer t.mu.Unlock()
	same := slices.Equal(t.zones, zones) && slices.Equal(t.kinds, kinds)
	t.zones, t.kinds = zones, kinds
	if !same && len(t.listed) > 0 { // as in Take
		t.apply(balance.ListCached, t.snapshot().List)
	}
}

// Snapshot is what a table knows, for the process that succeeds this one.
type Snapshot struct {
	List     List
	Cordoned []string
}

// Snapshot returns what is known now.
func (t *Table) Snapshot() Snapshot {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.snapshot()
}

func (t *Table) snapshot() Snapshot {
	h := Snapshot{List: List{From: t.from, Revision: t.revision, Complete: true, Members: slices.Collect(maps.Values(t.listed))}, Cordoned: slices.Collect(maps.Keys(t.cordoned))}
	slices.SortFunc(h.List.Members, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
	slices.Sort(h.Cordoned)
	return h
}

// Restore takes over what another process knew. Its cordons hold before its list does.
func (t *Table) Restore(h Snapshot) {
	t.mu.Lock()
	for _, id := range h.Cordoned {
		t.cordoned[id] = true
		t.decisions.Cordon(t.assignNumber(id), true)
	}
	t.mu.Unlock()
	if len(h.List.Members) > 0 {
		t.Apply(balance.ListCached, h.List)
	}
}

// forget lets go of a number that neither discovery nor a cordon needs.
func (t *Table) releaseNumber(id string) {
	if _, listed := t.listed[id]; !listed && !t.cordoned[id] {
		delete(t.ids, t.numbers[id])
		delete(t.numbers, id)
	}
}

// number is the host's, hashed from its id; where that is another's, the id is hashed with a mark added.
func (t *Table) assignNumber(id string) balance.EndpointID {
	if n, known := t.numbers[id]; known {
		return n
	}
	h := fnv.New32a()
	h.Write([]byte(id))
	n := balance.EndpointID(h.Sum32())
	for t.ids[n] != "" {
		h.Write([]byte{0})
		n = balance.EndpointID(h.Sum32())
	}
	t.numbers[id], t.ids[n] = n, id
	if t.Versions != nil {
		if t.recentNames == nil || len(t.recentNames) > 2*len(t.ids)+minRecentNames {
			t.recentNames = maps.Clone(t.ids)
		}
		t.recentNames[n] = id
	}
	return n
}

// Name is discovery's id of a host, also of one that has lately been listed; known where Versions is set.
func (t *Table) Name(n balance.EndpointID) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.recentNames[n]
}

// index is the place of a name in the settings' list; names that the settings lack share the next number.
func indexOrLen(names []string, name string) int {
	if i := slices.Index(names, name); i >= 0 {
		return i
	}
	return len(names)
}
