package decision

import (
	"context"
	"math"
	"sync"
)

// Row is the mean result of a class over several seeds. Shares are in percent.
type Row struct {
	Day       string
	Scheduler Scheduler
	Class     string
	Calls     float64

	Late, LateError                float64 // the share and its standard error
	Impossible, LateFirst, Stalled float64
	MissedTokens                   float64
}

// Seeds plays a configuration with the seeds 1 to count, each on a goroutine of its own, and returns a row for each class. It returns
// the error of the first seed that failed, or that of ctx.
func Seeds(ctx context.Context, c Config, count int) ([]Row, error) {
	plays := make([][]Outcome, count)
	errs := make([]error, count)
	var tasks sync.WaitGroup
	for i := range count {
		tasks.Go(func() {
			seeded := c
			seeded.Seed = uint64(i + 1)
			if errs[i] = ctx.Err(); errs[i] == nil {
				plays[i], errs[i] = Play(seeded)
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
	for class := range plays[0] {
		row := Row{Day: c.Day, Scheduler: c.Scheduler, Class: plays[0][class].Class}
		var shares []float64
		for _, play := range plays {
			outcome := &play[class]
			percent := 100 / float64(max(1, outcome.Calls)) / float64(count)
			row.Calls += float64(outcome.Calls) / float64(count)
			row.Impossible += percent * float64(outcome.Impossible)
			row.LateFirst += percent * float64(outcome.LateFirst)
			row.Stalled += percent * float64(outcome.Stalled)
			row.MissedTokens += outcome.MissedTokens / float64(count)
			shares = append(shares, 100*outcome.Late())
		}
		row.Late, row.LateError = meanAndError(shares)
		rows = append(rows, row)
	}
	return rows, nil
}

// meanAndError returns the mean of values and its standard error, which is 0 for a single value.
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
