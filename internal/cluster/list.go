// Package cluster follows discovery: it decodes its lists, keeps the table of upstream hosts that they
// name, and passes each change on to the decisions.
package cluster

import (
	"fmt"
	"math"
	"net/netip"
	"time"

	"github.com/tidwall/gjson"

	"pinelb.example/pinelb/balance"
)

// Member is one upstream host as discovery lists it.
type Member struct {
	ID      string // the same at every sidecar, and over restarts of the host
	Addr    string // may differ from one sidecar to the next
	Zone    string
	Kind    string
	Cell    int
	State   balance.Availability
	Weight  float64
	UpSince time.Duration // its last start, as Unix time; 0 is long ago

	Endpoint balance.EndpointID // its number, once the table has taken it over
}

// List is one answer of discovery: the whole cluster, or the members that have changed.
type List struct {
	From     string `json:"-"` // who told it, as version.List has it
	Revision int64
	Complete bool
	Members  []Member
}

var phases = map[string]balance.Availability{
	"Ready": balance.Ready, "Terminating": balance.Draining, "Gone": balance.Gone,
}

// maxUpSinceMS is the last start that there can be: one beyond it would come round to before all others, and be warm.
const maxUpSinceMS = int64(math.MaxInt64 / time.Millisecond)

// ParseList decodes a list. One that cannot be right is refused whole: half of a change, taken for all
// of it, would leave a drain unseen.
func ParseList(v gjson.Result) (List, error) {
	members := v.Get("members")
	if !v.IsObject() || !members.IsArray() {
		return List{}, fmt.Errorf("cluster: no list of members")
	}
	out := List{Revision: v.Get("revision").Int(), Complete: v.Get("complete").Bool()}
	for i, m := range members.Array() {
		state, known := phases[m.Get("phase").Str]
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
		if _, err := netip.ParseAddrPort(member.Addr); err != nil && state != balance.Gone {
			return List{}, fmt.Errorf("cluster: members[%d].host_port: %w", i, err)
		}
		out.Members = append(out.Members, member)
	}
	return out, nil
}
