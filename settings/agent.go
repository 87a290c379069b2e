package settings

import (
	"net/netip"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/form"
	"github.com/rs/zerolog"
)

// Capacity is the capacity of an agent's back end. Slots applies to an upstream,
// the other fields apply to a worker.
type Capacity struct {
	Slots        int `settings:"min=1,max=1024"`
	Accelerators int `settings:"min=1,max=64"`
	Processors   int `settings:"min=1,max=4096"`
	MemoryMB     int `settings:"min=1,max=67108864"`
}

// AgentLimits are the resource limits of an agent. The comments state the defaults.
type AgentLimits struct {
	MemoryMB       int64 `settings:"min=64,max=1048576"`  // memory of the machine: 1,024 MiB
	MaxDescriptors int   `settings:"min=256,max=1048576"` // open file descriptors of the process: 4,096
	MaxBodyBytes   int   `settings:"min=1,max=16777216"`  // of a call or a task: 1 MiB
	MaxAnswerBytes int   `settings:"min=1,max=16777216"`  // of an answer: 16 MiB
	MaxEntries     int   `settings:"min=1,max=64"`        // entries that receive heartbeats: 16
}

// DefaultAgentLimits returns the default limits of an agent.
func DefaultAgentLimits() AgentLimits {
	return AgentLimits{MemoryMB: 1024, MaxDescriptors: 4096, MaxBodyBytes: 1 << 20, MaxAnswerBytes: 16 << 20, MaxEntries: 16}
}

// Agent holds the settings of an agent.
type Agent struct {
	Name     string                 `settings:"required,name"`
	Kind     rosemarysill.AgentKind `settings:"required"`
	Domain   string                 `settings:"required,name"` // failure domain of its VM
	Rack     string                 `settings:"name"`          // required for a worker
	Listen   netip.AddrPort         `settings:"required"`      // gRPC address; announced to entries
	Entries  []netip.AddrPort       `settings:"required,min=1,max=64"`
	BackEnd  netip.AddrPort         `settings:"required"` // address of the upstream or of the worker's runtime
	Capacity Capacity               `settings:"required"`
	Limits   AgentLimits
	Timings  rosemarysill.Timings
	Log      Log
}

// ReadAgent reads the settings of an agent from a file.
func ReadAgent(file string) (Agent, error) {
	data, err := form.Read(file)
	if err != nil {
		return Agent{}, err
	}
	return ParseAgent(file, data)
}

// ParseAgent decodes the settings of an agent. The file name is used in
// faults only.
func ParseAgent(file string, data []byte) (Agent, error) {
	a := Agent{Limits: DefaultAgentLimits(), Timings: rosemarysill.DefaultTimings(), Log: Log{Level: zerolog.InfoLevel}}
	d := newDecoder(file)
	d.Decode(data, &a)
	if !d.Empty() {
		d.checkTimings(a.Timings)
		d.checkAgent(a)
	}
	if err := d.Faults(); err != nil {
		return Agent{}, err
	}
	return a, nil
}

// checkAgent reports settings of an agent that contradict each other, and keys
// that the kind of the agent requires or excludes.
func (d *decoder) checkAgent(a Agent) {
	d.checkReachable("Listen", a.Listen)
	if a.Listen.IsValid() && a.Listen == a.BackEnd {
		d.AddFault("BackEnd", "is the same address as Listen")
	}
	d.checkAddresses("Entries", a.Entries)
	if len(a.Entries) > a.Limits.MaxEntries {
		d.AddFault("Entries", "has %d addresses, more than Limits.MaxEntries (%d)", len(a.Entries), a.Limits.MaxEntries)
	}
	requirements := map[rosemarysill.AgentKind]map[string]bool{
		rosemarysill.UpstreamAgent: {"Capacity.Slots": true, "Capacity.Accelerators": false, "Capacity.Processors": false, "Capacity.MemoryMB": false},
		rosemarysill.WorkerAgent:   {"Rack": true, "Capacity.Slots": false, "Capacity.Accelerators": true, "Capacity.Processors": true, "Capacity.MemoryMB": true},
	}
	for _, key := range []string{"Rack", "Capacity.Slots", "Capacity.Accelerators", "Capacity.Processors", "Capacity.MemoryMB"} {
		switch required, applies := requirements[a.Kind][key]; {
		case !applies:
		case required && !d.Has(key) && (key == "Rack" || d.Has("Capacity")):
			d.AddFault(key, "key is missing; an agent of kind %s requires it", a.Kind)
		case !required && d.Has(key):
			d.AddFault(key, "key is not allowed for an agent of kind %s", a.Kind)
		}
	}
}
