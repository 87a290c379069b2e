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
	// upkeepEvery is the time between two looks at the machines of a wave. One
	// look is one reading of the list of machines.
	upkeepEvery = 500 * time.Millisecond
	// emptyShare is the part of a wave's time for each group of machines in
	// which the runs of a machine may end by themselves.
	emptyShare = 0.5
	// wavePause is the time between two looks for new waves.
	wavePause = 200 * time.Millisecond
)

// WaveStatusEncoder gives the record by which operators see the state of a wave.
type WaveStatusEncoder func(id string, completed bool) (key string, value []byte)

// waveState is a wave during a term.
type waveState struct {
	declaration.Wave
	began  time.Time       // when this leader first saw it
	done   map[string]bool // machines that have had their maintenance, or are gone
	chosen map[string]time.Time
	shown  bool // operators see that it runs
	ended  bool // operators see that it is completed
}

// keepUp gives machines their maintenance until ctx ends.
func (t *term) keepUp(ctx context.Context) {
	if t.cfg.Machines == nil {
		return
	}
	for ctx.Err() == nil {
		waves := t.openWaves(ctx)
		if len(waves) == 0 {
			uptime.Sleep(ctx, wavePause)
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
		uptime.Sleep(ctx, upkeepEvery)
	}
}

// openWaves returns the waves that are not completed.
func (t *term) openWaves(ctx context.Context) []*waveState {
	var open []*waveState
	for _, w := range t.cfg.Declarations.Waves() {
		s := t.waves[w.ID]
		if s == nil {
			var err error
			if s, err = t.readWave(ctx, w); err != nil {
				event.LeaderMachineFailed.Log(t.cfg.Log).Str("Call", "read wave").Str("Wave", w.ID).Err(err).Send()
				continue
			}
			t.waves[w.ID] = s
		}
		if !s.shown {
			s.shown = t.tell(ctx, s, false)
		}
		if !s.ended {
			open = append(open, s)
		}
	}
	return open
}

// readWave reads which machines of a wave have had their maintenance under earlier
// leaders.
func (t *term) readWave(ctx context.Context, w declaration.Wave) (*waveState, error) {
	s := &waveState{Wave: w, began: uptime.Now(), done: make(map[string]bool), chosen: make(map[string]time.Time)}
	i, err := t.cfg.Store.Get(ctx, jobstore.WaveKey(w.ID))
	if errors.Is(err, rosemarysill.ErrNotFound) {
		return s, nil
	}
	if err != nil {
		return nil, err
	}
	var done []string
	if err := json.Unmarshal(i.Value, &done); err != nil {
		return nil, errors.Wrap(err, "record of a wave")
	}
	for _, m := range done {
		s.done[m] = true
	}
	return s, nil
}

// tell writes the state of a wave for operators.
func (t *term) tell(ctx context.Context, s *waveState, completed bool) bool {
	key, value := t.cfg.EncodeWaveStatus(s.ID, completed)
	_, _, err := t.cfg.Store.Commit(ctx, rosemarysill.Commit{
		Guards: []rosemarysill.Guard{{Key: jobstore.LeaderKey, Version: t.at}},
		Writes: []rosemarysill.Write{{Key: key, Value: value}},
	})
	event.LeaderWave.Log(t.cfg.Log).Str("Wave", s.ID).Bool("Completed", completed).Int("Machines", len(s.Machines)).AnErr("Cause", err).Send()
	return err == nil
}

// advance takes the next machines of a wave down, and ends the wave when all
// have had their maintenance.
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
			s.done[name] = true // it is gone for good
		case m.State == work.MachineMaintenance:
			down++
		case !s.done[name] && m.State == work.MachineUp:
			waiting = append(waiting, m)
		case m.State == work.MachineDown && !s.done[name]:
			down++ // it may be down for the order of an earlier leader
		}
	}
	for _, m := range t.choose(s, waiting, s.MaxUnavailable-down) {
		if ctx.Err() == nil && t.emptied(s, m) {
			t.upkeep(ctx, s, m)
		}
	}
	complete := !slices.ContainsFunc(s.Machines, func(name string) bool { return !s.done[name] })
	if complete && !s.ended {
		s.ended = t.tell(ctx, s, true)
	}
}

