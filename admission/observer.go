package admission

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/rosemarysill/rosemarysill/work"
)

// Worker is a worker that the leader sees.
type Worker struct {
	Incarnation string
	Service     string
	Capacity    work.Shape // largest one known
	Labels      []string
}

// Work is the work of a job that is neither done nor late.
type Work struct {
	Service  string
	Priority int
	Shape    work.Shape
	Duration time.Duration // of all its tasks together, a lower bound
}

// Observer computes the load from what the leader sees over time. It is not safe for
// concurrent use.
type Observer struct {
	epoch   uint64
	since   time.Time
	seen    map[string]seenWorker
	changed map[string]time.Time // when the kinds of a service last changed
	latest  map[string]string    // kinds of a service, as text
}

type seenWorker struct {
	Worker
	at time.Time
}

// NewObserver returns an observer for a leader of the given epoch that leads since a time.
func NewObserver(epoch uint64, since time.Time) *Observer {
	return &Observer{epoch: epoch, since: since, seen: make(map[string]seenWorker), changed: make(map[string]time.Time), latest: make(map[string]string)}
}

// Observe returns the load at a time.
func (o *Observer) Observe(workers []Worker, ahead []Work, now time.Time) Load {
	for _, w := range workers {
		o.seen[w.Incarnation] = seenWorker{w, now}
	}
	byService := make(map[string][]Worker)
	for id, w := range o.seen {
		if now.Sub(w.at) > SeenFor {
			delete(o.seen, id)
			continue
		}
		byService[w.Service] = append(byService[w.Service], w.Worker)
	}
	for name := range o.latest {
		if _, ok := byService[name]; !ok {
			byService[name] = nil // it had workers in this term
		}
	}
	l := Load{Epoch: o.epoch, Services: make(map[string]Service)}
	for name, ws := range byService {
		kinds, complete := kindsOf(ws)
		s := Service{Kinds: kinds, Ahead: workAhead(name, ws, ahead)}
		if text := fmt.Sprint(s.Kinds); o.latest[name] != text {
			o.latest[name], o.changed[name] = text, now
		}
		s.Settled = now.Sub(o.since) > SeenFor && now.Sub(o.changed[name]) > SeenFor && complete
		l.Services[name] = s
	}
	if len(l.Services) > maxServices {
		return Load{Epoch: o.epoch} // entries accept everything
	}
	return l
}

// kindsOf groups workers by capacity and labels, in a fixed order. It reports false if the
// kinds exceed the bounds of a record.
func kindsOf(ws []Worker) ([]Kind, bool) {
	byText := make(map[string]*Kind)
	for _, w := range ws {
		labels := slices.Sorted(slices.Values(w.Labels))
		if len(labels) > maxLabels {
			return nil, false
		}
		text := fmt.Sprintf("%v %q", w.Capacity, labels)
		if byText[text] == nil {
			byText[text] = &Kind{Capacity: w.Capacity, Labels: labels}
		}
		byText[text].Count++
	}
	texts := make([]string, 0, len(byText))
	for text := range byText {
		texts = append(texts, text)
	}
	slices.SortFunc(texts, strings.Compare)
	kinds := make([]Kind, 0, len(texts))
	for _, text := range texts {
		kinds = append(kinds, *byText[text])
	}
	if len(kinds) > maxKinds {
		return nil, false
	}
	return kinds, true
}

// workAhead returns by priority for how long the work of that priority and the higher ones
// would occupy all workers of a service, by the scarcest resource.
func workAhead(service string, ws []Worker, ahead []Work) []time.Duration {
	var total work.Shape
	for _, w := range ws {
		total.MilliCPU += w.Capacity.MilliCPU
		total.Accelerators += w.Capacity.Accelerators
	}
	var cpu, accelerators [maxPriorities]float64
	highest := -1
	for _, w := range ahead {
		if w.Service != service || w.Priority < 0 || w.Priority >= maxPriorities {
			continue
		}
		highest = max(highest, w.Priority)
		for p := w.Priority; p < maxPriorities; p++ {
			cpu[p] += float64(w.Shape.MilliCPU) * float64(w.Duration)
			accelerators[p] += float64(w.Shape.Accelerators) * float64(w.Duration)
		}
	}
	out := make([]time.Duration, highest+1)
	for p := range out {
		out[p] = max(occupancy(cpu[p], total.MilliCPU), occupancy(accelerators[p], total.Accelerators))
	}
	return out
}

// maxAhead bounds the work ahead that is published.
const maxAhead = 24 * time.Hour

// occupancy returns for how long an amount of work occupies a capacity, 0 if there is none.
func occupancy(amount float64, capacity int64) time.Duration {
	if capacity <= 0 || !(amount > 0) {
		return 0
	}
	return time.Duration(min(amount/float64(capacity), float64(maxAhead)))
}
