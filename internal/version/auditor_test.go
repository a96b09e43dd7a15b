package version

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// bench is an auditor and a fleet that takes what it orders at once, and never acts on it.
type auditorFixture struct {
	a     *Auditor
	now   time.Duration
	fleet []Observation
	d     Reference
	last  RoundResult
}

var (
	oldList = List{Revision: 5, Digest: 1}
	newList = List{Revision: 6, Digest: 2}
)

func newAuditorFixture(n int, share float64) *auditorFixture {
	b := &auditorFixture{now: 100 * time.Second, d: Reference{List: newList}}
	b.a = NewAuditor(Rules{By: "a", Site: "s", Share: share, Grace: 2 * time.Second, Validity: time.Minute, RaisesMinimum: true, IssuesPermits: true}, 0)
	for i := range n {
		b.fleet = append(b.fleet, Observation{Name: fmt.Sprintf("%03d", i), Zone: "z", Reached: true, Incarnation: fmt.Sprint("life ", i), Site: "s", Instances: n, State: Active,
			Version: Version{List: newList}})
	}
	return b
}

// behind leaves the first n with the old list.
func (b *auditorFixture) behind(n int) *auditorFixture {
	for i := range n {
		b.fleet[i].Version.List = oldList
	}
	return b
}

// rounds makes one a second and returns who has a ticket after the last one.
func (b *auditorFixture) rounds(n int) (tickets []string) {
	for range n {
		b.now += time.Second
		for i := range b.fleet {
			b.fleet[i].AnsweredAt = b.now
		}
		b.d.RequestedAt = b.now
		b.last = b.a.Round(b.now, b.now, b.fleet, &b.d)
		tickets = nil
		numbers := map[int]bool{}
		for _, o := range b.last.Orders {
			for i := range b.fleet {
				if s := &b.fleet[i]; s.Name == o.Name && s.Reached {
					s.Minimum, s.Version.Epoch = &o.Order.Minimum, o.Order.Minimum.Epoch
				}
			}
			if o.Order.Permit != nil {
				if no := o.Order.Permit.Number; numbers[no] {
					panic(fmt.Sprint("two tickets have the number ", no))
				}
				numbers[o.Order.Permit.Number] = true
				tickets = append(tickets, o.Name)
			}
		}
	}
	return tickets
}

// The times are written as numbers, so that a change of them shows: a fleet counts after 18 s, from the second round on, and a permit may be reserved for 15 s.
const (
	known18    = 20
	reserved15 = 15
)

