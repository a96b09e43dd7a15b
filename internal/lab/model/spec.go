package model

import "time"

// CancelRule is what an endpoint stops when a caller cancels a request.
type CancelRule uint8

// The rules.
const (
	CancelNothing CancelRule = iota // the request runs to its end all the same
	CancelQueued                    // it is dropped while queued; if it runs, it runs to its end
	CancelAll                       // it is dropped, also while it runs
)

// Spec is an endpoint as it was built.
type Spec struct {
	Cores         int
	Speed         float64       // of each core; 1 is the standard core
	Slots         int           // requests that run at once, sharing the cores evenly (processor sharing)
	Queue         int           // requests that wait for a slot, first come first served; further ones are rejected
	OverloadAt    int           // pending requests (running and queued) from which efficiency falls; 0 is never
	OverloadLoss  float64       // with n pending, capacity is divided by 1 + OverloadLoss*(n-OverloadAt)/OverloadAt
	PauseInterval time.Duration // mean time between pauses (such as garbage collections); 0 is never
	Pause         time.Duration // mean length of a pause, in which no work is done
	ErrorRate     float64       // share of the requests whose response is an error, after their work

	WarmupInitialShare float64       // capacity right after a start, as a share of the full one
	WarmupDuration     time.Duration // until full capacity, which grows linearly; 0 is full at once
	WarmupByWork       bool          // WarmupDuration counts the busy time of the cores instead of time

	CollapseMultiple float64       // an endpoint that is warming up and is sent more than this times its capacity
	CollapseWindow   time.Duration // in a window of this length collapses and stays down; 0 is never

	MaxConnections      int           // open at once; more are refused. 0 is no bound
	ConnectionTableLoss float64       // share of the capacity that a full connection table takes; in proportion
	HandshakeWork       time.Duration // of a new connection, done with the first request on it
	Cancel              CancelRule
	DedupWindow         time.Duration // a repeat of a key within it from the first run has no effect of its own; 0 is none
}
