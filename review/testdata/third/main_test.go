// Package third plays the cases of the third review. It runs in the root of the repository after
// the build of the deploy file, and exits with 1 if the rule of the case was broken, 0 if it held,
// and 2 if the case could not run. With TROUBLE=0 the disruption is left out.
package third

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"testing"
	"time"
)

// Exit codes of a script.
const (
	held   = 0
	broken = 1
	unable = 2
)

// longest is the time after which a script gives up.
const longest = 118 * time.Second

// TestMain plays a case instead of tests. The program is a test binary because it holds the words
// of the platform, which the product's sources outside of platform may not.
func TestMain(*testing.M) {
	name := flag.String("case", "", "case to play")
	out := flag.String("record", "record.txt", "file of what was sent, answered and run")
	flag.Parse()
	play, ok := cases[*name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", *name)
		os.Exit(unable)
	}
	record, err := os.Create(*out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(unable)
	}
	os.Exit(run1(record, play))
}

// run1 plays a case and ends everything that it has started.
func run1(record *os.File, c scenario) int {
	w, err := newWorld(record, c.bounds, c.zones)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unable
	}
	defer w.close()
	verdict := make(chan int, 1)
	go func() {
		result, why := c.play(w, os.Getenv("TROUBLE") != "0")
		w.plain("\nresult: %s: %s", map[int]string{held: "held", broken: "BROKEN", unable: "could not run"}[result], why)
		fmt.Println(why)
		verdict <- result
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	select {
	case v := <-verdict:
		return v
	case <-stop:
		return unable
	case <-time.After(longest):
		fmt.Println("out of time")
		return unable
	}
}

type scenario struct {
	bounds bounds
	zones  int
	play   func(w *world, trouble bool) (int, string)
}

// step returns a step of a job.
func step(count, cpu, mem, gpu int, more map[string]any) map[string]any {
	s := map[string]any{"count": count, "cpu": cpu, "mem-mb": mem, "estimated-ms": 5000}
	if gpu > 0 {
		s["gpu"] = gpu
	}
	for k, v := range more {
		s[k] = v
	}
	return s
}

func job(spec string, steps ...map[string]any) map[string]any {
	return map[string]any{"task-spec": spec, "steps": steps}
}

// started returns when the first task of a job started, and false if none has.
func (w *world) started(id string) (time.Time, bool) {
	for _, h := range w.history(id) {
		if h.how == "start" {
			return h.at, true
		}
	}
	return time.Time{}, false
}

// running returns the number of runs at all minions.
func (w *world) running() int {
	n := 0
	for _, m := range w.minions {
		m.mu.Lock()
		n += len(m.runs)
		m.mu.Unlock()
	}
	return n
}

func (w *world) waitFor(limit time.Duration, f func() bool) bool {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if f() {
			return true
		}
	}
	return f()
}

// settle waits until the entries are ready and the leader knows the minions.
func (w *world) settle(entries int, plans []plan) error {
	if err := w.start(entries, plans); err != nil {
		return err
	}
	if !w.waitReady(20 * time.Second) {
		return fmt.Errorf("the entries did not become ready")
	}
	time.Sleep(3 * time.Second)
	return nil
}

var cases = map[string]scenario{
	"refused": {bounds: smallBounds, zones: 4, play: playRefused},
	"clock":   {bounds: smallBounds, zones: 4, play: playClock},
	"foreign": {bounds: smallBounds, zones: 4, play: playForeign},
	"advice":  {bounds: grownBounds, zones: 4, play: playAdvice},
	"lasting": {bounds: smallBounds, zones: 4, play: playLasting},
	"pending": {bounds: smallBounds, zones: 4, play: playPending},
	"reserve": {bounds: smallBounds, zones: 4, play: playReserve},
	"config":  {bounds: smallBounds, zones: 4, play: playConfig},
}

var grownBounds = bounds{contact: 4 * time.Second, visible: 3 * time.Second, finish: 14 * time.Second, cancel: 4 * time.Second, ack: 6 * time.Second, configApply: 3 * time.Second, recovery: 15 * time.Second}

