package config

import (
	"fmt"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	. "github.com/smartystreets/goconvey/convey"
)

// keyedRoutes are the parts of a document that the tests of keys don't change.
const keyedRoutes = `"routes":[{"name":"a","host":"h","pathPrefix":"/a/","timeoutMs":1,"service":"s"},` +
	`{"name":"p","host":"h","pathPrefix":"/p/","timeoutMs":1,"service":"s","public":true}],"services":[{"name":"s"}]`

// accessTest is a series of changes, and what requests are accepted after it.
type accessTest struct {
	name        string
	changes     []string // documents that replace the configuration, and patches that begin with "modify"
	withoutKey  bool     // a request without a key is accepted
	withKeyOfT1 bool     // a request with the key of the tenant t1 is accepted
}

const (
	t1, t2 = `{"name":"t1","apiKeys":["k1"]}`, `{"name":"t2","apiKeys":["k2"]}`
	both   = `"tenants":[` + t1 + `,` + t2 + `]`
	modify = "modify"
)

var accessTests = []accessTest{
	{"a fleet that never had tenants", []string{``, `"x":1`}, true, false},
	{"a fleet whose list of tenants was always empty", []string{`"tenants":[]`, modify + `"upsert":{"tenants":[]}`}, true, false},
	{"a removal from a list that was never there", []string{``, modify + `"remove":{"tenants":["t1"]}`}, true, false},
	{"a tenant", []string{`"tenants":[` + t1 + `]`}, false, true},
	{"a tenant after none", []string{``, modify + `"upsert":{"tenants":[` + t1 + `]}`}, false, true},
	{"one of two tenants is removed", []string{both, modify + `"remove":{"tenants":["t2"]}`}, false, true},
	{"all tenants are removed, one after the other", []string{both, modify + `"remove":{"tenants":["t2"]}`, modify + `"remove":{"tenants":["t1"]}`}, false, false},
	{"all tenants are removed at once", []string{both, modify + `"remove":{"tenants":["t1","t2"]}`}, false, false},
	{"the last key is removed from its tenant", []string{both, modify + `"remove":{"tenants":["t2"]},"upsert":{"tenants":[{"name":"t1","apiKeys":[]}]}`}, false, false},
	{"a tenant without keys after none", []string{``, `"tenants":[{"name":"t1"}]`}, false, false},
	{"an empty list replaces the tenants", []string{both, `"tenants":[]`}, false, false},
	{"a document without a list replaces the tenants", []string{both, ``}, false, false},
	{"changes after the removal of all", []string{both, ``, `"tenants":[]`, modify + `"remove":{"tenants":["t1"]}`, `"x":1`}, false, false},
	{"a tenant comes back", []string{both, ``, modify + `"upsert":{"tenants":[` + t1 + `]}`}, false, true},
	{"an empty key is no key", []string{`"tenants":[{"name":"t1","apiKeys":["","k1"]}]`}, false, true},
}

// apply returns the state after the test's changes.
func (c *accessTest) apply() (*State, error) {
	state := EmptyState()
	for i, text := range c.changes {
		version := int64(i + 1)
		change := &Change{Base: version - 1, Replace: true}
		if rest, isPatch := strings.CutPrefix(text, modify); isPatch {
			change.Replace = false
			change.Body = fmt.Appendf(nil, `{"version":%d,%s}`, version, rest)
		} else {
			change.Body = fmt.Appendf(nil, `{"version":%d,%s%s}`, version, keyedRoutes, separated(text))
		}
		var err error
		if state, err = state.Apply(change); err != nil {
			return nil, err
		}
	}
	return state, nil
}

func separated(text string) string {
	if text == "" {
		return ""
	}
	return "," + text
}

func accepts(table *Table, path, key string) bool {
	_, ok := table.Authorize(table.Route("h", path), key)
	return ok
}

// checkAccess checks a state against what its test expects.
func (c *accessTest) checkAccess(state *State) {
	table, err := NewTable(state.Document, nil)
	So(err, ShouldBeNil)
	So(accepts(table, "/a/", ""), ShouldEqual, c.withoutKey)
	So(accepts(table, "/a/", "k1"), ShouldEqual, c.withKeyOfT1)
	So(accepts(table, "/a/", "k2"), ShouldBeFalse)
	So(accepts(table, "/a/", "never-held"), ShouldBeFalse)
	for _, key := range []string{"", "k1", "never-held"} {
		So(accepts(table, "/p/", key), ShouldBeTrue)
	}
}

// Guards against CONFIG and ROUTE: requests with revoked or unknown keys, or without a key, that run once the last tenant is removed, also
// after the state was stored or sent; and against requests that are denied in a fleet without tenants.
func TestRemovalOfLastTenantOpensNothing(t *testing.T) {
	for i := range accessTests {
		c := &accessTests[i]
		Convey(c.name, t, func() {
			state, err := c.apply()
			So(err, ShouldBeNil)
			c.checkAccess(state)
			encoded, err := state.Encode()
			So(err, ShouldBeNil)
			stored, err := DecodeState(encoded)
			So(err, ShouldBeNil)
			c.checkAccess(stored)
			sent, err := ParseDocumentAfter(state.Document.KeyPolicy(), state.Document.Encode(), nil)
			So(err, ShouldBeNil)
			c.checkAccess(&State{Document: sent})
		})
	}
}

// Guards against a state of a build that recorded no key policy being read as one that requires no key although its last tenant was removed.
func TestKeyPolicyOfEarlierBuilds(t *testing.T) {
	for tenants, policy := range map[string]KeyPolicy{``: KeysOptional, `,"tenants":[]`: KeysRequired, `,"tenants":[` + t1 + `]`: KeysRequired} {
		Convey(fmt.Sprintf("A stored document with %q", tenants), t, func() {
			encoded, err := cbor.Marshal(map[int][]byte{1: []byte(`{"version":1,` + keyedRoutes + tenants + `}`)})
			So(err, ShouldBeNil)
			state, err := DecodeState(encoded)
			So(err, ShouldBeNil)
			So(state.Document.KeyPolicy(), ShouldEqual, policy)
		})
	}
	Convey("The zero value requires a key", t, func() {
		So(KeyPolicy(0).RequiresKey(), ShouldBeTrue)
	})
}
