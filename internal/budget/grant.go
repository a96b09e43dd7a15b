package budget

import (
	"fmt"
	"strconv"
	"strings"
)

// Bounds of what is parsed.
const (
	maxHeader  = 4 << 10 // bytes of a baggage header that are parsed and passed on
	maxMember  = 300     // bytes of our member
	maxPath    = 10      // services
	maxService = 24      // bytes of a service's name

	version        = "1"
	valueShareUnit = 1000
)

// memberKey is the key of our member of the header "baggage" (W3C Baggage): servers that follow it pass members that they
// don't know on to their own calls.
const memberKey = "pinelb"

// Grant is what travels with an attempt from one tier to the next, by way of the server between.
type Grant struct {
	PoolID        uint64   // of the attempt: all calls that are made for it share its extra attempts
	ExtraAttempts int      // attempts beyond the first that they may cause together, here and below
	ValueShare    float64  // share of its class's value that the request has, from 0 to 1
	Path          []string // services that it has come through, the first first
}

// Split takes our member out of a baggage header. Rest is the others, as they came. Ok is false where our member is absent,
// invalid or of another version: it is left out of rest all the same, and g is empty.
func Split(header string) (g Grant, rest string, ok bool) {
	if len(header) > maxHeader {
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
		case ok: // two members are forged
			return Grant{}, strings.Join(others, ","), false
		default:
			g, ok = parse(strings.TrimSpace(value))
		}
	}
	return g, strings.Join(others, ","), ok
}

// Join appends our member to the others.
func (g *Grant) Join(rest string) string {
	member := memberKey + "=" + g.String()
	if rest == "" || len(rest)+1+len(member) > maxHeader {
		return member
	}
	return rest + "," + member
}

// String is the member's value: the version, the pool in hexadecimal, the extra attempts, thousandths of the value share and
// the path, separated by dots; services in the path by tildes. All of its characters are plain ones of W3C Baggage.
func (g *Grant) String() string {
	return fmt.Sprintf("%s.%x.%d.%d.%s", version, g.PoolID, g.ExtraAttempts, int(g.ValueShare*valueShareUnit+0.5), strings.Join(g.Path, "~"))
}

func parse(value string) (Grant, bool) {
	parts := strings.Split(value, ".")
	if len(value) > maxMember || len(parts) != 5 || parts[0] != version {
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
	if len(path) > maxPath {
		return nil, false
	}
	for _, service := range path {
		if !ValidService(service) {
			return nil, false
		}
	}
	return path, true
}