// Each case is what a fleet of ten with one straggler and a share of 0.3 gets after a change, and what it would get without.
func TestPermits(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(b *auditorFixture)
		rounds int
		want   int
	}{
		{"a straggler", func(b *auditorFixture) {}, known18, 1},
		{"a new auditor waits", func(b *auditorFixture) {}, known18 - 2, 0},
		{"not reached", func(b *auditorFixture) { b.fleet[0].Reached = false }, known18, 0},
		{"of another site", func(b *auditorFixture) { b.fleet[0].Site = "t" }, known18, 0},
		{"in its grace", func(b *auditorFixture) { b.fleet[0].Version.List = newList; b.rounds(known18); b.behind(1) }, 1, 0},
		{"after its grace", func(b *auditorFixture) { b.fleet[0].Version.List = newList; b.rounds(known18); b.behind(1) }, 4, 1},
		{"as many as the share", func(b *auditorFixture) { b.behind(3) }, known18, 3},
		{"more than the share are behind", func(b *auditorFixture) { b.behind(4) }, known18, 0},
		{"half was not told to adopt", func(b *auditorFixture) { b.behind(5) }, known18, 0},
		{"a floor that nobody meets", func(b *auditorFixture) { b.behind(10) }, known18, 0},
		{"a floor that nobody meets, and all may be shut out", func(b *auditorFixture) { b.behind(10); b.a.rules.Share = 1 }, known18, 0},
		{"those of another site don't meet it", func(b *auditorFixture) { b.behind(3); b.fleet[8].Site, b.fleet[9].Site = "t", "t" }, known18, 0},
		{"small zones", func(b *auditorFixture) { b.behind(3); b.fleet[0].Zone, b.fleet[1].Zone = "y", "y" }, known18, 1},
		{"one ticket a zone", func(b *auditorFixture) {
			b.behind(3)
			for i := range 5 {
				b.fleet[i].Zone = "y"
			}
		}, known18, 1},
		{"the roster is twice as long", func(b *auditorFixture) {
			b.behind(3)
			for i := range b.fleet {
				b.fleet[i].Instances = 5
			}
		}, known18, 1},
		{"the roster is half", func(b *auditorFixture) {
			for i := range b.fleet {
				b.fleet[i].Instances = 20
			}
		}, known18, 0},
		{"half is reached", func(b *auditorFixture) {
			for i := range 5 {
				b.fleet[9-i].Reached = false
			}
		}, known18, 0},
		{"more than half is reached", func(b *auditorFixture) {
			for i := range 4 {
				b.fleet[9-i].Reached = false
			}
		}, known18, 1},
		{"lives that are new", func(b *auditorFixture) {
			b.rounds(known18)
			for i := range 5 {
				b.fleet[9-i].Incarnation = fmt.Sprint("new ", i)
			}
		}, 1, 0},
		{"lives that are new, and have forgotten", func(b *auditorFixture) {
			b.rounds(known18)
			for i := range 5 {
				s := &b.fleet[9-i]
				s.Incarnation, s.Minimum, s.Version.Epoch = fmt.Sprint("new ", i), nil, 0
			}
		}, 1, 0},
		{"names twice", func(b *auditorFixture) {
			for i := range 5 {
				b.fleet = append(b.fleet, b.fleet[0], b.fleet[i])
			}
			gone := b.fleet[0]
			gone.Reached = false
			b.fleet = append([]Observation{gone}, b.fleet...)
		}, known18, 1},
		{"two names for one", func(b *auditorFixture) {
			for i := range 9 {
				b.fleet[i].Incarnation = "one"
			}
		}, known18, 0},
		{"a later order", func(b *auditorFixture) { b.rounds(known18); b.fleet[5].Version.Epoch = 9 }, 1, 0},
		{"a later order of the same epoch", func(b *auditorFixture) {
			b.rounds(known18)
			f := *b.fleet[5].Minimum
			f.By = "b"
			b.fleet[5].Minimum = &f
		}, 1, 0},
		{"tickets are not asked for", func(b *auditorFixture) { b.a.rules.IssuesPermits = false }, known18, 0},
		{"nothing is raised", func(b *auditorFixture) { b.a.rules.RaisesMinimum = false }, known18, 0},
	} {
		b := newAuditorFixture(10, 0.3).behind(1)
		c.change(b)
		if got := b.rounds(c.rounds); len(got) != c.want {
			t.Errorf("%s: tickets for %v, should be %d; %+v", c.name, got, c.want, b.last)
		}
	}
}

// A ticket's number is one sidecar's until it has lapsed for certain, and the share holds meanwhile.
func TestPermitReservations(t *testing.T) {
	b := newAuditorFixture(10, 0.2).behind(2)
	b.rounds(known18)
	b.fleet[0].Reached, b.fleet[1].Reached = false, false
	b.fleet[2].Version.List = oldList
	if got := b.rounds(reserved15 - 1); len(got) != 0 {
		t.Errorf("tickets for %v beside two that may be shut out", got)
	}
	if got := b.rounds(1); len(got) != 1 || got[0] != "002" {
		t.Errorf("tickets for %v once those have lapsed", got)
	}
}

// Who has been under the floor longest gets the ticket that there is.
func TestLongestBelowFirst(t *testing.T) {
	b := newAuditorFixture(10, 0.3)
	for i := range 5 {
		b.fleet[i].Zone = "y"
	}
	b.fleet[3].Version.List = oldList
	b.rounds(2)
	if got := b.behind(1).rounds(known18); len(got) != 1 || got[0] != "003" {
		t.Errorf("tickets for %v", got)
	}
}

// An answer that is older than a round gives nobody a ticket.
func TestStaleAnswers(t *testing.T) {
	b := newAuditorFixture(10, 0.3).behind(1)
	b.rounds(known18)
	if r := b.a.Round(b.now+maxAnswerAge, b.now, b.fleet, nil); len(r.Orders) != 1 {
		t.Errorf("%+v", r.Orders)
	}
	if r := b.a.Round(b.now+maxAnswerAge+1, b.now, b.fleet, nil); len(r.Orders) != 0 {
		t.Errorf("%+v", r.Orders)
	}
}

