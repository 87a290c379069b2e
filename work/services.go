package work

import (
	"context"
	"time"
)

// Advice names the workers that may run a step.
type Advice struct {
	Tickets   map[string]string // by identifier of the worker
	TicketTTL time.Duration     `json:"Valid"` // for which the tickets hold
}

// Adviser is the service that knows which workers may run the steps of some
// queues. It serves one call at a time for each caller.
type Adviser interface {
	// Advise asks about at most 100 workers. The occurrence and the step of
	// the key count.
	Advise(ctx context.Context, timeout time.Duration, step TaskKey, workers []string) (Advice, error)
}

// MachineState is the state of a machine.
type MachineState string

// States of a machine.
const (
	MachineUp          MachineState = "up"
	MachineMoving      MachineState = "moving"
	MachineMaintenance MachineState = "upkeep"
	MachineDown        MachineState = "down"
)

// Machine is a machine of a worker.
type Machine struct {
	Name   string
	Pool   string // the service
	State  MachineState
	Worker string // identifier of the worker on it
}

// MachineRefusal is why an order for a machine was not carried out.
type MachineRefusal string

// Refusals of an order for a machine.
const (
	MachineAccepted  MachineRefusal = ""
	MachineFenced    MachineRefusal = "fence"
	MachineBusy      MachineRefusal = "busy"
	MachineNotInWave MachineRefusal = "wave"
	MachineUnknown   MachineRefusal = "unknown"
)

// MachineManager lists machines and orders their maintenance. An order that was carried
// out already is accepted again without effect.
type MachineManager interface {
	List(ctx context.Context) ([]Machine, error)
	// StartMaintenance takes a machine down for its maintenance. All that runs on it ends at
	// once. Orders with a lower fence than one that was accepted are refused.
	StartMaintenance(ctx context.Context, holder string, fence uint64, machine string, wave int64) (MachineRefusal, error)
}
