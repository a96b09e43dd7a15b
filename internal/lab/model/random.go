package model

import "math/rand/v2"

// The draws of a job. Their order is part of a seed's meaning.
const (
	drawDrop uint64 = iota
	drawFail
	drawError
	drawTruncate
	drawCorrupt
	drawTrickle
	drawCount
)

// Streams of the generator beyond those of the jobs' draws.
const (
	pauseStream      = 1 << 63
	connectionStream = 1 << 62 // the first of them
)

// randomDraws draws independently for each job, so that a fault changes the outcome of those that it affects and leaves
// the others as they were.
type randomDraws struct {
	seed uint64
	pcg  rand.PCG
}

// happens reports whether a job is among a share, for one kind of draw.
func (d *randomDraws) happens(number, kind uint64, share float64) bool {
	return d.draw(number*drawCount+kind, share)
}

// happensOnConnection reports whether a connection is among a share, for one kind of fault.
func (d *randomDraws) happensOnConnection(connection uint64, kind FaultKind, share float64) bool {
	return d.draw(connectionStream+connection<<8+uint64(kind), share)
}

func (d *randomDraws) draw(stream uint64, share float64) bool {
	if share <= 0 {
		return false
	}
	d.pcg.Seed(d.seed, stream)
	return float64(d.pcg.Uint64()>>11) < share*(1<<53)
}
