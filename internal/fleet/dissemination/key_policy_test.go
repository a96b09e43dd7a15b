package dissemination

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pinelb.example/pinelb/internal/fleet/config"
)

// keyedTable returns the table of a configuration that had a tenant, and whose last change replaced it by one without a list of tenants: the
// document alone does not tell that requests need a key.
func keyedTable() *config.Table {
	state := config.EmptyState()
	for i, body := range []string{`{"version":1,"tenants":[{"name":"t","apiKeys":["k"]}]}`, `{"version":2}`} {
		var err error
		state, err = state.Apply(&config.Change{Replace: true, Base: int64(i), Body: []byte(body)})
		So(err, ShouldBeNil)
	}
	table, err := config.NewTable(state.Document, nil)
	So(err, ShouldBeNil)
	return table
}

// fetchAll returns the table that a router makes of another router's reply to a request for the complete configuration.
func fetchAll(source *ConfigReplica, packed bool) *config.Table {
	reply, err := source.serveFetch(time.Second, FetchRequest{Packed: packed})
	So(err, ShouldBeNil)
	var receiver ConfigReplica
	So(receiver.history.receive(reply.normalize()), ShouldBeTrue)
	build := receiver.pendingBuild()
	table, err := build.Table(nil)
	So(err, ShouldBeNil)
	receiver.install(build.sequence, table)
	return table
}

// Guards against CONFIG and ROUTE: a router that fetches a configuration whose last tenant was removed and accepts requests without a key,
// or with any.
func TestFetchedConfigurationRequiresKeys(t *testing.T) {
	for _, packed := range []bool{true, false} {
		Convey("A configuration that is fetched, and fetched from who fetched it, still requires keys", t, func() {
			first := ConfigReplica{}
			first.Set(2, keyedTable(), nil)
			second := fetchAll(&first, packed)
			So(second.Document.KeyPolicy(), ShouldEqual, config.KeysRequired)
			relay := ConfigReplica{}
			relay.Set(2, second, nil)
			So(fetchAll(&relay, packed).Document.KeyPolicy(), ShouldEqual, config.KeysRequired)
		})
	}
	Convey("A router that relays the document as it received it, before it is decoded, relays the policy", t, func() {
		source, relay := ConfigReplica{}, ConfigReplica{}
		source.Set(2, keyedTable(), nil)
		reply, err := source.serveFetch(time.Second, FetchRequest{Packed: true})
		So(err, ShouldBeNil)
		So(relay.history.receive(reply.normalize()), ShouldBeTrue)
		relayed, err := relay.serveFetch(time.Second, FetchRequest{Packed: true})
		So(err, ShouldBeNil)
		So(relayed.KeyPolicy, ShouldEqual, config.KeysRequired)
	})
	Convey("A configuration that never had tenants requires none after it is fetched", t, func() {
		table, err := config.NewTable(config.EmptyDocument(), nil)
		So(err, ShouldBeNil)
		source := ConfigReplica{}
		source.Set(1, table, nil)
		So(fetchAll(&source, true).Document.KeyPolicy(), ShouldEqual, config.KeysOptional)
	})
}
