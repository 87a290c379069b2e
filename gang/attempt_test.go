package gang

import (
	"flag"
	"os"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	rosemarysill "github.com/rosemarysill/rosemarysill"
)

// TestMain fixes the seed of the drawn tests.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "7", "rapid.nofailfile": "true", "rapid.checks": "10000", "rapid.steps": "120"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// advance lets time pass; leases of members lapse at their agents meanwhile.
func (w *world) advance(d time.Duration) {
	w.now = w.now.Add(d)
	for _, a := range w.agents {
		for _, attempt := range a.running() {
			if t := a.tasks[attempt]; !w.now.Before(t.leaseUntil) {
				t.state = rosemarysill.TaskStopped
				a.lose(attempt, t.leaseUntil)
			}
		}
	}
	for _, p := range w.placers {
		if p.attempt == nil {
			continue
		}
		for member, s := range p.attempt.slots {
			if r, ok := p.reports[agentOf(s)]; ok && !w.now.Before(r.at.Add(w.timings.MemberFresh)) {
				w.tell(p, p.attempt, Event{Kind: AgentMissing, Member: member})
			}
		}
		w.tell(p, p.attempt, Event{Kind: Tick})
	}
}

// check holds the promises.
func (w *world) check() {
	attempts := map[int]bool{}
	for member, a := range w.agents {
		for _, attempt := range a.running() {
			attempts[attempt] = true
			for _, other := range w.agents {
				if at, ok := other.gone[attempt]; ok && w.now.After(at.Add(w.timings.GangLease+w.timings.MemberFresh)) {
					w.t.Fatalf("P2: member %d of attempt %d runs %v after another was gone", member, attempt, w.now.Sub(at))
				}
			}
		}
	}
	if len(attempts) > 1 {
		w.t.Fatalf("P2: attempts %v run at the same time", attempts)
	}
	if !w.job.Spec.Idempotent && len(w.started) > 1 {
		w.t.Fatalf("P6: attempts %v of a non-idempotent job started", w.started)
	}
	if w.job.State.Final() && w.job.Code.Truth() == rosemarysill.TruthNotRun && len(w.started) > 0 {
		w.t.Fatalf("P5: the job is %s (%s) and attempts %v started", w.job.State, w.job.Code, w.started)
	}
	if w.job.State == rosemarysill.JobQueued && !w.job.Spec.Idempotent && len(w.started) > 0 {
		w.t.Fatalf("P6: a non-idempotent job is queued after attempts %v started", w.started)
	}
	if w.job.State.Final() && len(attempts) > 0 {
		w.t.Fatalf("P4: the job is %s and attempts %v run", w.job.State, attempts)
	}
	if w.job.State == rosemarysill.JobQueued && w.job.Attempt > 0 && len(attempts) > 0 {
		w.t.Fatalf("P2: the job is queued and attempts %v run", attempts)
	}
	count := func(s rosemarysill.TaskState) int {
		n := 0
		for _, a := range w.agents {
			if t := a.tasks[w.job.Attempt]; t != nil && t.state == s {
				n++
			}
		}
		return n
	}
	switch {
	case w.job.State == rosemarysill.JobDone && w.counts["reboot"] == 0 && count(rosemarysill.TaskDone) < w.members:
		w.t.Fatalf("P4: the job is Done and %d members are", count(rosemarysill.TaskDone))
	case w.job.Code == rosemarysill.TaskFailed && w.counts["failure"] == 0:
		w.t.Fatalf("P4: the job is %s (%s) and no task failed", w.job.State, w.job.Code)
	case w.job.Code == rosemarysill.StoppedByRequest && w.counts["reboot"] == 0 && count(rosemarysill.TaskDone) == w.members:
		w.t.Fatalf("P4: the job is %s (%s) and all members finished", w.job.State, w.job.Code)
	}
}

