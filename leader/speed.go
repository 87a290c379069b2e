package leader

import (
	"time"

	"github.com/rosemarysill/rosemarysill/event"
	"github.com/rosemarysill/rosemarysill/schedule"
	"github.com/rosemarysill/rosemarysill/speed"
	"github.com/rosemarysill/rosemarysill/work"
)

const (
	// startOverhead is the part of the time until the objective that a job spends on the
	// commit and the order of its start and on the report of its end.
	startOverhead = 150 * time.Millisecond
	// speedMargin is the margin by which a worker has to be faster than needed: the tasks
	// of a queue differ, and so do their declared durations.
	speedMargin = 0.2
	// speedDemandTime is how long after its last job slow workers are avoided for the work
	// of a queue that needs faster ones. It exceeds the pauses between bursts.
	speedDemandTime = 60 * time.Second
	// maxSpeedDemand is the highest speed that a queue may ask of workers. With a higher
	// one most workers would count as slow, which then orders nothing.
	maxSpeedDemand = 1
	// maxSpeedDemands bounds the queues that are remembered.
	maxSpeedDemands = 1024
)

// speedDemand is the speed that the jobs of a queue need if they start at once.
type speedDemand struct {
	service string
	speed   float64
	at      time.Time // when a job of the queue last waited
}

// sampleSpeed measures the rate of a run from its reported progress.
func (t *term) sampleSpeed(s *jobState, w *workerState, run work.RunStatus, p *tracker, now time.Time) {
	p.slowest = t.slowestSpeed(s, run.Key, w)
	sample, ok := p.sampler.Observe(run.Percent, now)
	if !ok {
		return
	}
	sample.Worker, sample.Service, sample.Group = w.Incarnation, w.Service, groupOf(s.job, w, run.Key)
	sample.Even = s.job.Steps[run.Key.Task.Step].Gang
	t.speeds.Observe(sample)
}

// groupOf returns the group of runs whose speeds are comparable with that of a run. A gang
// that is spread is slower as a whole, and so is a single task away from its data.
func groupOf(j *work.Job, w *workerState, k work.RunKey) speed.Group {
	step := j.Steps[k.Task.Step]
	g := speed.Group{Job: j.ID, Occurrence: k.Task.Occurrence, Step: k.Task.Step}
	if step.Gang {
		g.Run = k.Run
	} else {
		g.Remote = step.DataRack != "" && step.DataRack != w.Rack
	}
	return g
}

// minDurationSample is the least duration of a run that is compared with others: in
// shorter ones, the start and the report of the end outweigh the work.
const minDurationSample = 500 * time.Millisecond

// sampleDuration measures the rate of a single task that is done, if its progress has not
// shown it. The members of a gang end together, which shows nothing about their workers.
func (t *term) sampleDuration(s *jobState, w *workerState, k work.RunKey, took time.Duration, now time.Time) {
	step := s.job.Steps[k.Task.Step]
	p := w.trackers[k]
	if step.Gang || step.LongRunning || step.BestEffort || took < minDurationSample || (p != nil && p.sampler.HasSamples()) {
		return
	}
	g := groupOf(s.job, w, k)
	g.Durations = true
	t.speeds.Observe(speed.Sample{
		Group: g, Worker: w.Incarnation, Service: w.Service, Rate: completePercent / took.Seconds(), Span: took, At: now,
	})
}

// slowestSpeed returns the long-term speed at which the run progresses in the end: that
// of the slowest worker of its gang.
func (t *term) slowestSpeed(s *jobState, k work.RunKey, w *workerState) float64 {
	if !s.job.Steps[k.Task.Step].Gang {
		return t.speeds.LongTerm(w.Incarnation)
	}
	slowest := 0.0
	for _, member := range s.progress.Step(s.job, k.Task.Occurrence, k.Task.Step) {
		if member.Placed() {
			if v := t.speeds.LongTerm(member.Worker); slowest == 0 || v < slowest {
				slowest = v
			}
		}
	}
	if slowest == 0 {
		return 1
	}
	return slowest
}

// usualDuration returns the duration that a run would have had on a worker of speed 1.
func (w *workerState) usualDuration(k work.RunKey, took time.Duration) time.Duration {
	if p := w.trackers[k]; p != nil && p.slowest > 0 {
		return time.Duration(float64(took) * p.slowest)
	}
	return took
}

