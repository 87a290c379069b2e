package speed_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill/speed"
)

// reportInterval and changeInterval are those of agents: they report every 400 ms, and they
// learn the percentage of a run about once a second, more often while the run is young.
const (
	reportInterval = 400 * time.Millisecond
	changeInterval = time.Second
	youngInterval  = 300 * time.Millisecond
	youngAge       = 3 * time.Second
)

// world simulates runs on workers and their reports.
type world struct {
	est     *speed.Estimator
	random  *rand.Rand
	now     time.Time
	speeds  map[string]float64 // true speed by worker
	runs    []*simulatedRun
	changes []speed.Change
}

// simulatedRun is a run that progresses on a worker.
type simulatedRun struct {
	group     speed.Group
	worker    string
	even      bool
	rate      float64 // percent a second on a worker of speed 1
	done      float64
	sampler   speed.Sampler
	seen      int       // percentage that the agent knows
	refreshed time.Time // when the agent learned it
	started   time.Time
	reported  time.Time
}

func newWorld(workers int) *world {
	w := &world{est: speed.NewEstimator(), random: rand.New(rand.NewPCG(1, 2)), now: time.Unix(1000, 0), speeds: make(map[string]float64)}
	for i := range workers {
		w.speeds[name(i)] = 1.43
		if i%3 == 2 {
			w.speeds[name(i)] = 0.59
		}
	}
	return w
}

// name0 is the name of the first worker.
const name0 = "w00"

func name(i int) string { return fmt.Sprintf("w%02d", i) }

// startStep starts a run of a step on each of the workers. The work of tasks differs
// unless they are a gang.
func (w *world) startStep(job string, d time.Duration, gang bool, workers ...string) {
	for _, id := range workers {
		r := &simulatedRun{group: speed.Group{Job: job}, worker: id, even: gang, rate: 100 / d.Seconds(), refreshed: w.now, started: w.now, reported: w.now.Add(-time.Duration(w.random.Int64N(int64(reportInterval))))}
		if gang {
			r.group.Run = 1
		} else {
			r.rate *= math.Exp(0.3 * w.random.NormFloat64())
		}
		w.runs = append(w.runs, r)
	}
}

// step advances the simulation by 20 ms.
func (w *world) step() {
	const tick = 20 * time.Millisecond
	w.now = w.now.Add(tick)
	var left []*simulatedRun
	for _, r := range w.runs {
		r.done += r.rate * w.speeds[r.worker] * tick.Seconds()
		interval := changeInterval
		if w.now.Sub(r.started) < youngAge {
			interval = youngInterval
		}
		if w.now.Sub(r.refreshed) >= interval {
			r.seen, r.refreshed = int(min(100, r.done)), w.now
		}
		if w.now.Sub(r.reported) >= reportInterval {
			r.reported = w.now
			if s, ok := r.sampler.Observe(r.seen, w.now); ok {
				s.Group, s.Worker, s.Service, s.Even = r.group, r.worker, "s", r.even
				w.est.Observe(s)
			}
		}
		if r.done < 100 {
			left = append(left, r)
		}
	}
	w.runs = left
	w.changes = append(w.changes, w.est.Update(w.now)...)
}

func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.step()
	}
}

// pick returns n different workers.
func (w *world) pick(n, of int) []string {
	var ids []string
	for _, i := range w.random.Perm(of)[:n] {
		ids = append(ids, name(i))
	}
	return ids
}

// Guards against a gang that takes seconds to show its slow member, and against a wrong
// ratio of the speeds of its members.
func TestGangShowsSlowMember(t *testing.T) {
	w := newWorld(5)
	w.startStep("gang", 12*time.Second, true, name(0), name(1), name(2), name(3), name(4))
	w.run(3500 * time.Millisecond)
	require.Less(t, w.est.Speed(name(2)), 0.8)
	w.run(5 * time.Second)
	require.InEpsilon(t, 1.43/0.59, w.est.Speed(name(0))/w.est.Speed(name(2)), 0.25)
}

