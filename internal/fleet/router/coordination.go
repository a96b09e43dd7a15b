package router

import (
	"context"
	"errors"
	"time"

	"pinelb.example/pinelb/internal/fleet/control"
	"pinelb.example/pinelb/internal/fleet/coordination"
	"pinelb.example/pinelb/internal/fleet/coordinator"
	"pinelb.example/pinelb/internal/fleet/register"
	"pinelb.example/pinelb/internal/fleet/replication"
	"pinelb.example/pinelb/internal/fleet/settings"
	"pinelb.example/pinelb/internal/fleet/transport"
)

const (
	// historyMargin is added to the configured history bound: the puts of a group are kept for the sum of both.
	historyMargin = 10 * time.Second
	// maxGroupBytes bounds the total size of a group's keys, values and events.
	maxGroupBytes = 4 << 20
)

// Shares of the machine's limits for the registers. A machine holds them twice, as an acceptor and as a proposer, and a third time while it writes them;
// its disk holds the log beside the snapshot that replaces it, and the log of the configuration.
const (
	stateMemoryDivisor = 10 // of limits.memoryMb
	stateDiskRatio     = 3.0 / 8
	logDiskRatio       = 1.0 / 2
)

// maxStateBytes returns the size of all registers from which on puts and new names are not executed.
func maxStateBytes(s *settings.Settings) int {
	size := s.Limits.MemoryMB * bytesPerMB / stateMemoryDivisor
	if disk := s.Limits.DiskMB; s.DataDir != "" && disk > 0 {
		size = min(size, int(stateDiskRatio*float64(disk)*bytesPerMB))
	}
	return size
}

// maxLogBytes returns the size of the registers' log above which it is compacted, whatever its growth; 0: unlimited.
func maxLogBytes(s *settings.Settings) int {
	if s.DataDir == "" {
		return 0
	}
	return int(logDiskRatio * float64(s.Limits.DiskMB) * bytesPerMB)
}

// coordinationService serves locks, counters, cells and watches to applications, if the settings enable the service. Otherwise it holds no
// state and sends no messages.
type coordinationService struct {
	*environment
	gossip  *gossip
	service *coordinator.Service // nil: the service is off, or has not been started
}

// isServed reports whether the settings enable the service.
func (c *coordinationService) isServed() bool { return c.settings.ServesCoordination() }

// start starts this machine's coordinator, if the service is enabled. It returns an error if the coordinator can't be started.
func (c *coordinationService) start() error {
	if !c.isServed() {
		return nil
	}
	s := c.settings
	founders := c.founders()
	var err error
	c.service, err = coordinator.Start(coordinator.Options{
		Address: c.address(), Zone: s.Zone, Region: s.Region, Directory: s.DataDir, Founders: founders, Core: c.isCore(founders),
		Votes:     s.CountsForQuorum,
		Tolerance: replication.Tolerance{Machines: s.Tolerance.Machines, Zones: s.Tolerance.Zones, Regions: s.Tolerance.Regions},
		State:     coordination.Options{History: s.Bounds.History + historyMargin, MaxGroupBytes: maxGroupBytes},
		MaxState:  maxStateBytes(s), MaxLog: maxLogBytes(s),
		Peers:     c.gossip.corePeers,
		Proposers: c.gossip.liveCore,
		Leaving:   c.draining.Load,
		Send: func(to string, nonce uint64, message any) {
			c.transport.Send(to, coordinationKind(message), nonce, message)
		},
		Clock: c.clock,
		Log:   c.log,
	})
	return err
}

// tick lets the coordinator detect that the process was paused.
func (c *coordinationService) tick() {
	if c.service != nil {
		c.service.Tick()
	}
}

// close stops the coordinator, if it was started.
func (c *coordinationService) close() {
	if c.service != nil {
		c.service.Close()
	}
}

// Execute executes an operation, as part of control.Coordinator. It returns a *control.RefusedError if the operation was certainly not
// executed.
func (c *coordinationService) Execute(ctx context.Context, operation *coordination.Operation, park time.Duration) (coordination.Result, error) {
	result, err := c.service.Execute(ctx, operation, park)
	switch {
	case errors.Is(err, coordinator.ErrOverloaded):
		return result, &control.RefusedError{Overloaded: true, Err: err}
	case errors.Is(err, coordinator.ErrNoProposer), errors.Is(err, coordinator.ErrResuming):
		return result, &control.RefusedError{Err: err}
	}
	return result, err
}

// Draining reports whether this router is shutting down, as part of control.Coordinator.
func (c *coordinationService) Draining() bool { return c.draining.Load() }

// status returns the coordinator's status for operators; nil: the service is off.
func (c *coordinationService) status() *coordinator.Status {
	if c.service == nil {
		return nil
	}
	status := c.service.Status()
	return &status
}

// coordinationKind returns the kind under which a message of the service is sent.
func coordinationKind(message any) transport.Kind {
	switch message.(type) {
	case *register.Request:
		return kindRegisterRequest
	case *register.Reply:
		return kindRegisterReply
	case *register.Hello:
		return kindRegisterHello
	case *register.Collect:
		return kindRegisterCollect
	case *register.Collected:
		return kindRegisterCollected
	case *coordinator.CallRequest:
		return kindCoordinationCall
	}
	return kindCoordinationReply
}

// receive decodes a message and passes it to the service. Messages are ignored while the service is off.
func (c *coordinationService) receive(p *transport.Packet) error {
	if c.service == nil {
		return nil
	}
	message := newCoordinationMessage(p.Kind)
	if err := coordinator.Decode(p.Body, message); err != nil {
		return err
	}
	c.service.Receive(p.From, p.Nonce, message, len(p.Body))
	return nil
}

// newCoordinationMessage returns an empty message of a kind, to decode into.
func newCoordinationMessage(kind transport.Kind) any {
	switch kind {
	case kindRegisterRequest:
		return &register.Request{}
	case kindRegisterReply:
		return &register.Reply{}
	case kindRegisterHello:
		return &register.Hello{}
	case kindRegisterCollect:
		return &register.Collect{}
	case kindRegisterCollected:
		return &register.Collected{}
	case kindCoordinationCall:
		return &coordinator.CallRequest{}
	}
	return &coordinator.CallReply{}
}
