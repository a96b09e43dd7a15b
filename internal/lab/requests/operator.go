package requests

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"pinelb.example/pinelb/internal/lab/machines"
)

const (
	changeTimeout  = 30 * time.Second // for a clear answer to a change
	answerTimeout  = 2 * time.Second
	operatorPause  = 50 * time.Millisecond
	minChangePause = 100 * time.Millisecond
	maxChangePause = 1200 * time.Millisecond
	emptyTime      = revokeBound + 500*time.Millisecond // for which a fleet without keys stays so, as a rule
)

// routes are the routes of a configuration, with what the judge needs of them.
var routes = []struct {
	name       string
	prefix     string
	kind       string
	attempts   int
	idempotent bool
	timeout    time.Duration
}{
	{"unsafe", "/unsafe/", "unsafe", 2, false, clientDeadline},
	{"once", "/once/", "unsafe", 1, false, clientDeadline},
	{"stream", "/stream/", "streaming", 2, false, clientDeadline},
	{"safe", "/safe/", "safe", 3, true, clientDeadline},
	{"upload", "/upload/", "unsafe", 1, false, slowDeadline}, // the last one: for requests with slow bodies
}

// operator gives out keys and takes them away, one change after the other.
type operator struct {
	recorder *recorder
	random   *rand.Rand
	controls []string
	client   *http.Client

	version int64
	keys    [][]string // by tenant; an empty tenant is not in the configuration
	current *heldKeys
}

// heldKeys are the keys of the last change that was submitted, for clients to draw from.
type heldKeys struct{ keys atomic.Pointer[[]string] }

func (h *heldKeys) load() []string {
	if keys := h.keys.Load(); keys != nil {
		return *keys
	}
	return nil
}

