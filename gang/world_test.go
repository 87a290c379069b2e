package gang

import (
	"strconv"
	"time"

	"github.com/google/uuid"
	"pgregory.net/rapid"

	rosemarysill "github.com/rosemarysill/rosemarysill"
)

// agent is a worker's agent with the rules of docs/design.md, section 6.4.
type agent struct {
	boot       uuid.UUID
	epoch      uint64
	attempt    int    // highest seen
	resEpoch   uint64 // of the reservation
	resMember  int
	stamps     [2]time.Time      // of the last reply of each entry, by the entry's clock
	reservedTo time.Time         // of attempt, unless refused
	refused    map[int]bool      // stopped before the commit, or lapsed
	tasks      map[int]*task     // by attempt
	gone       map[int]time.Time // attempts whose member ended here otherwise than done
}

type task struct {
	state      rosemarysill.TaskState
	leaseUntil time.Time
}

// report is what an entry has last heard from an agent.
type report struct {
	sent  time.Time
	at    time.Time // heard
	stamp time.Time // the report was made after this
	boot  uuid.UUID
	tasks map[int]rosemarysill.TaskState
}

// placer is an entry that may hold the placement lease.
type placer struct {
	epoch    uint64
	paused   bool
	attempt  *Attempt
	writes   int
	dropped  map[int]bool // writes that do not reach the store
	version  uint64       // of the record that the attempt has read or written
	reports  map[int]report
	fenced   map[int]bool // attempts
	tried    int
	refusals int
	backlog  []func() // events that arrived while the entry was paused
}

// message is in flight, to or from an agent if agent is not -1.
type message struct {
	agent   int
	deliver func()
}

// world is a store, agents and two placers that exchange messages.
type world struct {
	t        *rapid.T
	now      time.Time
	timings  rosemarysill.Timings
	job      rosemarysill.Job
	version  uint64
	agents   []*agent
	placers  [2]*placer
	epoch    uint64
	messages []message
	held     []message    // delayed, delivered after others
	cut      map[int]bool // agents that exchange no messages
	members  int
	offset   int // of the agents that the next attempt uses

	reserved map[int]map[int]bool // key, member: a reservation was accepted
	recorded map[int]bool
	started  map[int]map[int]bool // attempt, member
	counts   map[string]int
}

func newWorld(t *rapid.T, members int, idempotent bool) *world {
	w := &world{
		t: t, now: time.Unix(1000, 0), timings: rosemarysill.DefaultTimings(), version: 1, epoch: 1,
		job: rosemarysill.Job{
			State: rosemarysill.JobQueued,
			Spec:  rosemarysill.JobSpec{ID: uuid.UUID{1}, Idempotent: idempotent, Shape: rosemarysill.Shape{Members: members}},
		},
		members: members, cut: map[int]bool{},
		reserved: map[int]map[int]bool{}, recorded: map[int]bool{}, started: map[int]map[int]bool{}, counts: map[string]int{},
	}
	for i := range 2 * members {
		w.agents = append(w.agents, &agent{boot: uuid.UUID{byte(i), 1}, refused: map[int]bool{}, tasks: map[int]*task{}, gone: map[int]time.Time{}})
	}
	for i := range w.placers {
		w.placers[i] = &placer{reports: map[int]report{}, fenced: map[int]bool{}, dropped: map[int]bool{}}
	}
	w.placers[0].epoch = 1
	return w
}

func (w *world) send(agent int, f func()) { w.messages = append(w.messages, message{agent, f}) }

// deliver delivers the message at i, unless its agent is cut off.
func (w *world) deliver(i int) {
	m := w.take(i)
	if m.agent < 0 || !w.cut[m.agent] {
		m.deliver()
	}
}

// take removes the message at i.
func (w *world) take(i int) message {
	m := w.messages[i]
	w.messages = append(w.messages[:i:i], w.messages[i+1:]...)
	return m
}

// agentOf returns the index of the agent that a slot names.
func agentOf(s rosemarysill.Slot) int {
	n, _ := strconv.Atoi(s.Worker)
	return n
}

// tell gives an event to the attempt of a placer, when it runs.
func (w *world) tell(p *placer, a *Attempt, e Event) {
	f := func() {
		if p.attempt == a && a != nil {
			w.do(p, a.Step(e, w.now))
			w.ended(p)
		}
	}
	if p.paused {
		p.backlog = append(p.backlog, f)
		return
	}
	f()
}

// tellVersion gives the answer to a write, with the version then found.
func (w *world) tellVersion(p *placer, a *Attempt, e Event, version uint64) {
	if p.paused {
		p.backlog = append(p.backlog, func() { w.tellVersion(p, a, e, version) })
		return
	}
	if p.attempt == a {
		p.version = version
	}
	w.tell(p, a, e)
}

