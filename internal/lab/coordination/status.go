package coordination

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"pinelb.example/pinelb/internal/lab/machines"
)

const (
	statusTimeout  = 500 * time.Millisecond // of a request for a machine's status
	statusInterval = 100 * time.Millisecond
	minAcceptors   = 2*tolerated + 1 // so that as many as tolerated may be lost
)

// replica identifies an acceptor's disk.
type replica struct {
	Address string
	Nonce   uint64
}

// machineStatus is what a machine says of its part of the service.
type machineStatus struct {
	Epoch     uint64
	Acceptors []replica
	Acceptor  replica
	Ready     bool
}

// readStatus asks a machine; nil: it does not answer.
func (m *machine) readStatus(ctx context.Context) *machineStatus {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.internal+"/status", nil)
	if err != nil {
		return nil
	}
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return nil
	}
	var status struct{ Coordination machineStatus }
	if json.Unmarshal(text, &status) != nil {
		return nil
	}
	return &status.Coordination
}

// isSettled reports whether there are acceptors enough, and each of them says that it takes part: as many may be lost again as are tolerated.
func (f *fleet) isSettled(ctx context.Context) bool {
	statuses := make([]*machineStatus, f.core)
	var requests sync.WaitGroup
	for i, m := range f.machines[:f.core] {
		requests.Go(func() { statuses[i] = m.readStatus(ctx) })
	}
	requests.Wait()
	newest := &machineStatus{}
	for _, status := range statuses {
		if status != nil && status.Epoch > newest.Epoch {
			newest = status
		}
	}
	ready := map[replica]bool{}
	for _, status := range statuses {
		if status != nil && status.Ready && status.Epoch == newest.Epoch {
			ready[status.Acceptor] = true
		}
	}
	for _, acceptor := range newest.Acceptors {
		if !ready[acceptor] {
			return false
		}
	}
	return len(newest.Acceptors) >= minAcceptors
}

// awaitSettled waits until the fleet is settled, and returns false where the context ends before.
func (f *fleet) awaitSettled(ctx context.Context) bool {
	for !f.isSettled(ctx) {
		if !machines.Pause(ctx, statusInterval) {
			return false
		}
	}
	return true
}