func racks(n, perRack, zones int, kind func(i int) string) []plan {
	var plans []plan
	for i := range n {
		rack := i / perRack
		plans = append(plans, plan{kind: kind(i), rack: fmt.Sprintf("r%d-%d", rack%zones+1, rack+1), zone: rack % zones})
	}
	return plans
}

func kindA(int) string { return "a" }

const lasts = `{"lasts":true}`

// playRefused: a burst of large jobs has a small job refused. Its client comes back when it was
// told to. With trouble, the store loses the answer to one write then and carries it out late.
func playRefused(w *world, trouble bool) (int, string) {
	w.configure(1, []route{
		{name: "plain", prefix: "/plain/", priority: 1, attempts: 3, objectiveMS: 1000, stretch: 3},
	})
	if err := w.settle(4, racks(4, 1, 4, kindA)); err != nil {
		return unable, err.Error()
	}
	w.note("the fleet settles; nothing is refused for its load before that")
	time.Sleep(31 * time.Second)
	for i := range 12 {
		if !w.submit(fmt.Sprintf("f10000000000%04x", i), "/plain/", job(`{"work_ms":6000}`, step(1, 64000, 120000, 8, map[string]any{"estimated-ms": 20000}))) {
			return unable, "a large job was not accepted"
		}
	}
	time.Sleep(2500 * time.Millisecond)
	const id = "0e00000000000001"
	small := job(`{"work_ms":500}`, step(1, 2000, 2000, 1, map[string]any{"estimated-ms": 1000}))
	attempts, rejected := 0, 0
	for try := range 5 {
		r := w.call(1, "POST", "/plain/"+id, "key-1", small)
		attempts++
		w.note("client: POST /plain/%s at entry 1, attempt %d -> %d %s (Retry-After %d s)", id, attempts, r.status, r.text, r.pause)
		if try == 0 && r.status != 429 && r.status != 503 {
			return unable, fmt.Sprintf("the first attempt was answered %d", r.status)
		}
		if r.status == 429 || r.status == 503 {
			rejected++
		}
		if r.status/100 == 2 {
			break
		}
		if try > 0 && r.status != 0 && !strings.Contains(r.text, "work ahead") {
			w.note("client: gives up")
			break
		}
		time.Sleep(time.Duration(max(r.pause, 1)) * time.Second)
		if !w.waitFor(40*time.Second, func() bool { return w.running() < 4 }) {
			return unable, "the large jobs do not end"
		}
		time.Sleep(2 * time.Second)
		if trouble {
			w.losses.arm("rs/job/" + id)
		}
	}
	time.Sleep(8 * time.Second)
	at, ok := w.started(id)
	r := w.call(2, "GET", "/plain/"+id, "key-1", nil)
	w.note("client: GET /plain/%s at entry 2 -> %d %s", id, r.status, r.text)
	if ok && rejected == attempts {
		return broken, fmt.Sprintf("REFUSED: all %d attempts to hand the job in were rejected (429 or 503), and its task started at %.1f s; its state is %q", attempts, at.Sub(w.begun).Seconds(), r.state)
	}
	return held, fmt.Sprintf("%d of %d attempts were rejected; started: %t", rejected, attempts, ok)
}

