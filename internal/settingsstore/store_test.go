package settingsstore

import (
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pinelb.example/pinelb/internal/version"
)

const s = time.Second

// made is a publish as it really was: what it was made after, one by one.
type made struct {
	record *Record
	after  map[version.Edition]bool
}

// distributorSimulation is some distributors, what was really published, and readers that ask any of them.
type distributorSimulation struct {
	t       *rapid.T
	stores  []*Store
	made    map[version.Edition]made
	ever    []*Record // that a distributor held at some time: any may come once more, and late
	readers []version.Edition
}

func (w *distributorSimulation) merge(at int, r *Record) {
	w.t.Helper()
	if _, _, err := w.stores[at].Merge(r); err != nil {
		w.t.Fatal(err)
	}
	w.ever = append(w.ever, w.stores[at].Record(r.Service))
}

// publish has a distributor publish, or roll back, over what it holds.
func (w *distributorSimulation) publish(at int, contents string, back bool) {
	current := w.stores[at].Record("s")
	r, err := w.stores[at].Next("s", []byte(contents))
	if back {
		r, err = w.stores[at].RollBack("s")
		if current == nil || current.Previous == nil {
			if !errors.Is(err, ErrNoPrevious) {
				w.t.Fatalf("rolled back to nothing: %v", err)
			}
			return
		}
		if string(r.Settings) != string(current.Previous.Settings) {
			w.t.Fatalf("rolled back to %s, not %s", r.Settings, current.Previous.Settings)
		}
	}
	if err != nil {
		w.t.Fatal(err)
	}
	if _, twice := w.made[r.Edition]; twice {
		w.t.Fatalf("%s was published twice", r.Edition)
	}
	m := made{r, map[version.Edition]bool{}}
	for before := range w.known(current) {
		m.after[before] = true
	}
	w.made[r.Edition] = m
	w.merge(at, r)
}

// known are the editions that whoever holds a record has had in it, or before.
func (w *distributorSimulation) known(current *Record) map[version.Edition]bool {
	out := map[version.Edition]bool{}
	if current == nil {
		return out
	}
	for _, e := range []*State{&current.State, current.Overruled} {
		if e == nil {
			continue
		}
		out[e.Edition] = true
		for before := range w.made[e.Edition].after {
			out[before] = true
		}
	}
	return out
}

func (w *distributorSimulation) poll(reader, at int) {
	text, id, err := w.stores[at].Poll(0, Request{Service: "s", Since: w.readers[reader]})
	if err != nil || id != 0 {
		w.t.Fatalf("a question that doesn't wait: watch %d, %v", id, err)
	}
	if text == nil {
		return
	}
	got, err := Parse(text)
	if err != nil || got.Compare(w.readers[reader]) <= 0 {
		w.t.Fatalf("a reader at %s is told %s, %v", w.readers[reader], got.Edition, err)
	}
	w.readers[reader] = got.Edition
}

// exchange has all tell all, until nothing changes.
func (w *distributorSimulation) exchange() {
	for changed := true; changed; {
		changed = false
		for from, store := range w.stores {
			r := store.Record("s")
			for to := range w.stores {
				if r == nil || to == from {
					continue
				}
				keep, _, err := w.stores[to].Merge(r)
				changed = changed || keep != nil
				if err != nil {
					w.t.Fatal(err)
				}
			}
		}
	}
}

