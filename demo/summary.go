package demo

import (
	"fmt"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/uuid"

	"github.com/rosemarysill/rosemarysill"
)

// summary prints the users' measures and checks the promises against the
// journals of the stand-ins.
func (r *run) summary() error {
	fmt.Fprintln(r.out, "\nCompletion time in ms")
	w := tabwriter.NewWriter(r.out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "request\tcount\tmean\tp50\tp99\tmax\t")
	names := make([]string, 0, len(r.times))
	for name := range r.times {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		h := r.times[name]
		fmt.Fprintf(w, "%s\t%d\t%.0f\t%d\t%d\t%d\t\n", name, h.TotalCount(), h.Mean(), h.ValueAtQuantile(50), h.ValueAtQuantile(99), h.Max())
	}
	if err := w.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(r.out, "\nResults: %s\n", r.results())
	fmt.Fprintf(r.out, "Fragmentation: largest free block in a rack, mean over %d samples: %.1f of 24 accelerators\n", len(r.blocks), mean(r.blocks))
	fmt.Fprintf(r.out, "Work done while %s was out (%.1f s): %.1f accelerator-seconds\n",
		movedDomain, r.moved[1].Sub(r.moved[0]).Seconds(), r.workDone())
	return r.check()
}

func (r *run) results() string {
	var parts []string
	for code, n := range r.codes {
		parts = append(parts, fmt.Sprintf("%s %d", code, n))
	}
	sort.Strings(parts)
	return strings.Join(parts, ", ")
}

func mean(values []int) float64 {
	if len(values) == 0 {
		return 0
	}
	sum := 0
	for _, v := range values {
		sum += v
	}
	return float64(sum) / float64(len(values))
}

// workDone sums the task time within the move, in accelerator-seconds.
func (r *run) workDone() float64 {
	total := 0.0
	for _, s := range r.f.tasks.Spans() {
		from, to := later(s.Start, r.moved[0]), r.moved[1]
		if !s.End.IsZero() && s.End.Before(to) {
			to = s.End
		}
		if d := to.Sub(from); d > 0 {
			total += d.Seconds() * float64(r.accelerators[s.Task.Job])
		}
	}
	return total
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// check counts violations of the promises that the journals can show.
func (r *run) check() error {
	twice := 0
	runs, _ := r.f.calls.Runs()
	seen := map[uuid.UUID]int{}
	for _, c := range runs {
		seen[c.ID]++
	}
	for id, n := range seen {
		if n > 1 && r.once[id] {
			twice++
		}
	}
	late := 0
	for _, s := range r.f.tasks.Spans() {
		if r.f.domains[s.Worker] == movedDomain && s.Start.After(r.moved[0].Add(r.settle())) && s.Start.Before(r.moved[1]) {
			late++
		}
	}
	overlapping, restarted := len(r.f.tasks.Overlapping()), len(r.f.tasks.StartedTwice())
	fmt.Fprintf(r.out, "Checked: %d non-idempotent calls, %d ran twice; %d tasks started in %s later than %s after it was taken out; %d jobs with two attempts at once; %d tasks started twice\n",
		len(r.once), twice, late, movedDomain, r.settle(), overlapping, restarted)
	if twice+late+overlapping+restarted > 0 {
		return rosemarysill.NewError(rosemarysill.InternalError, "a promise was broken")
	}
	return nil
}