// playClock: the only minion of its kind crashes twice within two seconds and starts again under
// its identifier. With trouble, the time of day on its machine is two seconds ahead when it starts
// for the first time, and back when it starts for the second.
func playClock(w *world, trouble bool) (int, string) {
	w.configure(1, []route{{name: "plain", prefix: "/plain/", priority: 1, attempts: 3, objectiveMS: 1000, stretch: 3}})
	kind := func(i int) string {
		if i == 10 {
			return "b"
		}
		return "a"
	}
	if err := w.settle(4, racks(11, 3, 4, kind)); err != nil {
		return unable, err.Error()
	}
	b := w.minions[10]
	var noted []string
	b.mu.Lock()
	b.noted = func(_ *minion, row []any) {
		noted = append(noted, row[1].(string))
		w.note("minion %s: the end %v is taken note of", b.id, row)
	}
	b.mu.Unlock()
	needsB := func(workMS int) map[string]any {
		return job(fmt.Sprintf(`{"work_ms":%d}`, workMS), step(1, 2000, 2000, 1, map[string]any{"requirements": "b"}))
	}
	skew := time.Duration(0)
	if trouble {
		skew = 2 * time.Second
		w.note("trouble: the time of day on the machine of minion %s jumps ahead by 2 s", b.id)
	}
	w.note("minion %s crashes and starts again", b.id)
	b.crash(300*time.Millisecond, skew)
	if !w.submit("0e00000000000001", "/plain/", needsB(200)) {
		return unable, "the first job was not accepted"
	}
	if !w.waitFor(1400*time.Millisecond, func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return len(noted) > 0
	}) {
		return unable, "the first job has not ended within the life of the minion"
	}
	if trouble {
		w.note("trouble: the time of day on that machine jumps back")
	}
	w.note("minion %s crashes and starts again", b.id)
	b.crash(300*time.Millisecond, 0)
	time.Sleep(500 * time.Millisecond)
	const id = "0e00000000000002"
	if !w.submit(id, "/plain/", needsB(1500)) {
		return unable, "the second job was not accepted"
	}
	time.Sleep(20 * time.Second)
	r := w.call(1, "GET", "/plain/"+id, "key-1", nil)
	w.note("client: GET /plain/%s -> %d %s", id, r.status, r.text)
	done, twice := 0, 0
	for _, h := range w.history(id) {
		switch {
		case h.how == "done":
			done++
		case h.how == "start" && done > 0:
			twice++
		}
	}
	if twice > 0 {
		return broken, fmt.Sprintf("TWICE: the only task of job %s was started %d more times after a run of it had ended done, and was done %d times; the state shown is %q", id, twice, done, r.state)
	}
	if done == 0 {
		return unable, "the second job was not done"
	}
	return held, fmt.Sprintf("the task was done once; the state shown is %q", r.state)
}

// playForeign: one minion of eleven is of kind b. With trouble, its agent gets one status report of
// another writer, whose service no configuration names. Then a job comes that needs kind b.
func playForeign(w *world, trouble bool) (int, string) {
	w.configure(1, []route{{name: "plain", prefix: "/plain/", priority: 1, attempts: 3, objectiveMS: 1000, stretch: 3}})
	kind := func(i int) string {
		if i == 10 {
			return "b"
		}
		return "a"
	}
	if err := w.settle(4, racks(11, 3, 4, kind)); err != nil {
		return unable, err.Error()
	}
	b := w.minions[10]
	if !w.submit("1a00000000000001", "/plain/", job(lasts, step(1, 4000, 4000, 1, map[string]any{"long-running": true, "requirements": "b"}))) {
		return unable, "the job that lasts was not accepted"
	}
	if !w.waitFor(5*time.Second, func() bool { return w.running() == 1 }) {
		return unable, "the job that lasts does not run"
	}
	if trouble {
		body, _ := json.Marshal(map[string]any{
			"service": "another", "address": b.side.ip + ":8080", "zone": b.side.zone, "version": "v1", "slots": 8, "state": "ready", "cold-left-ms": 0,
			"capacity": map[string]any{"cpu": fullCPU, "mem-mb": fullMem, "gpu": fullGPU}, "labels": []string{"a", "r1-1"}, "clock-ms": 1000, "sequence": 1, "born": time.Now().UnixMilli(),
		})
		req, _ := http.NewRequest(http.MethodPut, fmt.Sprintf("http://%s:%d/instances/i-ffff", b.side.ip, portControl), bytes.NewReader(body))
		req.Header.Set("Content-Type", "application/json")
		resp, err := w.client.Do(req)
		if err != nil {
			return unable, err.Error()
		}
		_ = resp.Body.Close()
		w.note("trouble: status report of another writer at the agent of minion %s -> %d: %s", b.id, resp.StatusCode, body)
	}
	time.Sleep(time.Second)
	const id = "0e00000000000001"
	if !w.submit(id, "/plain/", job(`{"work_ms":2000}`, step(1, 2000, 2000, 1, map[string]any{"requirements": "b"}))) {
		return unable, "the job was not accepted"
	}
	accepted := time.Now()
	w.note("client: the traffic ends")
	time.Sleep(w.bounds.finish + 3*time.Second)
	at, ok := w.started(id)
	r := w.call(1, "GET", "/plain/"+id, "key-1", nil)
	w.note("client: GET /plain/%s -> %d %s", id, r.status, r.text)
	gap, _ := longestGap(w.history("1a00000000000001"))
	if ok && at.Sub(accepted) < w.bounds.finish {
		return held, fmt.Sprintf("the job started %.1f s after its ack", at.Sub(accepted).Seconds())
	}
	return broken, fmt.Sprintf("LOST: %.0f s after its ack and the end of the traffic the accepted job has not started (state %q), and the task that lasts has had no run for %.1f s, though the minion of kind b is up, reports, answers and has 8 free GPUs", time.Since(accepted).Seconds(), r.state, gap.Seconds())
}

