package admission

import (
	"encoding/json"
	"math"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosemarysill/rosemarysill/work"
)

// Bounds of a record of the load. A service that exceeds them is published as not settled,
// and its jobs are accepted.
const (
	maxServices    = 64
	maxKinds       = 128 // of one service
	maxLabels      = 64  // of one kind
	maxPriorities  = 16
	maxRecordBytes = 256 << 10
)

// Load is what the leader publishes about the fleet.
type Load struct {
	Epoch    uint64 // of the leader
	Services map[string]Service
}

// Service is the load of the workers of one service.
type Service struct {
	// Settled reports that the kinds have not changed for SeenFor, and that the leader has
	// led for longer, so that a kind that is missing is not just late.
	Settled bool
	Kinds   []Kind
	// Ahead is, by priority, the time for which the work of that priority and of the higher
	// ones would occupy all workers seen. It is a lower bound.
	Ahead []time.Duration
}

// Kind is a set of workers with equal capacities and labels.
type Kind struct {
	Capacity work.Shape // largest one known
	Labels   []string   `json:",omitempty"` // sorted
	Count    int        // incarnations seen within SeenFor
}

// SeenFor is how long a worker is part of the load after it was last seen.
const SeenFor = 30 * time.Second

// Encode encodes a record of the load.
func Encode(l Load) ([]byte, error) {
	value, err := json.Marshal(l)
	if err == nil && len(value) > maxRecordBytes {
		return nil, errors.Newf("record of the load has %d bytes, at most %d are allowed", len(value), maxRecordBytes)
	}
	return value, errors.Wrap(err, "record of the load")
}

// Decode decodes and checks a record of the load. The load is empty after an error.
func Decode(value []byte) (Load, error) {
	var l Load
	if len(value) > maxRecordBytes {
		return Load{}, errors.Newf("record of the load has %d bytes, at most %d are allowed", len(value), maxRecordBytes)
	}
	if err := json.Unmarshal(value, &l); err != nil {
		return Load{}, errors.Wrap(err, "record of the load")
	}
	if problem := l.check(); problem != "" {
		return Load{}, errors.Newf("record of the load is invalid: %s", problem)
	}
	return l, nil
}

// check returns why the load is invalid, or an empty string.
func (l Load) check() string {
	if len(l.Services) > maxServices {
		return "too many services"
	}
	for _, s := range l.Services {
		switch {
		case len(s.Kinds) > maxKinds:
			return "too many kinds of workers"
		case len(s.Ahead) > maxPriorities:
			return "too many priorities"
		case slices.ContainsFunc(s.Ahead, func(d time.Duration) bool { return d < 0 }):
			return "negative work ahead"
		}
		for _, k := range s.Kinds {
			c := k.Capacity
			if k.Count < 0 || k.Count > math.MaxInt32 || len(k.Labels) > maxLabels || c.MilliCPU < 0 || c.MemoryMB < 0 || c.Accelerators < 0 {
				return "invalid kind of workers"
			}
		}
	}
	return ""
}

// minAheadChange and aheadTolerance bound the changes of the work ahead that are not worth a
// record.
const (
	minAheadChange = time.Second
	aheadTolerance = 0.25
)

// Differs reports whether a load differs from the published one in a way that may change a
// decision.
func Differs(published, current Load) bool {
	if published.Epoch != current.Epoch || len(published.Services) != len(current.Services) {
		return true
	}
	for name, c := range current.Services {
		p, ok := published.Services[name]
		if !ok || p.Settled != c.Settled || len(p.Ahead) != len(c.Ahead) || !slices.EqualFunc(p.Kinds, c.Kinds, sameKind) {
			return true
		}
		for i := range c.Ahead {
			a, b := p.Ahead[i], c.Ahead[i]
			if (a - b).Abs() > max(minAheadChange, time.Duration(aheadTolerance*float64(max(a, b)))) {
				return true
			}
		}
	}
	return false
}

func sameKind(a, b Kind) bool {
	return a.Capacity == b.Capacity && a.Count == b.Count && slices.Equal(a.Labels, b.Labels)
}
