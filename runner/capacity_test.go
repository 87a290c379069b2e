package runner

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rosemarysill/rosemarysill/control"
	"github.com/rosemarysill/rosemarysill/uptime"
	"github.com/rosemarysill/rosemarysill/work"
)

// accelerators returns a shape of n accelerators, with a core and 100 MB for each.
func accelerators(n int64) work.Shape {
	return work.Shape{MilliCPU: 1000 * n, MemoryMB: 100 * n, Accelerators: n}
}

// Guards against a leader that learns of a capacity that has shrunk, or grown, only
// with the next periodic report.
func TestChangeOfCapacityIsReportedAtOnce(t *testing.T) {
	for name, c := range map[string]struct {
		capacity work.Shape
		sequence uint64
		reported bool
		largest  work.Shape
	}{
		"shrinks":                 {accelerators(4), 2, true, accelerators(8)},
		"grows":                   {accelerators(16), 2, true, work.Shape{}},
		"unchanged":               {accelerators(8), 2, false, work.Shape{}},
		"report arrived too late": {accelerators(4), 0, false, work.Shape{}},
	} {
		t.Run(name, func(t *testing.T) {
			r := New(Config{Name: "a", Log: zerolog.Nop()})
			a := work.Announcement{ID: "i", StartedAtMS: 1, Sequence: 1, State: work.WorkerReady, Capacity: accelerators(8)}
			r.Announce(a)
			r.worker.renewAt(work.RuntimeReply{}, r.worker.fence, at(0))
			a.Capacity, a.Sequence = c.capacity, c.sequence
			r.Announce(a)
			want := accelerators(8)
			if c.reported {
				want = c.capacity
			}
			reported := r.worker.report(at(0)).Worker
			require.Equal(t, want, reported.Capacity)
			require.Equal(t, c.largest, reported.LargestCapacity)
			require.Equal(t, c.reported, len(r.reportNow) > 0)
		})
	}
}

// countingWorker is a worker that accepts all starts, also those that it has no capacity
// for. Calls last until proceed is closed.
type countingWorker struct {
	work.Runtime
	proceed chan struct{}
	mu      sync.Mutex
	started []work.RunKey
}

func (w *countingWorker) Start(_ context.Context, _ time.Duration, _ string, _ int64, s work.Start, _ time.Duration) (work.RuntimeReply, error) {
	w.mu.Lock()
	w.started = append(w.started, s.Key)
	w.mu.Unlock()
	<-w.proceed
	return work.RuntimeReply{Clock: time.Second}, nil
}

