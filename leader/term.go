package leader

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/control"
	"github.com/rosemarysill/rosemarysill/event"
	"github.com/rosemarysill/rosemarysill/jobstore"
	"github.com/rosemarysill/rosemarysill/schedule"
	"github.com/rosemarysill/rosemarysill/uptime"
	"github.com/rosemarysill/rosemarysill/work"
)

// jobState is a job during a term.
type jobState struct {
	job       *work.Job
	progress  *work.Progress // as decided
	recorded  []work.Task    // as last committed
	version   uint64         // of the record of the progress, 0 if there is none
	dirty     bool           // progress differs from the record
	stale     bool           // the record lacks newer checkpoints
	announced bool           // the final state was logged
}

// workerState is an incarnation of a worker during a term.
type workerState struct {
	control.Worker
	agent    string
	heard    time.Time // receipt of the last report
	attached bool      // known from a report, not only from records
	running  []work.RunStatus
	applied  uint64 // ends up to this one are in the progress of jobs
	recorded uint64 // and are committed
	closed   time.Time
	strays   map[work.RunKey]bool
	placed   map[work.RunKey]time.Time // runs ordered here, and when
	stops    map[work.RunKey]time.Time // runs that are being stopped, and since when
	trackers map[work.RunKey]*tracker
	health   health
	speed    speed
}

// term is the time in which this entry leads.
type term struct {
	cfg   Config
	rec   jobstore.LeaderRecord
	at    uint64 // version of the leader's record
	lease rosemarysill.LeaseID

	elected time.Time
	ended   chan struct{}
	ceased  chan struct{} // the store says that the lease has lapsed
	wake    chan struct{}

	mu         sync.Mutex
	valid      time.Time // the lease holds until then
	jobs       map[string]*jobState
	workers    map[string]*workerState
	streams    map[string]chan struct{} // wakes the sender of a worker's stream
	latest     map[string]uint64        // number of the latest stream of each agent
	gone       map[string]bool          // incarnations that have ended
	advised    map[stepKey]*advised
	urgent     schedule.UrgentUse    // of the fleet
	lengths    map[string]length     // of runs by queue
	cores      float64               // size of the fleet
	incomplete map[stepKey]bool      // gangs that wait for members which were refused
	asking     chan struct{}         // a step waits for advice
	waves      map[string]*waveState // used by keepUp alone
	fenced     bool                  // a later leader has ordered machines; used by keepUp alone
	opened     uint64                // streams opened in this term
	savedAt    time.Time             // when checkpoints were last recorded
	sweptAt    time.Time             // when old records were last looked for; used by run alone
	why        error
}

func newTerm(cfg Config, rec jobstore.LeaderRecord, at uint64, lease rosemarysill.LeaseID, valid time.Time) *term {
	return &term{
		cfg: cfg, rec: rec, at: at, lease: lease, valid: valid, elected: uptime.Now(),
		ended: make(chan struct{}), ceased: make(chan struct{}, 1), wake: make(chan struct{}, 1),
		jobs: make(map[string]*jobState), workers: make(map[string]*workerState),
		streams: make(map[string]chan struct{}), latest: make(map[string]uint64), gone: make(map[string]bool), advised: make(map[stepKey]*advised), lengths: make(map[string]length), incomplete: make(map[stepKey]bool), asking: make(chan struct{}, 1), waves: make(map[string]*waveState),
	}
}

// close ends the streams of agents.
func (t *term) close() { close(t.ended) }

func (t *term) cause() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.why
}

func (t *term) end(why error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.why == nil {
		t.why = why
	}
}

var errLeaseLapsed = errors.New("the lease of the lead has lapsed")

// renew keeps the lease until it lapses or ctx ends. Calls overlap: one that waits
// behind other traffic on a narrow link still counts when it arrives, and one
// that was lost delays no other.
func (t *term) renew(ctx context.Context) {
	var calls sync.WaitGroup
	defer calls.Wait()
	for {
		uptime.Sleep(ctx, renewEvery)
		if ctx.Err() != nil {
			return
		}
		if t.lapsed() {
			t.end(errLeaseLapsed)
			return
		}
		select {
		case <-t.ceased:
			t.end(errLeaseLapsed)
			return
		default:
		}
		calls.Go(func() { t.renewOnce(ctx) })
	}
}

// lapsed reports whether the lease is over by this entry's clock.
func (t *term) lapsed() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return uptime.Now().After(t.valid)
}

// renewOnce makes one renewal. The lease counts from its sending.
func (t *term) renewOnce(ctx context.Context) {
	asked := uptime.Now()
	ctx, cancel := context.WithTimeout(ctx, t.cfg.leaseTTL())
	defer cancel()
	err := t.cfg.Store.Renew(ctx, t.lease)
	if err == nil {
		t.mu.Lock()
		if until := asked.Add(t.cfg.leaseTTL()); until.After(t.valid) {
			t.valid = until
		}
		t.mu.Unlock()
		return
	}
	if errors.Is(err, rosemarysill.ErrLeaseLapsed) {
		notify(t.ceased)
	}
	t.cfg.Log.Debug().Err(err).Msg("lease not renewed")
}

