package audit

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strings"
	"testing"

	"pinelb.example/pinelb/internal/auditlog"
	"pinelb.example/pinelb/internal/version"
)

// script writes a trail: each call is an entry.
type logScript struct {
	entries     []auditlog.Entry
	incarnation string
	epoch       uint64
	ahead       version.Millis // by how much the wall clock goes before the auditor's
}

func (s *logScript) add(at version.Millis, e auditlog.Entry) *logScript {
	e.Seq, e.At, e.Up, e.Incarnation = uint64(len(s.entries)+1), at+s.ahead, at, s.incarnation
	if n := len(s.entries); n > 0 {
		e.Prev = s.entries[n-1].Sum
	}
	text, err := json.Marshal(e) // as package trail says that a sum is made
	if err != nil {
		panic(err)
	}
	sum := sha256.Sum256(text)
	e.Sum = hex.EncodeToString(sum[:16])
	s.entries = append(s.entries, e)
	return s
}

func (s *logScript) adopt(at version.Millis, under uint32, revision int64, digest version.Digest) *logScript {
	return s.add(at, auditlog.Entry{Kind: auditlog.Adopted, VersionID: under, Version: &version.Version{Epoch: s.epoch, List: version.List{From: "ls", Revision: revision, Digest: digest}}})
}

func (s *logScript) count(at version.Millis, under uint32, n, never int) *logScript {
	return s.add(at, auditlog.Entry{Kind: auditlog.Counted, VersionID: under, Attempts: []auditlog.Attempts{{Class: "c", Host: "h", N: n, Unsent: never}}})
}

// told is what is answered at a time to a call for entries from since on.
func (s *logScript) answer(at version.Millis, since int) Answer {
	return Answer{Midpoint: at, Uncertainty: 10, Report: &auditlog.Report{Now: at + s.ahead, Up: at, Oldest: 1, Next: uint64(len(s.entries) + 1),
		Entries: s.entries[since-1:]}}
}

func contradictionText(h *History) string {
	var all []string
	for _, c := range h.Contradictions {
		all = append(all, c.Kind+" "+c.Sidecar+" "+c.What)
	}
	return strings.Join(all, "\n")
}

