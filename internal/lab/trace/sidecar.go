package trace

import (
	"time"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/version"
)

// DownstreamRequest is a client attempt as the sidecar that accepted it saw it. The term is Envoy's.
type DownstreamRequest struct {
	ClientAttempt int // index into Log.ClientAttempts
	Arrived       time.Duration
	Ended         time.Duration // when its final response was there, or its client had disconnected
	Status        Status        // StatusServed, StatusRejected, StatusFailed or StatusCanceled
	Code          int           // HTTP status; 504 is a timeout. 0 if the client had disconnected
	RetryAfter    time.Duration // 0 is none
}

// UpstreamRequest is one request to an endpoint as the sidecar saw it, also where it reached no endpoint. The term is Envoy's.
type UpstreamRequest struct {
	ClientAttempt int // index into Log.ClientAttempts
	Endpoint      int // -1 if it was never sent
	Sent          time.Duration
	Duration      time.Duration
	Status        balance.Status
}

// SidecarEvent is a change in the life cycle of a sidecar's process.
type SidecarEvent struct {
	At      time.Duration
	Sidecar int
	Kind    SidecarEventKind
	Detail  string         // of SidecarCrashed: how it exited and the end of its log
	Digest  version.Digest // of SidecarStarted, where operators call the sidecars: of the endpoint list in its configuration
}

// SidecarEventKind is a kind of SidecarEvent.
type SidecarEventKind uint8

// The kinds of events. Their texts stand in result files.
const (
	SidecarStarted         SidecarEventKind = iota // its process was started
	SidecarReady                                   // it answered 200 on /_health
	SidecarStopping                                // SIGTERM was sent
	SidecarKilled                                  // SIGKILL was sent, by the script or at the end of the grace period
	SidecarExited                                  // it exited after SIGTERM
	SidecarCrashed                                 // it exited though nobody had asked for it
	SidecarReloaded                                // SIGHUP was sent
	SidecarUpgradeStarted                          // a second process was started beside it
	SidecarUpgradeFinished                         // one of the two processes is left
)

var sidecarEventNames = [...]string{"started", "ready", "stopping", "killed", "ended", "crashed", "reloaded", "doubled", "succeeded"}

// String is the kind as result files have it.
func (k SidecarEventKind) String() string { return sidecarEventNames[k] }

// HealthChange is a change in how a sidecar assesses an endpoint; the first is when it begins to use the endpoint.
type HealthChange struct {
	At                time.Duration
	Sidecar, Endpoint int
	Grey              bool // a grey failure: it fails more often than its peers, without being down
	Ejected           bool // left out by outlier detection, or on probation
}

// ReplayedOrder is an operator's order that the player itself gave a sidecar.
type ReplayedOrder struct {
	At         time.Duration
	Sidecar    int
	Epoch      uint64
	StatusCode int // HTTP status of the response; 0 if there was none
}

// Usage is the resources that a sidecar's processes took.
type Usage struct {
	Sidecar        int
	Build          int // 0 or 1: which of the two builds
	CPU            time.Duration
	PeakMemory     int64 // bytes, resident
	MaxDescriptors int   // most file descriptors seen open
}
