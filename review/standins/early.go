package main

import (
	"bytes"
	"fmt"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	host = "ficu95.example"
	key  = "hwrr6x73d3zji9n73hh2"
)

// tenant is one tenant of a configuration.
func tenant(name string, keys ...string) map[string]any {
	return map[string]any{
		"name": name, "apiKeys": keys, "priority": 1, "unit": "token_count", "plainTokens": 200, "ratePerS": 223061, "burst": 223061,
	}
}

// stockConfig is a configuration with one unsafe route, like that of the small sites.
func stockConfig(version int64, timeout time.Duration, tenants ...any) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r-status", "host": host, "pathPrefix": "/pule252/", "type": "unsafe", "timeoutMs": timeout.Milliseconds(),
			"targetLatencyMs": 150, "priority": 2, "service": "rig", "maxAttempts": 1, "public": false,
		}},
		"services": []any{map[string]any{"name": "rig", "healthCheckPath": "/health", "maxConnections": 130, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  tenants,
	}
}

// isPromise reports whether a status promises that the request has not run and never will.
func isPromise(status int) bool {
	return status == 429 || status == 503 || status == 408 || status == 421
}

// runEarly lets the endpoints answer requests with long bodies when they have read the head, and read the bodies later. With
// crash, an endpoint that has answered such a request is killed, and started again a second later.
func runEarly(e *environment, crash bool) error {
	mode, later := "whole", 0
	if e.trouble {
		mode, later = "early", 2500
	}
	f, endpoints, err := e.startFleet(mode, later)
	if err != nil {
		return err
	}
	defer f.stopAll()
	const timeout = 1500 * time.Millisecond
	if err := f.configure("/config/replace", 0, stockConfig(5, timeout, tenant("kaje80", key)), 15*time.Second); err != nil {
		return err
	}
	if err := f.awaitReady(15 * time.Second); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	runsPath := filepath.Join(e.dir, "runs.txt")
	stop := make(chan struct{})
	defer close(stop)
	if crash && e.trouble {
		go e.killAfterRun(runsPath, endpoints, stop)
	}
	rounds, machines := 4, f.machines
	if crash {
		rounds, machines = 1, machines[:1]
	}
	answers := e.sendLong(f, machines, rounds, timeout)
	time.Sleep(3 * time.Second)
	e.copyRuns()
	runs := parseRuns(runsPath)
	refused, twice := 0, 0
	for id, a := range answers {
		if len(runs[id]) > 1 {
			twice++
			e.record.printf("TWICE: %s ran at %v", id, runs[id])
		}
		if len(runs[id]) > 0 && isPromise(a.status) {
			refused++
			e.record.printf("REFUSED: %s got %d and ran at %v", id, a.status, runs[id])
		}
		if !e.trouble && (a.status != 200 || len(runs[id]) != 1) {
			return fmt.Errorf("without the disruption %s got %v and ran at %v", id, a, runs[id])
		}
	}
	if refused+twice > 0 {
		return fmt.Errorf("%w: of %d unsafe requests %d got 503 although they ran, %d ran twice", errBroken, len(answers), refused, twice)
	}
	return nil
}

// sendLong sends requests with bodies of maxBodyBytes, one to each machine at a time, and returns the answers by id.
func (e *environment) sendLong(f *fleet, machines []*machine, rounds int, timeout time.Duration) map[string]*answer {
	body := bytes.Repeat([]byte("0123456789abcdef"), 4<<20/16)
	answers := map[string]*answer{}
	for round := range rounds {
		var mu sync.Mutex
		var wait sync.WaitGroup
		for i, m := range machines {
			id := fmt.Sprintf("9c41d07be2%03d%03d", round, i)
			wait.Go(func() {
				a := send(f.frontOf(m), "POST", "/pule252/2f", host, id, key, timeout, nil, body)
				e.record.printf("client: POST %s to %s, %d bytes, deadline %v: after %v %v", id, m.name, len(body), timeout, a.took.Round(time.Millisecond), a)
				mu.Lock()
				defer mu.Unlock()
				answers[id] = a
			})
		}
		wait.Wait()
	}
	return answers
}

// killAfterRun kills the first endpoint that has answered a request early, 50 ms later.
func (e *environment) killAfterRun(path string, endpoints []*exec.Cmd, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		for _, ran := range parseRuns(path) {
			n, err := strconv.Atoi(strings.TrimPrefix(ran[0], "i-"))
			if err != nil || n > len(endpoints) {
				continue
			}
			time.Sleep(50 * time.Millisecond)
			e.record.printf("disruption: SIGKILL to endpoint %s", ran[0])
			_ = endpoints[n-1].Process.Kill()
			return
		}
	}
}
