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

// EstimatePauses returns about how often a Pace is called while JSON of a given size, in bytes, is decoded and made into a Table.
func EstimatePauses(bytes int) int {
	const bytesPerItem, passes = 260, 2
	return passes * bytes / bytesPerItem / itemsPerPause
}
