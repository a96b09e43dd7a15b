package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

const (
	keptKey    = "b9wu3fexd9dnn2ctnfzs"
	unknownKey = "qqqqqqqqqqqqqqqqqqqq"
	revoke     = 5 * time.Second // bounds.revokeMs
)

// upload is a request whose body is sent slowly.
type upload struct {
	id       string
	machine  *machine
	lastSent time.Time // of the last byte
	answer   *answer
}

// runUpload takes a key away while its client is sending the bodies of requests, and lets the client send on for longer than
// revokeMs.
func runUpload(e *environment) error {
	f, _, err := e.startFleet("whole", 0)
	if err != nil {
		return err
	}
	defer f.stopAll()
	const timeout = 15 * time.Second
	if err := f.configure("/config/replace", 0, stockConfig(5, timeout, tenant("kaje80", key, keptKey)), 15*time.Second); err != nil {
		return err
	}
	if err := f.awaitReady(15 * time.Second); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	const size, pieces = 12_000, 24
	const pause = 400 * time.Millisecond // between two pieces: 9.2 s in all
	var uploads []*upload
	var wait sync.WaitGroup
	for i, m := range f.machines {
		u := &upload{id: fmt.Sprintf("51d09a3c77be%04d", i), machine: m}
		uploads = append(uploads, u)
		wait.Go(func() { u.run(f.frontOf(m), key, timeout, size, pieces, pause) })
		e.record.printf("client: begins POST %s to %s with the key, %d bytes in %d pieces, %v apart, deadline %v", u.id, m.name, size, pieces, pause, timeout)
	}
	time.Sleep(time.Second)
	var acknowledged time.Time
	if e.trouble {
		patch := map[string]any{"version": 7, "upsert": map[string]any{"tenants": []any{tenant("kaje80", keptKey)}}}
		if err := f.configure("/config/modify", 5, patch, 5*time.Second); err != nil {
			return err
		}
		acknowledged = time.Now()
		time.Sleep(time.Second)
		for i, m := range f.machines {
			a := send(f.frontOf(m), "POST", "/pule252/2f", host, fmt.Sprintf("c0ffee%010d", i), key, 2*time.Second, nil, []byte("x"))
			e.record.printf("client: a short request with the revoked key to %s: %v", m.name, a)
		}
	}
	wait.Wait()
	time.Sleep(500 * time.Millisecond)
	e.copyRuns()
	runs := parseRuns(filepath.Join(e.dir, "runs.txt"))
	broken := 0
	for _, u := range uploads {
		e.record.printf("client: POST %s to %s: %v", u.id, u.machine.name, u.answer)
		switch ran := len(runs[u.id]) > 0; {
		case !e.trouble && !(ran && u.answer.status == 200):
			return fmt.Errorf("without the disruption %s got %v", u.id, u.answer)
		case e.trouble && ran && u.lastSent.Sub(acknowledged) > revoke:
			broken++
			e.record.printf("CONFIG: %s ran with the revoked key; its last byte was sent %v after the acknowledgement of the revocation",
				u.id, u.lastSent.Sub(acknowledged).Round(time.Millisecond))
		}
	}
	if broken > 0 {
		return fmt.Errorf("%w: %d requests ran whose sending ended more than revokeMs after the revocation of their key", errBroken, broken)
	}
	return nil
}

func (u *upload) run(address, key string, deadline time.Duration, size, pieces int, pause time.Duration) {
	u.answer = &answer{}
	c, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		u.answer.err = err
		return
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(deadline + time.Second))
	fmt.Fprintf(c, "POST /pule252/2f HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nApi-Key: %s\r\nContent-Length: %d\r\n\r\n",
		host, u.id, deadline.Milliseconds(), key, size)
	piece := []byte(strings.Repeat("p", size/pieces))
	for i := range pieces {
		if i > 0 {
			time.Sleep(pause)
		}
		u.lastSent = time.Now()
		if _, err := c.Write(piece); err != nil {
			u.answer.err = err
			break
		}
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		u.answer.err = err
		return
	}
	text, err := io.ReadAll(response.Body)
	u.answer.status, u.answer.signature = response.StatusCode, response.Header.Get("X-Response-Signature")
	u.answer.body, u.answer.err, u.answer.complete = string(text), err, err == nil
}

