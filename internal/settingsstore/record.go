package settingsstore

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/url"
	"slices"
	"strconv"

	"pinelb.example/pinelb/internal/version"
)

// Bounds on what passes between distributors, in bytes but for the first.
const (
	maxIncludes    = 16 // distributors that a record names as included; each has published under an epoch of its own
	MaxRecordBytes = 3*MaxStateBytes + 4<<10
	MaxUpdateBytes = 1 << 20 // one page of news; the rest follows
	maxPageBytes   = MaxUpdateBytes - MaxRecordBytes
)

// PeerPath is where distributors ask each other for news of all services.
const PeerPath = "/settings"

// Record is what a distributor holds of a service.
type Record struct {
	State // the newest
	// Includes is by distributor the highest epoch under which it published what the newest was made after: such a state is a
	// former one and was not overruled. Those of the lowest epochs are left out beyond maxIncludes.
	Includes map[string]uint64
	// Lost is the same of all that was overruled: whoever publishes next has known it, and what it was made after. What Includes
	// has is left out; nil: nothing was.
	Lost      map[string]uint64
	Previous  *State // the contents before the newest, as its publisher had them: what rolling back publishes; nil: none
	Overruled *State // the newest state that lost to one whose publisher didn't know it; nil: none
}

// includes tells whether the newest is that edition, or was made after it.
func (r *Record) includes(e version.Edition) bool {
	return r.Edition == e || r.Includes[e.By] >= e.Epoch
}

// before orders states: of two under one edition, which only a fault can make, all distributors have to hold the same.
func (s *State) less(o *State) bool {
	c := s.Compare(o.Edition)
	return c < 0 || c == 0 && s.Digest < o.Digest
}

// merge is what a distributor holds that has known both records; either may be nil. The order of merges is of no matter to the
// newest. Of several that were overruled the newest is kept, so that with three sides apart one may be forgotten.
func merge(a, b *Record) *Record {
	if a == nil || b != nil && a.less(&b.State) {
		a, b = b, a
	}
	if b == nil {
		return a
	}
	out := *a
	out.Lost = nil
	for _, known := range []map[string]uint64{a.Lost, b.Lost, b.Includes, {b.By: b.Epoch}} {
		for by, epoch := range known {
			if !a.includes(version.Edition{Epoch: epoch, By: by}) {
				out.Lost = addEdition(out.Lost, version.Edition{Epoch: epoch, By: by})
			}
		}
	}
	for _, s := range []*State{b.Overruled, &b.State} {
		if s != nil && !a.includes(s.Edition) && (out.Overruled == nil || out.Overruled.less(s)) {
			out.Overruled = s
		}
	}
	return &out
}

// next is the record that a distributor publishes over what it holds, which may be nil.
func (r *Record) successor(s State) *Record {
	out := &Record{State: s}
	if r != nil {
		out.Includes = maps.Clone(r.Includes)
		for by, epoch := range r.Lost {
			out.Includes = addEdition(out.Includes, version.Edition{Epoch: epoch, By: by})
		}
		out.Includes = addEdition(out.Includes, r.Edition)
		if out.Previous = r.Previous; r.Digest != s.Digest { // the same once more is nothing to go back to
			former := r.State
			out.Previous = &former
		}
	}
	out.Includes = addEdition(out.Includes, s.Edition)
	return out
}

// include notes an edition in what may be nil, and returns it.
func addEdition(known map[string]uint64, e version.Edition) map[string]uint64 {
	if known == nil {
		known = map[string]uint64{}
	}
	known[e.By] = max(known[e.By], e.Epoch)
	if len(known) <= maxIncludes {
		return known
	}
	lowest := e.By
	for by, epoch := range known {
		if least := known[lowest]; epoch < least || epoch == least && by < lowest {
			lowest = by
		}
	}
	delete(known, lowest)
	return known
}

// EncodeRecord writes a record, for another distributor or for a file. Settings stand in it byte for byte.
func EncodeRecord(r *Record) []byte {
	text := append([]byte(`{"newest":`), Encode(r.State)...)
	text = append(append(text, `,"includes":`...), encodeEpochs(r.Includes)...)
	if r.Lost != nil {
		text = append(append(text, `,"lost":`...), encodeEpochs(r.Lost)...)
	}
	if r.Previous != nil {
		text = append(append(text, `,"former":`...), Encode(*r.Previous)...)
	}
	if r.Overruled != nil {
		text = append(append(text, `,"overruled":`...), Encode(*r.Overruled)...)
	}
	return append(text, '}')
}

func encodeEpochs(known map[string]uint64) []byte {
	text, err := json.Marshal(known)
	if err != nil {
		panic(err) // a map of texts and numbers can be written
	}
	return text
}

// wireRecord is a record as JSON.
type wireRecord struct {
	Newest    *wireState        `json:"newest"`
	Includes  map[string]uint64 `json:"includes"`
	Lost      map[string]uint64 `json:"lost"`
	Former    *wireState        `json:"former"`
	Overruled *wireState        `json:"overruled"`
}

// ParseRecord reads a record, as strictly as Parse does.
func ParseRecord(text []byte) (*Record, error) {
	var w wireRecord
	if err := decodeStrict(text, MaxRecordBytes, &w); err != nil {
		return nil, err
	}
	return w.record()
}

