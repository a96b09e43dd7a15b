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

// Hosts gets the address of each upstream host. The connection pool is one.
type Hosts interface {
	Set(id balance.EndpointID, addr string)
	// SetDraining sets whether nothing new is to be sent to a host that was Set.
	SetDraining(id balance.EndpointID, draining bool)
	Remove(id balance.EndpointID)
}

// Decisions gets what discovery lists and what operators cordon.
type Decisions interface {
	// Membership takes over a list, and the number of the version that the decisions rest on from then on; 0 means none, or
	// the same as before.
	Membership(kind balance.ListKind, entries []balance.Entry, under uint32)
	Cordon(id balance.EndpointID, out bool)
	// Expect says that the next list may come after that time, and not before.
	Expect(in time.Duration)
}

// Observer gets each list that the table takes over, its members numbered and ordered by their ids. It must not retain them.
type Observer interface {
	Listed(kind balance.ListKind, members []Member)
}

// Versions numbers the versions that the decisions rest on.
type Versions interface {
	// Listed records that another list is in force from now on, and calls apply with the number of the version that it makes,
	// before any other change of the version.
	Listed(l version.List, apply func(under uint32))
}

// Table is the state of the cluster: it maps discovery's ids to the decisions' numbers. A host's number follows from its id
// alone, so that every sidecar numbers the cluster alike and a hash ring of it is the same for all. Its methods may be called
// from several goroutines at once.
type Table struct {
	Observer Observer // nil: none. Set before the first list
	Versions Versions // nil: none. Set before the first list
	// StaleCache says that a cached list may be out of date: hosts that it names may have started since. Set before the first
	// list.
	StaleCache bool

	hosts     Hosts
	decisions Decisions

	mu           sync.Mutex
	zones, kinds []string
	numbers      map[string]balance.EndpointID // of hosts that are listed or cordoned
	ids          map[balance.EndpointID]string // the reverse
	listed       map[string]Member
	cordoned     map[string]bool
	revision     int64 // of the last list
	from         string

	// Used where versions are numbered.
	digest      uint64                        // the sum of the listed members' digests
	published   version.List                  // that Versions got last
	recentNames map[balance.EndpointID]string // those in ids, and of former hosts, whose last attempts may still be in flight
}

// NewTable returns an empty table. zones and kinds are the settings' names, in their order.
func NewTable(zones, kinds []string, hosts Hosts, decisions Decisions) *Table {
	return &Table{zones: zones, kinds: kinds, hosts: hosts, decisions: decisions,
		numbers: map[string]balance.EndpointID{}, ids: map[balance.EndpointID]string{}, listed: map[string]Member{},
		cordoned: map[string]bool{}}
}

// Apply takes over a list. A host gets its address before the decisions get the host, and loses it after them.
func (t *Table) Apply(kind balance.ListKind, list List) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.apply(kind, list)
}