// ended drops an attempt that has ended and looks at the record again.
func (w *world) ended(p *placer) {
	if p.attempt == nil || p.attempt.Outcome() == Open {
		return
	}
	w.counts[string(p.attempt.Outcome())]++
	if p.attempt.Outcome() == Abandoned && p.attempt.StaleAttempt() {
		p.refusals++
	} else {
		p.refusals = 0
	}
	p.attempt = nil
}

// place begins an attempt of the queued job, or takes one over.
func (w *world) place(p *placer) {
	if p.paused || p.attempt != nil || p.epoch == 0 {
		return
	}
	p.version = w.version
	if w.job.State != rosemarysill.JobQueued {
		a, effects := TakeOver(w.job, p.epoch, w.timings, w.now)
		p.attempt = a
		w.counts["TakeOver"]++
		w.do(p, effects)
		w.ended(p)
		return
	}
	var slots []rosemarysill.Slot
	for i := range w.members {
		n := (w.offset + i) % len(w.agents)
		slots = append(slots, rosemarysill.Slot{Worker: strconv.Itoa(n), Boot: w.agents[n].boot})
	}
	p.tried = NextAttempt(w.job, p.tried, p.refusals)
	a, effects := Begin(w.job, p.epoch, p.tried, slots, w.timings, w.now)
	p.attempt = a
	w.do(p, effects)
}

// do carries out effects: each becomes a message that is delivered later.
func (w *world) do(p *placer, effects []Effect) {
	a := p.attempt
	for _, e := range effects {
		n := -1
		if e.Kind != AskFence && e.Kind != RecordStart && e.Kind != WriteState {
			n = agentOf(e.Job.Slots[e.Member])
		}
		answer := func(ev Event) {
			ev.Member = e.Member
			w.send(n, func() { w.tell(p, a, ev) })
		}
		remaining := e.Deadline.Sub(w.now)
		epoch, number := e.Job.Epoch, e.Job.Attempt
		switch e.Kind {
		case SendReserve:
			w.send(n, func() { answer(w.agents[n].reserve(w, e, remaining)) })
		case SendCommit:
			w.send(n, func() { answer(w.agents[n].commit(w, e.Member, number, epoch)) })
		case SendStop:
			w.send(n, func() { answer(w.agents[n].stop(w, number, epoch)) })
		case AskFence:
			w.send(n, func() { w.fence(p, a, number, 0) })
		case RecordStart, WriteState:
			p.writes++
			version, write := p.version, p.writes
			w.send(n, func() {
				if p.dropped[write] {
					return
				}
				ev := w.swap(e.Job, version)
				found := w.version
				w.send(n, func() { w.tellVersion(p, a, ev, found) })
			})
		}
	}
}

// fence asks one placer after the other; a message may be lost in between.
func (w *world) fence(p *placer, a *Attempt, number, next int) {
	if next == len(w.placers) {
		w.tell(p, a, Event{Kind: FenceComplete})
		return
	}
	w.placers[next].fenced[number] = true
	w.send(-1, func() { w.fence(p, a, number, next+1) })
}

func (w *world) swap(j rosemarysill.Job, version uint64) Event {
	if version != w.version {
		return Event{Kind: WriteConflict, Job: w.job}
	}
	w.version++
	w.job = j
	if j.State == rosemarysill.JobStarting {
		w.recorded[j.Attempt] = true
	}
	return Event{Kind: WriteTook}
}

// admit refuses what is older than the agent has seen.
func (a *agent) admit(attempt int, epoch uint64) rosemarysill.Code {
	switch {
	case epoch < a.epoch:
		return rosemarysill.StaleEpoch
	case attempt < a.attempt || a.refused[attempt]:
		return rosemarysill.StaleAttempt
	}
	a.epoch = epoch
	return rosemarysill.Done
}

func (a *agent) reserve(w *world, e Effect, remaining time.Duration) Event {
	code := a.admit(e.Job.Attempt, e.Job.Epoch)
	if code == rosemarysill.Done && len(a.running()) > 0 {
		code = rosemarysill.NoCapacity
	}
	if code == rosemarysill.Done && e.Job.Slots[e.Member].Boot != a.boot {
		code = rosemarysill.NoCapacity
	}
	if code != rosemarysill.Done {
		return Event{Kind: ReserveRefused, Code: code}
	}
	// A reservation is named by attempt and epoch: two placing entries may use
	// the same number. A duplicate does not extend it: a delayed one would let
	// a delayed commit start the member of an attempt that is over.
	if e.Job.Attempt > a.attempt || e.Job.Epoch > a.resEpoch {
		a.attempt, a.resEpoch, a.resMember, a.reservedTo = e.Job.Attempt, e.Job.Epoch, e.Member, w.now.Add(remaining)
		mark(w.reserved, key(a.attempt, a.resEpoch), e.Member)
	}
	if a.resMember != e.Member || e.Job.Epoch != a.resEpoch {
		return Event{Kind: ReserveRefused, Code: rosemarysill.StaleAttempt}
	}
	return Event{Kind: ReserveAccepted}
}

