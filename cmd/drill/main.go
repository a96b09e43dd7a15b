// Command drill plays the decision module on the simulator's wire: it reads batches of
// events on standard input, hands each to the Balancer of its instance and writes the
// actions to standard output. It decides nothing, and instances share nothing.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/config"
	"pinelb.example/pinelb/internal/simprotocol"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "drill:", err)
		os.Exit(1)
	}
}

// run answers batches until the input ends.
func run(in io.Reader, out io.Writer) error {
	d := &drill{instances: map[uint32]*balance.Balancer{}}
	dec := simprotocol.NewDecoder(bufio.NewReaderSize(in, 1<<16))
	for {
		d.enc.Begin()
		err := dec.Next(d.handle)
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if _, err := out.Write(d.enc.Finish()); err != nil {
			return err
		}
	}
}

type drill struct {
	instances map[uint32]*balance.Balancer
	enc       simprotocol.Encoder
	actions   []balance.Action
}

// handle gives one record to its instance.
func (d *drill) handle(now time.Duration, rec *simprotocol.Record) error {
	switch rec.Op {
	case simprotocol.OpStop:
		delete(d.instances, rec.Instance)
	case simprotocol.OpStart:
		set, err := config.ParseSettings(rec.Settings)
		if err != nil {
			return err
		}
		set.Name = fmt.Sprint("n", rec.Instance) // as the platform names its sidecars
		b, err := balance.New(set.Settings, rec.Seed)
		if err != nil {
			return err
		}
		d.instances[rec.Instance] = b
	default:
		b := d.instances[rec.Instance]
		if b == nil {
			return fmt.Errorf("event for instance %d, which is not running", rec.Instance)
		}
		d.decide(b, now, rec)
	}
	return nil
}

// decide runs the module on one event; a panic there is reported as the module's crash.
func (d *drill) decide(b *balance.Balancer, now time.Duration, rec *simprotocol.Record) {
	defer func() {
		if p := recover(); p != nil {
			d.enc.Crash(rec.Instance, fmt.Sprint(p))
		}
	}()
	d.actions = b.Handle(now, &rec.Event, d.actions[:0])
	d.enc.Add(rec.Instance, d.actions)
}
