package placement

import "github.com/rosemarysill/rosemarysill"

// room is an amount of each resource of a worker.
type room struct {
	accelerators, processors, memoryMB int
}

func memberRoom(s rosemarysill.Shape) room {
	return room{s.Accelerators, s.Processors, s.MemoryMB}
}

func (r room) add(o room, n int) room {
	return room{r.accelerators + n*o.accelerators, r.processors + n*o.processors, r.memoryMB + n*o.memoryMB}
}

func (r room) sub(o room, n int) room { return r.add(o, -n) }

// floor raises negative amounts to zero.
func (r room) floor() room {
	return room{max(r.accelerators, 0), max(r.processors, 0), max(r.memoryMB, 0)}
}

// members returns how many members of the given size fit, at most limit.
func (r room) members(need room, limit int) int {
	n := limit
	if need.accelerators > 0 {
		n = min(n, r.accelerators/need.accelerators)
	}
	if need.processors > 0 {
		n = min(n, r.processors/need.processors)
	}
	if need.memoryMB > 0 {
		n = min(n, r.memoryMB/need.memoryMB)
	}
	return max(n, 0)
}
