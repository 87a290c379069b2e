package account

import "github.com/rosemarysill/rosemarysill"

// Resources is an amount of each resource of workers.
type Resources struct {
	Accelerators, Processors, MemoryMB int
}

// MemberOf returns the resources of one member of a gang.
func MemberOf(s rosemarysill.Shape) Resources {
	return Resources{s.Accelerators, s.Processors, s.MemoryMB}
}

// CapacityOf returns the resources of a worker.
func CapacityOf(id rosemarysill.AgentIdentity) Resources {
	return Resources{id.Accelerators, id.Processors, id.MemoryMB}
}

// Add returns r and n times o.
func (r Resources) Add(o Resources, n int) Resources {
	return Resources{r.Accelerators + n*o.Accelerators, r.Processors + n*o.Processors, r.MemoryMB + n*o.MemoryMB}
}

// Sub returns r less n times o.
func (r Resources) Sub(o Resources, n int) Resources { return r.Add(o, -n) }

// Min returns the smaller amount of each resource.
func (r Resources) Min(o Resources) Resources {
	return Resources{min(r.Accelerators, o.Accelerators), min(r.Processors, o.Processors), min(r.MemoryMB, o.MemoryMB)}
}

// Floor raises negative amounts to zero.
func (r Resources) Floor() Resources {
	return Resources{max(r.Accelerators, 0), max(r.Processors, 0), max(r.MemoryMB, 0)}
}

// Members returns how many members of the size need fit in r, at most limit.
func (r Resources) Members(need Resources, limit int) int {
	n := limit
	if need.Accelerators > 0 {
		n = min(n, r.Accelerators/need.Accelerators)
	}
	if need.Processors > 0 {
		n = min(n, r.Processors/need.Processors)
	}
	if need.MemoryMB > 0 {
		n = min(n, r.MemoryMB/need.MemoryMB)
	}
	return max(n, 0)
}

// Less orders amounts by accelerators, then processors, then memory.
func (r Resources) Less(o Resources) bool {
	if r.Accelerators != o.Accelerators {
		return r.Accelerators < o.Accelerators
	}
	if r.Processors != o.Processors {
		return r.Processors < o.Processors
	}
	return r.MemoryMB < o.MemoryMB
}

// Dominant returns the largest share that r takes of any resource of total.
func (r Resources) Dominant(total Resources) float64 {
	share := func(part, whole int) float64 {
		if whole <= 0 {
			return 0
		}
		return float64(part) / float64(whole)
	}
	return max(share(r.Accelerators, total.Accelerators), share(r.Processors, total.Processors),
		share(r.MemoryMB, total.MemoryMB))
}