// A list service that has restarted counts from 1 again: who has the old one's list is behind, though its revision is later.
func TestRestartedListService(t *testing.T) {
	b := newAuditorFixture(10, 0.3)
	b.rounds(1)
	b.d.List = List{Revision: 1, Digest: 3}
	for i := range 9 {
		b.fleet[i].Version.List = b.d.List
	}
	b.rounds(known18)
	for i, s := range b.last.Standings {
		if want := []string{UpToDate, Behind}[i/9]; s.State != want {
			t.Errorf("%s is %s, should be %s", s.Name, s.State, want)
		}
	}
	if b.last.Minimum.missing(&Version{List: newList}) == "" || b.last.Minimum.missing(&Version{List: List{Revision: 7, Digest: 9}}) != "" {
		t.Errorf("%+v", b.last.Minimum)
	}
	// But not one that was told since the service was asked.
	b = newAuditorFixture(1, 0.3)
	b.fleet[0].Version.List = List{Revision: 7, Digest: 9}
	b.rounds(1)
	b.d.RequestedAt -= time.Second
	if r := b.a.Round(b.now, b.now, b.fleet, &b.d); r.Standings[0].State != UpToDate {
		t.Errorf("%+v", r.Standings)
	}
}

// Floors are raised when the demand changes, but one in a time of grace at most, and anew in half of their time, over the highest epoch known.
// One that is raised anew, at 80, holds up no other.
func TestRaiseMinimum(t *testing.T) {
	b := newAuditorFixture(3, 0.5)
	b.fleet[2].Version.Epoch = 41
	var at []int
	epoch := uint64(0)
	for i := range 100 {
		if i >= 10 && i < 20 || i == 81 {
			b.d.List.Revision++
			b.d.List.Digest++
		}
		b.rounds(1)
		if f := b.last.Minimum; f.Epoch != epoch {
			at, epoch = append(at, i), f.Epoch
		}
	}
	if fmt.Sprint(at) != "[0 10 12 14 16 18 20 50 80 81]" || epoch != 42+9 || b.a.Epoch() != epoch {
		t.Errorf("raised at %v, epoch %d", at, epoch)
	}
}

// Whoever was not reached, or can't be compared, is not up to date; nor is it behind. A later list than the reference's is met at first; that
// the list service still has an earlier one when it is asked once more shows it to be of another life.
func TestStandings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newAuditorFixture(rapid.IntRange(1, 8).Draw(t, "n"), 0.3)
		for i := range b.fleet {
			s := &b.fleet[i]
			s.Reached = rapid.Bool().Draw(t, "reached")
			s.Site = rapid.SampledFrom([]string{"s", "t"}).Draw(t, "site")
			s.Version.List = rapid.SampledFrom([]List{oldList, newList, {Revision: 6, Digest: 9}, {Revision: 7, Digest: 9}, {}}).Draw(t, "list")
			s.Version.Settings = rapid.SampledFrom([]Digest{0, 1, 2}).Draw(t, "settings")
		}
		b.d.Settings = rapid.SampledFrom([]Digest{0, 1}).Draw(t, "asked")
		began := b.now + time.Second
		b.rounds(1)
		for _, o := range b.last.Orders {
			if s := b.fleet[int(o.Name[2]-'0')]; !s.Reached || s.Site != "s" {
				t.Fatalf("an order for %+v", s)
			}
		}
		b.rounds(2)
		for i, got := range b.last.Standings {
			s := b.fleet[i]
			want := UpToDate
			switch list := s.Version.List; {
			case !s.Reached:
				want = NotReached
			case s.Site != "s":
				want = Unknown
			case list != newList, b.d.Settings != 0 && s.Version.Settings != 1:
				want = Behind
			}
			since := began
			if s.Version.List.Revision == 7 && (b.d.Settings == 0 || s.Version.Settings == 1) {
				since += time.Second
			}
			if got.State != want || got.Name != s.Name || want == Behind && got.Since != since {
				t.Fatalf("%+v of %+v, should be %s", got, s, want)
			}
		}
	})
}

func TestRules(t *testing.T) {
	good := Rules{By: "a", Site: "s", Share: 0.1, Grace: time.Second, Validity: time.Minute}
	if err := good.Check(); err != nil {
		t.Error(err)
	}
	for _, c := range []struct {
		key  string
		edit func(r *Rules)
	}{
		{"share", func(r *Rules) { r.Share = math.NaN() }},
		{"share", func(r *Rules) { r.Share = 1.1 }},
		{"floor.grace_ms", func(r *Rules) { r.Grace = 31 * time.Second }},
		{"floor.grace_ms", func(r *Rules) { r.Grace = -1e6 }},
		{"floor.for_ms", func(r *Rules) { r.Validity = 2 * time.Hour }},
		{"floor.site", func(r *Rules) { r.Site = "" }},
	} {
		r := good
		c.edit(&r)
		if err, ok := r.Check().(KeyError); !ok || err.Key != c.key {
			t.Errorf("%+v: %v, should name %s", r, err, c.key)
		}
	}
}
