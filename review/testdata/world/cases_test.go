package world

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

var fullRoom = shape{CPU: 64_000, MemMB: 131_072, GPU: 8}

// await waits until a condition holds.
func await(limit time.Duration, condition func() bool) bool {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}

// atWork returns how many of the tasks of a job's only step are at work.
func (w *world) atWork(id string, count int) int {
	n := 0
	for i := range count {
		for _, m := range w.minions {
			if m.isUp() && m.atWork(fmt.Sprintf("%s.0.0.%d", id, i)) {
				n++
			}
		}
	}
	return n
}

// begun returns how many tasks of a job have started.
func begun(id string) int {
	tasks := make(map[string]bool)
	for _, e := range history(id) {
		if e.how == "start" {
			tasks[e.task] = true
		}
	}
	return len(tasks)
}

// playGuarantee: tasks that last take the accelerators that are idle, then the tenant to
// whom they are guaranteed claims them with a job of priority 0.
func playGuarantee(w *world, trouble bool) ([]string, error) {
	w.configure(map[string]int64{"north": 16, "south": 8})
	if err := w.start(deployment{frontends: fronts, minions: 4, perRack: 2, capacity: fullRoom}); err != nil {
		return nil, err
	}
	const lasting, claim = "1a2b3c4d5e6f7081", "5c0e7a21d94b36f8"
	if trouble {
		if _, err := w.submit(batchPrefix, lasting, "south", behaviour{Lasts: true}, step{Count: 4, CPU: 8000, MemMB: 16_000, GPU: 8, EstimatedMS: 5000, Lasts: true}); err != nil {
			return nil, err
		}
		if !await(10*time.Second, func() bool { return w.atWork(lasting, 4) == 4 }) {
			return nil, fmt.Errorf("%w: the tasks that last are not at work", errCannotRun)
		}
	}
	time.Sleep(5 * time.Second)
	acked, err := w.submit(urgentPrefix, claim, "north", behaviour{WorkMS: 2500}, step{Count: 2, CPU: 7500, MemMB: 11_000, GPU: 8, EstimatedMS: 2500})
	if err != nil {
		return nil, err
	}
	time.Sleep(time.Until(acked.Add(reclaimMS * time.Millisecond)))
	inTime := begun(claim)
	var broken []string
	if inTime < 2 {
		await(30*time.Second, func() bool { return begun(claim) == 2 })
		broken = append(broken, fmt.Sprintf("RECLAIM: %d of 2 tasks of the first step of job %s had begun %d ms after its ack, and %d after %.1f s; its tenant is guaranteed 16 gpu and asks for 16",
			inTime, claim, reclaimMS, begun(claim), time.Since(acked).Seconds()))
	}
	w.state(urgentPrefix, claim, "north")
	return broken, nil
}

// playDataRack: tasks that last fill the rack where the data of a later job is.
func playDataRack(w *world, trouble bool) ([]string, error) {
	w.configure(map[string]int64{"north": 8, "south": 8})
	if err := w.start(deployment{frontends: fronts, minions: 6, perRack: 2, capacity: fullRoom}); err != nil {
		return nil, err
	}
	const lasting, job = "1a2b3c4d5e6f7081", "5c0e7a21d94b36f8"
	if trouble {
		if _, err := w.submit(batchPrefix, lasting, "south", behaviour{Lasts: true}, step{Count: 2, CPU: 8000, MemMB: 16_000, GPU: 8, EstimatedMS: 5000, Lasts: true, DataRack: "r1-1"}); err != nil {
			return nil, err
		}
		if !await(10*time.Second, func() bool { return w.atWork(lasting, 2) == 2 }) {
			return nil, fmt.Errorf("%w: the tasks that last are not at work", errCannotRun)
		}
		time.Sleep(3 * time.Second)
	}
	if _, err := w.submit(batchPrefix, job, "north", behaviour{WorkMS: 2500}, step{Count: 1, CPU: 5600, MemMB: 11_000, GPU: 1, EstimatedMS: 2500, DataRack: "r1-1"}); err != nil {
		return nil, err
	}
	// The traffic ends here. Jobs are asked for finish_s later.
	time.Sleep(14 * time.Second)
	var broken []string
	if begun(job) == 0 {
		from := time.Now()
		var free int64
		for _, m := range w.minions {
			free += m.capacity.GPU - m.used()
		}
		if !await(3*time.Second, func() bool { return begun(job) > 0 }) {
			broken = append(broken, fmt.Sprintf("LOST: job %s needs 1 gpu and has had nothing running since its ack, also for %.1f s from 14 s after the end of the traffic; %d of 48 gpu are free", job, time.Since(from).Seconds(), free))
		}
	}
	w.state(batchPrefix, job, "north")
	return broken, nil
}

