package faultysidecar

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/tidwall/gjson"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/cluster"
)

const (
	listMost  = 4 << 20 // bytes
	askAgain  = 20 * time.Millisecond
	coldFor   = 10 * time.Second // after its start
	coldTurns = 8                // of its turns a cold host is given one
)

// hosts are the boxes as discovery lists them.
type hosts struct {
	fault Fault

	mu    sync.Mutex
	heard bool
	list  []cluster.Member // by id
	turn  int
}

func (h *hosts) known() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.heard
}

// next is the address of the box whose turn it is; "" if there is none to send to.
func (h *hosts) next() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Duration(time.Now().UnixNano())
	if h.fault == FloodsCold && len(h.list) > 0 {
		last := slices.MaxFunc(h.list, func(a, b cluster.Member) int { return cmp.Compare(a.UpSince, b.UpSince) })
		return last.Addr
	}
	for range len(h.list) * coldTurns {
		h.turn++
		m := &h.list[h.turn%len(h.list)]
		if now-m.UpSince < coldFor && h.turn/len(h.list)%coldTurns != 0 {
			continue
		}
		if m.State == balance.Ready || h.fault == IgnoresDrain {
			return m.Addr
		}
	}
	return ""
}

// watch follows discovery until ctx ends.
func (h *hosts) watch(ctx context.Context, agent string) {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	query := ""
	for ctx.Err() == nil {
		list, err := ask(ctx, client, "http://"+agent+"/catalog/members"+query)
		if err != nil {
			time.Sleep(askAgain)
			query = ""
			continue
		}
		h.take(list)
		query = fmt.Sprintf("?since=%d&timeout_ms=20000", list.Revision)
	}
}

func ask(ctx context.Context, client *http.Client, url string) (cluster.List, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return cluster.List{}, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return cluster.List{}, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, listMost))
	if err != nil {
		return cluster.List{}, err
	}
	return cluster.ParseList(gjson.ParseBytes(text))
}

// take is news. One that ignores drains keeps what is gone, too.
func (h *hosts) take(list cluster.List) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.heard = true
	if list.Complete && h.fault != IgnoresDrain {
		h.list = nil
	}
	for _, m := range list.Members {
		i, found := slices.BinarySearchFunc(h.list, m.ID, func(m cluster.Member, id string) int { return cmp.Compare(m.ID, id) })
		switch {
		case found && m.State == balance.Gone && h.fault != IgnoresDrain:
			h.list = slices.Delete(h.list, i, i+1)
		case found && m.State == balance.Gone:
			h.list[i].State = m.State
		case found:
			h.list[i] = m
		case m.State != balance.Gone:
			h.list = slices.Insert(h.list, i, m)
		}
	}
}
