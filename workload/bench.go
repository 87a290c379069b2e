package workload

import (
	"fmt"
	"io"
	"sort"
	"text/tabwriter"
	"time"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/placement"
)

// Variant is a policy to measure.
type Variant struct {
	Name    string
	Policy  rosemarysill.Policy
	Options Options
}

// Policies returns the policy and the baselines.
func Policies() []Variant {
	t := rosemarysill.DefaultTimings()
	all := []Variant{{Policy: placement.New()}, {Policy: placement.NewFirstInFirstOut(t)}, {Policy: placement.NewFirstFit(t)}}
	for i := range all {
		all[i].Name = all[i].Policy.Name()
	}
	return all
}

// Ablations returns the policy and the policy without each design choice that
// no promise requires.
func Ablations() []Variant {
	all := []Variant{{Name: "all choices", Policy: placement.New()}}
	for _, c := range placement.Choices() {
		all = append(all, Variant{Name: "without " + string(c), Policy: placement.New(placement.Without(c))})
	}
	return append(all,
		Variant{Name: "without quarantine", Policy: placement.New(), Options: Options{NoQuarantine: true}},
		Variant{Name: "without run ratios", Policy: placement.New(), Options: Options{NoRatios: true}})
}

// Scenarios returns the generators of all scenarios.
func Scenarios() []func(seed uint64) Scenario {
	return []func(uint64) Scenario{FlipperMaghreb, Fjordtork, EqualDemand}
}

// Measure runs a variant on the seeds of a scenario and returns the sum.
func Measure(v Variant, generate func(seed uint64) Scenario, seeds ...uint64) *Result {
	total := newResult(v.Name, Scenario{})
	for _, seed := range seeds {
		total.add(Run(v.Policy, generate(seed), v.Options))
	}
	return total
}

// Print writes the results of one scenario as a table in Markdown.
func Print(w io.Writer, results []*Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 1, ' ', 0)
	row := func(cells ...any) {
		for _, c := range cells {
			if d, ok := c.(time.Duration); ok {
				c = d.Round(100 * time.Millisecond)
			}
			if f, ok := c.(float64); ok {
				c = fmt.Sprintf("%.2f", f)
			}
			fmt.Fprintf(t, "| %v\t", c)
		}
		fmt.Fprintln(t, "|")
	}
	row("policy", "finished", "mean", "p50", "p95", "p99", "claim p95", "claim max", "large wait mean", "large wait p95",
		"block", "useful in moves", "lost", "reclaimed", "fairness")
	row("---", "---", "---", "---", "---", "---", "---", "---", "---", "---", "---", "---", "---", "---", "---")
	for _, r := range results {
		c := r.Completion
		row(r.Policy, r.Finished, c.Mean(), c.Quantile(50), c.Quantile(95), c.Quantile(99), r.Reclaim.Quantile(95), r.Reclaim.Max(),
			r.LargeWait.Mean(), r.LargeWait.Quantile(95), r.Block, r.MovesUseful, r.Lost, r.Reclaimed, r.Fairness)
	}
	return t.Flush()
}

// PrintGroups writes completion times by class and by account.
func PrintGroups(w io.Writer, results []*Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 1, ' ', 0)
	fmt.Fprintln(t, "| policy\t| group\t| jobs\t| mean\t| p50\t| p95\t| p99\t|")
	fmt.Fprintln(t, "| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t|")
	for _, r := range results {
		for _, groups := range []map[string]Times{r.ByClass, r.ByAccount} {
			names := make([]string, 0, len(groups))
			for name := range groups {
				names = append(names, name)
			}
			sort.Strings(names)
			for _, name := range names {
				g := groups[name]
				fmt.Fprintf(t, "| %s\t| %s\t| %d\t| %v\t| %v\t| %v\t| %v\t|\n", r.Policy, name, g.Count(), g.Mean().Round(time.Second),
					g.Quantile(50).Round(time.Second), g.Quantile(95).Round(time.Second), g.Quantile(99).Round(time.Second))
			}
		}
	}
	return t.Flush()
}
