package balance

// carryRowsOver gives every endpoint the share that it had at its old index, and a new endpoint an equal share.
func (b *Balancer) carryRowsOver(oldIndex map[*endpointState]int) {
	rows := make([][]float64, len(b.bins))
	for k := range rows {
		rows[k] = make([]float64, len(b.endpoints))
		for i, endpoint := range b.endpoints {
			if j, known := oldIndex[endpoint]; known {
				rows[k][i] = b.rows[k][j]
			} else {
				rows[k][i] = 1 / float64(len(b.endpoints))
			}
		}
		normalise(rows[k])
	}
	b.rows = rows
	b.totalShare = b.sumShares(b.binWeights())
	b.accumulateRows()
}

// sumShares returns each endpoint's share of all requests, given the weight of each bin.
func (b *Balancer) sumShares(weights []float64) []float64 {
	total := make([]float64, len(b.endpoints))
	for k, row := range b.rows {
		for i := range row {
			total[i] += weights[k] * row[i]
		}
	}
	return total
}

// accumulateRows computes the prefix sums of each row, so that a draw from it is a binary search.
func (b *Balancer) accumulateRows() {
	b.cumulativeRows = make([][]float64, len(b.rows))
	for k, row := range b.rows {
		b.cumulativeRows[k] = make([]float64, len(row))
		sum := 0.0
		for i, share := range row {
			sum += share
			b.cumulativeRows[k][i] = sum
		}
	}
}