// runLastTenant takes away the keys of one tenant after the other, by removing the tenants.
func runLastTenant(e *environment) error {
	f, _, err := e.startFleet("whole", 0)
	if err != nil {
		return err
	}
	defer f.stopAll()
	const timeout = 1500 * time.Millisecond
	if err := f.configure("/config/replace", 0, stockConfig(5, timeout, tenant("kaje80", key), tenant("wuno96", keptKey)), 15*time.Second); err != nil {
		return err
	}
	if err := f.awaitReady(15 * time.Second); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	k := &keyTest{environment: e, fleet: f, timeout: timeout}
	ran := k.ask("at first", key, keptKey, unknownKey)
	if ran[key] != 3 || ran[keptKey] != 3 || ran[unknownKey] != 0 {
		return fmt.Errorf("at first the keys are not served as the configuration says: %v", ran)
	}
	if err := f.configure("/config/modify", 5, map[string]any{"version": 7, "remove": map[string]any{"tenants": []string{"wuno96"}}}, 5*time.Second); err != nil {
		return err
	}
	time.Sleep(revoke + time.Second)
	ran = k.ask("6 s after the removal of the tenant wuno96", key, keptKey, unknownKey)
	if ran[key] != 3 || ran[keptKey] != 0 || ran[unknownKey] != 0 {
		return fmt.Errorf("after the removal of one tenant of two the keys are not served as the configuration says: %v", ran)
	}
	if e.trouble {
		if err := f.configure("/config/modify", 7, map[string]any{"version": 9, "remove": map[string]any{"tenants": []string{"kaje80"}}}, 5*time.Second); err != nil {
			return err
		}
	}
	time.Sleep(revoke + time.Second)
	ran = k.ask("6 s later", key, keptKey, unknownKey)
	e.copyRuns()
	k.recordConfig()
	if !e.trouble {
		if ran[key] != 3 || ran[keptKey] != 0 || ran[unknownKey] != 0 {
			return fmt.Errorf("without the disruption the keys are not served as the configuration says: %v", ran)
		}
		return nil
	}
	if ran[key]+ran[keptKey]+ran[unknownKey] > 0 {
		return fmt.Errorf("%w: more than revokeMs after the removal of the last tenant %d requests ran with its key, %d with a key removed before, %d with a key that no configuration held",
			errBroken, ran[key], ran[keptKey], ran[unknownKey])
	}
	return nil
}

// keyTest asks which keys are served.
type keyTest struct {
	*environment
	fleet   *fleet
	timeout time.Duration
	step    int
}

// ask sends a request with each key to each machine and returns how many of them ran.
func (k *keyTest) ask(text string, keys ...string) map[string]int {
	k.step++
	ran := map[string]int{}
	for n, key := range keys {
		for i, m := range k.fleet.machines {
			id := fmt.Sprintf("7e57%04d%04d%04d", k.step, n, i)
			a := send(k.fleet.frontOf(m), "POST", "/pule252/2f", host, id, key, k.timeout, nil, []byte("x"))
			runs := parseRuns(filepath.Join(k.dir, "runs.txt"))[id]
			k.record.printf("client: %s: POST %s with key %q to %s: %v, ran at %v", text, id, key, m.name, a, runs)
			ran[key] += len(runs)
		}
	}
	return ran
}

// recordConfig records the configuration that the operator reads back.
func (k *keyTest) recordConfig() {
	response, err := controlClient.Get("http://" + k.fleet.controlOf(k.fleet.machines[0]) + "/config/read")
	if err != nil {
		return
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	k.record.printf("operator: GET /config/read: %d %s", response.StatusCode, text)
}
