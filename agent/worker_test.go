package agent

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/rosemarysill/rosemarysill"
	"github.com/stretchr/testify/require"
)

func reserve(n byte, accelerators ...int) rosemarysill.ReserveRequest {
	return rosemarysill.ReserveRequest{
		Spec:    rosemarysill.JobSpec{ID: id(n), Shape: rosemarysill.Shape{Members: 1, Accelerators: len(accelerators)}},
		Attempt: 1, Epoch: 3, Revision: 1, Remaining: 3 * time.Second,
		Slot: rosemarysill.Slot{Worker: "a1", Boot: boot, Accelerators: accelerators},
	}
}

func begin(t *testing.T, a *Agent, n byte, accelerators ...int) {
	require.NoError(t, a.Reserve(context.Background(), reserve(n, accelerators...)))
	require.NoError(t, a.Commit(context.Background(), rosemarysill.CommitRequest{Job: id(n), Attempt: 1, Epoch: 3, Lease: 15 * time.Second}))
	pass(0)
}

func stopOf(n byte) rosemarysill.StopRequest {
	return rosemarysill.StopRequest{Job: id(n), Attempt: 1, Epoch: 3}
}

// TestWorker runs one member of a gang and names in each case the fault that it
// guards against.
func TestWorker(t *testing.T) {
	cases := map[string]func(t *testing.T, a *Agent, e *fakeEntry, r *fakeRuntime){
		"lease renewed but the task stopped": func(t *testing.T, a *Agent, e *fakeEntry, r *fakeRuntime) {
			begin(t, a, 1, 0)
			pass(time.Minute)
			require.Equal(t, rosemarysill.TaskRunning, stateOf(e))
			require.Zero(t, r.did("Stop", "Checkpoint"))
			require.NotZero(t, r.did("Extend"))
		},
		"lease lapses and the task runs on": func(t *testing.T, a *Agent, e *fakeEntry, r *fakeRuntime) {
			begin(t, a, 1, 0)
			pass(3 * time.Second)
			e.set(func(e *fakeEntry) { e.lost = true })
			began := time.Now()
			pass(20 * time.Second)
			require.Equal(t, 1, r.did("Checkpoint"))
			require.Equal(t, 1, r.did("Stop"))
			require.LessOrEqual(t, r.stopped.Sub(began), 15*time.Second)
			e.set(func(e *fakeEntry) { e.lost = false })
			pass(2 * time.Second)
			require.Equal(t, rosemarysill.TaskStopped, stateOf(e))
		},
		"commit after stop": func(t *testing.T, a *Agent, _ *fakeEntry, r *fakeRuntime) {
			require.NoError(t, a.Reserve(context.Background(), reserve(1, 0)))
			reply, err := a.Stop(context.Background(), stopOf(1))
			require.NoError(t, err)
			require.Equal(t, rosemarysill.StopReply{Boot: boot, Stopped: true, NeverStarted: true}, reply)
			err = a.Commit(context.Background(), rosemarysill.CommitRequest{Job: id(1), Attempt: 1, Epoch: 3, Lease: time.Minute})
			require.Equal(t, rosemarysill.StaleAttempt, rosemarysill.CodeOf(err))
			pass(time.Second)
			require.Zero(t, r.did("Start"))
		},
		"stop answered before the end": func(t *testing.T, a *Agent, _ *fakeEntry, r *fakeRuntime) {
			begin(t, a, 1, 0)
			r.set("Stop", true)
			reply, err := a.Stop(context.Background(), stopOf(1))
			require.NoError(t, err)
			require.False(t, reply.Stopped)
			r.set("Stop", false)
			pass(11 * time.Second) // the request that hangs is given up after 10 s
			reply, err = a.Stop(context.Background(), stopOf(1))
			require.NoError(t, err)
			require.Equal(t, rosemarysill.StopReply{Boot: boot, Stopped: true}, reply)
			require.Equal(t, 2, r.did("Stop"))
		},
		"start that hangs": func(t *testing.T, a *Agent, e *fakeEntry, r *fakeRuntime) {
			r.set("Start", true)
			begin(t, a, 1, 0)
			pass(5 * time.Second)
			require.Equal(t, 1, r.did("Stop"), "it may run")
			require.Equal(t, rosemarysill.TaskFailure, stateOf(e))
		},
		"runtime that hangs delays the stop": func(t *testing.T, a *Agent, e *fakeEntry, r *fakeRuntime) {
			begin(t, a, 1, 0)
			for _, name := range []string{"Tasks", "Extend", "Checkpoint"} {
				r.set(name, true)
			}
			e.set(func(e *fakeEntry) { e.lost = true })
			began := time.Now()
			pass(20 * time.Second)
			require.Equal(t, 1, r.did("Stop"))
			require.LessOrEqual(t, r.stopped.Sub(began), 15*time.Second+250*time.Millisecond)
			require.Equal(t, r.stopped, r.gaveUp["Checkpoint"], "it is of no use any more")
		},
		"outcome of a task is lost": func(t *testing.T, a *Agent, e *fakeEntry, r *fakeRuntime) {
			begin(t, a, 1, 0)
			task := rosemarysill.RuntimeTask{Job: id(1), Attempt: 1}
			r.mu.Lock()
			r.tasks[task] = rosemarysill.TaskStatus{Task: task, State: rosemarysill.TaskDone, Result: []byte("r")}
			r.mu.Unlock()
			pass(3 * time.Second)
			require.Equal(t, rosemarysill.TaskDone, stateOf(e))
			require.NotZero(t, r.did("Forget"))
			require.NoError(t, a.Reserve(context.Background(), reserve(2, 0)), "the accelerator is free again")
		},
		"leaving worker cuts off a member": func(t *testing.T, a *Agent, e *fakeEntry, r *fakeRuntime) {
			begin(t, a, 1, 0)
			pass(time.Second)
			a.Leave()
			pass(0)
			require.True(t, e.last().Leaving)
			err := a.Reserve(context.Background(), reserve(2, 1))
			require.Equal(t, rosemarysill.Leaving, rosemarysill.CodeOf(err))
			pass(29 * time.Second)
			require.Zero(t, r.did("Stop", "Checkpoint"))
			pass(2 * time.Second)
			<-a.Done()
			require.Equal(t, 1, r.did("Stop"))
			last := e.last()
			require.Equal(t, rosemarysill.TaskStopped, last.Tasks[0].State)
			require.Equal(t, "c1", last.Tasks[0].Checkpoint)
		},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			e, r := newEntry(), newRuntime()
			e.renew = true
			bubble(t, func() *Agent { return NewWorker(config(address1), fakeEntries{address1: e}, r) }, func(t *testing.T, a *Agent) { test(t, a, e, r) })
		})
	}
}