// Guards against a start that brings a worker over its capacity, because the capacity
// has shrunk since the leader decided, the commit took long, or the worker has runs that
// the leader did not count.
func TestStartThatDoesNotFitIsRefused(t *testing.T) {
	start := func(n int, demand work.Shape) work.Start { return work.Start{Key: key(n), Demand: demand} }
	for name, c := range map[string]struct {
		capacity work.Shape // announced last
		running  []int
		ended    []int
		reserved []control.Reservation
		starts   []work.Start
		want     int // number of starts
	}{
		"fits":                         {accelerators(8), nil, nil, nil, []work.Start{start(0, accelerators(8))}, 1},
		"capacity has shrunk":          {accelerators(4), nil, nil, nil, []work.Start{start(0, accelerators(8))}, 0},
		"another resource has shrunk":  {work.Shape{MilliCPU: 8000, MemoryMB: 100, Accelerators: 8}, nil, nil, nil, []work.Start{start(0, accelerators(2))}, 0},
		"best-effort task":             {work.Shape{MemoryMB: 100}, nil, nil, nil, []work.Start{start(0, work.Shape{MemoryMB: 100})}, 1},
		"beside a run that fits":       {accelerators(8), []int{1}, nil, []control.Reservation{{Key: key(1), Demand: accelerators(4)}}, []work.Start{start(0, accelerators(4))}, 1},
		"beside a run":                 {accelerators(8), []int{1}, nil, []control.Reservation{{Key: key(1), Demand: accelerators(6)}}, []work.Start{start(0, accelerators(4))}, 0},
		"beside a run of unknown size": {accelerators(8), []int{1}, nil, nil, []work.Start{start(0, accelerators(4))}, 0},
		"beside a run that has ended":  {accelerators(8), []int{1}, []int{1}, []control.Reservation{{Key: key(1), Demand: accelerators(6)}}, []work.Start{start(0, accelerators(4))}, 1},
		"two starts at once":           {accelerators(8), nil, nil, nil, []work.Start{start(0, accelerators(6)), start(1, accelerators(6))}, 1},
		"start without demand":         {accelerators(8), []int{1}, nil, nil, []work.Start{start(0, work.Shape{})}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			worker := &countingWorker{proceed: make(chan struct{})}
			r := New(Config{Name: "a", Runtime: worker, Log: zerolog.Nop()})
			now := uptime.Now()
			a := work.Announcement{ID: "i", StartedAtMS: 1, Sequence: 1, State: work.WorkerReady, Capacity: accelerators(8)}
			r.Announce(a)
			reply := work.RuntimeReply{Clock: time.Second}
			for _, n := range c.running {
				reply.Running = append(reply.Running, work.RunStatus{Key: key(n)})
			}
			for i, n := range c.ended {
				reply.Ended = append(reply.Ended, work.RunEnd{Seq: uint64(i + 1), Key: key(n), Outcome: work.OutcomeDone})
			}
			r.worker.renewAt(reply, r.worker.fence, now)
			a.Capacity, a.Sequence = c.capacity, 2
			r.Announce(a)
			r.applyOrders(context.Background(), control.Orders{Epoch: 1, Echo: now, ExtendsLease: true, Incarnation: r.worker.incarnation(), Starts: c.starts, Reserved: c.reserved})
			require.Eventually(t, func() bool {
				r.mu.Lock()
				defer r.mu.Unlock()
				worker.mu.Lock()
				defer worker.mu.Unlock()
				return len(worker.started)+len(r.worker.refused) == len(c.starts)
			}, 10*time.Second, time.Millisecond)
			close(worker.proceed)
			require.Eventually(t, func() bool {
				r.mu.Lock()
				defer r.mu.Unlock()
				return len(r.inFlight) == 0
			}, 10*time.Second, time.Millisecond)
			require.Len(t, worker.started, c.want)
			for _, refusal := range r.worker.refused {
				require.Equal(t, work.RefusedNoCapacity, refusal.Reason)
			}
		})
	}
}

// Guards against the refusal of a start, without a call, that an earlier call without a
// reply may have begun or may still begin: the leader would start the task elsewhere.
func TestUnansweredStartIsNotRefusedForCapacityWithoutProof(t *testing.T) {
	w := newConfirmedWorker(1)
	w.announcement.Capacity = accelerators(8)
	s := work.Start{Key: key(0), Demand: accelerators(8)}
	require.True(t, w.reserve(s))
	delete(w.startsInFlight, s.Key)
	fence := w.fence
	w.recordFailedStart(s.Key, fence)
	w.announcement.Capacity = accelerators(4)
	require.False(t, w.reserve(s))
	require.False(t, w.recordRefusal(s.Key, work.RefusedNoCapacity))
	require.False(t, w.reserve(work.Start{Key: key(1), Demand: accelerators(1)}), "the first start may still be carried out")
	w.renewAt(work.RuntimeReply{Clock: time.Second}, w.fence, at(10))
	require.True(t, w.recordRefusal(s.Key, work.RefusedNoCapacity))
	require.True(t, w.reserve(work.Start{Key: key(1), Demand: accelerators(1)}), "it can no longer be carried out")
}

