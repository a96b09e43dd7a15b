// Package retry bounds the requests that are sent to a second endpoint: a token bucket a service, filled by the first
// tries of this router (as Finagle's retry budget), so that no agreement among routers is needed. It is pure.
package retry

import "time"

// Settings are what all routers together may spend.
type Settings struct {
	Ratio  float64       // repeats a first try
	Window time.Duration // over which repeats are counted
	Slack  float64       // repeats beyond the ratio, in a window, of all routers
}

// shareOfRatio is spent at most: the window counts what clients sent, and that is not seen in whole.
const shareOfRatio = 0.6

// shareOfSlack is what a router begins with, over the number of routers: each start of one begins with it again.
const shareOfSlack = 0.25

// Budget is one router's for one service. The zero value is not useful.
type Budget struct {
	settings Settings
	level    float64
	most     float64
}

// New returns the budget of one router of so many.
func New(settings Settings, routers int) *Budget {
	start := shareOfSlack * settings.Slack / float64(max(1, routers))
	return &Budget{settings: settings, level: start, most: max(1, start)}
}

// RecordRequest counts a first try.
func (b *Budget) RecordRequest() {
	b.level = min(b.level+shareOfRatio*b.settings.Ratio, b.most)
}

// Withdraw takes one repeat; false: none is left.
func (b *Budget) Withdraw() bool {
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

// Refund gives back a repeat that was not sent.
func (b *Budget) Refund() { b.level = min(b.level+1, b.most) }