// TestAttempts guards the promises on gangs against lost, doubled, late and
// reordered messages, pauses and crashes of the placing entry, takeovers, new
// boots, and lapsed leases.
func TestAttempts(t *testing.T) {
	total := map[string]int{}
	states := map[rosemarysill.JobState]int{}
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(rt, rapid.IntRange(1, 3).Draw(rt, "members"), rapid.Bool().Draw(rt, "idempotent"))
		pick := func(rt *rapid.T) int { return rapid.IntRange(0, max(len(w.messages)-1, 0)).Draw(rt, "message") }
		member := func(rt *rapid.T) int { return rapid.IntRange(0, len(w.agents)-1).Draw(rt, "member") }
		entry := func(rt *rapid.T) *placer { return w.placers[rapid.IntRange(0, 1).Draw(rt, "entry")] }
		deliver := func(rt *rapid.T) {
			if len(w.messages) > 0 {
				w.deliver(pick(rt))
			}
		}
		flow := func(rt *rapid.T) { // in order, without faults
			for range rapid.IntRange(1, 30).Draw(rt, "messages") {
				if len(w.messages) > 0 {
					w.deliver(0)
				}
			}
		}
		// rarely keeps faults from ending every attempt before it runs.
		rarely := func(f func(*rapid.T)) func(*rapid.T) {
			return func(rt *rapid.T) {
				if rapid.IntRange(0, 5).Draw(rt, "fault") == 0 {
					f(rt)
				}
			}
		}
		end := func(rt *rapid.T, s rosemarysill.TaskState) {
			a := w.agents[member(rt)]
			for _, attempt := range a.running() {
				a.tasks[attempt].state = s
				if s == rosemarysill.TaskFailure {
					w.counts["failure"]++
					a.lose(attempt, w.now)
				}
			}
		}
		beats := func(*rapid.T) {
			for i := range w.agents {
				w.beat(i, 0)
				w.beat(i, 1)
			}
		}
		lose := func(kind EventKind) func(*rapid.T) {
			return func(rt *rapid.T) {
				if p := entry(rt); p.attempt != nil {
					w.tell(p, p.attempt, Event{Kind: kind, Member: rapid.IntRange(0, len(p.attempt.members)-1).Draw(rt, "member")})
				}
			}
		}
		rt.Repeat(map[string]func(*rapid.T){
			"Deliver": deliver,
			"Flow":    flow, "Flow2": flow, "Flow3": flow, "Flow4": flow,
			"Lose": func(rt *rapid.T) {
				if len(w.messages) > 0 {
					w.take(pick(rt))
				}
			},
			"Duplicate": func(rt *rapid.T) {
				if len(w.messages) > 0 {
					w.held = append(w.held, w.messages[pick(rt)])
				}
			},
			"Hold": func(rt *rapid.T) {
				if len(w.messages) > 0 {
					w.held = append(w.held, w.take(pick(rt)))
				}
			},
			"Release": rarely(func(*rapid.T) { w.messages, w.held = append(w.held, w.messages...), nil }),
			"Cut":     rarely(func(rt *rapid.T) { w.cut[member(rt)] = true }),
			"Heal":    rarely(func(*rapid.T) { clear(w.cut) }),
			// Live is a while in which messages flow, to all but the agents cut off.
			"Live": func(rt *rapid.T) {
				for range rapid.IntRange(1, 15).Draw(rt, "beats") {
					for _, p := range w.placers {
						w.place(p)
					}
					beats(rt)
					for range len(w.messages) * 4 {
						if len(w.messages) > 0 {
							w.deliver(0)
						}
					}
					w.advance(w.timings.BeatEvery)
					w.check()
				}
			},
			"Beat": beats, "Beat2": beats,
			"Pass": func(rt *rapid.T) {
				w.advance(time.Duration(rapid.SampledFrom([]int{10, 10, 100, 500, 900, 2000, 4000, 9000}).Draw(rt, "ms")) * time.Millisecond)
			},
			"Place": func(rt *rapid.T) {
				w.offset = member(rt)
				w.place(entry(rt))
			},
			"Place2": func(*rapid.T) { w.place(w.placers[0]) },
			"TakeOver": rarely(func(rt *rapid.T) {
				p := entry(rt)
				w.epoch++
				p.epoch, p.attempt, p.tried = w.epoch, nil, 0
				w.place(p)
			}),
			"Pause": rarely(func(rt *rapid.T) { entry(rt).paused = true }),
			"Resume": func(rt *rapid.T) {
				p := entry(rt)
				p.paused = false
				for _, f := range p.backlog {
					f()
				}
				p.backlog = nil
			},
			"Crash": rarely(func(rt *rapid.T) {
				p := entry(rt)
				fenced := p.fenced // a new boot is established after GangLease; until then it renews nothing
				*p = placer{reports: map[int]report{}, fenced: fenced, dropped: map[int]bool{}}
			}),
			"Reboot": rarely(func(rt *rapid.T) {
				a := w.agents[member(rt)]
				for _, attempt := range a.running() {
					a.lose(attempt, w.now)
				}
				w.counts["reboot"]++
				*a = agent{boot: uuid.New(), refused: map[int]bool{}, tasks: map[int]*task{}, gone: a.gone}
			}),
			"Finish":  func(rt *rapid.T) { end(rt, rosemarysill.TaskDone) },
			"Finish2": func(rt *rapid.T) { end(rt, rosemarysill.TaskDone) },
			"Fail":    rarely(func(rt *rapid.T) { end(rt, rosemarysill.TaskFailure) }),
			"WriteLost": rarely(func(rt *rapid.T) {
				p := entry(rt)
				p.dropped[p.writes] = rapid.Bool().Draw(rt, "dropped")
				w.tell(p, p.attempt, Event{Kind: WriteUnresolved})
			}), "ReserveLost": rarely(lose(ReserveLost)),
			"CommitLost": lose(CommitLost), "StopLost": lose(StopLost), "Reclaim": rarely(lose(ReclaimAsked)),
			"Cancel": rarely(func(*rapid.T) {
				if !w.job.State.Final() && w.job.State != rosemarysill.JobQueued {
					w.job.CancelRequested = true
					w.version++
				}
			}),
			"": func(*rapid.T) { w.check() },
		})
		for k, n := range w.counts {
			total[k] += n
		}
		states[w.job.State]++
	})
	t.Logf("events %v, last states %v", total, states)
	for _, k := range []string{"start", "TakeOver", "reboot", "failure", string(Abandoned), string(Requeued), string(Finished), string(Unclear), string(Lost)} {
		require.NotZero(t, total[k], k)
	}
	for _, s := range []rosemarysill.JobState{rosemarysill.JobDone, rosemarysill.JobFailed, rosemarysill.JobCancelled, rosemarysill.JobUnknown, rosemarysill.JobRunning} {
		require.NotZero(t, states[s], s)
	}
}