// playAvoid: two services of one tenant fail soon after each start, and another tenant
// hands in a sound one.
func playAvoid(w *world, trouble bool) ([]string, error) {
	w.configure(map[string]int64{"north": 8, "south": 8})
	if err := w.start(deployment{frontends: fronts, minions: 4, perRack: 2, capacity: fullRoom}); err != nil {
		return nil, err
	}
	lasting := step{Count: 2, CPU: 2000, MemMB: 4000, GPU: 1, EstimatedMS: 5000, Lasts: true}
	for _, id := range []string{"1a2b3c4d5e6f7081", "2a2b3c4d5e6f7082"} {
		b := behaviour{Lasts: true}
		if trouble {
			b.FailsMS = 1500
		}
		if _, err := w.submit(batchPrefix, id, "south", b, lasting); err != nil {
			return nil, err
		}
	}
	time.Sleep(30 * time.Second)
	// 3 s in which nothing is done about a task whose turn has come, after 4 calm ones.
	const limit = 7 * time.Second
	var broken []string
	for i, until := 0, time.Now().Add(40*time.Second); time.Now().Before(until); i++ {
		id := fmt.Sprintf("5c0e7a21d94b36%02x", i)
		acked, err := w.submit(batchPrefix, id, "north", behaviour{Lasts: true}, step{Count: 1, CPU: 2000, MemMB: 4000, GPU: 1, EstimatedMS: 5000, Lasts: true})
		if err != nil {
			return nil, err
		}
		if await(limit, func() bool { return begun(id) == 1 }) {
			w.call(http.MethodDelete, 0, batchPrefix+id, "north", nil)
			time.Sleep(4 * time.Second)
			continue
		}
		free := w.free()
		began := await(25*time.Second, func() bool { return begun(id) == 1 })
		broken = append(broken, fmt.Sprintf("LOST: job %s, a task that lasts, had nothing running for %.1f s after its ack (it began then: %v); after 7 s all 4 minions were up and sound, and %d of 32 gpu were free", id, time.Since(acked).Seconds(), began, free))
		break
	}
	return broken, nil
}

// present reports whether a task has a run on a minion.
func (w *world) present(task string) bool {
	for _, m := range w.minions {
		m.mu.Lock()
		for k := range m.runs {
			if k.task == task {
				m.mu.Unlock()
				return true
			}
		}
		m.mu.Unlock()
	}
	return false
}

func (w *world) free() int64 {
	var free int64
	for _, m := range w.minions {
		if m.isUp() {
			free += m.capacity.GPU - m.used()
		}
	}
	return free
}