// Guards against contradictions that are missed, and against what is none being told as one.
func TestContradictions(t *testing.T) {
	start := func() *logScript {
		return (&logScript{incarnation: "l"}).add(100, auditlog.Entry{Kind: auditlog.Started}).adopt(200, 1, 5, 50)
	}
	for name, c := range map[string]struct {
		play func(h *History)
		want string // "" is nothing
	}{
		"well": {func(h *History) {
			s := start().adopt(5000, 2, 6, 60)
			h.Merge("a", 1, s.answer(6000, 1))
			h.Merge("a", 3, s.count(7000, 2, 3, 0).answer(8000, 3))
			h.Merge("b", 1, s.answer(8000, 1))
		}, ""},
		"hole": {func(h *History) {
			s := start().adopt(5000, 2, 6, 60).adopt(5500, 3, 7, 70)
			a := s.answer(6000, 1)
			a.Report.Entries = append(s.entries[:1:1], s.entries[2:]...)
			h.Merge("a", 1, a)
		}, MissingEntries + " a"},
		"changed": {func(h *History) {
			s := start()
			s.entries[1].VersionID = 7
			h.Merge("a", 1, s.answer(6000, 1))
		}, MissingEntries + " a entry 2: changed"},
		"not told": {func(h *History) {
			h.Merge("a", 1, start().answer(1000, 1))
			h.Merge("a", 2, start().adopt(5000, 2, 6, 60).answer(6000, 3))
		}, MissingEntries + " a"},
		"dropped": {func(h *History) {
			h.Merge("a", 1, start().answer(1000, 1))
			a := start().adopt(5000, 2, 6, 60).answer(6000, 3)
			a.Report.Oldest = 3
			h.Merge("a", 2, a)
		}, ""},
		"rewritten": {func(h *History) {
			h.Merge("a", 1, start().answer(1000, 1))
			h.Merge("a", 2, (&logScript{incarnation: "l"}).add(100, auditlog.Entry{Kind: auditlog.Started}).adopt(300, 1, 5, 50).answer(2000, 2))
		}, Rewritten + " a entry 2"},
		"begun anew": {func(h *History) {
			h.Merge("a", 1, start().adopt(5000, 2, 6, 60).answer(6000, 1))
			h.Merge("a", 3, (&logScript{incarnation: "m"}).add(7000, auditlog.Entry{Kind: auditlog.Started}).adopt(7100, 1, 5, 50).answer(8000, 1))
		}, ""},
		"two processes": {func(h *History) { // the former goes on beside the one that succeeds it
			s := start()
			next := &logScript{entries: append([]auditlog.Entry(nil), s.entries...), incarnation: "m"}
			h.Merge("a", 1, s.adopt(5000, 2, 6, 60).answer(6000, 1))
			h.Merge("a", 3, next.add(4000, auditlog.Entry{Kind: auditlog.Started}).adopt(4100, 1, 5, 50).answer(7000, 3))
		}, ""},
		"revision back": {func(h *History) { h.Merge("a", 1, start().adopt(5000, 2, 4, 40).answer(6000, 1)) }, WentBack + " a ls: revision 4 after 5"},
		"epoch back": {func(h *History) {
			s := (&logScript{incarnation: "l", epoch: 3}).adopt(200, 1, 5, 50)
			s.epoch = 0
			h.Merge("a", 1, s.adopt(5000, 2, 6, 60).answer(6000, 1))
		}, WentBack + " a epoch 0 after 3"},
		"twice": {func(h *History) {
			h.Merge("a", 1, start().answer(1000, 1))
			h.Merge("b", 1, (&logScript{incarnation: "m"}).adopt(200, 1, 5, 51).answer(1000, 1))
		}, ConflictingLists + " b ls revision 5"},
		"early": {func(h *History) {
			publishTwo(h, 1000, 5, 20_000, 6)
			h.Merge("a", 1, (&logScript{incarnation: "l", ahead: -5000}).adopt(12_000, 1, 6, 60).answer(30_000, 1)) // by its clock at 7 s
		}, EarlyAdoption + " a revision 6 was adopted 8."},
		"early, heard of before the list service": {func(h *History) {
			h.Merge("a", 1, (&logScript{incarnation: "l"}).adopt(12_000, 1, 6, 60).answer(13_000, 1))
			publishTwo(h, 1000, 5, 20_000, 6)
		}, EarlyAdoption + " a"},
		"in time by the auditor's clock": {func(h *History) {
			publishTwo(h, 1000, 5, 20_000, 6)
			h.Merge("a", 1, (&logScript{incarnation: "l", ahead: -5000}).adopt(20_500, 1, 6, 60).answer(30_000, 1))
		}, ""},
		"within what the clocks are sure of": {func(h *History) {
			publishTwo(h, 1000, 5, 20_000, 6)
			h.Merge("a", 1, (&logScript{incarnation: "l"}).adopt(18_500, 1, 6, 60).answer(30_000, 1))
		}, ""},
		"a service that counts anew": {func(h *History) {
			publishTwo(h, 1000, 9, 20_000, 6)
			h.Merge("a", 1, (&logScript{incarnation: "l"}).adopt(12_000, 1, 6, 60).answer(30_000, 1))
		}, ""},
		"an order before it was raised": {func(h *History) {
			o := version.Order{Minimum: version.MinimumVersion{Epoch: 4, By: "me"}}
			h.RecordMinimum(20_000, o.Minimum)
			h.Merge("a", 1, (&logScript{incarnation: "l"}).add(5000, auditlog.Entry{Kind: auditlog.Ordered, Order: &o}).answer(30_000, 1))
		}, EarlyAdoption + " a epoch 4"},
	} {
		h := &History{}
		c.play(h)
		if got := contradictionText(h); c.want == "" && got != "" || !strings.HasPrefix(got, c.want) || len(h.Contradictions) > 1 {
			t.Errorf("%s: %q, want %q", name, got, c.want)
		}
	}
}