func (r *fakeRuntime) set(name string, hangs bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hangs[name] = hangs
}

// stateOf returns the state of the only member as the entry knows it.
func stateOf(e *fakeEntry) (state rosemarysill.TaskState) {
	e.set(func(e *fakeEntry) {
		for _, r := range e.beats {
			if r.HasTasks {
				state = ""
			}
			for _, task := range r.Tasks {
				state = task.State
			}
		}
	})
	return state
}

// TestPausePastLease guards against an extension, or anything but the stop,
// after a pause in which the lease lapsed.
func TestPausePastLease(t *testing.T) {
	e, r := newEntry(), newRuntime()
	e.renew = true
	var pause atomic.Int64
	now := func() time.Time { return time.Now().Add(time.Duration(pause.Load())) }
	bubble(t, func() *Agent {
		return NewWorker(config(address1), fakeEntries{address1: e}, r, rosemarysill.WithNow(now))
	}, func(t *testing.T, a *Agent) {
		begin(t, a, 1, 0)
		pass(3 * time.Second)
		before := r.did("Extend", "Checkpoint", "Start")
		pause.Store(int64(time.Minute))
		pass(3 * time.Second)
		require.Equal(t, before, r.did("Extend", "Checkpoint", "Start"))
		require.Equal(t, 1, r.did("Stop"))
	})
}

// TestTasksOfEarlierBoot guards against an agent that announces a new boot, and
// so that its former tasks are gone, while one still runs.
func TestTasksOfEarlierBoot(t *testing.T) {
	e, r := newEntry(), newRuntime()
	task := rosemarysill.RuntimeTask{Job: id(1), Attempt: 1}
	r.tasks[task] = rosemarysill.TaskStatus{Task: task, State: rosemarysill.TaskRunning}
	r.hangs["Stop"] = true
	cfg := config(address1)
	cfg.Identity.Boot = uuid.Nil
	bubble(t, func() *Agent { return NewWorker(cfg, fakeEntries{address1: e}, r) }, func(t *testing.T, a *Agent) {
		pass(time.Minute)
		require.Empty(t, e.beats)
		r.set("Stop", false)
		pass(15 * time.Second)
		require.NotEmpty(t, e.beats)
		require.Empty(t, r.tasks)
		require.NotEqual(t, uuid.Nil, a.Identity().Boot)
	})
}

// TestHeartbeat guards against identities and tasks that are sent again without
// need or not sent when needed, and against entries that are not found.
func TestHeartbeat(t *testing.T) {
	e1, e2 := newEntry(), newEntry()
	e1.entries = append(e1.entries, address2)
	e2.orders.Revision, e2.orders.Epoch, e2.orders.DomainOut = 0, 1, true
	r := newRuntime()
	bubble(t, func() *Agent { return NewWorker(config(address1), fakeEntries{address1: e1, address2: e2}, r) }, func(t *testing.T, a *Agent) {
		identities := func(e *fakeEntry) (identities, tasks int) {
			e.set(func(e *fakeEntry) {
				for _, r := range e.beats {
					if r.Identity != nil {
						identities++
					}
					if r.HasTasks {
						tasks++
					}
				}
				e.beats = nil
			})
			return identities, tasks
		}
		pass(9 * time.Second)
		for name, e := range map[string]*fakeEntry{"in the settings": e1, "named in a reply": e2} {
			n, tasks := identities(e)
			require.Equal(t, [2]int{1, 1}, [2]int{n, tasks}, name)
		}
		// The older entry neither renews freshness nor takes the domain out.
		begin(t, a, 1, 0)
		e1.set(func(e *fakeEntry) { e.lost = true })
		pass(8 * time.Second)
		_, tasks := identities(e1)
		require.Equal(t, 4, tasks, "sent until acknowledged")
		err := a.Reserve(context.Background(), reserve(2, 1))
		require.Equal(t, rosemarysill.StaleConfiguration, rosemarysill.CodeOf(err))
		// An entry that has restarted asks for the identity.
		e1.set(func(e *fakeEntry) { e.lost, e.digest, e.orders.SendIdentity = false, 0, true })
		pass(4 * time.Second)
		n, tasks := identities(e1)
		require.Equal(t, [2]int{1, 2}, [2]int{n, tasks})
		// An entry that no longer answers and is not in the settings is dropped.
		e1.set(func(e *fakeEntry) { e.entries = nil })
		e2.set(func(e *fakeEntry) { e.lost = true })
		identities(e2)
		pass(time.Minute)
		require.Len(t, e2.beats, entrySilence)
	})
}