// playAway: a minion is lost for good, and 5 s later a machine with another task of the
// same step is due for its upkeep.
func playAway(w *world, trouble bool) ([]string, error) {
	w.configure(map[string]int64{"north": 8, "south": 8})
	if err := w.start(deployment{frontends: fronts, minions: 4, perRack: 2, capacity: fullRoom}); err != nil {
		return nil, err
	}
	const id, count = "1a2b3c4d5e6f7081", 3
	if _, err := w.submit(batchPrefix, id, "south", behaviour{Lasts: true}, step{Count: count, CPU: 8000, MemMB: 16_000, GPU: 8, EstimatedMS: 5000, Lasts: true, MayMiss: 1}); err != nil {
		return nil, err
	}
	if !await(10*time.Second, func() bool { return w.atWork(id, count) == count }) {
		return nil, fmt.Errorf("%w: the tasks that last are not at work", errCannotRun)
	}
	time.Sleep(3 * time.Second)
	var hosts []*minion
	for _, m := range w.minions {
		if m.used() > 0 {
			hosts = append(hosts, m)
		}
	}
	crashed := time.Now()
	if trouble {
		hosts[0].crash("lost for good")
	}
	time.Sleep(time.Until(crashed.Add((noticeMS + 300) * time.Millisecond)))
	w.put("op/wave/1", map[string]any{"wave": 1, "machines": []string{hosts[1].machine}, "duration-s": 20, "maximum": 1})
	time.Sleep(10 * time.Second)
	var broken []string
	away := make(map[string]time.Time) // since when a task is not at work
	for _, e := range history(id) {
		switch e.how {
		case "start":
			delete(away, e.task)
		case "gone with its minion":
			away[e.task] = e.at
		case "stop is ordered":
			for task, since := range away {
				if task != e.task && e.at.Sub(since) > noticeMS*time.Millisecond {
					broken = append(broken, fmt.Sprintf("AVAIL: a stop ends %s/%d, at work on a sound minion, while %s has not been at work for %.1f s; may-miss is 1", e.task, e.run, task, e.at.Sub(since).Seconds()))
				}
			}
			away[e.task] = e.at
		}
	}
	return broken, nil
}

// playTickets: the only minion that may run a step crashes and starts again under its
// identifier.
func playTickets(w *world, trouble bool) ([]string, error) {
	w.advice.valid = 20 * time.Second
	w.configure(map[string]int64{"north": 8, "south": 8})
	w.advice.allowed = func(m *minion) bool { return m.index == 1 }
	if err := w.start(deployment{frontends: fronts, minions: 3, perRack: 1, capacity: fullRoom}); err != nil {
		return nil, err
	}
	const id = "1a2b3c4d5e6f7081"
	w.advice.mu.Lock()
	w.advice.jobs[id] = true
	w.advice.mu.Unlock()
	if _, err := w.submit(advisedPrefix, id, "south", behaviour{Lasts: true}, step{Count: 1, CPU: 8000, MemMB: 16_000, GPU: 1, EstimatedMS: 5000, Lasts: true}); err != nil {
		return nil, err
	}
	if !await(10*time.Second, func() bool { return w.atWork(id, 1) == 1 }) {
		return nil, fmt.Errorf("%w: the task is not at work", errCannotRun)
	}
	time.Sleep(time.Second)
	m := w.minions[1]
	if trouble {
		m.crash("crash")
		time.Sleep(2 * time.Second)
		if err := m.begin(m.id); err != nil {
			return nil, err
		}
	}
	back := time.Now()
	var broken []string
	if !await(25*time.Second, func() bool { return w.present(id + ".0.0.0") }) {
		broken = append(broken, "LOST: the task has no run")
	}
	if d := time.Since(back); d > 10*time.Second {
		broken = append(broken, fmt.Sprintf("LOST: task %s.0.0.0, which lasts, had no run for %.1f s after its minion was back", id, d.Seconds()))
	}
	return broken, nil
}