// In whatever order records come, and how often: readers never go back, no edition is given twice, and once all have told all, all
// hold the same newest: the one that wins of all that were ever published; and they name the newest that lost of those that it was
// not made after (with three sides apart: one of those).
func TestMergesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pick := func(name string, n int) int { return rapid.IntRange(0, n-1).Draw(t, name) }
		w := &distributorSimulation{t: t, made: map[version.Edition]made{}, readers: make([]version.Edition, 3)}
		for i := range 2 + pick("distributors", 3) {
			w.stores = append(w.stores, NewStore(fmt.Sprint("d", i), fmt.Sprint("l", i), nil, true))
		}
		n := len(w.stores)
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			switch pick("event", 6) {
			case 0, 1:
				w.publish(pick("at", n), fmt.Sprintf(`{"a":%d}`, pick("contents", 5)), false)
			case 2:
				w.publish(pick("at", n), `{}`, true)
			case 3:
				if r := w.stores[pick("from", n)].Record("s"); r != nil {
					w.merge(pick("to", n), r)
				}
			case 4:
				if len(w.ever) > 0 {
					w.merge(pick("to", n), w.ever[pick("late", len(w.ever))])
				}
			case 5:
				w.poll(pick("reader", len(w.readers)), pick("at", n))
			}
		}
		w.exchange()
		if len(w.made) == 0 {
			return
		}
		var won, lost version.Edition
		for e := range w.made {
			if e.Compare(won) > 0 {
				won = e
			}
		}
		for e := range w.made {
			if e != won && !w.made[won].after[e] && e.Compare(lost) > 0 {
				lost = e
			}
		}
		first := w.stores[0].Record("s")
		for i, store := range w.stores {
			r := store.Record("s")
			if r.Edition != won || !reflect.DeepEqual(r.State, w.made[won].record.State) || !reflect.DeepEqual(r.Previous, w.made[won].record.Previous) {
				t.Fatalf("distributor %d holds %+v, %+v won", i, r, w.made[won].record)
			}
			if !r.Same(first) {
				t.Fatalf("distributor %d holds %+v, the first %+v", i, r, first)
			}
			switch o := r.Overruled; {
			case o == nil && !lost.None() && n == 2, o != nil && n == 2 && o.Edition != lost:
				t.Fatalf("%+v is said to have lost, %s has", o, lost)
			case o != nil && (w.made[won].after[o.Edition] || o.Edition == won):
				t.Fatalf("%s is said to have lost, %s was made after it", o.Edition, won)
			}
			again, err := ParseRecord(EncodeRecord(r))
			if err != nil || !reflect.DeepEqual(again, r) {
				t.Fatalf("written and read: %+v, %v, want %+v", again, err, r)
			}
		}
	})
}

// waiter is a watch as the plain oracle has it.
type waiter struct {
	service string
	seen    version.Edition
}

