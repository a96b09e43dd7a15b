package settingsstore

import (
	"errors"
	"fmt"
	"net/url"
	"strconv"

	"pinelb.example/pinelb/internal/version"
)

// PeerPath is where a distributor requests the updates of all services from another one.
const PeerPath = "/settings"

// Update is what a distributor sends another one: the records that have changed there.
type Update struct {
	Name        string    // of the distributor: unique, for editions are distinguished by it
	Incarnation string    // of the distributor's process, within which Sequence counts
	Sequence    uint64    // of the last change in this page; the next request is for what comes after it
	Starting    bool      // the distributor can't know yet what is newest
	More        bool      // there are changes after Sequence already
	Records     []*Record // of the services that have changed, in the order of the changes
}

// Encode encodes an update as JSON.
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

// ParseUpdate decodes an update, as strictly as Parse does.
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
	for i, wire := range w.Records {
		key := fmt.Sprintf("records[%d]", i)
		if wire == nil {
			return nil, KeyError{key, "is missing"}
		}
		r, err := wire.record()
		if keyErr := (KeyError{}); errors.As(err, &keyErr) {
			return nil, KeyError{key + "." + keyErr.Key, keyErr.Reason}
		}
		n.Records = append(n.Records, r)
	}
	return n, nil
}

// PeerRequest is a distributor's request to another one for all that has changed there after Since. The answer is an Update,
// with status 200: at once where there are changes, where Incarnation is not that of the process that answers, or where that
// one is starting; or none, with status 204, after Wait.
type PeerRequest struct {
	Incarnation string // as the last update had it; "": there was none
	Since       uint64
	Name        string // of the distributor that sends the request
	Wait        Millis
}

// Millis is a duration in milliseconds.
type Millis = version.Millis

// Target returns the request as the target of a GET request.
func (q *PeerRequest) Target() string {
	v := url.Values{"since": {strconv.FormatUint(q.Since, 10)}, "timeout_ms": {strconv.FormatInt(int64(q.Wait), 10)}, "name": {q.Name}}
	if q.Incarnation != "" {
		v.Set("life", q.Incarnation)
	}
	return PeerPath + "?" + v.Encode()
}

// ParsePeerRequest decodes a distributor's request, strictly. Errors are of type KeyError.
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
