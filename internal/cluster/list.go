// Package cluster follows discovery: it fetches and decodes its lists, maintains the table of upstream hosts that they name, and
// passes each change to the decisions and to the connection pool.
//
// internal/daemon runs a Watcher, and the control server cordons hosts in the Table. The table is pure but for the interfaces
// that it calls (Hosts, Decisions, Observer, Versions); the Watcher does network I/O.
//
// Invariants: a list is taken over completely or not at all; discovery's failures change nothing that is known; the number of a
// host depends on its id alone.
package cluster

import (
	"errors"
	"fmt"
	"math"
	"net/netip"
	"time"

	"github.com/tidwall/gjson"

	"pinelb.example/pinelb/balance"
)

// Member is one upstream host as discovery lists it. It is stored as JSON: its fields keep their names.
type Member struct {
	ID      string // the same at every sidecar, and over restarts of the host
	Addr    string // may differ between sidecars
	Zone    string
	Kind    string
	Cell    int
	State   balance.Availability
	Weight  float64
	UpSince time.Duration // the Unix time of its last start; 0 is long ago

	Endpoint balance.EndpointID // its number, once the table has taken the list over
}

// List is one response of discovery: the complete cluster, or the members that have changed. It is stored as JSON: its fields
// keep their names.
type List struct {
	From     string `json:"-"` // the address that it came from, as in version.List
	Revision int64
	Complete bool
	Members  []Member
}

// availabilities are discovery's phases of a host's life.
var availabilities = map[string]balance.Availability{
	"Ready": balance.Ready, "Terminating": balance.Draining, "Gone": balance.Removed,
}

// maxUpSinceMS is the latest start that a Duration can represent: a later one would overflow to before all others, and the host
// would count as warmed up.
const maxUpSinceMS = int64(math.MaxInt64 / time.Millisecond)

var errNoMembers = errors.New("cluster: no list of members")

// ParseList decodes a list. One with any invalid member is an error, which names the field: half of a change that was taken for
// all of it would leave a drain unseen.
func ParseList(v gjson.Result) (List, error) {
	members := v.Get("members")
	if !v.IsObject() || !members.IsArray() {
		return List{}, errNoMembers
	}
	list := List{Revision: v.Get("revision").Int(), Complete: v.Get("complete").Bool()}
	for i, m := range members.Array() {
		state, known := availabilities[m.Get("phase").Str]
		if !known {
			return List{}, fmt.Errorf("cluster: members[%d].phase %q is unknown", i, m.Get("phase").Str)
		}
		member := Member{
			ID: m.Get("id").Str, Addr: m.Get("host_port").Str, Zone: m.Get("locality").Str, Kind: m.Get("flavor").Str,
			Cell: int(m.Get("cell").Int()), State: state, Weight: m.Get("size").Num,
			UpSince: time.Duration(min(max(0, m.Get("up_since_ms").Int()), maxUpSinceMS)) * time.Millisecond,
		}
		if member.ID == "" {
			return List{}, fmt.Errorf("cluster: members[%d].id is missing", i)
		}
		if _, err := netip.ParseAddrPort(member.Addr); err != nil && state != balance.Removed {
			return List{}, fmt.Errorf("cluster: members[%d].host_port: %w", i, err)
		}
		list.Members = append(list.Members, member)
	}
	return list, nil
}
