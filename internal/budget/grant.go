package budget

import (
	"fmt"
	"strconv"
	"strings"
)

// Limits of a parsed header.
const (
	maxHeaderBytes  = 4 << 10 // of a baggage header; a longer one is neither parsed nor passed on
	maxMemberBytes  = 300     // of the value of this package's member
	maxPathServices = 10      // services in a path
	maxServiceBytes = 24      // of a service's name

	version        = "1"
	valueShareUnit = 1000
)

// memberKey is the key of this package's member of the header "baggage" (W3C Baggage). Servers that follow that standard
// propagate all members to their own calls, also unknown ones.
const memberKey = "pinelb"

// Grant is the data that an attempt carries from one tier to the next, through the server between them.
type Grant struct {
	PoolID        uint64   // of the attempt; all calls that are made for it share its extra attempts
	ExtraAttempts int      // attempts beyond the first that these calls may cause together, here and below
	ValueShare    float64  // the request's share of its class's value, from 0 to 1
	Path          []string // services that the request has passed, in order
}

// Split separates this package's member from a baggage header. rest holds the other members, unchanged except for white
// space around them; it is empty if the header is too long. ok is false if the header is too long, has no valid member of
// this version, or has another such member after the valid one, in which case rest ends there. If ok is false, g is empty
// and rest still does not contain the member.
func Split(header string) (g Grant, rest string, ok bool) {
	if len(header) > maxHeaderBytes {
		return Grant{}, "", false
	}
	var others []string
	for part := range strings.SplitSeq(header, ",") {
		part = strings.TrimSpace(part)
		key, value, found := strings.Cut(part, "=")
		switch {
		case part == "":
		case !found || strings.TrimSpace(key) != memberKey:
			others = append(others, part)
		case ok: // two such members cannot be genuine
			return Grant{}, strings.Join(others, ","), false
		default:
			g, ok = parse(strings.TrimSpace(value))
		}
	}
	return g, strings.Join(others, ","), ok
}

// Join returns the baggage header with the grant's member after the members in rest. If that would be too long, it
// drops rest.
func (g *Grant) Join(rest string) string {
	member := memberKey + "=" + g.String()
	if rest == "" || len(rest)+1+len(member) > maxHeaderBytes {
		return member
	}
	return rest + "," + member
}

// String returns the member's value: the version, the pool's number in hexadecimal, the extra attempts, the value share
// in thousandths and the path, separated by dots. Services in the path are separated by tildes. W3C Baggage allows all
// of these characters unescaped.
func (g *Grant) String() string {
	return fmt.Sprintf("%s.%x.%d.%d.%s", version, g.PoolID, g.ExtraAttempts, int(g.ValueShare*valueShareUnit+0.5), strings.Join(g.Path, "~"))
}

func parse(value string) (Grant, bool) {
	parts := strings.Split(value, ".")
	if len(value) > maxMemberBytes || len(parts) != 5 || parts[0] != version {
		return Grant{}, false
	}
	poolID, err := strconv.ParseUint(parts[1], 16, 64)
	if err != nil {
		return Grant{}, false
	}
	extra, err := strconv.ParseUint(parts[2], 10, 8)
	if err != nil || extra > MaxExtraAttempts {
		return Grant{}, false
	}
	valueShare, err := strconv.ParseUint(parts[3], 10, 16)
	if err != nil || valueShare > valueShareUnit {
		return Grant{}, false
	}
	path, ok := parsePath(parts[4])
	if !ok {
		return Grant{}, false
	}
	return Grant{PoolID: poolID, ExtraAttempts: int(extra), ValueShare: float64(valueShare) / valueShareUnit, Path: path}, true
}

func parsePath(text string) ([]string, bool) {
	if text == "" {
		return nil, true
	}
	path := strings.Split(text, "~")
	if len(path) > maxPathServices {
		return nil, false
	}
	for _, service := range path {
		if !ValidService(service) {
			return nil, false
		}
	}
	return path, true
}