func (a *agent) commit(w *world, member, attempt int, epoch uint64) Event {
	if code := a.admit(attempt, epoch); code != rosemarysill.Done {
		return Event{Kind: CommitRefused, Code: code}
	}
	if a.tasks[attempt] != nil {
		return Event{Kind: CommitAccepted}
	}
	if a.attempt != attempt || a.resEpoch != epoch || a.resMember != member || !w.now.Before(a.reservedTo) {
		return Event{Kind: CommitRefused, Code: rosemarysill.ReservationLapsed}
	}
	if n := len(w.reserved[key(attempt, epoch)]); n < w.members || !w.recorded[attempt] {
		w.t.Fatalf("P2: member %d of attempt %d starts: %d reserved, recorded %v", member, attempt, n, w.recorded[attempt])
	}
	a.tasks[attempt] = &task{state: rosemarysill.TaskRunning, leaseUntil: w.now.Add(w.timings.GangLease)}
	mark(w.started, attempt, member)
	w.counts["start"]++
	return Event{Kind: CommitAccepted}
}

func (a *agent) stop(w *world, attempt int, epoch uint64) Event {
	if epoch < a.epoch {
		return Event{Kind: StopLost}
	}
	a.epoch, a.refused[attempt] = epoch, true
	t := a.tasks[attempt]
	if t != nil && t.state == rosemarysill.TaskRunning {
		t.state = rosemarysill.TaskStopped
		a.lose(attempt, w.now)
	}
	return Event{Kind: StopAnswered, Stop: rosemarysill.StopReply{Boot: a.boot, Stopped: true, NeverStarted: t == nil}}
}

func (a *agent) lose(attempt int, at time.Time) {
	if _, ok := a.gone[attempt]; !ok {
		a.gone[attempt] = at
	}
}

func (a *agent) running() []int {
	var all []int
	for attempt, t := range a.tasks {
		if t.state == rosemarysill.TaskRunning {
			all = append(all, attempt)
		}
	}
	return all
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// beat sends a report to a placer, whose reply may extend the gang lease from
// the time of sending.
func (w *world) beat(n, to int) {
	a, p, sent := w.agents[n], w.placers[to], w.now
	r := report{sent: sent, stamp: a.stamps[to], boot: a.boot, tasks: map[int]rosemarysill.TaskState{}}
	for attempt, t := range a.tasks {
		r.tasks[attempt] = t.state
	}
	receive := func() {
		old, known := p.reports[n]
		if p.paused || known && old.sent.After(r.sent) {
			return // for a paused entry, the connection times out
		}
		r.at = w.now
		p.reports[n] = r
		heard := w.now
		w.send(n, func() { a.stamps[to] = later(a.stamps[to], heard) })
		if p.attempt != nil {
			at := p.attempt
			for member, s := range at.slots {
				if agentOf(s) != n {
					continue
				}
				w.tell(p, at, Event{Kind: NewBoot, Member: member, Boot: r.boot})
				if state, ok := r.tasks[at.Number()]; ok {
					w.tell(p, at, Event{Kind: Reported, Member: member, Boot: r.boot, Report: w.taskReport(at.Number(), member, state)})
				}
			}
		}
		for attempt := range r.tasks {
			if p.fenced[attempt] || !w.mayRenew(p, attempt) {
				continue
			}
			w.send(n, func() {
				t := a.tasks[attempt]
				if until := sent.Add(w.timings.GangLease); a.boot == r.boot && t != nil && until.After(t.leaseUntil) {
					t.leaseUntil = until
				}
			})
		}
	}
	w.send(n, receive)
}

func (w *world) taskReport(attempt, member int, s rosemarysill.TaskState) rosemarysill.TaskReport {
	return rosemarysill.TaskReport{Job: w.job.Spec.ID, Attempt: attempt, Member: member, Members: w.members, State: s}
}

// mayRenew counts the freshness of a report from the entry's last reply that
// the agent had received when it made the report. A beat that waited at a paused
// entry would otherwise pass for a new one.
func (w *world) mayRenew(p *placer, attempt int) bool {
	var reports []rosemarysill.TaskReport
	for n, r := range p.reports {
		if state, ok := r.tasks[attempt]; ok && w.now.Before(r.stamp.Add(w.timings.MemberFresh)) {
			reports = append(reports, w.taskReport(attempt, n, state))
		}
	}
	return MayRenew(w.members, attempt, reports)
}

// key names a reservation.
func key(attempt int, epoch uint64) int { return attempt<<16 + int(epoch) }

func mark(m map[int]map[int]bool, attempt, member int) {
	if m[attempt] == nil {
		m[attempt] = map[int]bool{}
	}
	m[attempt][member] = true
}
