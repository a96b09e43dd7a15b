// Package simadapter runs the decision module (package balance) under the simulator: it reads batches of events, hands each event
// to the Balancer of its instance and writes the actions back. It decides nothing, and instances share nothing. The commands
// pinelb-lbsim and drill are its callers.
package simadapter

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"time"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/config"
	"pinelb.example/pinelb/internal/simprotocol"
)

const inputBuffer = 1 << 16 // bytes

// NotRunningError is an event for an instance that is not running.
type NotRunningError struct{ Instance uint32 }

func (e *NotRunningError) Error() string {
	return fmt.Sprintf("event for instance %d, which is not running", e.Instance)
}

// Run answers batches until the input ends. An error is one of in or out, a batch that wraps simprotocol.ErrInvalidBatch,
// settings that can't be used, or a *NotRunningError.
func Run(in io.Reader, out io.Writer) error {
	a := &adapter{instances: map[uint32]*balance.Balancer{}}
	batches := simprotocol.NewDecoder(bufio.NewReaderSize(in, inputBuffer))
	for {
		a.reply.Begin()
		err := batches.Next(a.handle)
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if _, err := out.Write(a.reply.Finish()); err != nil {
			return err
		}
	}
}

// adapter is the instances of one simulation.
type adapter struct {
	instances map[uint32]*balance.Balancer
	reply     simprotocol.Encoder
	actions   []balance.Action
}

// handle gives one record to its instance.
func (a *adapter) handle(now time.Duration, rec *simprotocol.Record) error {
	switch rec.Op {
	case simprotocol.OpStop:
		delete(a.instances, rec.Instance)
		return nil
	case simprotocol.OpStart:
		return a.start(rec)
	default:
		b := a.instances[rec.Instance]
		if b == nil {
			return &NotRunningError{rec.Instance}
		}
		a.decide(b, now, rec)
		return nil
	}
}

// start starts an instance, or starts it anew.
func (a *adapter) start(rec *simprotocol.Record) error {
	settings, err := config.ParseSettings(rec.Settings)
	if err != nil {
		return err
	}
	settings.Name = fmt.Sprint("n", rec.Instance) // as the platform names its sidecars
	b, err := balance.New(settings.Settings, rec.Seed)
	if err != nil {
		return err
	}
	a.instances[rec.Instance] = b
	return nil
}

// decide runs the module on one event; a panic there is reported as the module's crash.
func (a *adapter) decide(b *balance.Balancer, now time.Duration, rec *simprotocol.Record) {
	defer func() {
		if p := recover(); p != nil {
			a.reply.Crash(rec.Instance, fmt.Sprint(p))
		}
	}()
	a.actions = b.Handle(now, &rec.Event, a.actions[:0])
	a.reply.Add(rec.Instance, a.actions)
}
