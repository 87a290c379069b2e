package work

import (
	"context"
	"time"
)

// Advice lists the workers that may run a step.
type Advice struct {
	Tickets   map[string]string // by worker identifier
	TicketTTL time.Duration     `json:"Valid"` // validity of the tickets
}

// Adviser is the service that decides which workers may run the steps of jobs with
// Advised set. It processes the calls of each caller one at a time.
type Adviser interface {
	// Advise returns which of at most 100 workers may run the step. The index in
	// the key is ignored.
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

// Machine is a machine that workers run on.
type Machine struct {
	Name   string
	Pool   string // name of the service
	State  MachineState
	Worker string // identifier of the worker on the machine
}

// MachineRefusal is the reason for which an order for a machine was not carried out.
type MachineRefusal string

// Refusals of an order for a machine.
const (
	MachineAccepted  MachineRefusal = ""
	MachineFenced    MachineRefusal = "fence"
	MachineBusy      MachineRefusal = "busy"
	MachineNotInWave MachineRefusal = "wave"
	MachineUnknown   MachineRefusal = "unknown"
)

// MachineManager lists machines and orders their maintenance. A repeated order is
// accepted without a further effect.
type MachineManager interface {
	List(ctx context.Context) ([]Machine, error)
	// StartMaintenance takes a machine down for maintenance, which ends its runs
	// immediately. An order with a lower fence than an accepted one is refused.
	StartMaintenance(ctx context.Context, holder string, fence uint64, machine string, wave int64) (MachineRefusal, error)
}
