// Package trace holds the record of a test run as both ends saw it: the attempts of clients, the requests that endpoints
// received, what discovery wrote to which sidecar, and what became of the sidecars' processes. Players (packages simulation and
// loopback) write it; judges and reports (judge, auditcheck, result) read it. It holds data only and does no I/O. Nothing of it is
// stored under the names of its fields; the texts that the String methods return are stored in result files and don't change.
//
// Times are durations since the start of the run, unless a field says otherwise; Unset stands for a time that never came.
package trace

import (
	"time"

	"pinelb.example/pinelb/internal/auditlog"
)

// Unset is the value of a time that never came.
const Unset = time.Duration(-1)

// Log is the record of a whole run. Players sort each list by time, unless a field says otherwise.
type Log struct {
	ClientAttempts     []ClientAttempt
	EndpointRequests   []EndpointRequest
	DownstreamRequests []DownstreamRequest // finished ones, by client attempt; of the simulation only: sidecars on sockets keep access logs
	UpstreamRequests   []UpstreamRequest   // finished ones, by their start; of the simulation only
	Notifications      []Notification
	SidecarEvents      []SidecarEvent
	Polls              []DiscoveryPoll // of players on sockets only
	Connections        []Connection    // of players on sockets only
	Samples            []Sample
	ReplayedOrders     []ReplayedOrder
	Reports            []auditlog.Report        // the last answer of each first-tier sidecar to an auditor's call, by sidecar; zero if there was none
	AuditLogs          map[int][]auditlog.Entry // all entries that anybody holds of each sidecar's audit log, by sidecar
	Findings           map[string][]byte        // the output of each auditor, JSON lines, by the auditor's name
	HealthChanges      []HealthChange           // of the simulation only
	Usage              []Usage
	Lateness           []time.Duration // of each first client attempt: its actual less its planned start; of players on sockets only
	Start              time.Time       // wall-clock time of the run's start; of players on sockets only
	End                time.Duration   // when the run was over
}
