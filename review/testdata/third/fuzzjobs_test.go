package third

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"strconv"
	"syscall"
	"time"
)

func init() {
	cases["fuzz"] = scenario{bounds: smallBounds, zones: 4, play: playFuzz}
}

func playFuzz(w *world, _ bool) (int, string) {
	seed, _ := strconv.Atoi(os.Getenv("SEED"))
	r := rand.New(rand.NewPCG(uint64(seed), 1))
	w.advice = &adviser{prefix: "ad", decide: 50 * time.Millisecond, each: 5 * time.Millisecond, validMS: 3 * time.Second}
	w.configure(1, []route{
		{name: "urgent", prefix: "/urgent/", priority: 0, attempts: 3, objectiveMS: 250, stretch: 1.5},
		{name: "plain", prefix: "/plain/", priority: 1, attempts: 3, objectiveMS: 1000, stretch: 3},
		{name: "late", prefix: "/late/", priority: 2, attempts: 1, objectiveMS: 0, stretch: 0},
		{name: "advised", prefix: "/advised/", priority: 1, attempts: 3, objectiveMS: 1000, stretch: 3, decideMS: 100, eachMS: 5, validMS: 3000},
	})
	if err := w.settle(2, racks(6, 2, 3, kindA)); err != nil {
		return unable, err.Error()
	}
	big := func(small int) int {
		switch r.IntN(12) {
		case 0:
			return math.MaxInt64
		case 1:
			return 1 << 62
		case 2:
			return 0
		}
		return r.IntN(small + 1)
	}
	flag := func() bool { return r.IntN(4) == 0 }
	status := make(map[int]int)
	accepted := []string{}
	for n := 0; n < 220; n++ {
		id := fmt.Sprintf("c0%014x", n)
		prefix := []string{"/urgent/", "/plain/", "/late/", "/advised/"}[r.IntN(4)]
		if prefix == "/advised/" {
			id = "ad" + id[2:]
		}
		var steps []map[string]any
		for i := range 1 + r.IntN(4) {
			s := map[string]any{"count": 1 + r.IntN(6), "cpu": big(8000), "mem-mb": big(4000), "gpu": big(2), "estimated-ms": big(4000)}
			if r.IntN(3) > 0 {
				s["cpu"], s["mem-mb"], s["gpu"], s["estimated-ms"] = r.IntN(4000), r.IntN(4000), r.IntN(3), r.IntN(4000)
			}
			if i > 0 && flag() {
				s["after"] = []int{r.IntN(i)}
			}
			for _, k := range []string{"checkpointing", "gang", "same-rack", "speculative", "long-running", "fills"} {
				if flag() {
					s[k] = true
				}
			}
			if flag() {
				s["data-rack"] = []string{"r1-1", "r9-9", "r"}[r.IntN(3)]
			}
			if flag() {
				s["requirements"] = []string{"a", "b", "r1-1"}[r.IntN(3)]
			}
			if flag() {
				s["anti-affinity"] = big(2)
			}
			if flag() {
				s["target-ms"], s["image"], s["may-miss"] = big(300), "x", big(2)
			}
			steps = append(steps, s)
		}
		j := job([]string{`{"work_ms":300}`, `{"work_ms":1500}`, `{"work_ms":600,"fail_ms":200}`, `{"lasts":true}`}[r.IntN(4)], steps...)
		if flag() {
			j["repeat-count"], j["start-at-ms"], j["interval-ms"] = 1+r.IntN(5), time.Now().Add(time.Duration(r.IntN(9000)-3000)*time.Millisecond).UnixMilli(), big(2000)
		}
		x := w.call(n, "POST", prefix+id, "key-1", j)
		w.note("POST %s %v -> %d %s", id, j, x.status, x.text)
		status[x.status]++
		if x.status == 200 {
			accepted = append(accepted, prefix+id)
		}
		if flag() && len(accepted) > 0 {
			k := r.IntN(len(accepted))
			w.call(n, "DELETE", accepted[k], "key-1", nil)
		}
		time.Sleep(200 * time.Millisecond)
	}
	for _, m := range append(append([]*machine(nil), w.entries...), w.sides...) {
		if m.cmd.Process.Signal(syscall.Signal(0)) != nil {
			return broken, "ended: " + m.name
		}
	}
	// A plain job still works.
	for _, a := range accepted {
		w.call(0, "DELETE", a, "key-1", nil)
	}
	time.Sleep(4 * time.Second)
	id := "c1ffffffffffffff"
	w.submit(id, "/plain/", job(`{"work_ms":300}`, step(1, 2000, 1000, 1, nil)))
	ok := w.waitFor(8*time.Second, func() bool { return w.call(0, "GET", "/plain/"+id, "key-1", nil).state == "completed" })
	if !ok {
		return broken, fmt.Sprint("a plain job afterwards is not completed; running ", w.running(), status)
	}
	return held, fmt.Sprint(status, " running ", w.running())
}
