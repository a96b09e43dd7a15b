package budget

import (
	"fmt"
	"strconv"
	"strings"
)

// Bounds of what is read.
const (
	maxHeader  = 4 << 10 // bytes of a baggage header that are looked at and passed on
	maxMember  = 300     // bytes of our member
	maxPath    = 10      // services
	maxService = 24      // bytes of a service's name
	version    = "1"
)

// member is the key of ours in the header "baggage" (W3C Baggage): servers that follow it carry members that they don't
// know along to their own calls.
const memberKey = "pinelb"

// Grant is what travels with an attempt from one tier to the next, by way of the server between.
type Grant struct {
	PoolID     uint64   // numbers the attempt: all calls that are made for it share its extra attempts
	Extra      int      // attempts beyond the first that they may cause together, here and below
	ValueShare float64  // of its class's worth what the request is worth, from 0 to 1
	Path       []string // services that it has come to, the first first
}

// Split takes our member out of a baggage header. Rest is the others, as they came. Ok is false where it isn't there, is
// faulty, or is of another version: it is then left out of rest all the same, and nothing is taken over from it.
func Split(header string) (c Grant, rest string, ok bool) {
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
		case ok: // twice is nobody's but a forger's
			return Grant{}, strings.Join(others, ","), false
		default:
			c, ok = parse(strings.TrimSpace(value))
		}
	}
	return c, strings.Join(others, ","), ok
}

// Join puts our member behind the others.
func (c *Grant) Join(rest string) string {
	own := memberKey + "=" + c.String()
	if rest == "" || len(rest)+1+len(own) > maxHeader {
		return own
	}
	return rest + "," + own
}

// String is the member's value: the version, the pot, the extra attempts, thousandths of the worth and the path, divided
// by dots; services in the path by tildes. All of it is in W3C Baggage's plain characters.
func (c *Grant) String() string {
	return fmt.Sprintf("%s.%x.%d.%d.%s", version, c.PoolID, c.Extra, int(c.ValueShare*1000+0.5), strings.Join(c.Path, "~"))
}

func parse(value string) (Grant, bool) {
	parts := strings.Split(value, ".")
	if len(value) > maxMember || len(parts) != 5 || parts[0] != version {
		return Grant{}, false
	}
	pot, err1 := strconv.ParseUint(parts[1], 16, 64)
	extra, err2 := strconv.ParseUint(parts[2], 10, 8)
	worth, err3 := strconv.ParseUint(parts[3], 10, 16)
	if err1 != nil || err2 != nil || err3 != nil || extra > MaxExtra || worth > 1000 {
		return Grant{}, false
	}
	c := Grant{PoolID: pot, Extra: int(extra), ValueShare: float64(worth) / 1000}
	if parts[4] != "" {
		c.Path = strings.Split(parts[4], "~")
	}
	if len(c.Path) > maxPath {
		return Grant{}, false
	}
	for _, s := range c.Path {
		if !ValidService(s) {
			return Grant{}, false
		}
	}
	return c, true
}

// AppendService is the path with one more service; of a path that is full the oldest is left out but for the first.
func AppendService(path []string, service string) []string {
	out := append(append(make([]string, 0, len(path)+1), path...), service)
	if len(out) > maxPath {
		out = append(out[:1], out[2:]...)
	}
	return out
}

// ValidService tells whether a text may name a service: letters, digits, "-" and "_", 24 at most.
func ValidService(s string) bool {
	for i := range len(s) {
		c := s[i]
		if !(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '_') {
			return false
		}
	}
	return s != "" && len(s) <= maxService
}