// load reads the records once the cache shows this entry's record: the changes
// come in order, so it then has everything that earlier leaders wrote.
func (t *term) load(ctx context.Context) bool {
	for {
		if _, at := t.cfg.Cache.LeaderRecord(); at == t.at {
			break
		}
		if ctx.Err() != nil {
			return false
		}
		uptime.Sleep(ctx, 5*time.Millisecond)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
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
			w.placed[work.RunKey{Task: k, Run: task.Run}] = t.elected
		})
		if s.progress.State.Final() {
			s.announced = true
			t.stopAll(s, "the job is "+string(s.progress.State))
		}
	}
	return true
}

func newWorkerState(w control.Worker, agent string, heard time.Time) *workerState {
	return &workerState{
		Worker: w, agent: agent, heard: heard,
		strays: make(map[work.RunKey]bool), placed: make(map[work.RunKey]time.Time), trackers: make(map[work.RunKey]*tracker), stops: make(map[work.RunKey]time.Time),
	}
}

// merge takes a job, or its cancellation, from the cache.
func (t *term) merge(id string, e jobstore.JobRecord) {
	s, ok := t.jobs[id]
	if !ok {
		p := e.CloneProgress()
		s = &jobState{job: e.Job, progress: p, version: e.ProgressVersion}
		s.recorded = append(s.recorded, p.Tasks...)
		t.jobs[id] = s
		if !p.State.Final() {
			event.LeaderJob.Log(t.cfg.Log).Str("Job", id).Str("Account", e.Job.Account).Int("Priority", e.Job.Priority).Str("Steps", describe(e.Job)).
				Dur("Estimate", chain(e.Job)).Dur("Objective", objective(e.Job)).Uint64("Epoch", t.rec.Epoch).Send()
		}
	}
	if e.Cancelled && s.progress.Cancel(time.Now()) {
		s.dirty = true
		t.stopAll(s, "cancelled")
	}
}

// describe returns the shapes of a job's steps for logs: tasks, accelerators,
// cores and MB of each, and what ties them together.
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

// stopAll stops all runs of a job.
func (t *term) stopAll(s *jobState, why string) {
	forEachTask(s, func(k work.TaskKey, task *work.Task) {
		if task.Placed() {
			t.stop(work.RunKey{Task: k, Run: task.Run}, task, why)
		}
	})
}

// stop marks a run as being stopped and wakes its agent.
func (t *term) stop(k work.RunKey, task *work.Task, why string) {
	if task.Stopping {
		return
	}
	task.Stopping = true
	if w := t.workers[task.Worker]; w != nil {
		w.stops[k] = uptime.Now()
	}
	event.LeaderStopped.Log(t.cfg.Log).Str("Job", k.Task.Job).Stringer("Run", k).Str("Worker", task.Worker).Str("Why", why).Send()
	t.poke(task.Worker)
}

// poke wakes the sender of a worker's stream.
func (t *term) poke(incarnation string) {
	if c, ok := t.streams[incarnation]; ok {
		notify(c)
	}
}

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// forEachTask calls f for each task of a job with its key.
func forEachTask(s *jobState, f func(work.TaskKey, *work.Task)) {
	i := 0
	for o := range s.job.NumOccurrences() {
		for step, st := range s.job.Steps {
			for n := range st.Count {
				f(work.TaskKey{Job: s.job.ID, Occurrence: o, Step: step, Index: n}, &s.progress.Tasks[i])
				i++
			}
		}
	}
}

// run decides and commits until ctx ends or the lead is lost.
func (t *term) run(ctx context.Context) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		b := t.decide()
		if b != nil {
			if err := t.commit(ctx, b); err != nil {
				t.end(err)
				return
			}
			continue
		}
		t.sweep(ctx, uptime.Now())
		select {
		case <-ctx.Done():
			return
		case <-t.wake:
		case <-t.cfg.Cache.Changed():
		case <-ticker.C:
		}
	}
}

// saveEvery is the time between two records of checkpoints, which would else be
// lost with the leader and the workers. One commit takes those of 15 jobs.
const saveEvery = time.Second

// saveCheckpoints has newer checkpoints recorded.
func (t *term) saveCheckpoints(now time.Time) {
	if now.Sub(t.savedAt) < saveEvery {
		return
	}
	for _, s := range t.jobs {
		if s.stale && !s.progress.State.Final() {
			s.dirty, t.savedAt = true, now
		}
	}
}

// decide takes what is new, places tasks, and returns what is to be committed,
// or nil if nothing is.
func (t *term) decide() *batch {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := uptime.Now()
	for id, e := range t.cfg.Cache.TakeChanged() {
		t.merge(id, e)
	}
	t.loseWorkers(now)
	t.place(now)
	t.saveCheckpoints(now)
	return t.gather()
}