// playAdvice: a job on a queue with advice is handed in while 30 minions are full and 32 have
// room. The policy allows every minion.
func playAdvice(w *world, trouble bool) (int, string) {
	w.advice = &adviser{prefix: "ad", decide: 200 * time.Millisecond, each: 10 * time.Millisecond, validMS: 3 * time.Second}
	w.configure(1, []route{
		{name: "plain", prefix: "/plain/", priority: 1, attempts: 3, objectiveMS: 1000, stretch: 3},
		{name: "advised", prefix: "/advised/", priority: 1, attempts: 3, objectiveMS: 1000, stretch: 3, decideMS: 200, eachMS: 10, validMS: 3000},
	})
	if err := w.settle(4, racks(62, 7, 4, kindA)); err != nil {
		return unable, err.Error()
	}
	// Two small tasks that last on each of 32 minions, and, with trouble, a burst of 30 large
	// jobs that last, each of which takes a whole minion.
	large := 0
	if trouble {
		large = 30
		for i := range large {
			if !w.submit(fmt.Sprintf("b16000000000%04x", i), "/plain/", job(lasts, step(1, 64000, 120000, 8, map[string]any{"long-running": true}))) {
				return unable, "a large job was not accepted"
			}
		}
		if !w.waitFor(20*time.Second, func() bool { return w.running() == large }) {
			return unable, fmt.Sprintf("%d of %d large jobs run", w.running(), large)
		}
	}
	for i := range 2 {
		if !w.submit(fmt.Sprintf("5a000000000000%02x", i), "/plain/", job(lasts, step(32, 100, 64, 0, map[string]any{"long-running": true, "anti-affinity": 1}))) {
			return unable, "a job with small tasks was not accepted"
		}
	}
	if !w.waitFor(20*time.Second, func() bool { return w.running() == large+64 }) {
		return unable, fmt.Sprintf("%d of %d tasks run before the job with advice", w.running(), large+64)
	}
	const id = "ad00000000000001"
	if !w.submit(id, "/advised/", job(`{"work_ms":2000}`, step(1, 26000, 68000, 4, nil))) {
		return unable, "the job with advice was not accepted"
	}
	accepted := time.Now()
	w.note("client: the job with advice is accepted; the traffic ends")
	time.Sleep(w.bounds.finish + 3*time.Second)
	at, ok := w.started(id)
	r := w.call(1, "GET", "/advised/"+id, "key-1", nil)
	w.note("client: GET /advised/%s -> %d %s", id, r.status, r.text)
	room, used := w.roomFor(26000, 68000, 4)
	w.note("capacity: %d minions have room for the task; %.1f%% of the service's GPUs and %.1f%% of its cores are in use", room, 100*used[0], 100*used[1])
	if ok && at.Sub(accepted) < w.bounds.finish+3*time.Second {
		return held, fmt.Sprintf("the job started %.1f s after its ack", at.Sub(accepted).Seconds())
	}
	if room < 2 || used[0] >= 0.5 || used[1] >= 0.5 {
		return unable, "there is no capacity for the job"
	}
	return broken, fmt.Sprintf("LOST: %.0f s after its ack, and %.0f s after the end of the traffic, the accepted job has never started (state %q), though %d of 62 minions have room for it and %.0f%% of the GPUs are in use; the advice service allows all minions and was asked %d times, about %d different minions",
		time.Since(accepted).Seconds(), time.Since(accepted).Seconds(), r.state, room, 100*used[0], len(w.advice.asked), w.advice.different())
}

