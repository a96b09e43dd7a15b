package scenario

import "slices"

// EndpointFaults are the kinds of Fault of a running endpoint, with the names of the model's faults. Discovery notices a
// vanished machine; of the others it learns nothing.
var EndpointFaults = []string{"vanish", "hang", "fail", "slow", "refuse", "cut", "spoil", "drip", "mute"}

// EndpointEvents are the kinds by which endpoints come and go: drain (announced, then its process exits), crash (its
// process exits and is back after Duration), leave (its process exits and its entry stays for Duration), and add (an
// absent endpoint starts).
var EndpointEvents = []string{"crash", "drain", "leave", "add"}

// SidecarAndDiscoveryFaults are the kinds that affect sidecars, their clients, and how discovery notifies them.
var SidecarAndDiscoveryFaults = []string{"discovery_silent", "discovery_late", "discovery_move", "sidecar_kill", "sidecar_stop",
	"sidecar_pause", "sidecar_upgrade", "hurry", "order_again", "disk_full"}

// The faults between processes. They need processes: the virtual player rejects them.
var (
	// ListServiceFaults are those of the list service, as seen by all sidecars or by some.
	ListServiceFaults = []string{"list_down", "list_slow", "list_old", "list_wrong", "list_cut", "list_forget"}
	// LinkFaults are those of the network between sidecars and other processes.
	LinkFaults = []string{"link_cut", "link_slow", "link_reset"}
)

// requestShareFaults are the endpoint faults that affect a share of the requests.
var requestShareFaults = []string{"fail", "cut", "spoil", "drip", "mute"}

// NeedsProcesses reports whether a scenario has something that only the player on sockets can play.
func (s *Scenario) NeedsProcesses() bool {
	return s.Discovery.ListService != nil || len(s.Auditors) > 0 ||
		slices.ContainsFunc(s.Faults, func(f Fault) bool { return isBetweenProcesses(f.Kind) })
}

func isBetweenProcesses(kind string) bool {
	return slices.Contains(ListServiceFaults, kind) || slices.Contains(LinkFaults, kind)
}