// Guards against an estimate that needs more load than a morning has before its first
// burst: some gangs and wide jobs of uneven tasks in eight seconds show nearly all slow
// workers and take no other for slow.
func TestMixedLoadShowsSlowWorkers(t *testing.T) {
	const workers = 66
	for seed := range uint64(5) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			w := newWorld(workers)
			w.random = rand.New(rand.NewPCG(seed, 3))
			for i := range 2 {
				w.startStep(fmt.Sprint("wide", i), 6500*time.Millisecond, false, w.pick(39, workers)...)
			}
			for i := range 6 {
				w.startStep(fmt.Sprint("gang", i), 7200*time.Millisecond, true, w.pick(7, workers)...)
				w.run(600 * time.Millisecond)
			}
			w.run(4500 * time.Millisecond)
			slow, wrong := 0, 0
			for id, v := range w.speeds {
				switch estimated := w.est.Speed(id); {
				case v < 1 && estimated < 0.8:
					slow++
				case v > 1 && estimated < 0.9:
					wrong++
				}
			}
			t.Logf("%d of 22 slow workers known, %d others taken for slow", slow, wrong)
			require.GreaterOrEqual(t, slow, 15, "of 22 slow workers")
			require.LessOrEqual(t, wrong, 2)
		})
	}
}

// Guards against a worker that is avoided long after a short slowdown, or that keeps its
// urgent work in one: the estimate follows within seconds, and returns to the long-term
// one after the slowdown, also without new measurements.
func TestSlowdownShowsAndIsForgotten(t *testing.T) {
	for name, measured := range map[string]bool{"runs go on": true, "no new runs": false} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(8)
			load := func(seconds int) {
				for i := range seconds {
					w.startStep(fmt.Sprint("gang", w.now.Unix(), i), 4*time.Second, true, w.pick(5, 8)...)
					w.startStep(fmt.Sprint("wide", w.now.Unix(), i), 6*time.Second, false, w.pick(6, 8)...)
					w.run(time.Second)
				}
			}
			load(15)
			require.Greater(t, w.est.Speed(name0), 1.2)
			w.speeds[name0] /= 5
			load(3)
			require.Less(t, w.est.Speed(name0), 0.6, "during the slowdown")
			load(3)
			require.Less(t, w.est.Speed(name0), 0.6, "during the slowdown")
			require.Greater(t, w.est.LongTerm(name0), 0.9)
			w.speeds[name0] *= 5
			if measured {
				load(6)
			} else {
				w.runs = nil
				w.run(5 * time.Second)
			}
			require.GreaterOrEqual(t, w.est.Speed(name0), 1.0, "after the slowdown")
		})
	}
}

// Guards against false classes in a service whose workers are alike, which would change
// placement for nothing: tasks differ, and reports are inexact.
func TestAlikeWorkersHaveNoClass(t *testing.T) {
	for seed := range uint64(3) {
		w := newWorld(40)
		w.random = rand.New(rand.NewPCG(seed, 5))
		for id := range w.speeds {
			w.speeds[id] = 1
		}
		wrong, samples := 0, 0
		for i := range 40 {
			w.startStep(fmt.Sprint("wide", i), 6*time.Second, false, w.pick(20, 40)...)
			w.startStep(fmt.Sprint("gang", i), 3*time.Second, true, w.pick(5, 40)...)
			w.run(time.Second)
			for id := range w.speeds {
				samples++
				if w.est.Speed(id) != 1 {
					wrong++
				}
			}
		}
		t.Logf("%d of %d workers and seconds have a class", wrong, samples)
		require.Less(t, wrong, samples/20)
	}
}

func BenchmarkUpdate(b *testing.B) {
	for _, n := range []int{66, 1100} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			w := newWorld(n)
			for i := range 30 {
				for g := range n / 20 {
					w.startStep(fmt.Sprint("gang", i, g), 5*time.Second, true, w.pick(7, n)...)
				}
				w.startStep(fmt.Sprint("wide", i), 6*time.Second, false, w.pick(n/2, n)...)
				w.run(time.Second)
			}
			for b.Loop() {
				w.est.Observe(speed.Sample{Group: speed.Group{Job: "next"}, Worker: name0, Rate: 8, Span: time.Second, At: w.now})
				w.now = w.now.Add(time.Second)
				w.est.Update(w.now)
			}
		})
	}
}
