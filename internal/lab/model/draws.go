package model

import "math/rand/v2"

// What is drawn for a job. The order is part of a seed's meaning.
const (
	drawDrop uint64 = iota
	drawFail
	drawError
	drawTruncate
	drawCorrupt
	drawTrickle
	drawCount
)

// pauseStream is the number of the generator's stream for pauses, one that no job's draws come to.
const pauseStream = 1 << 63

// connectionStream is the first of the streams for connections; no job's draws come to them either.
const connectionStream = 1 << 62

// draws decides by chance, for each job apart: a fault changes the fate of those that it strikes and leaves
// the others as they were.
type randomDraws struct {
	seed uint64
	pcg  rand.PCG
}

// hit says whether a job is among a share.
func (d *randomDraws) happens(number, kind uint64, share float64) bool {
	return d.draw(number*drawCount+kind, share)
}

// happensOnConnection is the same of a connection, for one kind of fault.
func (d *randomDraws) happensOnConnection(conn uint64, kind FaultKind, share float64) bool {
	return d.draw(connectionStream+conn<<8+uint64(kind), share)
}

func (d *randomDraws) draw(stream uint64, share float64) bool {
	if share <= 0 {
		return false
	}
	d.pcg.Seed(d.seed, stream)
	return float64(d.pcg.Uint64()>>11) < share*(1<<53)
}