// Guards against starts that exceed the announced capacity under any order of starts,
// replies that are lost, late starts, ends, stops, restarts of the agent and changes of
// the capacity.
func TestNoStartExceedsAnnouncedCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		drawCapacity := func() work.Shape { return accelerators(int64(rapid.IntRange(0, 8).Draw(t, "capacity"))) }
		w := newConfirmedWorker(1)
		w.announcement.Capacity = drawCapacity()
		demands := make(map[work.RunKey]work.Shape)
		var running, pending []work.RunKey // at the worker; pending starts are carried out late
		fences := make(map[work.RunKey]int64)
		n, seq, now := 0, uint64(0), 0
		list := func() work.RuntimeReply {
			reply := work.RuntimeReply{Clock: time.Second}
			for _, k := range running {
				reply.Running = append(reply.Running, work.RunStatus{Key: k})
			}
			return reply
		}
		end := func(reply *work.RuntimeReply) {
			if len(running) > 0 {
				i := rapid.IntRange(0, len(running)-1).Draw(t, "run")
				seq++
				reply.Ended = append(reply.Ended, work.RunEnd{Seq: seq, Key: running[i], Outcome: work.OutcomeDone})
				running = slices.Delete(running, i, i+1)
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += 10
			switch rapid.SampledFrom([]string{"start", "start", "start", "renew", "end", "late", "capacity", "acked", "agent"}).Draw(t, "action") {
			case "start":
				s := work.Start{Key: key(n), Demand: accelerators(int64(rapid.IntRange(1, 4).Draw(t, "demand")))}
				n++
				demands[s.Key] = s.Demand
				var reserved []control.Reservation
				for _, k := range running {
					reserved = append(reserved, control.Reservation{Key: k, Demand: demands[k]})
				}
				w.recordDemands(reserved)
				if !w.reserve(s) {
					continue
				}
				used := s.Demand
				for _, k := range append(slices.Clone(running), pending...) {
					if fences[k] >= w.renewedFence || slices.Contains(running, k) {
						used = used.Add(demands[k])
					}
				}
				require.True(t, used.FitsIn(w.announcement.Capacity), "started %v with %v in use of %v", s.Demand, used.Sub(s.Demand), w.announcement.Capacity)
				fences[s.Key] = w.fence
				delete(w.startsInFlight, s.Key)
				if rapid.Bool().Draw(t, "reply lost") {
					pending = append(pending, s.Key)
					w.recordFailedStart(s.Key, w.fence)
				} else {
					running = append(running, s.Key)
					w.recordAcceptedStart(s.Key, at(now))
				}
			case "late":
				if len(pending) > 0 {
					i := rapid.IntRange(0, len(pending)-1).Draw(t, "pending")
					if fences[pending[i]] >= w.renewedFence { // later ones are refused by their fence
						running = append(running, pending[i])
					}
					pending = slices.Delete(pending, i, i+1)
				}
			case "renew":
				w.renewAt(list(), w.fence, at(now))
			case "end":
				reply := list()
				end(&reply)
				reply.Running = list().Running
				w.renewAt(reply, w.fence, at(now))
			case "acked":
				w.applyLease(control.Orders{Incarnation: w.incarnation(), AckedSeq: seq})
			case "capacity":
				w.announcement.Capacity = drawCapacity()
			case "agent":
				capacity := w.announcement.Capacity
				fence := w.fence
				w = newConfirmedWorker(1)
				w.fence = fence + 1
				w.announcement.Capacity = capacity
				w.renewAt(list(), w.fence, at(now))
			}
		}
	})
}

// Guards against starts by the capacity of an earlier incarnation, which may have been
// larger: a lease renewal shows a restart before the worker announces itself again.
func TestCapacityOfNextIncarnationIsAwaited(t *testing.T) {
	r := New(Config{Name: "a", Log: zerolog.Nop()})
	w := r.worker
	a := work.Announcement{ID: "i", StartedAtMS: 1, Sequence: 7, State: work.WorkerReady, Capacity: accelerators(8)}
	r.Announce(a)
	w.renewAt(work.RuntimeReply{Clock: time.Second}, w.fence, at(0))
	require.True(t, w.reserve(work.Start{Key: key(0), Demand: accelerators(2)}))
	delete(w.startsInFlight, key(0))

	w.renewAt(work.RuntimeReply{Clock: time.Second, StartedAtMS: 2}, w.fence, at(10))
	w.renewAt(work.RuntimeReply{Clock: time.Second, StartedAtMS: 2}, w.fence, at(20))
	require.Zero(t, w.report(at(20)).Worker.Capacity)
	require.False(t, w.reserve(work.Start{Key: key(0), Demand: accelerators(2)}))

	a.StartedAtMS, a.Sequence, a.Capacity = 2, 1, accelerators(4)
	r.Announce(a)
	require.Len(t, r.reportNow, 1, "it is reported at once")
	require.True(t, w.reserve(work.Start{Key: key(0), Demand: accelerators(2)}))
	require.Zero(t, w.report(at(20)).Worker.LargestCapacity)
}