// A watch is told exactly when there is something newer for it, its answer is the newest of the moment at which it ends, and
// sidecars stand as a plain reading of what they said last has it.
func TestWatchesAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pick := func(name string, n int) int { return rapid.IntRange(0, n-1).Draw(t, name) }
		st := NewStore("d", "l", nil, true)
		now, open := time.Duration(0), map[uint64]waiter{}
		newest, history := map[string]State{}, map[string][]version.Edition{}
		said := map[sidecarKey]Request{}
		when := map[sidecarKey]time.Duration{}
		end := func(id uint64) {
			text, want := st.EndWatch(id), newest[open[id].service]
			if want.Compare(open[id].seen) <= 0 {
				if text != nil {
					t.Fatalf("%+v is answered %s, there is nothing newer", open[id], text)
				}
			} else if got, err := Parse(text); err != nil || !reflect.DeepEqual(got, want) {
				t.Fatalf("%+v is answered %+v, %v, want %+v", open[id], got, err, want)
			}
			delete(open, id)
		}
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now += time.Duration(pick("ms", 3000)) * time.Millisecond
			service := []string{"a", "b"}[pick("service", 2)]
			switch pick("event", 4) {
			case 0:
				r, err := st.Next(service, fmt.Appendf(nil, `{"n":%d}`, len(history[service])))
				if err != nil {
					t.Fatal(err)
				}
				_, notified, err := st.Merge(r)
				if err != nil {
					t.Fatal(err)
				}
				newest[service] = r.State
				history[service] = append(history[service], r.Edition)
				var want []uint64
				for id, w := range open {
					if w.service == service {
						want = append(want, id)
					}
				}
				slices.Sort(want)
				if !slices.Equal(notified, want) {
					t.Fatalf("%v are told, want %v", notified, want)
				}
			case 1, 2:
				q := Request{Service: service, Name: fmt.Sprint("n", pick("name", 4)), Wait: time.Duration(pick("wait", 4)) * s}
				seen := append([]version.Edition{{}}, history[service]...)
				q.Since = seen[pick("since", len(seen))]
				if pick("refuses", 3) == 0 {
					q.Rejected, q.Reason = seen[pick("refused", len(seen))], "why"
				}
				text, id, err := st.Poll(now, q)
				said[sidecarKey{service, q.Name}], when[sidecarKey{service, q.Name}] = q, now
				newer := newest[service].Edition.Compare(q.Since) > 0 && newest[service].Edition.Compare(q.Rejected) > 0
				if err != nil || newer != (text != nil) || (id != 0) != (!newer && q.Wait > 0) {
					t.Fatalf("%+v: %s, watch %d, %v; the newest is %s", q, text, id, err, newest[service].Edition)
				}
				if id != 0 {
					open[id] = waiter{service, q.NewestSeen()}
				}
			case 3:
				for id := range open {
					end(id)
					break
				}
			}
			if got, _ := st.Watches(); got != len(open) {
				t.Fatalf("%d watches are open, want %d", got, len(open))
			}
			for _, c := range st.Sidecars(now, service) {
				q, at := said[sidecarKey{service, c.Name}], when[sidecarKey{service, c.Name}]
				want := InForce
				switch n := newest[service].Edition; {
				case now > at+q.Wait+s:
					want = Unresponsive
				case !n.None() && q.Rejected == n:
					want = Rejected
				case q.Since != n:
					want = Behind
				}
				if c.State != want || c.InForce != q.Since || c.Rejected != q.Rejected || c.Reason != q.Reason || c.LastRequestAgo.D() != now-at {
					t.Fatalf("%+v, want %s of %+v at %s", c, want, q, at)
				}
			}
		}
	})
}

func publish(t *testing.T, st *Store, service, contents string) *Record {
	t.Helper()
	r, err := st.Next(service, []byte(contents))
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err = st.Merge(r); err != nil {
		t.Fatal(err)
	}
	return r
}

// Guards against a store that grows without bound, and against one whose bound keeps its distributors' watches out.
func TestStoreBounds(t *testing.T) {
	st := NewStore("d", "l", nil, true)
	for i := range MaxSidecars + 10 {
		if _, _, err := st.Poll(time.Duration(i), Request{Service: "s", Name: fmt.Sprint("n", i)}); err != nil {
			t.Fatal(err)
		}
	}
	if got := st.Sidecars(MaxSidecars+10, "s"); len(got) != MaxSidecars || slices.ContainsFunc(got, func(c Sidecar) bool { return c.Name == "n9" }) {
		t.Errorf("%d sidecars are known", len(got))
	}
	if got := st.Sidecars(MaxSidecars+10+sidecarTTL, "s"); len(got) != 0 {
		t.Errorf("%d sidecars are known after %s of silence", len(got), sidecarTTL)
	}
	for i := range MaxWatches + 2 {
		text, id, err := st.Poll(0, Request{Service: fmt.Sprint("s", i%3), Wait: s})
		if text != nil || (id != 0) != (i < MaxWatches) || errors.Is(err, ErrTooManyWatches) != (i >= MaxWatches) {
			t.Fatalf("watch %d: %d, %v", i, id, err)
		}
	}
	for i := range MaxPeers + 1 {
		_, id, err := st.PollPeer(PeerRequest{Incarnation: "l", Name: "p", Wait: 1})
		if (id != 0) != (i < MaxPeers) || errors.Is(err, ErrTooManyWatches) != (i >= MaxPeers) {
			t.Fatalf("distributor's watch %d: %d, %v", i, id, err)
		}
	}
	for id := range uint64(MaxWatches) {
		st.EndWatch(id + 1)
		st.EndWatch(id + 1) // once more is nothing
	}
	for id := range uint64(MaxPeers) {
		st.EndPeerWatch(MaxWatches + id + 1)
	}
	if sidecars, peers := st.Watches(); sidecars != 0 || peers != 0 || len(st.watches) != 0 || len(st.watchesByService) != 0 {
		t.Errorf("%d and %d watches are open in the end: %v, %v", sidecars, peers, st.watches, st.watchesByService)
	}
	for i := range MaxServices {
		publish(t, st, fmt.Sprint("s", i), `{}`)
	}
	if _, err := st.Next("one-more", []byte(`{}`)); !errors.Is(err, ErrTooManyServices) {
		t.Errorf("one service more: %v", err)
	}
	other := NewStore("e", "m", nil, true)
	if _, _, err := st.Merge(publish(t, other, "one-more", `{}`)); !errors.Is(err, ErrTooManyServices) || len(st.Services()) != MaxServices {
		t.Errorf("one service more of another distributor: %v", err)
	}
	if _, err := st.Next("s0", []byte(`{}`)); err != nil {
		t.Errorf("one that is there: %v", err)
	}
}

