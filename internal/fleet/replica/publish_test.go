package replica

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"pinelb.example/pinelb/internal/fleet/replication"
)

func TestAddressesWithout(t *testing.T) {
	Convey("A machine that comes back with another disk is named as removed and as added", t, func() {
		former := []replication.Replica{{Address: "a", Nonce: 1}, {Address: "b", Nonce: 2}, {Address: "c", Nonce: 3}}
		present := []replication.Replica{{Address: "a", Nonce: 1}, {Address: "b", Nonce: 7}, {Address: "d", Nonce: 4}}
		So(addressesWithout(present, former), ShouldResemble, []string{"b", "d"})
		So(addressesWithout(former, present), ShouldResemble, []string{"b", "c"})
		So(addressesWithout(present, present), ShouldBeEmpty)
	})
}
