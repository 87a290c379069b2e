package loss

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rosemarysill/rosemarysill/work"
)

// Table counts jobs, value and core-seconds by priority and cause.
type Table map[int]map[Cause]Amount

// Amount is an entry of a Table.
type Amount struct {
	Jobs        int     // late or undone
	Value       float64 // lost with them
	Runs        int     // that were not done
	CoreSeconds float64 // that these runs occupied without a lasting result
}

// Losses returns the losses by priority and cause.
func (d *Day) Losses(w Worths) Table {
	t := make(Table)
	add := func(priority int, c Cause, a Amount) {
		if t[priority] == nil {
			t[priority] = make(map[Cause]Amount)
		}
		sum := t[priority][c]
		t[priority][c] = Amount{sum.Jobs + a.Jobs, sum.Value + a.Value, sum.Runs + a.Runs, sum.CoreSeconds + a.CoreSeconds}
	}
	sizes := d.sizes()
	for _, j := range d.Jobs {
		worth := w.of(j.Priority)
		switch j.Verdict(d.End) {
		case Late:
			add(j.Priority, j.MainCause(d.End), Amount{Jobs: 1, Value: sizes[j] * (worth.OnTime - worth.Late)})
		case Undone:
			add(j.Priority, j.MainCause(d.End), Amount{Jobs: 1, Value: sizes[j] * worth.OnTime})
		}
		for _, r := range j.Runs {
			if r.Cause != None {
				add(j.Priority, r.Cause, Amount{Runs: 1, CoreSeconds: j.wasted(r)})
			}
		}
	}
	return t
}

// Write writes the report: the share of the value that was served and its bound, the
// workers by speed, the losses by cause, and the waits for the first start.
func (d *Day) Write(out io.Writer, w Worths) error {
	served, bound := d.Served(w), d.Bound(w)
	tw := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(tw, "served\t%.3f\tof a value of %.1f\n", served.Share(), served.Owed)
	fmt.Fprintf(tw, "bound\t%.3f\n\n", bound.Share())
	fmt.Fprintln(tw, "time factor\tworkers\tcores\taccelerators")
	for _, g := range d.Groups {
		fmt.Fprintf(tw, "%.2f\t%d\t%.0f\t%d\n", g.TimeFactor, g.Workers, float64(g.Capacity.MilliCPU)/1000, g.Capacity.Accelerators)
	}
	fmt.Fprintln(tw, "\npriority\tcause\tjobs\tvalue\truns\tcore-seconds")
	losses := d.Losses(w)
	for _, priority := range slices.Sorted(maps.Keys(losses)) {
		for _, c := range slices.Sorted(maps.Keys(losses[priority])) {
			a := losses[priority][c]
			fmt.Fprintf(tw, "%d\t%s\t%d\t%.1f\t%d\t%.0f\n", priority, c, a.Jobs, a.Value, a.Runs, a.CoreSeconds)
		}
	}
	fmt.Fprintln(tw, "\npriority\tjobs\tfirst start after, median\tthird quartile\t95%\tlongest, s")
	waits := d.waits()
	for _, priority := range slices.Sorted(maps.Keys(waits)) {
		v := waits[priority]
		q := func(share float64) float64 { return v[int(share*float64(len(v)-1))].Seconds() }
		fmt.Fprintf(tw, "%d\t%d\t%.2f\t%.2f\t%.2f\t%.2f\n", priority, len(v), q(0.5), q(0.75), q(0.95), q(1))
	}
	return tw.Flush()
}

// waits returns the times from acceptance to the first placement by priority, sorted.
func (d *Day) waits() map[int][]time.Duration {
	waits := make(map[int][]time.Duration)
	for _, j := range d.Jobs {
		if j.State != work.Cancelled {
			waits[j.Priority] = append(waits[j.Priority], j.firstPlaced(d.End).Sub(j.Accepted))
		}
	}
	for _, v := range waits {
		slices.Sort(v)
	}
	return waits
}

// WriteJobs writes a line for each job that was late or undone, with its delays.
func (d *Day) WriteJobs(out io.Writer, w Worths) error {
	tw := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "job\taccepted\tpriority\tsteps\tvalue\tobjective\ttook\tdelays, s")
	sizes := d.sizes()
	for _, j := range d.Jobs {
		v := j.Verdict(d.End)
		if v != Late && v != Undone {
			continue
		}
		took := "undone"
		if !j.Ended.IsZero() {
			took = fmt.Sprintf("%.2f", j.Ended.Sub(j.Accepted).Seconds())
		}
		fmt.Fprintf(tw, "%s\t%.2f\t%d\t%s\t%.2f\t%.2f\t%s\t%s\n", j.ID, j.Accepted.Sub(d.Begin).Seconds(), j.Priority, describe(j.Steps),
			sizes[j]*w.of(j.Priority).OnTime, j.objective().Seconds(), took, describeDelays(j.Delays(d.End)))
	}
	return tw.Flush()
}

func describe(steps []Step) string {
	var parts []string
	for _, s := range steps {
		part := fmt.Sprintf("%dx%.0f", s.Tasks, s.Shape.Cores())
		if s.Gang {
			part += "g"
		}
		if s.Checkpointing {
			part += "c"
		}
		parts = append(parts, part)
	}
	return strings.Join(parts, ",")
}

func describeDelays(delays [numCauses]time.Duration) string {
	var causes []Cause
	for c, d := range delays {
		if d > 0 {
			causes = append(causes, Cause(c))
		}
	}
	slices.SortFunc(causes, func(a, b Cause) int { return cmp.Compare(delays[b], delays[a]) })
	var parts []string
	for _, c := range causes {
		parts = append(parts, fmt.Sprintf("%s %.2f", c, delays[c].Seconds()))
	}
	return strings.Join(parts, ", ")
}
