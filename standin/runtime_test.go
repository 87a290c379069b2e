package standin_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/standin"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var job = uuid.MustParse("00000000-0000-7000-8000-00000000000a")

func task(attempt, member int) rosemarysill.RuntimeTask {
	return rosemarysill.RuntimeTask{Job: job, Attempt: attempt, Member: member}
}

// TestRuntimeEndsTasks guards against a runtime that lets a task outlive its
// lease or its stop, which the proofs of the gang protocol rely on.
func TestRuntimeEndsTasks(t *testing.T) {
	cases := map[string]struct {
		body   string
		from   string // checkpoint
		faults standin.RuntimeFaults
		lease  time.Duration
		act    func(t *testing.T, r *standin.Runtime)
		state  rosemarysill.TaskState
		after  time.Duration // of the end from the start
		result string
		again  rosemarysill.Code // of a late repetition of the start
	}{
		"finishes":             {body: `{"RunSeconds":2,"Result":"ok"}`, lease: time.Minute, state: rosemarysill.TaskDone, after: 2 * time.Second, result: "ok"},
		"fails":                {body: `{"RunSeconds":2,"Fail":true}`, lease: time.Minute, state: rosemarysill.TaskFailure, after: 2 * time.Second},
		"unknown key":          {body: `{"Runs":2}`, lease: time.Minute, state: rosemarysill.TaskFailure},
		"every task fails":     {body: `{"RunSeconds":2}`, faults: standin.RuntimeFaults{FailTasks: true}, lease: time.Minute, state: rosemarysill.TaskFailure},
		"lease lapses":         {body: `{"RunSeconds":20}`, lease: 15 * time.Second, state: rosemarysill.TaskStopped, after: 15 * time.Second},
		"hangs to lease's end": {body: `{"Hang":true}`, lease: 15 * time.Second, state: rosemarysill.TaskStopped, after: 15 * time.Second},
		"lease extended": {body: `{"RunSeconds":20}`, lease: 15 * time.Second, act: func(t *testing.T, r *standin.Runtime) {
			require.NoError(t, r.Extend(t.Context(), task(1, 0), time.Now().Add(30*time.Second)))
		}, state: rosemarysill.TaskDone, after: 20 * time.Second},
		"throttled to half": {body: `{"RunSeconds":20}`, lease: time.Minute, act: func(t *testing.T, r *standin.Runtime) {
			require.NoError(t, r.Throttle(t.Context(), task(1, 0), 0.5))
		}, state: rosemarysill.TaskDone, after: 40 * time.Second},
		"resumed": {body: `{"RunSeconds":20}`, from: "checkpoint/x/1/0/15", lease: time.Minute, state: rosemarysill.TaskDone, after: 5 * time.Second},
		"stopped": {body: `{"RunSeconds":20,"StopSeconds":3}`, lease: time.Minute, act: func(t *testing.T, r *standin.Runtime) {
			require.NoError(t, r.Stop(t.Context(), task(1, 0)))
		}, state: rosemarysill.TaskStopped, after: 3 * time.Second},
		"stop longer than the lease": {body: `{"RunSeconds":60,"StopSeconds":30}`, lease: 15 * time.Second, act: func(t *testing.T, r *standin.Runtime) {
			require.NoError(t, r.Stop(t.Context(), task(1, 0)))
		}, state: rosemarysill.TaskStopped, after: 15 * time.Second},
		"slow checkpoint, then stop": {body: `{"RunSeconds":20,"CheckpointSeconds":2}`, faults: standin.RuntimeFaults{CheckpointDelay: 3 * time.Second}, lease: time.Minute, act: func(t *testing.T, r *standin.Runtime) {
			name, err := r.Checkpoint(t.Context(), task(1, 0))
			require.NoError(t, err)
			require.Equal(t, "checkpoint/"+job.String()+"/1/0/5.000000", name)
			require.NoError(t, r.Stop(t.Context(), task(1, 0)))
		}, state: rosemarysill.TaskStopped, after: 5 * time.Second},
		"ends before its checkpoint": {body: `{"RunSeconds":1,"CheckpointSeconds":2}`, lease: time.Minute, act: func(t *testing.T, r *standin.Runtime) {
			_, err := r.Checkpoint(t.Context(), task(1, 0))
			require.Equal(t, rosemarysill.UnknownJob, rosemarysill.CodeOf(err))
		}, state: rosemarysill.TaskDone, after: time.Second},
		"worker replaced": {body: `{"RunSeconds":20}`, lease: time.Minute, act: func(_ *testing.T, r *standin.Runtime) { r.Reset() }, state: rosemarysill.TaskStopped,
			again: rosemarysill.ReservationLapsed},
		"calls hang": {body: `{"RunSeconds":20}`, lease: time.Minute, act: func(t *testing.T, r *standin.Runtime) {
			r.SetFaults(standin.RuntimeFaults{Hang: true})
			time.AfterFunc(4*time.Second, func() { r.SetFaults(standin.RuntimeFaults{}) })
			require.NoError(t, r.Stop(t.Context(), task(1, 0)))
		}, state: rosemarysill.TaskStopped, after: 4 * time.Second},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := standin.NewRuntime(standin.RuntimeOptions{Name: "w1"})
				r.SetFaults(tc.faults)
				start := time.Now()
				s := rosemarysill.TaskStart{Task: task(1, 0), Accelerators: []int{0, 1}, Body: []byte(tc.body), Checkpoint: tc.from, LeaseUntil: start.Add(tc.lease)}
				require.NoError(t, r.Start(t.Context(), s))
				if tc.act != nil {
					tc.act(t, r)
				}
				<-time.After(time.Hour)
				require.Equal(t, tc.again, rosemarysill.CodeOf(r.Start(t.Context(), s)), "a repeated start makes no second run")
				spans := r.Journal().Spans()
				require.Len(t, spans, 1)
				require.Equal(t, tc.state, spans[0].State)
				require.Equal(t, tc.after, spans[0].End.Sub(start))
				all, err := r.Tasks(t.Context())
				require.NoError(t, err)
				if len(all) > 0 {
					require.Equal(t, tc.result, string(all[0].Result))
				}
			})
		})
	}
}