// Guards against news that leave a service out, tell it twice for nothing, or grow beyond a page.
func TestUpdates(t *testing.T) {
	from, to := NewStore("d", "l", nil, true), NewStore("e", "m", nil, true)
	large := `{"a":"` + strings.Repeat("x", MaxSettingsBytes-8) + `"}`
	for round := range 3 {
		for i := range 12 {
			publish(t, from, fmt.Sprint("s", i), strings.Replace(large, "x", fmt.Sprint(round), 1))
		}
	}
	q := PeerRequest{Name: "e"}
	pages, records := 0, 0
	for more := true; more; pages++ {
		n, _, err := from.PollPeer(q)
		if err != nil || n == nil {
			t.Fatalf("%+v: %v", n, err)
		}
		text := n.Encode()
		again, err := ParseUpdate(text)
		if err != nil || !reflect.DeepEqual(again, n) {
			t.Fatalf("%v: %d bytes", err, len(text))
		}
		for _, r := range n.Records {
			if _, _, err := to.Merge(r); err != nil {
				t.Fatal(err)
			}
		}
		more, records, q.Incarnation, q.Since = n.More, records+len(n.Records), n.Incarnation, n.Sequence
	}
	if records != 12 || pages < 2 || len(to.Services()) != 12 {
		t.Errorf("%d records in %d pages, %d services", records, pages, len(to.Services()))
	}
	for _, name := range from.Services() {
		if !from.Record(name).Same(to.Record(name)) || to.Record(name).Previous == nil {
			t.Errorf("%s differs", name)
		}
	}
	if n, id, err := from.PollPeer(q); n != nil || id != 0 || err != nil {
		t.Errorf("nothing has changed: %+v, %d, %v", n, id, err)
	}
	q.Wait = 1000
	_, id, _ := from.PollPeer(q)
	r, _ := from.Next("s3", []byte(`{}`))
	if _, notified, _ := from.Merge(r); !slices.Equal(notified, []uint64{id}) {
		t.Errorf("%v are told, want %d", notified, id)
	}
	if n := from.EndPeerWatch(id); n == nil || len(n.Records) != 1 || n.Records[0].Edition != r.Edition {
		t.Errorf("%+v", n)
	}
	if keep, notified, err := from.Merge(r); keep != nil || notified != nil || err != nil {
		t.Errorf("the same once more: %+v, %v, %v", keep, notified, err)
	}
	q.Incarnation = "former" // it has restarted
	if n, _, _ := from.PollPeer(q); n == nil || len(n.Records) == 0 {
		t.Errorf("another life: %+v", n)
	}
}

