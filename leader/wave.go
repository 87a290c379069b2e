package leader

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/declaration"
	"github.com/rosemarysill/rosemarysill/event"
	"github.com/rosemarysill/rosemarysill/jobstore"
	"github.com/rosemarysill/rosemarysill/uptime"
	"github.com/rosemarysill/rosemarysill/work"
)

const (
	// maintenanceInterval is the time between two checks of the machines of a wave.
	// Each check reads the list of machines once.
	maintenanceInterval = 500 * time.Millisecond
	// drainShare: a wave takes its machines down in groups of MaxUnavailable, which
	// share its Timeout equally. In this share of a group's time, runs without
	// checkpoints may end by themselves before they are stopped.
	drainShare = 0.5
	// wavePollInterval is the time between two checks for new waves.
	wavePollInterval = 200 * time.Millisecond
)

// WaveStatusEncoder returns the key and value of the record that shows the state of a
// wave to operators.
type WaveStatusEncoder func(id string, completed bool) (key string, value []byte)

// waveState is the state of a maintenance wave during a term.
type waveState struct {
	declaration.Wave
	firstSeen          time.Time            // when this leader first saw the wave
	maintained         map[string]bool      // machines that have had their maintenance, or no longer exist
	chosenAt           map[string]time.Time // machines that are to go down next
	runningPublished   bool                 // operators see that the wave runs
	completedPublished bool                 // operators see that the wave is completed
}

// runMaintenance carries out maintenance waves until ctx ends.
func (t *term) runMaintenance(ctx context.Context) {
	if t.cfg.Machines == nil {
		return
	}
	for ctx.Err() == nil {
		if !t.mayOrder() {
			uptime.Sleep(ctx, wavePollInterval)
			continue
		}
		waves := t.pendingWaves(ctx)
		if len(waves) == 0 {
			uptime.Sleep(ctx, wavePollInterval)
			continue
		}
		machines, err := t.cfg.Machines.List(ctx)
		if err != nil && ctx.Err() == nil {
			event.LeaderMachineFailed.Log(t.cfg.Log).Str("Call", "list").Err(err).Send()
		}
		for _, w := range waves {
			if err == nil {
				t.advance(ctx, w, machines)
			}
		}
		uptime.Sleep(ctx, maintenanceInterval)
	}
}

// pendingWaves returns the waves that are not completed.
func (t *term) pendingWaves(ctx context.Context) []*waveState {
	var pending []*waveState
	for _, w := range t.cfg.Declarations.Waves() {
		s := t.waves[w.ID]
		if s == nil {
			var err error
			if s, err = t.loadWave(ctx, w); err != nil {
				event.LeaderMachineFailed.Log(t.cfg.Log).Str("Call", "read wave").Str("Wave", w.ID).Err(err).Send()
				continue
			}
			t.waves[w.ID] = s
		}
		if !s.runningPublished {
			s.runningPublished = t.publishStatus(ctx, s, false)
		}
		if !s.completedPublished {
			pending = append(pending, s)
		}
	}
	return pending
}

// loadWave reads which machines of a wave have had their maintenance under earlier
// leaders.
func (t *term) loadWave(ctx context.Context, w declaration.Wave) (*waveState, error) {
	s := &waveState{Wave: w, firstSeen: uptime.Now(), maintained: make(map[string]bool), chosenAt: make(map[string]time.Time)}
	i, err := t.cfg.Store.Get(ctx, jobstore.WaveKey(w.ID))
	if errors.Is(err, rosemarysill.ErrNotFound) {
		return s, nil
	}
	if err != nil {
		return nil, err
	}
	var done []string
	if err := json.Unmarshal(i.Value, &done); err != nil {
		return nil, errors.Wrapf(err, "decode %d bytes of the record of wave %s", len(i.Value), w.ID)
	}
	for _, m := range done {
		s.maintained[m] = true
	}
	return s, nil
}

// publishStatus writes the state of a wave for operators and reports whether that
// succeeded.
func (t *term) publishStatus(ctx context.Context, s *waveState, completed bool) bool {
	key, value := t.cfg.EncodeWaveStatus(s.ID, completed)
	_, _, err := t.cfg.Store.Commit(ctx, rosemarysill.Commit{
		Guards: []rosemarysill.Guard{{Key: jobstore.LeaderKey, Version: t.leaderVersion}},
		Writes: []rosemarysill.Write{{Key: key, Value: value}},
	})
	event.LeaderWave.Log(t.cfg.Log).Str("Wave", s.ID).Bool("Completed", completed).Int("Machines", len(s.Machines)).AnErr("Cause", err).Send()
	return err == nil
}

