package stubfleet

import (
	"maps"
	"slices"
	"syscall"
)

// scenario describes the course of a play.
type scenario struct {
	changes   float64 // a second, unless the case says otherwise
	coldStart bool    // measured from the start of the sidecars on
	outage    func(*play) (restore func() error)
	onSample  func(*play, float64) error // gets the elapsed share of the measured time
}

// ordinaryRate is the rate of changes on an ordinary day, a second.
const ordinaryRate = 5300.0 / 86400

// scenarios are those that can be played, by name.
var scenarios = map[string]scenario{
	"rest":         {},                                                   // nothing changes
	"ordinary":     {changes: ordinaryRate},                              // 5,300 changes a day
	"hundredfold":  {changes: 100 * ordinaryRate},                        // a hundred times that
	"stopped":      {changes: 1, onSample: (*play).stopRack},             // one rack is stopped from a quarter of the time to three quarters
	"restarting":   {changes: 1, onSample: (*play).restartSome},          // a twentieth starts anew each second, with nothing known
	"cold":         {coldStart: true},                                    // all start together and know nothing
	"down-refused": {coldStart: true, outage: (*play).refuseConnections}, // cold, and the service refuses connections at first
	"down-503":     {coldStart: true, outage: (*play).respond503},        // cold, and the service answers 503 at first
}

// Scenarios returns the names of the scenarios, in order.
func Scenarios() []string { return slices.Sorted(maps.Keys(scenarios)) }

// DefaultChanges returns the rate of changes of a scenario, a second, unless a case sets its own.
func DefaultChanges(name string) float64 { return scenarios[name].changes }

// stopRack stops the first rack at a quarter of the measured time and continues it at three quarters.
func (p *play) stopRack(elapsed float64) error {
	switch {
	case elapsed >= 0.25 && elapsed < 0.75 && !p.rackStopped:
		p.rackStopped = true
		return p.racks[0].signal(syscall.SIGSTOP)
	case elapsed >= 0.75 && p.rackStopped:
		p.rackStopped = false
		return p.racks[0].signal(syscall.SIGCONT)
	}
	return nil
}

// restartSome restarts a share of the stubs of each rack, evenly over the time.
func (p *play) restartSome(elapsed float64) error {
	for _, r := range p.racks {
		due := int(elapsed*float64(p.Seconds)*restartShare*float64(r.sidecars)) - r.restarted
		if due <= 0 {
			continue
		}
		if _, err := r.call(command{Op: opRestart, Sidecars: due}); err != nil {
			return err
		}
		r.restarted += due
	}
	return nil
}

// refuseConnections takes the service down, until restore is called.
func (p *play) refuseConnections() (restore func() error) {
	for _, f := range p.frontends {
		f.Down()
	}
	return func() error {
		for _, f := range p.frontends {
			if err := f.Up(); err != nil {
				return err
			}
		}
		return nil
	}
}

// respond503 has the service respond 503, until restore is called.
func (p *play) respond503() (restore func() error) {
	p.service.SetTreatment(func(Call) Treatment { return Reject })
	return func() error {
		p.service.SetTreatment(nil)
		return nil
	}
}