// Guards against a distributor that publishes, or answers, before it can know what is newest; and against some that wait for each
// other for ever when all are new.
func TestStarting(t *testing.T) {
	begin := func() *Store { return NewStore("d", "l", []string{"p1", "p2"}, false) }
	refuses := func(st *Store) bool {
		_, publish := st.Next("s", []byte(`{}`))
		_, back := st.RollBack("s")
		_, _, pollErr := st.Poll(0, Request{Service: "s", Wait: s})
		n, _, _ := st.PollPeer(PeerRequest{Incarnation: "l", Name: "e", Wait: 1})
		all := errors.Is(publish, ErrStarting) && errors.Is(back, ErrStarting) && errors.Is(pollErr, ErrStarting) && n != nil && n.Starting
		if all != st.Starting() {
			t.Errorf("starting %v: %v, %v, %v, %+v", st.Starting(), publish, back, pollErr, n)
		}
		return all
	}
	st := begin()
	st.PeerSynced("p1", true)
	if st.PeerLost("p1"); !refuses(st) {
		t.Error("one is starting and lost")
	}
	if st.PeerSynced("p2", true); !refuses(st) {
		t.Error("one is lost, the other one is starting")
	}
	if st.PeerSynced("p1", true); refuses(st) {
		t.Error("all are starting, and nobody begins")
	}
	st = begin()
	if st.PeerSynced("p2", false); refuses(st) {
		t.Error("one has told all")
	}
	if refuses(NewStore("d", "l", nil, false)) {
		t.Error("there is nobody else")
	}
	if refuses(NewStore("d", "l", []string{"p1"}, true)) {
		t.Error("nothing is missing")
	}
}

// Guards against editions that sidecars would take for old, after all distributors have lost their states; and against a sidecar
// that uses up all epochs.
func TestEpochsFollowSidecars(t *testing.T) {
	st := NewStore("d", "l", nil, true)
	_, _, _ = st.Poll(0, Request{Service: "s", Name: "a", Since: edition(7, "gone")})
	_, _, _ = st.Poll(0, Request{Service: "s", Name: "b", Since: edition(version.MaxEpoch, "gone")})
	_, _, _ = st.Poll(0, Request{Service: "t", Name: "c", Since: edition(70, "gone")})
	if r := publish(t, st, "s", `{}`); r.Epoch != 8 {
		t.Errorf("published under epoch %d", r.Epoch)
	}
	if got := st.StatusOf("r", "s", 0); got.CountIn(Behind) != 1 || got.CountIn(Ahead) != 1 {
		t.Errorf("%+v", got.Sidecars)
	}
	top := &Record{State: NewState("u", edition(version.MaxEpoch, "x"), []byte(`{}`))}
	if _, _, err := st.Merge(top); err != nil {
		t.Fatal(err)
	}
	if _, err := st.Next("u", []byte(`{}`)); !errors.Is(err, ErrEpochsExhausted) {
		t.Errorf("after the last epoch: %v", err)
	}
}

// Guards against a record that names distributors without end, or forgets the wrong ones.
func TestIncludesBound(t *testing.T) {
	var r *Record
	for i := range 3 * maxIncludes {
		r = r.successor(NewState("s", edition(uint64(i+1), fmt.Sprint("d", i)), []byte(`{}`)))
	}
	if len(r.Includes) != maxIncludes || !r.includes(r.Edition) || !r.includes(edition(r.Epoch-maxIncludes+1, fmt.Sprint("d", r.Epoch-maxIncludes))) {
		t.Errorf("%v", r.Includes)
	}
	if again, err := ParseRecord(EncodeRecord(r)); err != nil || !reflect.DeepEqual(again, r) {
		t.Errorf("%+v, %v", again, err)
	}
}

