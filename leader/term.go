package leader

import (
	"context"
	"sync"
	"time"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/control"
	"github.com/rosemarysill/rosemarysill/crash"
	"github.com/rosemarysill/rosemarysill/delay"
	"github.com/rosemarysill/rosemarysill/event"
	"github.com/rosemarysill/rosemarysill/jobstore"
	"github.com/rosemarysill/rosemarysill/schedule"
	"github.com/rosemarysill/rosemarysill/speed"
	"github.com/rosemarysill/rosemarysill/uptime"
	"github.com/rosemarysill/rosemarysill/work"
)

// jobState is the state of a job during a term.
type jobState struct {
	job              *work.Job
	progress         *work.Progress             // including decisions that are not committed yet
	committed        []work.Task                // tasks as last committed
	version          uint64                     // of the progress record; 0 if there is none
	dirty            bool                       // the progress differs from the record
	checkpointsDirty bool                       // the record lacks newer checkpoints
	endLogged        bool                       // the final state has been logged
	ends             map[work.TaskKey]runEnd    // latest end in this term of each task's runs that did not complete it
	hasCrashes       bool                       // workers have crashed under some of its tasks
	crashedAt        map[work.TaskKey]time.Time // when the latest crash under a task became known in this term
	failedOn         map[string]time.Time       // latest failure by worker, in this term and since a run was done
	preempted        map[work.TaskKey]int       // runs of each task that were stopped for other jobs in this term
	preemptions      int                        // sum of preempted
}

// workerState is the state of a worker's incarnation during a term.
type workerState struct {
	control.Worker
	agent           string
	reportedAt      time.Time // receipt of the last report
	stamp           time.Time // of the last report, by the agent's clock
	lapsedSince     time.Time // when the agent first reported that all leases have lapsed; zero after another report
	attached        bool      // has reported in this term; others are known from records only
	running         []work.RunStatus
	appliedSeq      uint64                         // last run end that is applied to the progress of jobs
	committedSeq    uint64                         // last run end that is committed
	closedUntil     time.Time                      // the worker gets no tasks until then
	noCapacityUntil time.Time                      // the same, because it has refused a start for lack of capacity
	orphans         map[work.RunKey]bool           // reported runs that are not placed here
	refusedMembers  map[work.RunKey]bool           // runs of gang members that the worker has refused
	overlaps        map[work.RunKey]bool           // orphans whose task is placed, which is logged
	outdated        map[work.RunKey]work.RunStatus // orphans as listed when the worker last did not respond
	placedAt        map[work.RunKey]time.Time      // runs that are placed here
	stopRequestedAt map[work.RunKey]time.Time      // runs that are being stopped
	trackers        map[work.RunKey]*tracker
	health          health
	throttle        throttle
	placedUnder     work.Shape // capacity by which the last task was placed here; before that, the largest one known
	excess          excess     // of the reported runs over the capacity; it is logged
	silentSince     time.Time  // first report of the worker as unresponsive; zero while it responds
	crashed         bool       // its crash is recorded
	leaving         bool       // its machine was ordered to go down
}

// term is the state of the leader from its election until another may lead.
type term struct {
	cfg           Config
	rec           jobstore.LeaderRecord
	leaderVersion uint64 // of the leader record
	lease         rosemarysill.LeaseID

	elected   time.Time
	ended     chan struct{} // closed at the end of the term
	leaseLost chan struct{} // signals that the lease has expired at the store
	wake      chan struct{} // signals that there is something to decide

	contact contact // with the store

	mu                 sync.Mutex
	leaseExpiry        time.Time // by the clock of this entry
	jobs               map[string]*jobState
	workers            map[string]*workerState
	streams            map[string]chan struct{} // wakes the sender of the stream, by incarnation
	latestStreams      map[string]uint64        // number of the latest stream, by agent
	endedIncarnations  map[string]bool          // whose runs have been ended; a repeated report does nothing
	advice             map[stepKey]*stepAdvice
	urgentUse          schedule.UrgentUse               // of the fleet
	recentCrashes      crash.Recent                     // of workers
	runDurations       map[string]meanDuration          // by queue, on workers of speed 1
	startWaits         map[int]meanDuration             // from acceptance to the first start, by priority
	forecasts          map[occurrenceKey]delay.Forecast // of the present pass
	speeds             *speed.Estimator
	speedDemands       map[string]speedDemand          // by queue
	recordedSpeeds     map[string]jobstore.WorkerSpeed // in the store, by incarnation
	loadedSpeeds       map[string]jobstore.WorkerSpeed // of an earlier leader, by incarnation
	minSpeeds          map[stepKey]float64             // of the units of the present pass that need a speed
	restartSpeeds      map[work.TaskKey]float64        // speeds that restarted tasks need, until they are placed
	totalCores         float64                         // size of the fleet
	waitingSince       map[stepKey]time.Time           // steps with waiting units; see observeWaits
	withheldSince      map[stepKey]time.Time           // steps with waiting units that fit only on workers too risky for them
	riskRaised         bool                            // some worker is likelier to fail than soundness.BaseRisk
	incompleteGangs    map[stepKey]bool                // gangs that wait for the replacement of refused members
	lastAdviceUsable   bool                            // the last advice query was about a step that could start
	adviceWanted       chan struct{}                   // signals that a step waits for advice
	waves              map[string]*waveState           // used by runMaintenance only
	fenced             bool                            // a later leader has ordered machines; used by runMaintenance only
	streamsOpened      uint64                          // number of streams opened in this term
	checkpointsSavedAt time.Time                       // when checkpoints were last marked for a commit
	sweptAt            time.Time                       // time of the last sweep; used by run only
	endCause           error                           // why the term has ended
	over               bool                            // the term has ended or is about to; it orders nothing any more
	suspended          bool                            // the lease has expired by the clock of this entry; it may still be renewed
	copiesOutdated     bool                            // the copies may lack changes that were made before copiesDue
	copiesDue          time.Time                       // see requireCopies
	recordGone         bool                            // the leader record was removed, and no other entry was seen to lead
}