func newOperator(recorder *recorder, seed uint64, controls []string) *operator {
	return &operator{
		recorder: recorder, random: rand.New(rand.NewPCG(seed, 2)), controls: controls, keys: make([][]string, tenantCount), current: &heldKeys{},
		client: &http.Client{Timeout: answerTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
	}
}

// allKeys returns the keys that the configuration holds.
func (o *operator) allKeys() []string { return slices.Concat(o.keys...) }

// tenantItem is a tenant as the configuration has it.
type tenantItem struct {
	Name    string   `json:"name"`
	APIKeys []string `json:"apiKeys"`
}

func (o *operator) tenantItem(tenant int) tenantItem {
	return tenantItem{Name: fmt.Sprint("t", tenant), APIKeys: o.keys[tenant]}
}

// document returns a whole configuration. Without tenants, its list is empty or missing.
func (o *operator) document(withList bool) map[string]any {
	var items []any
	for _, r := range routes {
		items = append(items, map[string]any{
			"name": r.name, "host": "h", "pathPrefix": r.prefix, "type": r.kind, "timeoutMs": r.timeout.Milliseconds(), "targetLatencyMs": 200, "service": "s",
			"maxAttempts": r.attempts,
		})
	}
	document := map[string]any{
		"routes": items, "services": []any{map[string]any{"name": "s", "maxConnections": 500}}, "limits": map[string]any{"maxBodyBytes": 8 << 20},
	}
	tenants := []tenantItem{}
	for tenant, keys := range o.keys {
		if len(keys) > 0 {
			tenants = append(tenants, o.tenantItem(tenant))
		}
	}
	if withList || len(tenants) > 0 {
		document["tenants"] = tenants
	}
	return document
}

// giveAll replaces the configuration by one in which each tenant has all of its keys.
func (o *operator) giveAll(ctx context.Context) error {
	for tenant := range o.keys {
		o.keys[tenant] = nil
		for number := range keysPerTenant {
			o.keys[tenant] = append(o.keys[tenant], keyOf(tenant, number))
		}
	}
	return o.submit(ctx, "all keys are given out", "/config/replace", o.document(true))
}

// run changes the configuration until ctx ends.
func (o *operator) run(ctx context.Context) error {
	for machines.Pause(ctx, machines.Between(o.random, minChangePause, maxChangePause)) {
		if err := o.change(ctx); err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
		if len(o.allKeys()) == 0 {
			if o.random.IntN(4) > 0 && !machines.Pause(ctx, emptyTime) {
				return nil
			}
			if err := o.giveAll(ctx); err != nil && ctx.Err() == nil {
				return err
			}
		}
	}
	return nil
}

// change draws one change of keys. Where few are left, the last ones go in every way.
func (o *operator) change(ctx context.Context) error {
	tenant := o.random.IntN(tenantCount)
	switch draw := o.random.IntN(10); {
	case draw < 4 && len(o.keys[tenant]) > 0: // a key is taken away
		i := o.random.IntN(len(o.keys[tenant]))
		o.keys[tenant] = slices.Delete(slices.Clone(o.keys[tenant]), i, i+1)
		if len(o.keys[tenant]) == 0 {
			return o.removeTenants(ctx, tenant)
		}
		return o.modify(ctx, "a key is taken away", map[string]any{"upsert": map[string]any{"tenants": []tenantItem{o.tenantItem(tenant)}}})
	case draw < 6 && len(o.keys[tenant]) > 0:
		o.keys[tenant] = nil
		return o.removeTenants(ctx, tenant)
	case draw < 8: // a key comes back
		number := o.random.IntN(keysPerTenant)
		if key := keyOf(tenant, number); !slices.Contains(o.keys[tenant], key) {
			o.keys[tenant] = append(slices.Clone(o.keys[tenant]), key)
		}
		return o.modify(ctx, "a key is given out", map[string]any{"upsert": map[string]any{"tenants": []tenantItem{o.tenantItem(tenant)}}})
	case draw == 8:
		o.keys = make([][]string, tenantCount)
		return o.removeAll(ctx)
	}
	return o.submit(ctx, "the configuration is replaced by the same", "/config/replace", o.document(true))
}

func (o *operator) removeTenants(ctx context.Context, tenants ...int) error {
	var names []string
	for _, tenant := range tenants {
		names = append(names, fmt.Sprint("t", tenant))
	}
	return o.modify(ctx, "tenants are removed", map[string]any{"remove": map[string]any{"tenants": names}})
}

// removeAll takes all keys away, in one of the ways to do so.
func (o *operator) removeAll(ctx context.Context) error {
	switch o.random.IntN(4) {
	case 0:
		return o.removeTenants(ctx, 0, 1, 2)
	case 1:
		return o.submit(ctx, "replaced by an empty list of tenants", "/config/replace", o.document(true))
	case 2:
		return o.submit(ctx, "replaced by no list of tenants", "/config/replace", o.document(false))
	}
	var tenants []tenantItem
	for tenant := range o.keys {
		tenants = append(tenants, tenantItem{Name: fmt.Sprint("t", tenant), APIKeys: []string{}})
	}
	return o.modify(ctx, "tenants lose their keys", map[string]any{"upsert": map[string]any{"tenants": tenants}})
}

func (o *operator) modify(ctx context.Context, name string, patch map[string]any) error {
	return o.submit(ctx, name, "/config/modify", patch)
}

// submit sends a change until its answer is clear. The error says that none came in changeTimeout, or that ctx has ended.
func (o *operator) submit(ctx context.Context, name, path string, body map[string]any) error {
	base := o.version
	o.version += 1 + o.random.Int64N(3)
	body["version"] = o.version
	text, err := json.Marshal(body)
	if err != nil {
		panic(err) // strings and numbers
	}
	change := &Change{Name: name, Version: o.version, Submitted: o.recorder.now(), Keys: o.allKeys()}
	o.current.keys.Store(&change.Keys)
	defer o.recorder.addChange(change)
	for until := time.Now().Add(changeTimeout); time.Now().Before(until); {
		status := o.post(ctx, path, text, base)
		switch {
		case status == http.StatusOK:
			change.Acknowledged = o.recorder.now()
			return nil
		case status >= 400 && status < 500:
			change.Refused = status
			return fmt.Errorf("requests: the change %d (%s) got %d", change.Version, name, status)
		}
		if !machines.Pause(ctx, operatorPause) {
			return ctx.Err()
		}
	}
	return fmt.Errorf("requests: the change %d (%s) got no clear answer in %v", change.Version, name, changeTimeout)
}

// post sends a change to some router; 0: no answer.
func (o *operator) post(ctx context.Context, path string, text []byte, base int64) int {
	url := "http://" + o.controls[o.random.IntN(len(o.controls))] + path
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(text))
	if err != nil {
		return 0
	}
	request.Header.Set("X-Base-Version", strconv.FormatInt(base, 10))
	response, err := o.client.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// readVersion returns the version that some router reads back; ok is false if there is no answer.
func (o *operator) readVersion(ctx context.Context) (version int64, ok bool) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+o.controls[o.random.IntN(len(o.controls))]+"/config/read", nil)
	if err != nil {
		return 0, false
	}
	response, err := o.client.Do(request)
	if err != nil {
		return 0, false
	}
	defer func() { _ = response.Body.Close() }()
	var document struct{ Version int64 }
	if err := json.NewDecoder(response.Body).Decode(&document); err != nil || response.StatusCode != http.StatusOK {
		return 0, false
	}
	return document.Version, true
}
