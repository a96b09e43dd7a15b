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
	maxListSize   = 4 << 20 // bytes
	retryInterval = 20 * time.Millisecond
	warmUpTime    = 10 * time.Second // after its start an endpoint counts as cold
	coldTurns     = 8                // of so many turns a cold endpoint gets one
)

// endpointList is the endpoints as discovery lists them. It is safe for concurrent use.
type endpointList struct {
	fault Fault

	mu       sync.Mutex
	received bool             // a list has come
	members  []cluster.Member // sorted by id
	turn     int
}

func (l *endpointList) hasList() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.received
}

// next is the address of the endpoint whose turn it is; empty if there is none to send to.
func (l *endpointList) next() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Duration(time.Now().UnixNano())
	if l.fault == OverloadsCold && len(l.members) > 0 {
		last := slices.MaxFunc(l.members, func(a, b cluster.Member) int { return cmp.Compare(a.UpSince, b.UpSince) })
		return last.Addr
	}
	for range len(l.members) * coldTurns {
		l.turn++
		member := &l.members[l.turn%len(l.members)]
		if now-member.UpSince < warmUpTime && l.turn/len(l.members)%coldTurns != 0 {
			continue
		}
		if member.State == balance.Ready || l.fault == IgnoresDrain {
			return member.Addr
		}
	}
	return ""
}

// follow follows discovery's agent until ctx ends.
func (l *endpointList) follow(ctx context.Context, agent string) {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	query := ""
	for ctx.Err() == nil {
		list, err := fetchList(ctx, client, "http://"+agent+"/catalog/members"+query)
		if err != nil {
			time.Sleep(retryInterval)
			query = ""
			continue
		}
		l.apply(list)
		query = fmt.Sprintf("?since=%d&timeout_ms=20000", list.Revision)
	}
}

func fetchList(ctx context.Context, client *http.Client, url string) (cluster.List, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return cluster.List{}, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return cluster.List{}, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxListSize))
	if err != nil {
		return cluster.List{}, err
	}
	return cluster.ParseList(gjson.ParseBytes(text))
}

// apply applies a list or its changes. With IgnoresDrain, endpoints that are gone stay.
func (l *endpointList) apply(list cluster.List) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.received = true
	if list.Complete && l.fault != IgnoresDrain {
		l.members = nil
	}
	for _, member := range list.Members {
		i, found := slices.BinarySearchFunc(l.members, member.ID, func(m cluster.Member, id string) int { return cmp.Compare(m.ID, id) })
		switch {
		case found && member.State == balance.Removed && l.fault != IgnoresDrain:
			l.members = slices.Delete(l.members, i, i+1)
		case found && member.State == balance.Removed:
			l.members[i].State = member.State
		case found:
			l.members[i] = member
		case member.State != balance.Removed:
			l.members = slices.Insert(l.members, i, member)
		}
	}
}
