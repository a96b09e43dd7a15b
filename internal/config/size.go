package config

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// Size is a number of bytes, written as text with its unit, "64MiB", or as a plain number.
type Size int64

var units = []struct {
	name  string
	bytes int64
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"B", 1}}

// UnmarshalText parses a whole number with one of the units B, KiB, MiB and GiB.
func (s *Size) UnmarshalText(text []byte) error {
	for _, u := range units {
		number, fits := strings.CutSuffix(string(text), u.name)
		if !fits {
			continue
		}
		n, err := strconv.ParseInt(strings.TrimSpace(number), 10, 64)
		if err != nil || n < 0 || n > math.MaxInt64/u.bytes {
			break
		}
		*s = Size(n * u.bytes)
		return nil
	}
	return fmt.Errorf(`must be a size such as "64MiB"`)
}
