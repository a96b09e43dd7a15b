package decision

import (
	"context"
	"math"
	"sync"
)

// Row is a class of calls over several seeds: means, shares in percent.
type Row struct {
	Day       string
	Scheduler Scheduler
	Class     string
	Calls     float64

	Late, LateError                  float64 // with its standard error
	Impossible, LateFirst, Stalled float64
	MissedTokens                           float64 // tokens
}

// Seeds plays a configuration with the seeds 1 to count, each on a goroutine of its own.
func Seeds(ctx context.Context, c Config, count int) ([]Row, error) {
	plays := make([][]Outcome, count)
	errs := make([]error, count)
	var tasks sync.WaitGroup
	for i := range count {
		tasks.Go(func() {
			each := c
			each.Seed = uint64(i + 1)
			if errs[i] = ctx.Err(); errs[i] == nil {
				plays[i], errs[i] = Play(each)
			}
		})
	}
	tasks.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	var rows []Row
	for k := range plays[0] {
		row := Row{Day: c.Day, Scheduler: c.Scheduler, Class: plays[0][k].Class}
		var shares []float64
		for _, play := range plays {
			kind := &play[k]
			percent := 100 / float64(max(1, kind.Calls)) / float64(count)
			row.Calls += float64(kind.Calls) / float64(count)
			row.Impossible += percent * float64(kind.Impossible)
			row.LateFirst += percent * float64(kind.LateFirst)
			row.Stalled += percent * float64(kind.Stalled)
			row.MissedTokens += kind.MissedTokens / float64(count)
			shares = append(shares, 100*kind.Late())
		}
		row.Late, row.LateError = meanAndError(shares)
		rows = append(rows, row)
	}
	return rows, nil
}

// meanAndError is the mean of values with its standard error; 0 of a single one.
func meanAndError(values []float64) (mean, standardError float64) {
	for _, v := range values {
		mean += v / float64(len(values))
	}
	if len(values) < 2 {
		return mean, 0
	}
	sum := 0.0
	for _, v := range values {
		sum += (v - mean) * (v - mean)
	}
	return mean, math.Sqrt(sum / float64(len(values)-1) / float64(len(values)))
}