// TestRuntimeCapacity guards against a runtime that would hide a scheduler's
// double use of an accelerator.
func TestRuntimeCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := standin.NewRuntime(standin.RuntimeOptions{Processors: 8, MemoryMB: 100})
		start := func(member, processors, memory int, accelerators ...int) rosemarysill.Code {
			return rosemarysill.CodeOf(r.Start(t.Context(), rosemarysill.TaskStart{Task: task(1, member), Accelerators: accelerators, Processors: processors,
				MemoryMB: memory, Body: []byte(`{"RunSeconds":5,"Cores":3,"MB":20}`), LeaseUntil: time.Now().Add(time.Minute)}))
		}
		require.Equal(t, rosemarysill.Done, start(0, 4, 50, 0, 1))
		require.Equal(t, rosemarysill.NoCapacity, start(1, 1, 1, 1))
		require.Equal(t, rosemarysill.NoCapacity, start(1, 1, 1, 8))
		require.Equal(t, rosemarysill.NoCapacity, start(1, 5, 1, 2))
		require.Equal(t, rosemarysill.NoCapacity, start(1, 1, 51, 2))
		require.NoError(t, r.Stop(t.Context(), task(1, 2)))
		require.Equal(t, rosemarysill.StaleAttempt, start(2, 1, 1, 2), "stopped before its start")

		used := func() float64 {
			all, err := r.Tasks(t.Context())
			require.NoError(t, err)
			require.Len(t, all, 1)
			return all[0].UsedCores
		}
		require.Zero(t, used(), "usage lags")
		<-time.After(6 * time.Second)
		require.EqualValues(t, 3, used(), "usage of 5 s ago, though the task has ended")
		<-time.After(6 * time.Second)
		require.Zero(t, used())
		require.Equal(t, rosemarysill.Done, start(1, 4, 50, 0, 1))
		require.NoError(t, r.Forget(t.Context(), task(1, 0)))
		require.Equal(t, rosemarysill.InvalidRequest, rosemarysill.CodeOf(r.Forget(t.Context(), task(1, 1))))
	})
}

// TestTaskJournal guards against a journal that misses what it is there to
// show: a second start, overlapping attempts, a gang that runs in part.
func TestTaskJournal(t *testing.T) {
	at := func(s int) time.Time { return time.Unix(int64(s), 0) }
	begin := func(s int, worker string, id rosemarysill.RuntimeTask) standin.TaskEvent {
		return standin.TaskEvent{Time: at(s), Worker: worker, Task: id, Event: standin.TaskStarted}
	}
	end := func(s int, worker string, id rosemarysill.RuntimeTask) standin.TaskEvent {
		return standin.TaskEvent{Time: at(s), Worker: worker, Task: id, Event: standin.TaskEnded}
	}
	cases := map[string]struct {
		events  []standin.TaskEvent
		twice   []rosemarysill.RuntimeTask
		overlap []uuid.UUID
		part    time.Duration // of attempt 1 with two members
	}{
		"sound": {events: []standin.TaskEvent{begin(1, "a", task(1, 0)), begin(1, "b", task(1, 1)), end(5, "a", task(1, 0)), end(5, "b", task(1, 1)),
			begin(5, "a", task(2, 0))}},
		"started on two workers": {events: []standin.TaskEvent{begin(1, "a", task(1, 0)), begin(1, "b", task(1, 1)), end(5, "a", task(1, 0)), end(5, "b", task(1, 1)),
			begin(6, "b", task(1, 0)), end(7, "b", task(1, 0))}, twice: []rosemarysill.RuntimeTask{task(1, 0)}, part: time.Second},
		"attempts overlap": {events: []standin.TaskEvent{begin(1, "a", task(1, 0)), begin(1, "b", task(1, 1)), end(5, "a", task(1, 0)),
			begin(6, "a", task(2, 0)), end(7, "b", task(1, 1))}, overlap: []uuid.UUID{job}, part: 2 * time.Second},
		"one member runs on": {events: []standin.TaskEvent{begin(1, "a", task(1, 0)), begin(3, "b", task(1, 1)), end(5, "a", task(1, 0))}, part: 4 * time.Second},
		"out of order":       {events: []standin.TaskEvent{end(5, "a", task(1, 0)), begin(3, "b", task(1, 1)), end(5, "b", task(1, 1)), begin(1, "a", task(1, 0))}, part: 2 * time.Second},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			j := standin.NewTaskJournal()
			j.Add(tc.events...)
			require.Equal(t, tc.twice, j.StartedTwice())
			require.Equal(t, tc.overlap, j.Overlapping())
			require.Equal(t, tc.part, j.LongestPart(job, 1, 2, at(9)))
		})
	}
}
