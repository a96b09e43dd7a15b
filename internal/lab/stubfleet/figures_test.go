package stubfleet

import (
	"slices"
	"testing"
	"time"
)

// TestInForce: a change is in force at a sidecar when it first applies its revision or a later one, over restarts; a list of another
// content does not count.
func TestInForce(t *testing.T) {
	p := &play{service: &Service{history: []revision{{0, 11}, {10, 12}, {20, 13}, {30, 14}}}}
	delays, never, wrong := p.inForce([]int64{2, 3, 4}, []Incarnation{
		{Number: 0, Applied: []Applied{{1, 1, 11}, {12, 2, 12}, {33, 4, 14}}},                         // 2, 13, 3
		{Number: 1, Applied: []Applied{{1, 1, 11}, {15, 2, 12}}},                                      // 5
		{Number: 1, Applied: []Applied{{40, 4, 14}}},                                                  // 20, 10
		{Number: 2, Applied: []Applied{{1, 1, 11}, {11, 2, 99}, {25, 3, 13}, {50, 9, 1}, {51, 0, 1}}}, // 15, 5, never
		{Number: 3, Applied: []Applied{{60, 4, 0}}},                                                   // 50, 40, 30
	})
	if want := []time.Duration{2, 3, 5, 5, 10, 13, 15, 20, 30, 40, 50}; !slices.Equal(delays, want) || never != 1 || wrong != 3 {
		t.Errorf("%v, %d never, %d wrong", delays, never, wrong)
	}
}

// TestFirstListTimes: a sidecar that was restarted before its first list counts once.
func TestFirstListTimes(t *testing.T) {
	ms := time.Millisecond
	incarnations := []Incarnation{
		{Number: 0, StartedAt: ms, Applied: []Applied{{At: 4 * ms}, {At: 90 * ms}}},
		{Number: 1, StartedAt: ms}, // restarted before it had one
		{Number: 1, StartedAt: 5 * ms, Applied: []Applied{{At: 15 * ms}}},
		{Number: 2, StartedAt: ms}, // never
	}
	delays, never := firstListTimes(incarnations)
	if want := []time.Duration{3 * ms, 10 * ms}; !slices.Equal(delays, want) || never != 1 || lastFirstList(incarnations, 2*ms) != 13 {
		t.Errorf("%v, %d never, the last %g ms after", delays, never, lastFirstList(incarnations, 2*ms))
	}
}

// TestMaxima: the maximum of bytes is over 6 s, that of calls over 100 ms.
func TestMaxima(t *testing.T) {
	p, calls, bytes := &play{Case: Case{Sidecars: 1}}, int64(0), int64(0)
	for i := range 200 { // 20 s: a call of 100 bytes in each step, and ten times that from 8 s to 14 s
		p.samples = append(p.samples, sample{time.Duration(i) * sampleInterval, [2]Counts{{Calls: calls, In: bytes / 4, Out: bytes - bytes/4}, {}}})
		n := int64(1)
		if i >= 80 && i < 140 {
			n = 10
		}
		calls, bytes = calls+n, bytes+100*n
	}
	var f Figures
	p.countCalls(&f)
	if f.MaxCalls != 10 || f.MaxBytesPerS != 10_000 || f.Calls != 199+9*60 {
		t.Errorf("%+v", f)
	}
}
