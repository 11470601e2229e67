package directory

import (
	"damsonwinch"
	"damsonwinch/pkg/wire"
)

// listedEndpoint returns an endpoint as it is sent to other nodes.
func listedEndpoint(e damsonwinch.Endpoint) wire.ListedEndpoint {
	return wire.ListedEndpoint{
		Id: e.Life.ID, StartedUnixMs: e.Life.StartedUnixMs, Box: e.Box, Address: e.Address, Pool: e.Pool, Zone: e.Zone, Rack: e.Rack, Labels: e.Labels,
		Capacity: &wire.Amount{Cpu: e.Capacity.MilliCPU, MemoryMb: e.Capacity.MemoryMB, Gpu: e.Capacity.GPUs}, Draining: e.Draining, Cold: e.Cold,
	}
}

// endpoint returns an endpoint that another node has sent.
func endpoint(l wire.ListedEndpoint) damsonwinch.Endpoint {
	e := damsonwinch.Endpoint{
		Life: damsonwinch.Life{ID: l.Id, StartedUnixMs: l.StartedUnixMs}, Box: l.Box, Address: l.Address, Pool: l.Pool, Zone: l.Zone, Rack: l.Rack, Labels: l.Labels,
		Draining: l.Draining, Cold: l.Cold,
	}
	if l.Capacity != nil {
		e.Capacity = damsonwinch.Resources{MilliCPU: l.Capacity.Cpu, MemoryMB: l.Capacity.MemoryMb, GPUs: l.Capacity.Gpu}
	}
	return e
}
