package grey

// decayedCount counts attempts and failures, which lose weight with time.
type decayedCount struct{ attempts, failures float64 }

// add counts an attempt; failed is from 0 to 1, or below 0 to take a failure back.
func (c *decayedCount) add(failed float64) {
	c.attempts++
	c.failures = max(0, c.failures+failed)
}

// decay leaves the counts the given share of their weight.
func (c *decayedCount) decay(keep float64) {
	c.attempts *= keep
	c.failures *= keep
}

// rate is the share that failed, as if prior had failed of so many attempts as well.
func (c *decayedCount) rate(prior, weight float64) float64 {
	return (c.failures + prior*weight) / (c.attempts + weight)
}