// publish has the list service tell one revision up to a time, and another from then on.
func publishTwo(h *History, from version.Millis, first int64, then version.Millis, second int64) {
	for at := from; at < then+5000; at += 1000 {
		l := version.List{From: "ls", Revision: first, Digest: version.Digest(first * 10)}
		if at >= then {
			l = version.List{From: "ls", Revision: second, Digest: version.Digest(second * 10)}
		}
		h.Published(at, at+5, l)
	}
}

// Guards against clocks that move what was done: 5 s ahead, set back between two entries or after the last, and a machine that
// was started in between.
func TestTimeline(t *testing.T) {
	for name, c := range map[string]struct {
		entries []auditlog.Entry
		wall    version.Millis
		want    []version.Millis
	}{
		"ahead":                {[]auditlog.Entry{{At: 15_000, Up: 1000}, {At: 16_000, Up: 2000}}, 25_000, []version.Millis{10_000, 11_000}},
		"set back between":     {[]auditlog.Entry{{At: 15_000, Up: 1000}, {At: 11_000, Up: 2000}}, 20_000, []version.Millis{10_000, 11_000}},
		"set back after":       {[]auditlog.Entry{{At: 15_000, Up: 1000}, {At: 16_000, Up: 2000}}, 12_000, []version.Millis{10_000, 11_000}},
		"started in between":   {[]auditlog.Entry{{At: 5000, Up: 900_000}, {At: 16_000, Up: 2000, Incarnation: "m"}}, 25_000, []version.Millis{0, 11_000}},
		"and soon":             {[]auditlog.Entry{{At: 5000, Up: 20_000}, {At: 16_000, Up: 2000, Incarnation: "m"}}, 25_000, []version.Millis{0, 11_000}},
		"and for long":         {[]auditlog.Entry{{At: 5000, Up: 1000}, {At: 500_000, Up: 2000, Incarnation: "m"}}, 509_000, []version.Millis{-484_000, 11_000}},
		"up is not known once": {[]auditlog.Entry{{At: 15_000, Up: 1000}, {At: 15_500}, {At: 16_000, Up: 2000}}, 25_000, []version.Millis{10_000, 10_500, 11_000}},
		"up is not known":      {[]auditlog.Entry{{At: 15_000}, {At: 16_000}}, 25_000, []version.Millis{10_000, 11_000}},
	} {
		got := placeOnTimeline(c.entries, clockSample{Time: 20_000, Uncertainty: 3, Wall: c.wall, Up: 11_000})
		for i := range got {
			if got[i].Time != c.want[i] || got[i].Uncertainty != 3 {
				t.Errorf("%s: entry %d at %d, want %d", name, i, got[i].Time, c.want[i])
			}
		}
	}
}

// Guards against attempts under an old version that don't show, and against those being counted that were in time, or never
// reached a host.
func TestLate(t *testing.T) {
	floor := version.MinimumVersion{Epoch: 1, By: "me", List: 60, Revision: 6, Grace: 3000, Validity: 60_000}
	s := (&logScript{incarnation: "l"}).add(100, auditlog.Entry{Kind: auditlog.Started}).adopt(200, 1, 5, 50)
	s.count(9000, 1, 100, 0)                           // before the floor
	s.count(19_000, 1, 7, 2)                           // over its grace's end, at 13 s
	s.count(29_000, 1, 20, 3)                          // after
	s.adopt(30_000, 2, 6, 60)                          // up to date
	s.count(30_001, 1, 4, 0)                           // of the old one until then
	s.count(39_000, 2, 100, 0)                         // under the new one
	s.adopt(70_500, 3, 5, 50).count(80_000, 3, 100, 0) // the floor has lapsed
	h := &History{}
	h.RecordMinimum(10_000, floor)
	h.Merge("a", 1, s.answer(90_000, 1))
	if got := h.Late("a"); len(got) != 1 || got[0] != (LateAttempts{Host: "h", Certain: 21, Possible: 5}) {
		t.Errorf("%+v", got)
	}
	// A floor that is raised anew gives no second time of grace.
	again := floor
	again.Epoch, again.Validity = 2, 42_000
	h.RecordMinimum(28_000, again)
	if got := h.Late("a"); len(got) != 1 || got[0] != (LateAttempts{Host: "h", Certain: 21, Possible: 5}) {
		t.Errorf("raised anew: %+v", got)
	}
}