// different returns the number of minions that were asked about.
func (a *adviser) different() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	seen := make(map[string]bool)
	for _, call := range a.asked {
		for _, id := range call {
			seen[id] = true
		}
	}
	return len(seen)
}

// demands of the tasks that the cases start, by the first digits of their jobs.
var demands = map[string][3]int{"b1": {64000, 120000, 8}, "5a": {100, 64, 0}, "ad": {26000, 68000, 4}, "1a": {4000, 4000, 1}, "f1": {64000, 120000, 8}, "0e": {2000, 2000, 2}}

// roomFor returns the number of minions with room for a task, and the shares of the GPUs and
// cores of the service that are in use.
func (w *world) roomFor(cpu, mem, gpu int) (int, [2]float64) {
	room, usedGPU, usedCPU := 0, 0, 0
	for _, m := range w.minions {
		m.mu.Lock()
		left := [3]int{fullCPU, fullMem, fullGPU}
		for _, r := range m.runs {
			for i, n := range demands[r.task[:2]] {
				left[i] -= n
			}
		}
		m.mu.Unlock()
		usedCPU, usedGPU = usedCPU+fullCPU-left[0], usedGPU+fullGPU-left[2]
		if left[0] >= cpu && left[1] >= mem && left[2] >= gpu {
			room++
		}
	}
	n := float64(len(w.minions))
	return room, [2]float64{float64(usedGPU) / (n * fullGPU), float64(usedCPU) / (n * fullCPU)}
}

// playLasting: two jobs that last need the kind of minion of which there are two. With
// trouble, their tasks fail after 6 s each time.
func playLasting(w *world, trouble bool) (int, string) {
	w.configure(1, []route{{name: "plain", prefix: "/plain/", priority: 1, attempts: 3, objectiveMS: 1000, stretch: 3}})
	kind := func(i int) string {
		if i >= 9 {
			return "b"
		}
		return "a"
	}
	if err := w.settle(4, racks(11, 3, 4, kind)); err != nil {
		return unable, err.Error()
	}
	spec := lasts
	if trouble {
		spec = `{"lasts":true,"fail_ms":6000}`
	}
	ids := []string{"1a00000000000001", "1a00000000000002"}
	for _, id := range ids {
		if !w.submit(id, "/plain/", job(spec, step(1, 4000, 4000, 1, map[string]any{"long-running": true, "requirements": "b"}))) {
			return unable, "a job was not accepted"
		}
	}
	// The rule: from 6 s after its last run, and for 3 s, the task has no run although there is
	// capacity for it.
	const allowed = 9 * time.Second
	worst, at, of := time.Duration(0), time.Time{}, ""
	until := time.Now().Add(95 * time.Second)
	for time.Now().Before(until) && worst <= allowed+time.Second {
		time.Sleep(100 * time.Millisecond)
		for _, id := range ids {
			if gap, from := longestGap(w.history(id)); gap > worst {
				worst, at, of = gap, from, id
			}
		}
	}
	room, used := w.roomFor(4000, 4000, 1)
	w.note("capacity: %d minions have room for the task, both of kind b among them if nothing runs there; %.1f%% of the GPUs in use", room, 100*used[0])
	n := 0
	for _, id := range ids {
		n += len(w.history(id))
	}
	if n == 0 {
		return unable, "nothing has started"
	}
	if worst > allowed {
		return broken, fmt.Sprintf("LOST: the task of job %s, which lasts, has had no run for %.1f s since the end of its last run at %.1f s, though both minions of the kind that it needs are up, answer and have 7 or 8 of 8 GPUs free", of, worst.Seconds(), at.Sub(w.begun).Seconds())
	}
	return held, fmt.Sprintf("the longest time without a run of a task that lasts is %.1f s", worst.Seconds())
}

// longestGap returns the longest time after the end of a run of the single task of a job until
// its next start, or until now.
func longestGap(all []happening) (time.Duration, time.Time) {
	var worst time.Duration
	var from, ended time.Time
	for _, h := range all {
		switch {
		case h.how != "start":
			ended = h.at
		case !ended.IsZero():
			if gap := h.at.Sub(ended); gap > worst {
				worst, from = gap, ended
			}
			ended = time.Time{}
		}
	}
	if !ended.IsZero() {
		if gap := time.Since(ended); gap > worst {
			worst, from = gap, ended
		}
	}
	return worst, from
}