// advance starts the maintenance of the next machines of a wave, and completes the wave
// when all machines have had theirs.
func (t *term) advance(ctx context.Context, s *waveState, machines []work.Machine) {
	byName := make(map[string]work.Machine, len(machines))
	for _, m := range machines {
		byName[m.Name] = m
	}
	down := 0
	var waiting []work.Machine
	for _, name := range s.Machines {
		m, ok := byName[name]
		switch {
		case !ok:
			s.maintained[name] = true // the machine no longer exists
		case m.State == work.MachineMaintenance:
			down++
		case !s.maintained[name] && m.State == work.MachineUp:
			waiting = append(waiting, m)
		case m.State == work.MachineDown && !s.maintained[name]:
			down++ // maybe by an order that an earlier leader did not record
		}
	}
	for _, m := range t.chooseMachines(s, waiting, s.MaxUnavailable-down) {
		if ctx.Err() == nil && t.drainMachine(s, m) {
			t.startMaintenance(ctx, s, m)
		}
	}
	complete := !slices.ContainsFunc(s.Machines, func(name string) bool { return !s.maintained[name] })
	if complete && !s.completedPublished {
		s.completedPublished = t.publishStatus(ctx, s, true)
	}
}

// chooseMachines returns up to n machines to go down next and closes their workers to new
// tasks. Machines chosen earlier come first, then those with the fewest runs.
func (t *term) chooseMachines(s *waveState, waiting []work.Machine, n int) []work.Machine {
	t.mu.Lock()
	defer t.mu.Unlock()
	runs := func(m work.Machine) int {
		if _, ok := s.chosenAt[m.Name]; ok {
			return -1
		}
		if w := t.workerOn(m); w != nil {
			return len(w.placedAt)
		}
		return 0
	}
	slices.SortStableFunc(waiting, func(a, b work.Machine) int { return runs(a) - runs(b) })
	waiting = waiting[:max(0, min(n, len(waiting)))]
	for _, m := range waiting {
		if _, ok := s.chosenAt[m.Name]; !ok {
			s.chosenAt[m.Name] = uptime.Now()
		}
		if w := t.workerOn(m); w != nil {
			w.closedUntil = uptime.Now().Add(4 * maintenanceInterval)
		}
	}
	return waiting
}

// workerOn returns the worker on a machine, or nil.
func (t *term) workerOn(m work.Machine) *workerState {
	for _, w := range t.workers {
		if w.attached && w.ID == m.Worker {
			return w
		}
	}
	return nil
}

// drainMachine reports whether a machine may go down because nothing runs on it.
// Otherwise it stops runs with checkpoints at once, others after the time in which they
// may end by themselves, and long-running tasks as far as they may be unavailable.
func (t *term) drainMachine(s *waveState, m work.Machine) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.workerOn(m)
	if w == nil {
		return false // it is unknown what runs there
	}
	groups := (len(s.Machines) + s.MaxUnavailable - 1) / s.MaxUnavailable
	drainTime := time.Duration(drainShare * float64(s.Timeout) / float64(max(1, groups)))
	mayFinish := uptime.Now().Sub(s.chosenAt[m.Name]) < drainTime
	for k := range w.placedAt {
		js, task := t.task(k)
		if task == nil || task.Worker != w.Incarnation || task.Stopping {
			continue
		}
		step := js.job.Steps[k.Task.Step]
		switch {
		case step.LongRunning && js.mayStop(k.Task), step.Checkpointing && !step.LongRunning, !mayFinish && !step.LongRunning:
			t.stopRun(js, k, "maintenance of its machine")
		}
	}
	return len(w.placedAt) == 0 && len(w.running) == 0
}

// startMaintenance orders the maintenance of a machine and records it.
func (t *term) startMaintenance(ctx context.Context, s *waveState, m work.Machine) {
	if t.fenced || !t.mayOrder() {
		return
	}
	refusal, err := t.cfg.Machines.StartMaintenance(ctx, t.cfg.Name, t.rec.Epoch, m.Name, s.Number)
	if err != nil {
		event.LeaderMachineFailed.Log(t.cfg.Log).Str("Call", "upkeep").Str("Machine", m.Name).Err(err).Send()
		return
	}
	event.LeaderMachineOrdered.Log(t.cfg.Log).Str("Machine", m.Name).Str("Wave", s.ID).Uint64("Epoch", t.rec.Epoch).Str("Refusal", string(refusal)).Send()
	switch refusal {
	case work.MachineFenced:
		t.fenced = true // a later leader has ordered machines; this one no longer may
	case work.MachineAccepted, work.MachineNotInWave, work.MachineUnknown:
		s.maintained[m.Name] = true
		delete(s.chosenAt, m.Name)
		t.markLeaving(m)
		t.saveWave(ctx, s)
	}
}

// saveWave records which machines have had their maintenance. If that fails, the next
// leader repeats the order, which then has no effect.
func (t *term) saveWave(ctx context.Context, s *waveState) {
	var done []string
	for m := range s.maintained {
		done = append(done, m)
	}
	slices.Sort(done)
	value, err := json.Marshal(done)
	if err == nil {
		_, _, err = t.cfg.Store.Commit(ctx, rosemarysill.Commit{
			Guards: []rosemarysill.Guard{{Key: jobstore.LeaderKey, Version: t.leaderVersion}},
			Writes: []rosemarysill.Write{{Key: jobstore.WaveKey(s.ID), Value: value}},
		})
	}
	if err != nil {
		event.LeaderMachineFailed.Log(t.cfg.Log).Str("Call", "record wave").Str("Wave", s.ID).Err(err).Send()
	}
}
