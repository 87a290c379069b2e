package third

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/rosemarysill/rosemarysill/standin"
)

func init() {
	cases["chaos"] = scenario{bounds: smallBounds, zones: 4, play: playChaos}
}

// playChaos is no case: it looks for two runs of one task under random faults.
func playChaos(w *world, _ bool) (int, string) {
	seed, _ := strconv.Atoi(os.Getenv("SEED"))
	r := rand.New(rand.NewPCG(uint64(seed), 1))
	w.advice = &adviser{prefix: "ad", decide: 100 * time.Millisecond, each: 5 * time.Millisecond, validMS: 3 * time.Second}
	w.configure(1, []route{
		{name: "urgent", prefix: "/urgent/", priority: 0, attempts: 3, objectiveMS: 250, stretch: 1.5},
		{name: "plain", prefix: "/plain/", priority: 1, attempts: 3, objectiveMS: 1000, stretch: 3},
		{name: "advised", prefix: "/advised/", priority: 1, attempts: 3, objectiveMS: 1000, stretch: 3, decideMS: 100, eachMS: 5, validMS: 3000},
	})
	if err := w.settle(3, racks(6, 2, 3, kindA)); err != nil {
		return unable, err.Error()
	}
	var mu sync.Mutex
	var found []string
	done := make(map[string]time.Time)
	fr := rand.New(rand.NewPCG(uint64(seed), 2))
	var faulty [6]bool
	for i, m := range w.minions {
		m.mu.Lock()
		m.noted = func(m *minion, row []any) {
			if row[3] == "done" {
				mu.Lock()
				done[row[1].(string)] = time.Now()
				mu.Unlock()
			}
		}
		m.starts = func(m *minion, s *run) {
			mu.Lock()
			defer mu.Unlock()
			if at, ok := done[s.task]; ok {
				found = append(found, fmt.Sprintf("TWICE: %s run %d starts %.1f s after its end as done was taken note of", s.task, s.number, time.Since(at).Seconds()))
			}
		}
		m.fault = func(path string) string {
			mu.Lock()
			defer mu.Unlock()
			if !faulty[i] {
				return ""
			}
			return [...]string{"", "lost", "late", ""}[fr.IntN(4)]
		}
		m.mu.Unlock()
	}
	type handed struct {
		id, prefix string
		lasting    bool
	}
	var jobs []handed
	begun := time.Now()
	var wg sync.WaitGroup
	calm := time.Now().Add(55 * time.Second)
	wg.Add(1)
	go func() {
		defer wg.Done()
		for time.Now().Before(calm) {
			time.Sleep(time.Duration(300+r.IntN(2500)) * time.Millisecond)
			machines := append(append([]*machine(nil), w.entries...), w.sides...)
			m := machines[r.IntN(len(machines))]
			switch k := r.IntN(12); k {
			case 0, 1:
				w.note("chaos: kill %s", m.name)
				m.end(syscall.SIGKILL)
				time.Sleep(time.Duration(r.IntN(1500)) * time.Millisecond)
				_ = m.run()
			case 2, 3:
				w.note("chaos: freeze %s", m.name)
				_ = m.cmd.Process.Signal(syscall.SIGSTOP)
				time.Sleep(time.Duration(500+r.IntN(7000)) * time.Millisecond)
				_ = m.cmd.Process.Signal(syscall.SIGCONT)
			case 4:
				i := r.IntN(6)
				w.note("chaos: crash of minion %s", w.minions[i].id)
				w.minions[i].crash(time.Duration(300+r.IntN(3000))*time.Millisecond, 0)
			case 5, 6:
				i := r.IntN(6)
				w.note("chaos: orders to minion %s lost or late", w.minions[i].id)
				mu.Lock()
				faulty[i] = true
				mu.Unlock()
				time.AfterFunc(4*time.Second, func() { mu.Lock(); faulty[i] = false; mu.Unlock() })
			case 8, 9, 10:
				f := [...]standin.Fault{standin.Refusing, standin.Silent, standin.Losing, standin.Late, standin.Late, standin.Losing}[r.IntN(6)]
				w.note("chaos: fault %d of the store", f)
				w.store.LateBy = time.Duration(1+r.IntN(4)) * time.Second
				w.store.SetFault("all", f)
				time.Sleep(time.Duration(500+r.IntN(3500)) * time.Millisecond)
				w.store.SetFault("all", standin.Healthy)
			case 11:
				w.note("chaos: all processes are killed")
				for _, m := range machines {
					m.end(syscall.SIGKILL)
				}
				time.Sleep(time.Duration(r.IntN(2000)) * time.Millisecond)
				for _, m := range machines {
					_ = m.run()
				}
			case 7:
				w.note("chaos: store's history lost")
				w.store.Compact()
			}
		}
	}()
	jr := rand.New(rand.NewPCG(uint64(seed), 3))
	for n := 0; time.Now().Before(calm); n++ {
		id := fmt.Sprintf("%016x", uint64(0xc0)<<56|uint64(n))
		prefix, spec := "/plain/", fmt.Sprintf(`{"work_ms":%d}`, 200+jr.IntN(4000))
		more := map[string]any{}
		lasting := jr.IntN(4) == 0
		if lasting {
			spec = fmt.Sprintf(`{"lasts":true,"fail_ms":%d}`, 2000+jr.IntN(10000))
			more["long-running"] = true
		}
		switch jr.IntN(3) {
		case 0:
			prefix = "/urgent/"
		case 1:
			id = "ad" + id[2:]
			prefix = "/advised/"
		}
		if w.submit(id, prefix, job(spec, step(1+jr.IntN(3), 2000, 1000, jr.IntN(2), more))) {
			jobs = append(jobs, handed{id, prefix, lasting})
			if lasting && jr.IntN(2) == 0 {
				time.AfterFunc(time.Duration(2+jr.IntN(15))*time.Second, func() {
					x := w.call(0, "DELETE", prefix+id, "key-1", nil)
					w.note("client: DELETE %s -> %d", id, x.status)
				})
			}
		}
		time.Sleep(400 * time.Millisecond)
	}
	wg.Wait()
	time.Sleep(22 * time.Second)
	for _, j := range jobs {
		x := w.call(1, "GET", j.prefix+j.id, "key-1", nil)
		if !j.lasting && x.state != "completed" {
			found = append(found, fmt.Sprintf("LOST? %s state %q status %d", j.id, x.state, x.status))
		}
		if j.lasting && x.state == "failed" {
			found = append(found, "lasting job failed "+j.id)
		}
		open := make(map[string]happening)
		for _, h := range w.history(j.id) {
			if o, ok := open[h.task]; h.how == "start" {
				if ok {
					found = append(found, fmt.Sprintf("TWICE: %s run %d on %s starts at %.2f beside run %d on %s", h.task, h.run, h.minion.id, h.at.Sub(w.begun).Seconds(), o.run, o.minion.id))
				}
				open[h.task] = h
			} else if ok && o.run == h.run {
				delete(open, h.task)
			}
		}
	}
	_ = begun
	for _, f := range found {
		w.plain("found: %s", f)
		fmt.Println(f)
	}
	if len(found) > 0 {
		return broken, fmt.Sprint(len(found), " found")
	}
	return held, fmt.Sprint(len(jobs), " jobs")
}
