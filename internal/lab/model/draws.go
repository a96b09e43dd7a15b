package model

import "math/rand/v2"

// What is drawn for a job. The order is part of a seed's meaning.
const (
	drawMute uint64 = iota
	drawFail
	drawError
	drawCut
	drawSpoil
	drawDrip
	drawKinds
)

// pauseStream is the number of the generator's stream for pauses, one that no job's draws come to.
const pauseStream = 1 << 63

// draws decides by chance, for each job apart: a fault changes the fate of those that it strikes and leaves
// the others as they were.
type draws struct {
	seed uint64
	pcg  rand.PCG
}

// hit says whether a job is among a share.
func (d *draws) hit(number, kind uint64, share float64) bool {
	if share <= 0 {
		return false
	}
	d.pcg.Seed(d.seed, number*drawKinds+kind)
	return float64(d.pcg.Uint64()>>11) < share*(1<<53)
}