func newTerm(cfg Config, rec jobstore.LeaderRecord, leaderVersion uint64, lease rosemarysill.LeaseID, leaseExpiry time.Time) *term {
	cfg.Delay = cfg.Delay.OrDefault()
	t := &term{
		cfg: cfg, rec: rec, leaderVersion: leaderVersion, lease: lease, leaseExpiry: leaseExpiry, elected: uptime.Now(),
		ended: make(chan struct{}), leaseLost: make(chan struct{}, 1), wake: make(chan struct{}, 1),
		jobs: make(map[string]*jobState), workers: make(map[string]*workerState),
		streams: make(map[string]chan struct{}), latestStreams: make(map[string]uint64), endedIncarnations: make(map[string]bool), advice: make(map[stepKey]*stepAdvice), runDurations: make(map[string]meanDuration), startWaits: make(map[int]meanDuration), forecasts: make(map[occurrenceKey]delay.Forecast), speeds: speed.NewEstimator(), speedDemands: make(map[string]speedDemand), minSpeeds: make(map[stepKey]float64), restartSpeeds: make(map[work.TaskKey]float64), incompleteGangs: make(map[stepKey]bool), withheldSince: make(map[stepKey]time.Time), adviceWanted: make(chan struct{}, 1), waves: make(map[string]*waveState),
	}
	t.contact.observe(t.elected)
	return t
}

// close ends the streams of agents. The lease may be released afterwards: a stream that
// has not noticed the end yet sends no more orders.
func (t *term) close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.over = true
	close(t.ended)
}

func (t *term) cause() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.endCause
}

// leaderRecordGone reports whether the leader record was removed, and no other entry was
// seen to lead.
func (t *term) leaderRecordGone() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.recordGone
}

// recordEndCause records why the term ends, unless a cause is recorded already. The
// caller then ends the term.
func (t *term) recordEndCause(cause error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.over = true
	if t.endCause == nil {
		t.endCause = cause
	}
}

func newWorkerState(w control.Worker, agent string, reportedAt time.Time) *workerState {
	return &workerState{
		Worker: w, agent: agent, reportedAt: reportedAt,
		orphans: make(map[work.RunKey]bool), overlaps: make(map[work.RunKey]bool), outdated: make(map[work.RunKey]work.RunStatus), placedAt: make(map[work.RunKey]time.Time), trackers: make(map[work.RunKey]*tracker), stopRequestedAt: make(map[work.RunKey]time.Time),
	}
}

// stopAll stops all runs of a job.
func (t *term) stopAll(s *jobState, reason string) {
	forEachTask(s, func(k work.TaskKey, task *work.Task) {
		if task.Placed() {
			t.stop(work.RunKey{Task: k, Run: task.Run}, task, reason)
		}
	})
}

// stopEndedJob stops all runs of a job that has ended.
func (t *term) stopEndedJob(s *jobState) { t.stopAll(s, "the job is "+string(s.progress.State)) }

// stop stops a run and logs the reason, unless it is stopping already.
func (t *term) stop(k work.RunKey, task *work.Task, reason string) {
	if task.Stopping {
		return
	}
	t.markStopping(k, task)
	event.LeaderStopped.Log(t.cfg.Log).Str("Job", k.Task.Job).Stringer("Run", k).Str("Worker", task.Worker).Str("Why", reason).Send()
}

// markStopping marks a run as stopping and wakes the stream of its worker.
func (t *term) markStopping(k work.RunKey, task *work.Task) {
	task.Stopping = true
	if w := t.workers[task.Worker]; w != nil {
		w.stopRequestedAt[k] = uptime.Now()
	}
	t.wakeStream(task.Worker)
}

// wakeStream wakes the sender of a worker's stream.
func (t *term) wakeStream(incarnation string) {
	if c, ok := t.streams[incarnation]; ok {
		notify(c)
	}
}

// notify sends a value without blocking. If a value is pending already, that one is
// enough.
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

// run makes scheduling passes and commits them until ctx ends or the leadership is lost.
func (t *term) run(ctx context.Context) {
	ticker := time.NewTicker(decisionInterval)
	defer ticker.Stop()
	for {
		b := t.decide()
		if b != nil {
			if err := t.commit(ctx, b); err != nil {
				t.recordEndCause(err)
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

// checkpointInterval is the time between two commits of checkpoints, which would
// otherwise be lost with the leader and the workers. One commit takes those of 15 jobs.
const checkpointInterval = time.Second

// markCheckpoints marks jobs with newer checkpoints for the next commit.
func (t *term) markCheckpoints(now time.Time) {
	if now.Sub(t.checkpointsSavedAt) < checkpointInterval {
		return
	}
	for _, s := range t.jobs {
		if s.checkpointsDirty && !s.progress.State.Final() {
			s.dirty, t.checkpointsSavedAt = true, now
		}
	}
}

// decide applies changed records, expires workers, places tasks, and returns the batch
// to commit, or nil if there is none.
func (t *term) decide() *batch {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := uptime.Now()
	copiesFresh := t.copiesFresh() // before the changes are taken, so that these are all there were
	for id, e := range t.cfg.Cache.TakeChanged() {
		t.merge(id, e)
	}
	t.recheckPlacements(copiesFresh)
	t.expireWorkers(now)
	t.giveUpJobs(now)
	if t.holdsLease() && !t.copiesOutdated {
		t.place(now)
	}
	t.markCheckpoints(now)
	return t.collectBatch()
}