// updateSpeeds evaluates the measured rates and logs the workers whose class changes.
func (t *term) updateSpeeds(now time.Time) {
	changes := t.speeds.Update(now)
	if len(changes) > 0 {
		t.cfg.Meter.SetSpeedClasses(t.speeds.Classes())
	}
	for _, c := range changes {
		event.LeaderWorkerSpeed.Log(t.cfg.Log).Str("Worker", c.Worker).Stringer("From", c.From).Stringer("To", c.To).
			Float64("Speed", c.Speed).Float64("Evidence", c.Weight).Bool("Recent", c.Recent).Send()
	}
}

// requiredSpeed returns the least speed of a worker on which an occurrence is in time if
// it starts after a delay, and 0 if it cannot be in time or has no objective.
func (t *term) requiredSpeed(s *jobState, occurrence int, delay time.Duration, waited time.Duration) float64 {
	if s.job.MaxSlowdown == 0 && s.job.Objective == 0 {
		return 0
	}
	remaining := t.expectedRemaining(s, occurrence)
	left := t.expectedObjective(s.job) - waited - delay - startOverhead
	if left <= 0 || remaining <= 0 {
		return 0
	}
	return (1 + speedMargin) * float64(remaining) / float64(left)
}

// speedRange is the range of the speeds of the workers of a service that accept tasks.
type speedRange struct{ slowest, fastest float64 }

// requireSpeeds sets the speeds of the workers, and of the units those that they need. A
// unit needs none if all workers are fast enough, or if none is: it is late in any case.
// Slow workers are those on which the work of some queue would be late.
func (t *term) requireSpeeds(units []*schedule.Unit, fleet []*schedule.Worker, now time.Time) {
	ranges := make(map[string]speedRange)
	for _, w := range fleet {
		w.Speed = t.speeds.Speed(w.ID)
		if !w.Schedulable {
			continue
		}
		r, ok := ranges[w.Service]
		if !ok {
			r = speedRange{w.Speed, w.Speed}
		}
		ranges[w.Service] = speedRange{min(r.slowest, w.Speed), max(r.fastest, w.Speed)}
	}
	clear(t.minSpeeds)
	wallNow := time.Now()
	for _, u := range units {
		s, r := t.jobs[u.Job.ID], ranges[u.Job.Service]
		if r.slowest == r.fastest {
			continue
		}
		t.recordSpeedDemand(s, u, now)
		waited := wallNow.Sub(u.QueuedSince)
		v := t.requiredSpeed(s, u.Occurrence, 0, waited)
		if restart, ok := t.restartSpeeds[work.TaskKey{Job: u.Job.ID, Occurrence: u.Occurrence, Step: u.Step, Index: u.Indexes[0]}]; ok {
			v = min(restart, r.fastest)
			u.Deferrable = false // its run was stopped for workers that may be kept for urgent work
		}
		if v > r.slowest && v <= r.fastest {
			u.MinSpeed, t.minSpeeds[keyOfUnit(u)] = v, v
		}
		if v := t.requiredSpeed(s, u.Occurrence, t.cfg.StopGrace, waited); u.MinSpeed > 0 && v <= r.fastest {
			u.MinSpeedAfterStop = v
		}
	}
	t.markSlowWorkers(fleet, now)
}

// recordSpeedDemand records the speed that a queue needs. Work of less priority can wait
// and needs little.
func (t *term) recordSpeedDemand(s *jobState, u *schedule.Unit, now time.Time) {
	v := t.requiredSpeed(s, u.Occurrence, 0, 0)
	if v <= 0 || v > maxSpeedDemand {
		return
	}
	if _, ok := t.speedDemands[s.job.Queue]; ok || len(t.speedDemands) < maxSpeedDemands {
		t.speedDemands[s.job.Queue] = speedDemand{u.Job.Service, v, now}
	}
}

// markSlowWorkers marks the workers on which the work of some queue would be late, and
// those of which that is not known, in services whose workers differ.
func (t *term) markSlowWorkers(fleet []*schedule.Worker, now time.Time) {
	needed := make(map[string]float64)
	for queue, d := range t.speedDemands {
		if now.Sub(d.at) > speedDemandTime {
			delete(t.speedDemands, queue)
			continue
		}
		needed[d.service] = max(needed[d.service], d.speed)
	}
	threatened := make(map[string]bool)
	for _, w := range fleet {
		w.Slow = w.Speed < needed[w.Service]
		threatened[w.Service] = threatened[w.Service] || w.Slow
	}
	for _, w := range fleet {
		w.Unproven = threatened[w.Service] && t.speeds.IsMixed(w.Service) && !t.speeds.IsKnown(w.ID)
	}
}
