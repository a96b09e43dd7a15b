package plan

import (
	"time"

	"pinelb.example/pinelb/internal/lab/model"
)

// EventKind is what an event does.
type EventKind uint8

// The kinds of event, and the fields of Event that each uses.
const (
	StartFault    EventKind = iota + 1 // Endpoint, Fault
	EndFault                           // Endpoint, Fault.ID
	StartEndpoint                      // Endpoint: an absent one starts, and warms up
	NotifySidecar                      // Sidecar, Entry: its agent of discovery has the entry from now on
	StartSidecar                       // Sidecar, as in all below
	StopSidecar                        // SIGTERM
	KillSidecar                        // SIGKILL
	SuspendDiscovery
	ResumeDiscovery
	MoveDiscovery  // to another address, which sidecars read on SIGHUP
	UpgradeSidecar // a second process replaces the first
	PauseSidecar   // Duration: its process is stopped, and then continues
	StartListFault // ID, ListFault: as this sidecar sees the list service
	EndListFault   // ID
	StartLinkFault // ID, LinkFault
	EndLinkFault   // ID, LinkFault.Target
	StartAuditor   // ID: its index in the scenario
	KillAuditor    // ID
	PauseAuditor   // ID, Duration
	SaveOrder      // Sidecar, ID: the order in force there is saved
	ReplayOrder    // Sidecar, ID, EpochIncrement: and sent again
)

var eventNames = [...]string{"", "begins", "ends", "box starts", "told", "sidecar starts", "sidecar stops", "sidecar is killed",
	"discovery falls silent", "discovery is back", "discovery moves", "sidecar is upgraded", "sidecar pauses",
	"list fault begins", "list fault ends", "link fault begins", "link fault ends",
	"auditor starts", "auditor is killed", "auditor pauses", "order is kept", "order is played again"}

// String returns the kind as reports and messages have it.
func (k EventKind) String() string { return eventNames[k] }

// Event is something that happens during a run at a time that is fixed before.
type Event struct {
	At             time.Duration
	Kind           EventKind
	Endpoint       int // -1 is none
	Sidecar        int // -1 is none, or all; for NotifySidecar and list faults the list service itself
	Fault          model.Fault
	Entry          ListEntry
	Duration       time.Duration
	ID             int // of a fault of the list service or of a link, of an auditor, or of an order
	EpochIncrement int // added to the epoch of a replayed order
	ListFault      ListFault
	LinkFault      LinkFault
}

// Annotation is a fault as reports show it.
type Annotation struct {
	Name     string
	From, To time.Duration // To is at most the end of the run
}
