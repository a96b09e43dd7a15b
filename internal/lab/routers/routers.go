// Package routers measures the control plane of the router fleet: it runs many routers in one process, each with its own sockets
// on a loopback address, real packets and real disks for the core, but no clients. It measures processor time, bytes and memory at
// rest, how soon a configuration is in force at all routers, and how long a loss of routers delays a change.
//
// Only the command line of the test lab calls it. A play binds fixed ports on 127.9.0.0/16: one play at a time on a machine.
package routers

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"slices"
	"time"
)

// Play starts a fleet, measures it, and stops it. With an error the result holds what was measured until then.
func Play(ctx context.Context, c Config) (*Result, error) {
	if err := c.Check(); err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "pinelab-routers-")
	if err != nil {
		return nil, fmt.Errorf("routers: %w", err)
	}
	defer func() { _ = os.RemoveAll(folder) }() // what is left over is a temporary file
	f := &fleet{config: c, folder: folder, client: &http.Client{Timeout: 5 * time.Second}}
	defer f.stop()
	result := &Result{Routers: c.Routers, Endpoints: c.Endpoints}
	return result, f.play(ctx, result)
}

// play measures the start, the rest, changes and losses, in that order.
func (f *fleet) play(ctx context.Context, result *Result) error {
	if err := f.start(); err != nil {
		return err
	}
	startedAt := time.Now()
	if _, err := f.submitConfig(ctx, "/config/replace", f.firstConfiguration()); err != nil {
		return err
	}
	if _, late := f.awaitVersion(ctx, time.Now()); late > 0 {
		return fmt.Errorf("routers: %d of %d do not have the first configuration", late, f.config.Routers)
	}
	result.StartMs = time.Since(startedAt).Milliseconds()
	heartbeats, stop := context.WithCancel(ctx)
	defer stop()
	f.sendHeartbeats(heartbeats)
	f.measureRest(ctx, result)
	if err := f.measureChanges(ctx, result); err != nil {
		return err
	}
	return f.playLosses(ctx, result)
}

// measureRest measures the fleet without changes, after the updates of the start have been disseminated.
func (f *fleet) measureRest(ctx context.Context, result *Result) {
	sleep(ctx, 3*heartbeatInterval+time.Duration(f.config.Routers)*settleTimePerRouter)
	before, startedAt := f.usage(), time.Now()
	sleep(ctx, f.config.Rest)
	after, routerSeconds := f.usage(), time.Since(startedAt).Seconds()*float64(f.config.Routers)
	result.RestCPU = float64((after.cpu - before.cpu).Microseconds()) / 1000 / routerSeconds
	result.RestBytes = float64(after.bytes-before.bytes) / routerSeconds
	result.RestDatagrams = float64(after.datagrams-before.datagrams) / routerSeconds
	result.MemoryMB = residentMB() / float64(f.config.Routers)
}

// sleep waits for a time, or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// measureChanges submits changes one after the other and measures how soon each is in force.
func (f *fleet) measureChanges(ctx context.Context, result *Result) error {
	var delays, acknowledgements []time.Duration
	before := f.usage()
	for change := range f.config.Changes {
		f.version++
		took, err := f.submitConfig(ctx, "/config/modify", f.change(change))
		if err != nil {
			return err
		}
		acknowledgements = append(acknowledgements, took)
		applied, late := f.awaitVersion(ctx, time.Now())
		if late > 0 {
			result.Failed++
		}
		delays = append(delays, applied...)
	}
	after := f.usage()
	result.ChangeKB = float64(after.bytes-before.bytes+after.replies-before.replies) / 1000 / float64(max(1, f.config.Changes)*f.config.Routers)
	slices.Sort(delays)
	slices.Sort(acknowledgements)
	if len(delays) > 0 {
		result.ChangeP50Ms = delays[len(delays)/2].Milliseconds()
		result.ChangeP99Ms = delays[len(delays)*99/100].Milliseconds()
		result.ChangeLastMs = delays[len(delays)-1].Milliseconds()
	}
	if len(acknowledgements) > 0 {
		result.AcknowledgeMs = acknowledgements[len(acknowledgements)/2].Milliseconds()
	}
	return nil
}
