package coordination

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"sync"
	"time"

	"pinelb.example/pinelb/internal/lab/coordination/history"
	"pinelb.example/pinelb/internal/lab/machines"
)

// silence is how long a caller waits for an answer before it turns to another machine.
const silence = time.Second

// recorder collects the calls of all callers.
type recorder struct {
	mu    sync.Mutex
	calls []*history.Call
	acks  *acknowledgements
	clock func() time.Duration
}

func (r *recorder) add(call *history.Call) {
	r.mu.Lock()
	r.calls = append(r.calls, call)
	r.mu.Unlock()
	if call.Status == http.StatusOK && (call.Kind == history.Acquire || call.Kind == history.Increment || call.Kind == history.Put) {
		r.acks.announce()
	}
}

// caller is an application: it makes one call after the other, over connections that it keeps open until the machine ends them.
type caller struct {
	name      string
	random    *rand.Rand
	recorder  *recorder
	addresses []string // of the machines
	at        int      // the one that is called
	http      *http.Client
	final     bool // its calls are those at the end of the play
}

func newCaller(name string, seed uint64, r *recorder, addresses []string) *caller {
	random := rand.New(rand.NewPCG(seed, 2))
	return &caller{
		name: name, random: random, recorder: r, addresses: addresses, at: random.IntN(len(addresses)),
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}},
	}
}

// turn has the next call go to another machine.
func (c *caller) turn() {
	c.at = (c.at + 1 + c.random.IntN(len(c.addresses)-1)) % len(c.addresses)
}

// answer is the body of any answer.
type answer struct {
	Fence    uint64
	Value    json.RawMessage // a number, or a cell's value
	Revision uint64
	Events   []history.Event
}

// do makes a call, once, and records it. patience is how long the machine may wait by itself.
func (c *caller) do(call *history.Call, patience time.Duration) *history.Call {
	call.Caller, call.Router, call.Final = c.name, c.addresses[c.at], c.final
	call.Sent = c.recorder.clock()
	status, text, err := c.exchange(call, patience)
	call.Received = c.recorder.clock()
	switch {
	case err != nil:
		call.Note = err.Error()
	case status >= http.StatusInternalServerError && status != http.StatusServiceUnavailable:
		call.Note = fmt.Sprint("status ", status)
	case status == http.StatusOK || status == http.StatusPreconditionFailed:
		if err := read(call, text); err != nil {
			call.Note = err.Error()
			break
		}
		call.Status = status
	default:
		call.Status = status
	}
	if call.Status == history.Unclear || call.Status == http.StatusTooManyRequests || call.Status == http.StatusServiceUnavailable {
		c.turn()
	}
	c.recorder.add(call)
	return call
}

func (c *caller) exchange(call *history.Call, patience time.Duration) (status int, text []byte, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), silence+patience)
	defer cancel()
	method, path, body := wire(call, patience)
	request, err := http.NewRequestWithContext(ctx, method, "http://"+call.Router+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	text, err = io.ReadAll(response.Body)
	return response.StatusCode, text, err
}

// wire returns a call as it is sent.
func wire(call *history.Call, patience time.Duration) (method, path string, body []byte) {
	name := url.PathEscape(call.Name)
	fields := map[string]any{}
	switch call.Kind {
	case history.Acquire:
		path, fields["holder"], fields["holdMs"] = "/locks/"+name+"/begin", call.Holder, call.HoldMs
	case history.Renew:
		path, fields["holder"], fields["fence"], fields["holdMs"] = "/locks/"+name+"/heartbeat", call.Holder, call.Fence, call.HoldMs
	case history.Release:
		path, fields["holder"], fields["fence"] = "/locks/"+name+"/finish", call.Holder, call.Fence
	case history.Increment:
		path = "/numbers/" + name
	case history.Put:
		path, fields["value"] = "/cells/"+name+"/replace", call.Value
		if call.IfRevision != nil {
			fields["ifRevision"] = *call.IfRevision
		}
	case history.Get:
		return http.MethodGet, "/cells/" + name + "/read", nil
	case history.Watch:
		return http.MethodGet, fmt.Sprintf("/watch/%s?sinceRevision=%d&waitMs=%d", name, call.Since, patience.Milliseconds()), nil
	}
	body, err := json.Marshal(fields)
	if err != nil {
		panic(err) // strings and numbers
	}
	return http.MethodPost, path, body
}

// read takes over what a 200 or a 412 says.
func read(call *history.Call, text []byte) error {
	var a answer
	if err := json.Unmarshal(text, &a); err != nil {
		return err
	}
	switch call.Kind {
	case history.Acquire:
		call.Fence = a.Fence
	case history.Increment:
		return json.Unmarshal(a.Value, &call.Number)
	case history.Get:
		call.Revision = a.Revision
		return json.Unmarshal(a.Value, &call.Value)
	case history.Put:
		call.Revision = a.Revision
	case history.Watch:
		call.Revision, call.Events = a.Revision, a.Events
	}
	return nil
}

// rest lets a random time pass; false: the play has ended.
func (c *caller) rest(ctx context.Context, low, high time.Duration) bool {
	return machines.Pause(ctx, machines.Between(c.random, low, high))
}
