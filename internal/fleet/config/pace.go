package config

// pacedItems is the number of items between two pauses: a millisecond or less of a processor.
const pacedItems = 50

// Pace is called now and then during long work, so that the caller can leave the processor to others. nil: it is not called.
type Pace func()

// after calls the function once after so many items that have been decoded in one list.
func (p Pace) after(items int) {
	if p != nil && items > 0 && items%pacedItems == 0 {
		p()
	}
}

// EstimatePauses is about how often decoding texts of so many bytes calls a Pace.
func EstimatePauses(bytes int) int {
	const bytesPerItem, passes = 260, 2
	return passes * bytes / bytesPerItem / pacedItems
}
