package router

import (
	"time"

	"pinelb.example/pinelb/internal/fleet/config"
	"pinelb.example/pinelb/internal/fleet/settings"
	"pinelb.example/pinelb/internal/overload"
)

// Parts of limits.memoryMb that the clients of each listener may make the router hold, as divisors. With the registers' part they leave half of what the
// garbage collector keeps to (heapRatio) for everything else.
const (
	clientMemoryDivisor  = 4
	routerMemoryDivisor  = 8
	controlMemoryDivisor = 16
)

// Parts of limits.memoryMb for what outlives a client's request.
const (
	lateWriteMemoryDivisor = 16 // bodies that are still being written to an endpoint that has answered
	changeMemoryDivisor    = 64 // a single change of the configuration, whose parsed form takes many times its size
	maxChangeBytes         = 16 << 20
	readyBytes             = 4 << 20 // for the clients of the readiness probe
)

// Parts of the descriptors that are not reserved, in sixteenths less than half: six for clients, seven for endpoints, and three for the rest.
const (
	descriptorParts          = 32
	endpointDescriptorParts  = 14
	clientDescriptorParts    = 12
	controlDescriptorParts   = 3
	routerDescriptorParts    = 3
	maxReadyConnections      = 64 // from the reserved ones
	defaultHeaderTimeout     = 10 * time.Second
	defaultIdleTimeout       = 60 * time.Second
	timeoutSlack             = time.Second // beyond the configuration's time-outs, for what clients and networks take
	maxWatchesPerConnections = 2           // watches may wait on half of the connections for the control API
)

// overloadManagers bound what the clients of each listener make the router hold.
type overloadManagers struct {
	clients, control, ready, routers *overload.Manager
}

func newOverloadManagers(s *settings.Settings) overloadManagers {
	memory := int64(s.Limits.MemoryMB) * bytesPerMB
	m := overloadManagers{
		clients: overload.NewManager(overload.Limits{Connections: descriptorsFor(s, clientDescriptorParts), Bytes: memory / clientMemoryDivisor}),
		control: overload.NewManager(overload.Limits{Connections: descriptorsFor(s, controlDescriptorParts), Bytes: memory / controlMemoryDivisor}),
		ready:   overload.NewManager(overload.Limits{Connections: maxReadyConnections, Bytes: readyBytes}),
		routers: overload.NewManager(overload.Limits{Connections: descriptorsFor(s, routerDescriptorParts), Bytes: memory / routerMemoryDivisor}),
	}
	timeouts := clientTimeouts(config.Limits{})
	for _, manager := range []*overload.Manager{m.clients, m.control, m.ready} {
		manager.SetTimeouts(timeouts)
	}
	return m
}

// descriptorsFor returns the number of connections that have some parts of the descriptors.
func descriptorsFor(s *settings.Settings, parts int) int {
	return max(minConnections, (s.Limits.FileDescriptors-reservedDescriptors)*parts/descriptorParts)
}

// clientTimeouts returns how long clients' connections may take by the configuration's limits.
func clientTimeouts(limits config.Limits) overload.Timeouts {
	return overload.Timeouts{
		Header: timeoutOr(limits.HeaderTimeoutMs, defaultHeaderTimeout), Idle: timeoutOr(limits.IdleTimeoutMs, defaultIdleTimeout),
	}
}

func timeoutOr(ms float64, otherwise time.Duration) time.Duration {
	if ms <= 0 {
		return otherwise
	}
	return time.Duration(ms*float64(time.Millisecond)) + timeoutSlack
}

// maxChange returns the size of the largest change of the configuration that is accepted, in bytes.
func maxChange(s *settings.Settings) int64 {
	if s.Limits.MemoryMB == 0 {
		return maxChangeBytes
	}
	return min(maxChangeBytes, int64(s.Limits.MemoryMB)*bytesPerMB/changeMemoryDivisor)
}

// tick closes the connections that have exceeded their time. table is the active configuration, or nil.
func (m *overloadManagers) tick(table *config.Table) {
	if table != nil {
		m.clients.SetTimeouts(clientTimeouts(table.Limits))
	}
	now := time.Now()
	for _, manager := range []*overload.Manager{m.clients, m.control, m.ready, m.routers} {
		manager.Sweep(now)
	}
}

// ClientUse is what the clients of each listener hold.
type ClientUse struct {
	Clients overload.Use `json:"clients"`
	Control overload.Use `json:"control"`
	Ready   overload.Use `json:"ready"`
	Routers overload.Use `json:"routers"`
}

func (m *overloadManagers) use() ClientUse {
	return ClientUse{Clients: m.clients.Use(), Control: m.control.Use(), Ready: m.ready.Use(), Routers: m.routers.Use()}
}
