package placement

import (
	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/account"
)

// Shortage is a guarantee for which workers are missing.
type Shortage struct {
	Account string
	Shape   rosemarysill.Shape
	Missing int // gangs
}

// Shortages returns the guarantees that do not fit at once on the usable
// workers when nothing else runs, in the order of the configuration.
func Shortages(cfg rosemarysill.Configuration, workers []rosemarysill.WorkerState) []Shortage {
	f := newFleet(rosemarysill.ClusterState{Workers: workers})
	units := account.NewBook(cfg, f.total).Units()
	missing := map[int]bool{}
	for _, i := range f.findSets(units, f.free, attached{}).short {
		missing[i] = true
	}
	var all []Shortage
	for i := range units {
		if !missing[i] {
			continue
		}
		if n := len(all) - 1; n >= 0 && all[n].Account == units[i].Account && all[n].Shape == units[i].Shape {
			all[n].Missing++
			continue
		}
		all = append(all, Shortage{Account: units[i].Account, Shape: units[i].Shape, Missing: 1})
	}
	return all
}
