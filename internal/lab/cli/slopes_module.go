package cli

import (
	"bytes"
	"context"
	"fmt"
	"os/exec"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"pinelb.example/pinelb/internal/lab/footprint"
)

// slopesModuleCmd measures the decision module by its own benchmarks.
type slopesModuleCmd struct {
	Out   string        `help:"File to which lines of JSON are appended; none is standard output." placeholder:"FILE"`
	Trial bool          `help:"Mark the lines as a trial's."`
	Sizes []int         `help:"Hosts whose benchmarks are taken." default:"12,106,212,425,850,1700"`
	Count int           `help:"Runs of each." default:"5"`
	Time  time.Duration `help:"Length of each." default:"300ms"`
	In    string        `help:"The checkout." default:"." placeholder:"DIR"`
}

// modulePoint is a line of results of slopes module.
type modulePoint struct {
	resultPoint
	Mode   string  `json:"mode"` // decision, change or list
	Hosts  int     `json:"hosts"`
	Micros float64 `json:"us_per_op"`
	Bytes  float64 `json:"bytes_per_op"`
	Allocs float64 `json:"allocs_per_op"`
}

// benchmarkLine matches a result of go test -bench of a benchmark by hosts.
var benchmarkLine = regexp.MustCompile(`^Benchmark(Decision|Change|List)/(\d+)hosts\S*\s+\d+\s+(\S+) ns/op\s+(\d+) B/op\s+(\d+) allocs/op`)

// Run runs the benchmarks and writes a line for each result of the sizes asked for.
func (c *slopesModuleCmd) Run(ctx context.Context, t *terminal) error {
	var flags flagChecker
	flags.sizes("sizes", c.Sizes, maxHosts)
	flags.number("count", float64(c.Count), 1, maxRepeats)
	flags.duration("time", c.Time, minWindow)
	if flags.err != nil {
		return flags.err
	}
	options := measureOptions{Out: c.Out, Trial: c.Trial}
	head := options.newPoint("module")
	cmd := exec.CommandContext(ctx, "go", "test", "-run", "^$", "-bench", "^Benchmark(Decision|Change|List)$", "-count", strconv.Itoa(c.Count),
		"-benchtime", c.Time.String(), "-benchmem", "./balance")
	cmd.Dir = c.In
	var stderr bytes.Buffer
	cmd.Stderr = &stderr
	text, err := cmd.Output()
	if err != nil {
		return fmt.Errorf("%s: %w: %s%s", cmd, err, text, stderr.String())
	}
	head.Load = footprint.LoadAverage()
	for line := range strings.Lines(string(text)) {
		p, ok := parseBenchmark(line)
		if !ok || !slices.Contains(c.Sizes, p.Hosts) {
			continue
		}
		p.resultPoint = head
		if err := options.write(t, p); err != nil {
			return err
		}
	}
	return nil
}

// parseBenchmark reads a line of go test -bench; ok is false if it is not a result of a benchmark by hosts.
func parseBenchmark(line string) (p modulePoint, ok bool) {
	match := benchmarkLine.FindStringSubmatch(line)
	if match == nil {
		return p, false
	}
	p.Mode = strings.ToLower(match[1])
	p.Hosts, _ = strconv.Atoi(match[2])
	for i, target := range []*float64{&p.Micros, &p.Bytes, &p.Allocs} {
		*target, _ = strconv.ParseFloat(match[3+i], 64)
	}
	p.Micros /= 1000
	return p, true
}
