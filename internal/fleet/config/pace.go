package config

// itemsPerPause is the number of items that are decoded between two pauses. They take at most 1 ms of processor time.
const itemsPerPause = 50

// Pace is called at intervals during long work and may pause, to yield the processor to other work. nil: no pauses.
type Pace func()

// pauseAfter calls the function if the number of items decoded so far in a list is a multiple of itemsPerPause.
func (p Pace) pauseAfter(items int) {
	if p != nil && items > 0 && items%itemsPerPause == 0 {
		p()
	}
}

// EstimatePauses returns an estimate of how often decoding JSON of a size in bytes, and making a Table of it, calls a Pace.
func EstimatePauses(bytes int) int {
	const bytesPerItem, passes = 260, 2
	return passes * bytes / bytesPerItem / itemsPerPause
}