// playPending: the fleet is full but for one minion, which, with trouble, answers 503 to all
// starts for 6.7 s. Jobs that come meanwhile wait, and the count of the queue is asked for.
func playPending(w *world, trouble bool) (int, string) {
	w.configure(1, []route{
		{name: "plain", prefix: "/plain/", priority: 1, attempts: 3, objectiveMS: 1000, stretch: 3},
		{name: "small", prefix: "/small/", priority: 1, attempts: 3, objectiveMS: 1000, stretch: 3},
	})
	const fleet = 12
	if err := w.settle(4, racks(fleet, 3, 4, kindA)); err != nil {
		return unable, err.Error()
	}
	for i := range fleet - 1 {
		if !w.submit(fmt.Sprintf("f10000000000%04x", i), "/plain/", job(lasts, step(1, 64000, 120000, 8, map[string]any{"long-running": true}))) {
			return unable, "a large job was not accepted"
		}
	}
	if !w.waitFor(20*time.Second, func() bool { return w.running() == fleet-1 }) {
		return unable, "the large jobs do not run"
	}
	var empty *minion
	for _, m := range w.minions {
		m.mu.Lock()
		if len(m.runs) == 0 {
			empty = m
		}
		m.mu.Unlock()
	}
	if trouble {
		w.note("trouble: minion %s answers 503 to starts from now on, for 6.7 s; its status reports go on", empty.id)
		empty.setUnhealthy(true)
		time.AfterFunc(6700*time.Millisecond, func() { w.note("trouble: minion %s is healthy again", empty.id); empty.setUnhealthy(false) })
	}
	accepted := make(map[string]time.Time)
	for i := range 8 {
		id := fmt.Sprintf("0e0000000000%04x", i)
		if !w.submit(id, "/small/", job(`{"work_ms":3000}`, step(1, 2000, 2000, 1, nil))) {
			return unable, "a small job was not accepted"
		}
		accepted[id] = time.Now()
	}
	// The count may be 2 s old; jobs count that were accepted over visible_ms + 2 s before and
	// have not begun since.
	settled := w.bounds.visible + 2*time.Second
	checks, wrong, why := 0, 0, ""
	for until := time.Now().Add(25 * time.Second); time.Now().Before(until); time.Sleep(250 * time.Millisecond) {
		entry := checks % len(w.entries)
		sent := time.Now()
		r := w.call(entry, "GET", "/small/", "key-1", nil)
		answered := time.Now()
		if r.status != 200 {
			continue
		}
		checks++
		due := 0
		for id, at := range accepted {
			begun, ok := w.started(id)
			if sent.Sub(at) > settled && (!ok || begun.After(answered)) {
				due++
			}
		}
		w.note("client: GET /small/ at entry %d -> %s; jobs accepted over %v before that have not begun: %d", entry, r.text, settled, due)
		if 2*r.pending < due {
			wrong++
			if why == "" {
				why = fmt.Sprintf("MIXED: entry %d gives %d jobs as pending, but %d that were accepted over %v before have not begun", entry, r.pending, due, settled)
			}
		}
	}
	if wrong > 0 {
		return broken, fmt.Sprintf("%s; %d of %d answers are wrong", why, wrong, checks)
	}
	return held, fmt.Sprintf("all %d counts hold", checks)
}

