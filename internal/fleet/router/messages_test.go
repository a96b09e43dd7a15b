package router

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	. "github.com/smartystreets/goconvey/convey"

	"pinelb.example/pinelb/internal/fleet/coordinator"
	"pinelb.example/pinelb/internal/fleet/placement"
	"pinelb.example/pinelb/internal/fleet/registry"
	"pinelb.example/pinelb/internal/fleet/replication"
	"pinelb.example/pinelb/internal/fleet/transport"
)

// Guards against a renamed field or a reordered kind that makes routers of different versions incompatible. The expected encodings were
// recorded with version b772427.
func TestWireFormat(t *testing.T) {
	for _, message := range []struct {
		value   any
		encoded string
	}{
		{
			quotaRequest{Number: 1, Tenant: "t", Min: 2, Want: 3, Origin: "o"},
			"a5010102617403fb400000000000000004fb400800000000000005616f",
		},
		{quotaGrant{Number: 1, Granted: 2, WaitMs: 3, Origin: "o"}, "a4010102fb4000000000000000030304616f"},
		{
			leaseRenewal{
				Number: 1, Contact: 2, Usage: map[string]leaseUsage{"t": {RatePerSecond: 1, Share: 2, Spent: 3}}, Origin: "o",
				WantsLeaseholders: true,
			},
			"a50101020203a16174a301fb3ff000000000000002fb400000000000000003fb400800000000000004616f05f5",
		},
		{
			leaseRenewalReply{Number: 1, Shares: map[string]float64{"t": 2}, Origin: "o", Leaseholders: []string{"r"}},
			"a4010102a16174fb400000000000000003616f04816172",
		},
		{leaveReply{}, "a0"},
	} {
		Convey(fmt.Sprintf("%T is encoded as before", message.value), t, func() {
			encoded, err := cbor.Marshal(message.value)
			So(err, ShouldBeNil)
			So(hex.EncodeToString(encoded), ShouldEqual, message.encoded)
		})
	}
	Convey("The kinds of messages keep their numbers", t, func() {
		for i, kind := range []transport.Kind{
			kindReplication, kindHeartbeat, kindPull, kindPullReply, kindUpdate, kindQuotaRequest, kindQuotaGrant, kindAnnouncement,
			kindAnnouncementRelay, kindLeaseRenewal, kindLeaseRenewalReply, kindAnnouncementZoneRelay, kindRegisterRequest,
			kindRegisterReply, kindRegisterHello, kindRegisterCollect, kindRegisterCollected, kindCoordinationCall, kindCoordinationReply,
		} {
			So(kind, ShouldEqual, transport.Kind(i+1))
		}
	})
}

// Guards against a renamed field that breaks operators' scripts, which read the status. The expected text was recorded with version b772427.
func TestStatusFormat(t *testing.T) {
	Convey("The status has the same fields in JSON as before", t, func() {
		encoded, err := json.Marshal(Status{
			Endpoints: []registry.Endpoint{{ID: "e"}}, Tables: []placement.TableStatus{{}}, Services: []placement.ServiceStatus{{}},
			Replica: &ReplicaStatus{View: replication.View{}},
		})
		So(err, ShouldBeNil)
		So(string(encoded), ShouldEqual, `{"node":"","ready":false,"draining":false,"view":0,"primary":"","version":0,"sequence":0,"leaseAgeMs":0,"configLag":{"ms":0,"known":0,"received":0,"fetching":null},"routers":0,`+
			`"endpoints":[{"ID":"e","Service":"","Address":"","Zone":"","Capacity":0,"State":0,"Sequence":0,"Owner":"","WarmupMs":0}],`+
			`"tables":[{"service":"","targetMs":0,"rows":[null,null,null,null],"payoffBefore":0,"payoffAfter":0}],`+
			`"services":[{"service":"","firstMs":0,"unitUs":0,"pairMs":0,"pauseShare":0,"firstTokens":null,"endpoints":null}],`+
			`"replica":{"leading":false,"view":{"Number":0,"Primary":{"Address":"","Nonce":0},"Members":null,"Witnesses":null}},`+
			`"served":0,"refused":0,"failed":0,"broken":0,"superseded":0,"moved":0,"sentDatagrams":0,"sentBytes":0,"dropped":0,"heartbeatsIgnored":0,"uptimeMs":0}`)
	})
	Convey("The status of the coordination service has the same fields in JSON as before, if the service is on", t, func() {
		encoded, err := json.Marshal(Status{Coordination: &coordinator.Status{
			Acceptors: []replication.Replica{{Address: "a", Nonce: 1}}, Acceptor: &replication.Replica{Address: "a", Nonce: 1},
		}})
		So(err, ShouldBeNil)
		_, part, found := strings.Cut(string(encoded), `,"coordination":`)
		So(found, ShouldBeTrue)
		So(part, ShouldEqual, `{"epoch":0,"acceptors":[{"Address":"a","Nonce":1}],"acceptor":{"Address":"a","Nonce":1},"ready":false,"stored":0,`+
			`"used":0,"calls":0,"unclear":0,"refused":0,"failedOver":0,"duplicates":0,"dropped":0,"syncs":0,"syncErrors":0,"expired":0}}`)
	})
}
