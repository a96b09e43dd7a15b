package router

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"pinelb.example/pinelb/internal/fleet/dissemination"
	"pinelb.example/pinelb/internal/fleet/proxy"
	"pinelb.example/pinelb/internal/fleet/replication"
	"pinelb.example/pinelb/internal/fleet/settings"
	"pinelb.example/pinelb/internal/fleet/transport"
)

// Kinds of messages between routers. Their numbers are part of the protocol: add new kinds at the end.
const (
	kindReplication transport.Kind = iota + 1
	kindHeartbeat
	kindPull
	kindPullReply
	kindUpdate
	kindQuotaRequest
	kindQuotaGrant
	kindAnnouncement      // to all routers
	kindAnnouncementRelay // to a relay, which sends it to all routers
	kindLeaseRenewal
	kindLeaseRenewalReply
	kindAnnouncementZoneRelay // to a core router, which forwards it to its zone
	kindRegisterRequest       // to an acceptor
	kindRegisterReply
	kindRegisterHello
	kindRegisterCollect // to an acceptor
	kindRegisterCollected
	kindCoordinationCall // to a proposer
	kindCoordinationReply
)

// Paths of calls between routers.
const (
	fetchPath   = "/configuration"
	leavePath   = "/leave"
	learnedPath = "/learned"
	statusPath  = "/status"
)

// fleetID returns the number that identifies the fleet in each message, so that messages of other fleets are rejected. It is a hash of
// settings that all machines of a fleet share: the zones with their regions, and the ports.
func fleetID(s *settings.Settings) uint32 {
	var zones []string
	for zone, region := range s.RegionOfZone {
		zones = append(zones, zone+"="+region)
	}
	slices.Sort(zones)
	return uint32(xxhash.Sum64String(fmt.Sprint(zones, s.Ports)))
}

// receive handles a message of another router. Messages that can't be decoded are counted as dropped. The transport calls receive from
// several goroutines.
func (r *Router) receive(p *transport.Packet) {
	var err error
	switch p.Kind {
	case kindReplication:
		err = r.receiveReplication(p)
	case kindHeartbeat:
		err = receiveGossip[dissemination.Heartbeat](r.gossip, p)
	case kindPull:
		err = receiveGossip[dissemination.Pull](r.gossip, p)
	case kindPullReply:
		err = receiveGossip[dissemination.PullReply](r.gossip, p)
	case kindUpdate:
		err = receiveGossip[dissemination.Update](r.gossip, p)
	case kindAnnouncement, kindAnnouncementRelay, kindAnnouncementZoneRelay:
		err = r.receiveAnnouncements(p)
	case kindQuotaRequest:
		err = r.allocatorServer.receiveRequest(p)
	case kindQuotaGrant:
		err = r.quota.receiveGrant(p)
	case kindLeaseRenewal:
		err = r.allocatorServer.receiveRenewal(p)
	case kindLeaseRenewalReply:
		err = r.quota.receiveRenewalReply(p)
	case kindRegisterRequest, kindRegisterReply, kindRegisterHello, kindRegisterCollect, kindRegisterCollected, kindCoordinationCall,
		kindCoordinationReply:
		err = r.coordination.receive(p)
	}
	if err != nil {
		r.transport.Counters.Dropped.Add(1)
	}
}

// receiveReplication passes a message to the replica. It is ignored if this router has no replica.
func (r *Router) receiveReplication(p *transport.Packet) error {
	if r.replica == nil {
		return nil
	}
	var envelope replication.Envelope
	if err := cbor.Unmarshal(p.Body, &envelope); err != nil {
		return err
	}
	return r.replica.Deliver(replication.Replica{Address: p.From, Nonce: p.Nonce}, envelope)
}

// receiveAnnouncements applies other routers' announcements, and forwards them if the message's kind makes this router a relay for them.
func (r *Router) receiveAnnouncements(p *transport.Packet) error {
	var announcements []proxy.Announcement
	if err := cbor.Unmarshal(p.Body, &announcements); err != nil {
		return err
	}
	switch p.Kind {
	case kindAnnouncementRelay:
		r.relay.enqueue(announcements)
	case kindAnnouncementZoneRelay:
		r.relay.forwardToZone(announcements)
	}
	r.dispatcher.ApplyAnnouncements(announcements)
	return nil
}