// playReserve: ten minions are full of urgent runs, and the eleventh has one urgent run of 2 GPUs
// and a task that lasts of 1 GPU. An urgent job of 8 GPUs waits. With trouble, the first run of
// the task that lasts fails.
func playReserve(w *world, trouble bool) (int, string) {
	w.configure(1, []route{
		{name: "urgent", prefix: "/urgent/", priority: 0, attempts: 3, objectiveMS: 250, stretch: 1.5},
		{name: "plain", prefix: "/plain/", priority: 1, attempts: 3, objectiveMS: 1000, stretch: 3},
	})
	const fleet = 11
	if err := w.settle(4, racks(fleet, 3, 4, kindA)); err != nil {
		return unable, err.Error()
	}
	minute := map[string]any{"estimated-ms": 90000}
	for i := range fleet - 1 {
		if !w.submit(fmt.Sprintf("f10000000000%04x", i), "/urgent/", job(`{"work_ms":90000}`, step(1, 64000, 120000, 8, minute))) {
			return unable, "a large job was not accepted"
		}
	}
	if !w.waitFor(20*time.Second, func() bool { return w.running() == fleet-1 }) {
		return unable, "the large jobs do not run"
	}
	if !w.submit("0e00000000000001", "/urgent/", job(`{"work_ms":60000}`, step(1, 2000, 2000, 2, map[string]any{"estimated-ms": 60000}))) {
		return unable, "the urgent job of 2 GPUs was not accepted"
	}
	spec := lasts
	if trouble {
		spec = `{"lasts":true,"fail_ms":8000,"fail_runs":1}`
	}
	const id = "1a00000000000001"
	if !w.submit(id, "/plain/", job(spec, step(1, 4000, 4000, 1, map[string]any{"long-running": true}))) {
		return unable, "the job that lasts was not accepted"
	}
	if !w.waitFor(6*time.Second, func() bool { return w.running() == fleet+1 }) {
		return unable, "the urgent job of 2 GPUs or the task that lasts does not run"
	}
	if !w.submit("f1ffffffffffffff", "/urgent/", job(`{"work_ms":60000}`, step(1, 64000, 120000, 8, map[string]any{"estimated-ms": 60000}))) {
		return unable, "the urgent job of 8 GPUs was not accepted"
	}
	const allowed = 9 * time.Second
	worst, at := time.Duration(0), time.Time{}
	for until := time.Now().Add(35 * time.Second); time.Now().Before(until) && worst <= allowed+time.Second; time.Sleep(100 * time.Millisecond) {
		worst, at = longestGap(w.history(id))
	}
	room, used := w.roomFor(2*4000, 2*4000, 2)
	w.note("capacity: %d minions have room for the task twice over; %.1f%% of the GPUs in use", room, 100*used[0])
	if worst > allowed && room > 0 {
		return broken, fmt.Sprintf("LOST: the task that lasts has had no run for %.1f s since its run failed at %.1f s, though a minion has room for it twice over", worst.Seconds(), at.Sub(w.begun).Seconds())
	}
	return held, fmt.Sprintf("the longest time without a run of the task that lasts is %.1f s", worst.Seconds())
}

// playConfig: with trouble, the answer to the operator's write of a configuration is lost, and
// the operator writes the same configuration again.
func playConfig(w *world, trouble bool) (int, string) {
	routes := []route{{name: "plain", prefix: "/plain/", priority: 1, attempts: 3, objectiveMS: 1000, stretch: 3}}
	if err := w.start(4, racks(4, 1, 4, kindA)); err != nil {
		return unable, err.Error()
	}
	time.Sleep(2 * time.Second)
	w.configure(1, routes)
	if !w.waitReady(20 * time.Second) {
		return unable, "the entries did not become ready"
	}
	if trouble {
		time.Sleep(time.Second)
		w.note("trouble: the answer to that write is lost; the operator writes the same again")
		w.configure(1, routes)
	}
	time.Sleep(5 * time.Second)
	accepted, tries, statuses := 0, 0, make(map[int]int)
	const jobs = 20
	for i := range jobs {
		r := w.call(i, "POST", fmt.Sprintf("/plain/0e0000000000%04x", i), "key-1", job(`{"work_ms":500}`, step(1, 2000, 2000, 1, nil)))
		w.note("client: POST job %d at entry %d -> %d %s", i, i%4, r.status, r.text)
		tries++
		statuses[r.status]++
		if r.status/100 == 2 {
			accepted++
		}
		time.Sleep(500 * time.Millisecond)
	}
	if accepted == 0 {
		return broken, fmt.Sprintf("Fault: no request is served: 0 of %d jobs accepted, statuses %v", tries, statuses)
	}
	return held, fmt.Sprintf("%d of %d jobs accepted", accepted, tries)
}
