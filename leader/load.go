package leader

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/rosemarysill/rosemarysill/control"
	"github.com/rosemarysill/rosemarysill/event"
	"github.com/rosemarysill/rosemarysill/jobstore"
	"github.com/rosemarysill/rosemarysill/uptime"
	"github.com/rosemarysill/rosemarysill/work"
)

// load reads the records once the cache shows the leader record of this entry and has all
// changes up to it, so that it has everything that earlier leaders wrote. The record
// alone does not show that: the items of a list are applied one by one, and progress that
// is missing would let tasks start again.
func (t *term) load(ctx context.Context) bool {
	for {
		if _, at := t.cfg.Cache.LeaderRecord(); at == t.leaderVersion && t.cfg.Cache.Position() >= at {
			break
		}
		if ctx.Err() != nil {
			return false
		}
		uptime.Sleep(ctx, 5*time.Millisecond)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.loadSpeeds()
	for id, e := range t.cfg.Cache.All() {
		t.merge(id, e)
	}
	for _, s := range t.jobs {
		forEachTask(s, func(k work.TaskKey, task *work.Task) {
			if !task.Placed() {
				return
			}
			w := t.workers[task.Worker]
			if w == nil {
				w = newWorkerState(control.Worker{Incarnation: task.Worker}, "", t.elected)
				t.workers[task.Worker] = w
			}
			w.placedAt[work.RunKey{Task: k, Run: task.Run}] = t.elected
		})
		if s.progress.State.Final() {
			s.endLogged = true
			t.stopEndedJob(s)
			continue
		}
		t.stopDone(s)
	}
	return true
}

// merge adds a job, or its cancellation, from the cache. A job whose progress cannot be
// read is left out, so that none of its tasks starts again.
func (t *term) merge(id string, e jobstore.JobRecord) {
	s, ok := t.jobs[id]
	if !ok {
		p, err := e.CloneProgress()
		if err != nil {
			event.QueueRecordBad.Log(t.cfg.Log).Str("Job", id).Err(err).Send()
			return
		}
		s = &jobState{job: e.Job, progress: p, version: e.ProgressVersion}
		s.committed = append(s.committed, p.Tasks...)
		s.hasCrashes = slices.ContainsFunc(p.Tasks, func(task work.Task) bool { return len(task.Crashes) > 0 })
		t.jobs[id] = s
		if !p.State.Final() {
			event.LeaderJob.Log(t.cfg.Log).Str("Job", id).Str("Account", e.Job.Account).Int("Priority", e.Job.Priority).Str("Steps", describe(e.Job)).
				Dur("Estimate", criticalPath(e.Job)).Dur("Objective", objective(e.Job)).Float64("MaxSlowdown", e.Job.MaxSlowdown).Uint64("Epoch", t.rec.Epoch).Send()
		}
	}
	if e.Cancelled && s.progress.Cancel(time.Now()) {
		s.dirty = true
		t.stopAll(s, "cancelled")
	}
}

// describe summarizes a job's steps for logs: the number of tasks, accelerators, cores
// and MB of a task, and placement constraints.
func describe(j *work.Job) string {
	steps := make([]string, len(j.Steps))
	for i, s := range j.Steps {
		steps[i] = fmt.Sprintf("%dx%da%gc%dM", s.Count, s.Shape.Accelerators, float64(s.Shape.MilliCPU)/1000, s.Shape.MemoryMB)
		if s.Gang {
			steps[i] += " gang"
		}
		if s.SameRack || s.DataRack != "" {
			steps[i] += " rack"
		}
		if s.Checkpointing {
			steps[i] += " checkpointing"
		}
	}
	return strings.Join(steps, ", ")
}