// choose returns the machines that are to go down next, those chosen before
// first and then those with the fewest runs, and closes their workers.
func (t *term) choose(s *waveState, waiting []work.Machine, n int) []work.Machine {
	t.mu.Lock()
	defer t.mu.Unlock()
	runs := func(m work.Machine) int {
		if _, ok := s.chosen[m.Name]; ok {
			return -1
		}
		if w := t.workerOf(m); w != nil {
			return len(w.placed)
		}
		return 0
	}
	slices.SortStableFunc(waiting, func(a, b work.Machine) int { return runs(a) - runs(b) })
	waiting = waiting[:max(0, min(n, len(waiting)))]
	for _, m := range waiting {
		if _, ok := s.chosen[m.Name]; !ok {
			s.chosen[m.Name] = uptime.Now()
		}
		if w := t.workerOf(m); w != nil {
			w.closed = uptime.Now().Add(4 * upkeepEvery)
		}
	}
	return waiting
}

// workerOf returns the worker on a machine, or nil.
func (t *term) workerOf(m work.Machine) *workerState {
	for _, w := range t.workers {
		if w.attached && w.ID == m.Worker {
			return w
		}
	}
	return nil
}

// emptied reports whether a machine may go down: nothing runs on it, or the
// time for its runs to end by themselves is over. Its runs are stopped then,
// but for long-running tasks that may not be away.
func (t *term) emptied(s *waveState, m work.Machine) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.workerOf(m)
	if w == nil {
		return false // it is not known what runs there
	}
	groups := (len(s.Machines) + s.MaxUnavailable - 1) / s.MaxUnavailable
	patience := time.Duration(emptyShare * float64(s.Timeout) / float64(max(1, groups)))
	patient := uptime.Now().Sub(s.chosen[m.Name]) < patience
	for k := range w.placed {
		js, task := t.task(k)
		if task == nil || task.Worker != w.Incarnation || task.Stopping {
			continue
		}
		step := js.job.Steps[k.Task.Step]
		switch {
		case step.LongRunning && t.mayMiss(js, k.Task) > 0, step.Checkpointing && !step.LongRunning, !patient && !step.LongRunning:
			t.stopRun(js, k, "upkeep of its machine")
		}
	}
	return len(w.placed) == 0 && len(w.running) == 0
}

// upkeep orders the maintenance of a machine and records it.
func (t *term) upkeep(ctx context.Context, s *waveState, m work.Machine) {
	if t.fenced {
		return
	}
	why, err := t.cfg.Machines.StartMaintenance(ctx, t.cfg.Name, t.rec.Epoch, m.Name, s.Number)
	if err != nil {
		event.LeaderMachineFailed.Log(t.cfg.Log).Str("Call", "upkeep").Str("Machine", m.Name).Err(err).Send()
		return
	}
	event.LeaderMachineOrdered.Log(t.cfg.Log).Str("Machine", m.Name).Str("Wave", s.ID).Uint64("Epoch", t.rec.Epoch).Str("Refusal", string(why)).Send()
	switch why {
	case work.MachineFenced:
		t.fenced = true // a later leader has ordered; this one orders no more
	case work.MachineAccepted, work.MachineNotInWave, work.MachineUnknown:
		s.done[m.Name] = true
		delete(s.chosen, m.Name)
		t.recordWave(ctx, s)
	}
}

// recordWave records which machines have had their maintenance. If that fails the
// next leader repeats the order, which then has no effect.
func (t *term) recordWave(ctx context.Context, s *waveState) {
	var done []string
	for m := range s.done {
		done = append(done, m)
	}
	slices.Sort(done)
	value, err := json.Marshal(done)
	if err == nil {
		_, _, err = t.cfg.Store.Commit(ctx, rosemarysill.Commit{
			Guards: []rosemarysill.Guard{{Key: jobstore.LeaderKey, Version: t.at}},
			Writes: []rosemarysill.Write{{Key: jobstore.WaveKey(s.ID), Value: value}},
		})
	}
	if err != nil {
		event.LeaderMachineFailed.Log(t.cfg.Log).Str("Call", "record wave").Str("Wave", s.ID).Err(err).Send()
	}
}