// playLateAccept: the store carries the write that accepts a job out late and does not
// answer it; the client leaves, cancels the job, and is told that there is none.
func playLateAccept(w *world, trouble bool) ([]string, error) {
	const id, late = "5c0e7a21d94b36f8", 5 * time.Second
	w.store.LateBy = late
	w.configure(map[string]int64{"north": 8, "south": 8})
	if err := w.start(deployment{frontends: fronts, minions: 4, perRack: 2, capacity: fullRoom}); err != nil {
		return nil, err
	}
	if trouble {
		w.lateWrites(id)
	}
	path := urgentPrefix + id
	handedIn := make(chan int, 1)
	go func() {
		b := behaviour{WorkMS: 2500, GPU: 1}
		spec, _ := json.Marshal(b)
		status, _ := w.callWithin(500*time.Millisecond, http.MethodPost, 0, path, "north", map[string]any{
			"task-spec": string(spec), "steps": []step{{Count: 1, CPU: 7500, MemMB: 11_000, GPU: 1, EstimatedMS: 2500}},
		})
		handedIn <- status
	}()
	status := <-handedIn
	time.Sleep(100 * time.Millisecond)
	cancelled, _ := w.call(http.MethodDelete, 1, path, "north", nil)
	acked := time.Now()
	if cancelled/100 != 2 && cancelled != http.StatusGone {
		return nil, fmt.Errorf("%w: the cancel was answered with %d", errCannotRun, cancelled)
	}
	time.Sleep(10 * time.Second)
	var broken []string
	for _, e := range history(id) {
		if e.how == "start" && e.at.Sub(acked) > cancelMS*time.Millisecond {
			broken = append(broken, fmt.Sprintf("UNASKED: task %s starts %.1f s after the cancelling of its job was acknowledged with %d; the POST had got %d (0 is no answer)", e.task, e.at.Sub(acked).Seconds(), cancelled, status))
		}
	}
	w.state(urgentPrefix, id, "north")
	return broken, nil
}

