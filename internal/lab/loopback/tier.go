package loopback

import (
	"sync"

	"pinelb.example/pinelb/internal/lab/model"
)

// tier is what the endpoints of one tier share.
type tier struct {
	mu   sync.Mutex        // of the models that share keys
	keys *model.DedupStore // idempotency keys; nil if no class has any

	callsMu sync.Mutex
	calls   map[uint64]int // calls to the tier: the plan's request that each is for, by transaction id
}

// tierState is the state that the endpoints of a tier share. It is called from one goroutine, as endpoints are made one by one.
func (r *run) tierState(number int) *tier {
	for len(r.tiers) <= number {
		r.tiers = append(r.tiers, &tier{calls: map[uint64]int{}})
	}
	return r.tiers[number]
}

// addCall registers the id of a call to the tier.
func (t *tier) addCall(transactionID uint64, request int) {
	t.callsMu.Lock()
	defer t.callsMu.Unlock()
	t.calls[transactionID] = request
}

// requestOf is the plan's request that a call with this id is for; false if no endpoint made such a call.
func (t *tier) requestOf(transactionID uint64) (request int, known bool) {
	t.callsMu.Lock()
	defer t.callsMu.Unlock()
	request, known = t.calls[transactionID]
	return request, known
}