func (w *wireRecord) record() (*Record, error) {
	r := &Record{Includes: w.Includes, Lost: w.Lost}
	newest, err := w.Newest.stateUnder("newest")
	switch {
	case err != nil:
		return nil, err
	case newest == nil:
		return nil, KeyError{"newest", "is missing"}
	}
	r.State = *newest
	for key, known := range map[string]map[string]uint64{"includes": r.Includes, "lost": r.Lost} {
		if len(known) > maxIncludes {
			return nil, KeyError{key, fmt.Sprintf("names %d distributors, %d at most", len(known), maxIncludes)}
		}
		for by, epoch := range known {
			if err := checkEdition(key, key, version.Edition{Epoch: epoch, By: by}); err != nil {
				return nil, err
			}
			if epoch > r.Epoch {
				return nil, KeyError{key, "has an epoch above the newest's"}
			}
		}
	}
	if r.Previous, err = w.Former.stateUnder("former"); err != nil {
		return nil, err
	}
	if r.Overruled, err = w.Overruled.stateUnder("overruled"); err != nil {
		return nil, err
	}
	for key, s := range map[string]*State{"former": r.Previous, "overruled": r.Overruled} {
		if s != nil && s.Service != r.Service {
			return nil, KeyError{key + ".service", "is another than the newest's"}
		}
	}
	return r, nil
}

// under reads a state that stands under a key; nil is none.
func (w *wireState) stateUnder(key string) (*State, error) {
	if w == nil {
		return nil, nil
	}
	s, err := w.state()
	if faulty, ok := err.(KeyError); ok {
		return nil, KeyError{key + "." + faulty.Key, faulty.Reason}
	}
	return &s, err
}

// Update is what a distributor tells another one.
type Update struct {
	Name        string    // of the distributor: no two may have one, for editions are told apart by it
	Incarnation string    // which process of the distributor it is: At counts within one
	Sequence    uint64    // of its changes the last that is in this page; what is asked for next time is what comes after it
	Starting    bool      // it has nobody yet of whom it could know what is newest
	More        bool      // there is more behind At already
	Records     []*Record // of the services that have changed
}

// Encode writes news.
func (n *Update) Encode() []byte {
	text := fmt.Appendf(nil, `{"name":%q,"life":%q,"at":%d,"starting":%t,"more":%t,"records":[`, n.Name, n.Incarnation, n.Sequence, n.Starting, n.More)
	for i, r := range n.Records {
		if i > 0 {
			text = append(text, ',')
		}
		text = append(text, EncodeRecord(r)...)
	}
	return append(text, ']', '}')
}

// ParseUpdate reads news, as strictly as Parse does.
func ParseUpdate(text []byte) (*Update, error) {
	var w struct {
		Name     string        `json:"name"`
		Life     string        `json:"life"`
		At       uint64        `json:"at"`
		Starting bool          `json:"starting"`
		More     bool          `json:"more"`
		Records  []*wireRecord `json:"records"`
	}
	if err := decodeStrict(text, MaxUpdateBytes, &w); err != nil {
		return nil, err
	}
	if err := CheckName("name", w.Name); err != nil {
		return nil, err
	}
	if err := CheckName("life", w.Life); err != nil {
		return nil, err
	}
	n := &Update{Name: w.Name, Incarnation: w.Life, Sequence: w.At, Starting: w.Starting, More: w.More}
	for i, one := range w.Records {
		key := fmt.Sprintf("records[%d]", i)
		if one == nil {
			return nil, KeyError{key, "is missing"}
		}
		r, err := one.record()
		if faulty, ok := err.(KeyError); ok {
			return nil, KeyError{key + "." + faulty.Key, faulty.Reason}
		}
		n.Records = append(n.Records, r)
	}
	return n, nil
}

// PeerRequest is what a distributor asks another one: for all that has changed there after Since. The answer is News, with
// status 200: at once where there is some, where Life is not that of the process that answers, or where that one is starting;
// or nothing, with status 204, after Wait.
type PeerRequest struct {
	Incarnation string // as the last news had it; "": there was none
	Since       uint64
	Name        string // of the distributor that asks
	Wait        Millis
}

// Millis is a time in milliseconds.
type Millis = version.Millis

// Target is the question as the target of a GET request.
func (q *PeerRequest) Target() string {
	v := url.Values{"since": {strconv.FormatUint(q.Since, 10)}, "timeout_ms": {strconv.FormatInt(int64(q.Wait), 10)}, "name": {q.Name}}
	if q.Incarnation != "" {
		v.Set("life", q.Incarnation)
	}
	return PeerPath + "?" + v.Encode()
}

// ParsePeerRequest reads a distributor's question, strictly. Errors are of type KeyError and name the key.
func ParsePeerRequest(u *url.URL) (PeerRequest, error) {
	f, err := parseFields(u.RawQuery, "life", "since", "timeout_ms", "name")
	if err != nil {
		return PeerRequest{}, err
	}
	q := PeerRequest{Incarnation: f["life"], Name: f["name"]}
	if q.Since, err = f.number("since"); err != nil {
		return PeerRequest{}, err
	}
	wait, err := f.wait("timeout_ms")
	if err != nil {
		return PeerRequest{}, err
	}
	q.Wait = Millis(wait.Milliseconds())
	if q.Incarnation != "" {
		if err := CheckName("life", q.Incarnation); err != nil {
			return PeerRequest{}, err
		}
	}
	return q, CheckName("name", q.Name)
}

// sortedNames are a map's names in order.
func sortedNames[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