// playPending: a minion goes silent for good, and a job that was placed there begins
// nowhere for seconds.
func playPending(w *world, trouble bool) ([]string, error) {
	w.configure(map[string]int64{"north": 16, "south": 8})
	if err := w.start(deployment{frontends: fronts, minions: 8, perRack: 3, capacity: fullRoom}); err != nil {
		return nil, err
	}
	if trouble {
		w.minions[0].goDark()
	}
	time.Sleep(200 * time.Millisecond)
	const id = "5c0e7a21d94b36f8"
	acked, err := w.submit(urgentPrefix, id, "north", behaviour{WorkMS: 2500}, step{Count: 1, CPU: 7500, MemMB: 11_000, GPU: 8, EstimatedMS: 2500})
	if err != nil {
		return nil, err
	}
	// visible_ms and 2 s more
	time.Sleep(time.Until(acked.Add(5100 * time.Millisecond)))
	var broken []string
	for time.Since(acked) < 12*time.Second && begun(id) == 0 {
		for front := range fronts {
			status, answer := w.call(http.MethodGet, front, urgentPrefix, "north", nil)
			n, _ := answer["pending"].(float64)
			if status == http.StatusOK && n < 0.5 && begun(id) == 0 {
				broken = append(broken, fmt.Sprintf("MIXED: %s says that %v jobs are pending; job %s was accepted %.1f s before and no task of it has started", w.procs[front].name, n, id, time.Since(acked).Seconds()))
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	if len(broken) > 4 {
		broken = append(broken[:4], fmt.Sprintf("and %d more answers like these", len(broken)-4))
	}
	await(10*time.Second, func() bool { return begun(id) == 1 })
	return broken, nil
}

// playLateWave: an order for the upkeep of a machine gets no answer and is carried out
// late, and the process that gave it is killed.
func playLateWave(w *world, trouble bool) ([]string, error) {
	w.configure(map[string]int64{"north": 8, "south": 8})
	if trouble {
		var killed atomic.Bool
		w.cloud.late = func(_, _ string, order int) time.Duration {
			if order == 1 {
				return 4 * time.Second
			}
			return 0
		}
		w.cloud.onOrder = func(holder string) {
			if p := w.process(holder); p != nil && killed.CompareAndSwap(false, true) {
				p.signal(syscall.SIGKILL)
			}
		}
	}
	if err := w.start(deployment{frontends: fronts, minions: 4, perRack: 2, capacity: fullRoom}); err != nil {
		return nil, err
	}
	const id = "5c0e7a21d94b36f8"
	if _, err := w.submit(batchPrefix, id, "north", behaviour{WorkMS: 5000}, step{Count: 1, CPU: 5600, MemMB: 11_000, GPU: 1, EstimatedMS: 5000}); err != nil {
		return nil, err
	}
	if !await(5*time.Second, func() bool { return begun(id) == 1 }) {
		return nil, fmt.Errorf("%w: the job has not begun", errCannotRun)
	}
	time.Sleep(2 * time.Second)
	busy, idle := w.minions[0], w.minions[1]
	if w.minions[0].used() == 0 {
		return nil, fmt.Errorf("%w: the job runs on another minion", errCannotRun)
	}
	w.put("op/wave/1", map[string]any{"wave": 1, "machines": []string{busy.machine, idle.machine}, "duration-s": 30, "maximum": 1})
	time.Sleep(30 * time.Second)
	var broken []string
	w.cloud.mu.Lock()
	defer w.cloud.mu.Unlock()
	for _, u := range w.cloud.upkeeps {
		if u.down >= 1 {
			broken = append(broken, fmt.Sprintf("LIMIT: the upkeep of %s begins while %d machine of wave %d is down for its own; maximum is 1", u.machine, u.down, u.wave))
		}
	}
	return broken, nil
}

// playEstimate: a task of ten minutes whose job gives no estimate.
func playEstimate(w *world, trouble bool) ([]string, error) {
	w.configure(map[string]int64{"north": 8, "south": 8})
	if err := w.start(deployment{frontends: fronts, minions: 4, perRack: 2, capacity: fullRoom}); err != nil {
		return nil, err
	}
	const id, work = "5c0e7a21d94b36f8", 600_000
	s := step{Count: 1, CPU: 5600, MemMB: 11_000, GPU: 1}
	if !trouble {
		s.EstimatedMS = work
	}
	acked, err := w.submit(batchPrefix, id, "north", behaviour{WorkMS: work}, s)
	if err != nil {
		return nil, err
	}
	// The traffic ends here. Jobs are asked for finish_s later.
	time.Sleep(time.Until(acked.Add(14 * time.Second)))
	const task, limit = id + ".0.0.0", 3 * time.Second
	var broken []string
	var idle, longest time.Duration
	last := time.Now()
	for now := last; now.Sub(acked) < 85*time.Second; now = time.Now() {
		if w.present(task) {
			last = now
		}
		idle = now.Sub(last)
		longest = max(longest, idle)
		time.Sleep(20 * time.Millisecond)
	}
	counts := make(map[string]int)
	for _, e := range history(id) {
		counts[e.how]++
	}
	w.record.add("job %s: %d starts, %d stops ordered, longest time with nothing running %.1f s", id, counts["start"], counts["stop is ordered"], longest.Seconds())
	if longest > limit {
		broken = append(broken, fmt.Sprintf("LOST: job %s had nothing running for %.1f s, all 4 minions were up and sound and had %d of 32 gpu free; in %.0f s its task of %d s was started %d times and stopped %d times by order",
			id, longest.Seconds(), w.free(), time.Since(acked).Seconds(), work/1000, counts["start"], counts["stop is ordered"]))
	}
	w.state(batchPrefix, id, "north")
	return broken, nil
}

// playWide: a wide step of small tasks with a long task-spec.
func playWide(w *world, trouble bool) ([]string, error) {
	w.configure(map[string]int64{"north": 8, "south": 8})
	if err := w.start(deployment{frontends: fronts, minions: 4, perRack: 2, capacity: fullRoom}); err != nil {
		return nil, err
	}
	const service, id, count = "1a2b3c4d5e6f7081", "5c0e7a21d94b36f8", 1200
	if _, err := w.submit(batchPrefix, service, "south", behaviour{Lasts: true}, step{Count: 1, CPU: 1000, MemMB: 2000, GPU: 1, EstimatedMS: 5000, Lasts: true}); err != nil {
		return nil, err
	}
	if !await(10*time.Second, func() bool { return w.atWork(service, 1) == 1 }) {
		return nil, fmt.Errorf("%w: the service is not at work", errCannotRun)
	}
	b := behaviour{WorkMS: 3000}
	if trouble {
		b.Text = strings.Repeat("x", maxSpecBytes-len(`{"work-ms":3000,"text":""}`))
	}
	acked, err := w.submit(batchPrefix, id, "north", b, step{Count: count, CPU: 50, MemMB: 100, EstimatedMS: 3000})
	if err != nil {
		return nil, err
	}
	// The traffic ends here. Jobs are asked for finish_s later.
	time.Sleep(time.Until(acked.Add(17 * time.Second)))
	var broken []string
	if begun(id) == 0 {
		await(40*time.Second, func() bool { return begun(id) > 0 })
		broken = append(broken, fmt.Sprintf("LOST: job %s had nothing running for %.0f s from its ack; %d of its %d tasks have begun; 4 minions of 64 cores are up and sound, and it needs 60 cores", id, time.Since(acked).Seconds(), begun(id), count))
	}
	if task := service + ".0.0.0"; len(broken) > 0 && !w.present(task) {
		var last time.Time
		how := ""
		for _, e := range history(service) {
			if e.task == task && e.how != "start" {
				last, how = e.at, e.how
			}
		}
		broken = append(broken, fmt.Sprintf("LOST: task %s, which lasts, ended as %s and has had no run for %.0f s since", task, how, time.Since(last).Seconds()))
	}
	w.state(batchPrefix, id, "north")
	return broken, nil
}

// maxSpecBytes is the greatest length of a task-spec.
const maxSpecBytes = 4000

// storeOutage is how long the store is down. The users' site has outages of 6.5 s.
const storeOutage = 5 * time.Second

// playEnds: the store is down while more tasks of a job end on a minion than one answer
// lists.
func playEnds(w *world, trouble bool) ([]string, error) {
	w.configure(map[string]int64{"north": 8, "south": 8})
	if err := w.start(deployment{frontends: fronts, minions: 4, perRack: 2, capacity: fullRoom}); err != nil {
		return nil, err
	}
	const id, count, workMS = "5c0e7a21d94b36f8", 1200, 12_000
	if _, err := w.submit(batchPrefix, id, "north", behaviour{WorkMS: workMS}, step{Count: count, CPU: 50, MemMB: 100, EstimatedMS: workMS}); err != nil {
		return nil, err
	}
	if !await(workMS*time.Millisecond, func() bool { return begun(id) > 0 }) {
		return nil, fmt.Errorf("%w: no task has begun", errCannotRun)
	}
	// The first tasks end just after the beginning of the outage, the last ones in it.
	time.Sleep(time.Until(history(id)[0].at.Add((workMS - 300) * time.Millisecond)))
	if n := begun(id); n < count {
		return nil, fmt.Errorf("%w: %d of %d tasks have begun", errCannotRun, n, count)
	}
	if trouble {
		w.record.add("the store is down for %v", storeOutage)
		w.store.Suspend()
	}
	time.Sleep(storeOutage)
	if trouble {
		w.record.add("the store is back")
		w.store.Resume(0)
	}
	time.Sleep(20 * time.Second)
	noted := make(map[runKey]bool)
	for _, e := range history(id) {
		noted[e.runKey] = noted[e.runKey] || e.how == endNoted
	}
	done := make(map[string]event)
	var broken []string
	again := 0
	for _, e := range history(id) {
		switch earlier, isDone := done[e.task]; {
		case e.how == "done" && noted[e.runKey]:
			done[e.task] = e
		case e.how == "start" && isDone:
			again++
			if again <= 3 {
				broken = append(broken, fmt.Sprintf("TWICE: run %d of task %s starts at minion %d %.2f s after run %d has ended done at minion %d, an end that is taken note of",
					e.run, e.task, e.minion+1, e.at.Sub(earlier.at).Seconds(), earlier.run, earlier.minion+1))
			}
		}
	}
	if again > 0 {
		broken = append(broken, fmt.Sprintf("TWICE: in all %d of %d tasks were started again after they were done", again, count))
	}
	w.state(batchPrefix, id, "north")
	return broken, nil
}
