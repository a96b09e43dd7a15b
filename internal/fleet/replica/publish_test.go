package replica

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"pinelb.example/pinelb/internal/fleet/replication"
)

func TestAddressesNotIn(t *testing.T) {
	Convey("A machine that restarts with a new disk is listed as removed and as added", t, func() {
		previous := []replication.Replica{{Address: "a", Nonce: 1}, {Address: "b", Nonce: 2}, {Address: "c", Nonce: 3}}
		current := []replication.Replica{{Address: "a", Nonce: 1}, {Address: "b", Nonce: 7}, {Address: "d", Nonce: 4}}
		So(addressesNotIn(current, previous), ShouldResemble, []string{"b", "d"})
		So(addressesNotIn(previous, current), ShouldResemble, []string{"b", "c"})
		So(addressesNotIn(current, current), ShouldBeEmpty)
	})
}
