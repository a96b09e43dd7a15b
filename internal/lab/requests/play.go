package requests

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"pinelb.example/pinelb/internal/lab/machines"
)

const (
	clientCount    = 16
	startTimeout   = 60 * time.Second
	afterLastFault = 2 * time.Second
	recoverBound   = 12 * time.Second // after the last fault, until each router serves again
	lateRunTime    = time.Second      // after the last request, for runs that come late
)

// Options are a play's.
type Options struct {
	Program  string // pinelb's
	Seed     uint64
	Duration time.Duration // of the faults
	Edge     int           // routers without a disk; 0: as many as the seed draws
	Folder   string        // for settings and logs, and for disks where Disks is empty
	Disks    string        // folder for disks
}

// play is one play.
type play struct {
	options   Options
	script    *Script
	fleet     *fleet
	endpoints []*endpoint
	recorder  *recorder
	operator  *operator
	faults    *faultPlayer
	late      []Violation // found after the faults
}

// Play plays a seed and judges it. An error says that the play says nothing.
func Play(ctx context.Context, options Options) (*Result, error) {
	if options.Disks == "" {
		options.Disks = options.Folder
	}
	if err := errors.Join(os.MkdirAll(options.Folder, 0o750), os.MkdirAll(options.Disks, 0o750)); err != nil {
		return nil, err
	}
	p := &play{options: options, script: NewScript(options.Seed, options.Duration, options.Edge), recorder: &recorder{begin: time.Now()}}
	var err error
	if p.fleet, err = newFleet(p.script, &options); err != nil {
		return nil, err
	}
	defer p.fleet.close()
	ctx, cancel := context.WithCancel(ctx)
	var heartbeats sync.WaitGroup
	defer heartbeats.Wait()
	defer cancel()
	if err := p.startEndpoints(ctx, &heartbeats); err != nil {
		return nil, err
	}
	defer p.crashEndpoints()
	if err := p.start(ctx); err != nil {
		return nil, err
	}
	if err := p.playFaults(ctx); err != nil {
		return nil, err
	}
	p.checkEnd(ctx)
	time.Sleep(lateRunTime)
	return p.newResult(), ctx.Err()
}

func (p *play) startEndpoints(ctx context.Context, heartbeats *sync.WaitGroup) error {
	for i := range endpointCount {
		e := &endpoint{
			name: fmt.Sprint("e", i), ip: p.fleet.addresses.Address(endpointOffset + i), recorder: p.recorder, controls: p.fleet.controls(),
			random: rand.New(rand.NewPCG(p.script.Seed, uint64(100+i))),
		}
		if err := e.start(); err != nil {
			return err
		}
		p.endpoints = append(p.endpoints, e)
		heartbeats.Go(func() { e.sendHeartbeats(ctx) })
	}
	return nil
}

func (p *play) crashEndpoints() {
	for _, e := range p.endpoints {
		e.crash()
	}
}

// start starts the routers and gives out the keys. The play's time begins then.
func (p *play) start(ctx context.Context) error {
	if err := p.fleet.startAll(true); err != nil {
		return err
	}
	p.operator = newOperator(p.recorder, p.script.Seed, p.fleet.controls())
	if err := p.operator.giveAll(ctx); err != nil {
		return err
	}
	ready, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if !awaitReady(ready, p.fleet.routers...) {
		return fmt.Errorf("requests: the fleet is not ready within %v of its start", startTimeout)
	}
	begin := p.recorder.now()
	p.faults = &faultPlayer{
		fleet: p.fleet, endpoints: p.endpoints, losses: machines.NewLosses(p.script.Core), counts: map[FaultKind]int{},
		clock: func() time.Duration { return p.recorder.now() - begin },
	}
	return nil
}

// playFaults plays the script's faults while clients send requests and the operator changes keys.
func (p *play) playFaults(ctx context.Context) error {
	traffic, stop := context.WithCancel(ctx)
	var tasks sync.WaitGroup
	for i := range clientCount {
		c := newClient(fmt.Sprint("c", i), p.script.Seed<<16+uint64(i), p.recorder, p.fleet.fronts(), p.operator.current)
		tasks.Go(func() { c.run(traffic) })
	}
	var operatorErr error
	tasks.Go(func() { operatorErr = p.operator.run(traffic) })
	err := p.faults.play(ctx, p.script.Faults)
	machines.Pause(ctx, afterLastFault)
	stop()
	tasks.Wait()
	return errors.Join(err, operatorErr)
}

// checkEnd gives out all keys once more, reads the configuration back, and expects each router to serve.
func (p *play) checkEnd(ctx context.Context) {
	if err := p.operator.giveAll(ctx); err != nil {
		p.late = append(p.late, Violation{ruleRecover, "a change after the last fault: " + err.Error()})
		return
	}
	version, ok := int64(0), false
	for until := time.Now().Add(recoverBound); !ok && time.Now().Before(until); machines.Pause(ctx, operatorPause) {
		version, ok = p.operator.readVersion(ctx)
	}
	if version != p.operator.version {
		p.late = append(p.late, Violation{ruleLost, fmt.Sprintf("the configuration is read back as %d, and %d was acknowledged", version, p.operator.version)})
	}
	for i, r := range p.fleet.routers {
		c := newClient(fmt.Sprint("last", i), p.script.Seed<<16+uint64(clientCount+i), p.recorder, []string{r.front}, p.operator.current)
		served := false
		for until := time.Now().Add(recoverBound); !served && time.Now().Before(until); machines.Pause(ctx, operatorPause) {
			served = c.send(keyOf(0, 0)).Status == 200
		}
		c.http.CloseIdleConnections()
		if !served {
			p.late = append(p.late, Violation{ruleRecover, fmt.Sprintf("%s serves nothing %v after the last fault", r.Name, recoverBound)})
		}
	}
}