// Guards against a status that counts a sidecar at each distributor it has asked, or by what an old one says.
func TestMergeStatuses(t *testing.T) {
	contents := func(epoch uint64) Contents { return Contents{Edition: edition(epoch, "d")} }
	got := MergeStatuses([]Status{
		{Distributor: "a", Contents: contents(6), Sidecars: []Sidecar{
			{Name: "x", State: Unresponsive, InForce: edition(5, "d"), LastRequestAgo: 60000}, {Name: "y", State: Ahead, InForce: edition(7, "d"), LastRequestAgo: 10},
			{Name: "z", State: InForce, InForce: edition(6, "d"), LastRequestAgo: 5}}},
		{Distributor: "b", Contents: contents(7), Sidecars: []Sidecar{
			{Name: "w", State: Rejected, InForce: edition(6, "d"), Rejected: edition(7, "d"), Reason: "aim", LastRequestAgo: 9},
			{Name: "x", State: InForce, InForce: edition(7, "d"), LastRequestAgo: 100}, {Name: "z", State: Unresponsive, InForce: edition(5, "d"), LastRequestAgo: 9000}}},
		{Distributor: "c", Contents: Contents{Edition: edition(7, "d")}, Overruled: &Contents{Edition: edition(4, "e")}},
	})
	states := map[string]string{}
	for _, c := range got.Sidecars {
		states[c.Name] = c.State
	}
	want := map[string]string{"w": Rejected, "x": InForce, "y": InForce, "z": Behind}
	if !reflect.DeepEqual(states, want) || got.Edition != edition(7, "d") || got.Overruled == nil {
		t.Errorf("%+v", got)
	}
	if w := got.NotInForce(); len(w) != 2 || w[0].Name != "z" || w[1].Name != "w" || got.CountIn(InForce) != 2 {
		t.Errorf("wanting %+v", w)
	}
}

// What is read as news can be written, and is the same then; and so with a record.
func FuzzParseUpdate(f *testing.F) {
	st := NewStore("d", "l", nil, true)
	for i := range 3 {
		r, _ := st.Next("s", fmt.Appendf(nil, `{"n":%d}`, i))
		_, _, _ = st.Merge(r)
		f.Add(EncodeRecord(r))
	}
	n, _, _ := st.PollPeer(PeerRequest{})
	f.Add(n.Encode())
	f.Add([]byte(`{"name":"d","life":"l","records":[null,{"newest":null,"includes":{"":0}}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		n, err := ParseUpdate(text)
		if err != nil {
			errorKey(t, err)
		} else if again, err := ParseUpdate(n.Encode()); err != nil || !reflect.DeepEqual(again.Records, n.Records) {
			t.Errorf("%+v, %v, want %+v", again, err, n)
		}
		r, err := ParseRecord(text)
		if err != nil {
			errorKey(t, err)
		} else if again, err := ParseRecord(EncodeRecord(r)); err != nil || !again.Same(r) {
			t.Errorf("%+v, %v, want %+v", again, err, r)
		}
	})
}

// Guards against a state being named as overruled that the newest was made after, by way of one that was overruled itself: d2
// publishes over a state of d1, made after d0's, that had lost to d2's own.
func TestPublisherIncludesOverruled(t *testing.T) {
	var stores []*Store
	for i := range 3 {
		stores = append(stores, NewStore(fmt.Sprint("d", i), "l", nil, true))
	}
	publish := func(at int) *Record {
		t.Helper()
		r, err := stores[at].Next("s", fmt.Appendf(nil, `{"at":%d}`, at))
		if err != nil {
			t.Fatal(err)
		}
		if _, _, err := stores[at].Merge(r); err != nil {
			t.Fatal(err)
		}
		return r
	}
	tell := func(to int, r *Record) {
		t.Helper()
		if _, _, err := stores[to].Merge(r); err != nil {
			t.Fatal(err)
		}
	}
	first := publish(0)
	tell(1, first)
	after := publish(1) // was made after d0's first
	publish(2)
	publish(2)
	publish(2)
	tell(2, after) // loses there
	last := publish(2)
	tell(0, last)
	if current := stores[0].Record("s"); current.Edition != last.Edition || current.Overruled != nil {
		t.Errorf("%s is held and %+v named as overruled; %s was made after both others", current.Edition, current.Overruled, last.Edition)
	}
}
