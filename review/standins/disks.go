package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"
)

const recoverTime = 12 * time.Second // bounds.recoverS

// runTwoDisks kills all processes of a fleet in which two machines count, one of which may be lost, and takes the disk of one.
func runTwoDisks(e *environment) error {
	f, err := newFleet(e.record, e.root, e.dir, 3, 2, "base,drain,config,cost,retry,recover,engine,stream,tenants,quota", "")
	if err != nil {
		return err
	}
	defer f.stopAll()
	if err := f.startAll(); err != nil {
		return err
	}
	if err := f.configure("/config/replace", 0, stockConfig(5, 1500*time.Millisecond, tenant("kaje80", key)), 15*time.Second); err != nil {
		return err
	}
	time.Sleep(8 * time.Second) // more than catchUpS
	if err := f.configure("/config/modify", 5, map[string]any{"version": 7}, 5*time.Second); err != nil {
		return err
	}
	for _, m := range f.machines {
		f.kill(m)
		f.setBootstrap(m, false)
	}
	if e.trouble {
		lost := f.dir + "/" + f.machines[1].name + ".data"
		if err := os.RemoveAll(lost); err != nil {
			return err
		}
		if err := os.MkdirAll(lost, 0o755); err != nil {
			return err
		}
		e.record.printf("disruption: the disk of %s is lost", f.machines[1].name)
	}
	time.Sleep(1500 * time.Millisecond)
	if err := f.startAll(); err != nil {
		return err
	}
	started := time.Now()
	version := int64(0)
	for time.Since(started) < 4*recoverTime {
		for _, m := range f.machines {
			version = max(version, f.readVersion(m))
		}
		if version > 0 {
			break
		}
		time.Sleep(time.Second)
	}
	e.record.printf("operator: version %d is read back %v after the start; 7 was acknowledged", version, time.Since(started).Round(time.Millisecond))
	if version >= 7 {
		return nil
	}
	return fmt.Errorf("%w: %v after all machines are back (recoverS is %v) the acknowledged configuration is not read back", errBroken, time.Since(started).Round(time.Second), recoverTime)
}

// readVersion returns the version of the configuration that a machine answers; 0: none.
func (f *fleet) readVersion(m *machine) int64 {
	response, err := controlClient.Get("http://" + f.controlOf(m) + "/config/read")
	if err != nil {
		f.record.printf("operator: GET /config/read at %s: %v", m.name, err)
		return 0
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	f.record.printf("operator: GET /config/read at %s: %d", m.name, response.StatusCode)
	var document struct {
		Version int64 `json:"version"`
	}
	if response.StatusCode != 200 || json.Unmarshal(text, &document) != nil {
		return 0
	}
	return document.Version
}
