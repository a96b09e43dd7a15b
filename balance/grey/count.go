package grey

// decayedCount counts attempts and failures; both decay exponentially with time.
type decayedCount struct{ attempts, failures float64 }

// add counts an attempt. failed is the probability that it failed, from 0 to 1; a negative value cancels part of an
// earlier failure.
func (c *decayedCount) add(failed float64) {
	c.attempts++
	c.failures = max(0, c.failures+failed)
}

// decay multiplies both counts by keep, from 0 to 1.
func (c *decayedCount) decay(keep float64) {
	c.attempts *= keep
	c.failures *= keep
}

// rate returns the share of attempts that failed, with a prior failure rate that counts as much as weight attempts.
func (c *decayedCount) rate(prior, weight float64) float64 {
	return (c.failures + prior*weight) / (c.attempts + weight)
}