// apply is Apply for a caller that holds the lock.
func (t *Table) apply(kind balance.ListKind, list List) {
	t.revision, t.from = list.Revision, list.From
	t.StaleCache = t.StaleCache && kind == balance.ListCached // discovery's own lists are up to date
	// In the order of ids, or two whose hashes collide would be numbered in the order in which they came. Of several members
	// of one id the last one counts.
	slices.SortStableFunc(list.Members, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
	entries := make([]balance.Entry, 0, len(list.Members))
	removed := map[string]bool{}
	if kind != balance.ListDelta {
		for id := range t.listed {
			removed[id] = true
		}
	}
	for i := range list.Members {
		m := &list.Members[i]
		m.Endpoint = t.assignNumber(m.ID)
		delete(removed, m.ID)
		if m.State == balance.Removed {
			removed[m.ID] = true
		} else {
			t.applyMember(m)
		}
		entries = append(entries, t.entry(m))
	}
	if t.Observer != nil { // before the decisions, whose sends name these hosts
		t.Observer.Listed(kind, list.Members)
	}
	for id := range removed {
		t.updateDigest(id, nil)
	}
	t.publish(func(under uint32) { t.decisions.Membership(kind, entries, under) })
	for id := range removed {
		t.hosts.Remove(t.numbers[id])
		delete(t.listed, id)
		t.releaseNumber(id)
	}
}

// applyMember takes over a member that is not gone.
func (t *Table) applyMember(m *Member) {
	t.updateDigest(m.ID, m)
	if old, listed := t.listed[m.ID]; listed && m.UpSince > old.UpSince {
		t.hosts.Remove(m.Endpoint) // a new process: open connections lead to the former one, which may never have closed them
	}
	t.listed[m.ID] = *m
	t.hosts.Set(m.Endpoint, m.Addr)
	t.hosts.SetDraining(m.Endpoint, m.State != balance.Ready || t.cordoned[m.ID])
}

// entry is a member as the decisions get it.
func (t *Table) entry(m *Member) balance.Entry {
	return balance.Entry{
		Endpoint: m.Endpoint, State: m.State, Weight: m.Weight, Zone: indexOrLen(t.zones, m.Zone),
		Cell: m.Cell, Kind: indexOrLen(t.kinds, m.Kind), StartedAt: m.UpSince, Cached: t.StaleCache,
	}
}

// updateDigest replaces a listed member in the digest; nil removes it.
func (t *Table) updateDigest(id string, m *Member) {
	if t.Versions == nil {
		return
	}
	if old, listed := t.listed[id]; listed {
		t.digest -= old.digest()
	}
	if m != nil {
		t.digest += m.digest()
	}
}

// publish calls apply with a version's number: a new one if the list is not the one that was published last, or else 0.
func (t *Table) publish(apply func(under uint32)) {
	list := version.List{From: t.from, Revision: t.revision, Digest: version.Digest(max(1, t.digest))} // as List.Digest
	if t.Versions == nil || list == t.published {
		apply(0)
		return
	}
	t.published = list
	t.Versions.Listed(list, apply)
}

// Cordon takes a host out of service until Uncordon, whatever discovery lists meanwhile. It returns false for an unknown host.
func (t *Table) Cordon(id string) bool { return t.setCordon(id, true) }

// Uncordon puts a host back into service. One that is not cordoned stays as it is. It returns false for an unknown host.
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

// UpdateNames takes over changed names of zones and kinds. Where they have changed the decisions get the cluster again.
func (t *Table) UpdateNames(zones, kinds []string) {
	t.mu.Lock() // to the end, or a drain that comes meanwhile would be undone by the snapshot
	defer t.mu.Unlock()
	same := slices.Equal(t.zones, zones) && slices.Equal(t.kinds, kinds)
	t.zones, t.kinds = zones, kinds
	if !same && len(t.listed) > 0 {
		t.apply(balance.ListCached, t.snapshot().List)
	}
}

// Snapshot is a table's state, for the process that succeeds this one. It is stored as JSON.
type Snapshot struct {
	List     List
	Cordoned []string
}

// Snapshot returns the present state.
func (t *Table) Snapshot() Snapshot {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.snapshot()
}

func (t *Table) snapshot() Snapshot {
	s := Snapshot{
		List:     List{From: t.from, Revision: t.revision, Complete: true, Members: slices.Collect(maps.Values(t.listed))},
		Cordoned: slices.Collect(maps.Keys(t.cordoned)),
	}
	slices.SortFunc(s.List.Members, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
	slices.Sort(s.Cordoned)
	return s
}

// Restore takes over another process's state. Its cordons take effect before its list.
func (t *Table) Restore(s Snapshot) {
	t.mu.Lock()
	for _, id := range s.Cordoned {
		t.cordoned[id] = true
		t.decisions.Cordon(t.assignNumber(id), true)
	}
	t.mu.Unlock()
	if len(s.List.Members) > 0 {
		t.Apply(balance.ListCached, s.List)
	}
}

// countReady counts the listed hosts that are ready, and how many of these a list has as ready, too. Two hosts are the same if
// their ids or their addresses are: discovery may assign new ids.
func (t *Table) countReady(list List) (listed, both int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	ids, addrs := map[string]bool{}, map[string]bool{}
	for _, m := range list.Members {
		if m.State == balance.Ready {
			ids[m.ID], addrs[m.Addr] = true, true
		}
	}
	for _, m := range t.listed {
		if m.State != balance.Ready {
			continue
		}
		listed++
		if ids[m.ID] || addrs[m.Addr] {
			both++
		}
	}
	return listed, both
}

// assignNumber returns a host's number, the FNV-1a hash of its id. Where that is another host's, the id is hashed with a zero
// byte appended.
func (t *Table) assignNumber(id string) balance.EndpointID {
	if n, known := t.numbers[id]; known {
		return n
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	n := balance.EndpointID(h.Sum32())
	for t.ids[n] != "" {
		_, _ = h.Write([]byte{0})
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

// releaseNumber removes the number of a host that is neither listed nor cordoned.
func (t *Table) releaseNumber(id string) {
	if _, listed := t.listed[id]; !listed && !t.cordoned[id] {
		delete(t.ids, t.numbers[id])
		delete(t.numbers, id)
	}
}

// Name returns discovery's id of a host, also of one that was listed lately. It is empty for others, and where Versions is nil.
func (t *Table) Name(n balance.EndpointID) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.recentNames[n]
}

// indexOrLen returns the index of a name in the settings' list; names that are not in it share the next number.
func indexOrLen(names []string, name string) int {
	if i := slices.Index(names, name); i >= 0 {
		return i
	}
	return len(names)
}
