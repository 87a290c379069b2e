// Command policybench runs the placement policy, its baselines and its variants
// on seeded workloads and prints the figures of docs/MEASURES.md.
package main

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"github.com/rosemarysill/rosemarysill/workload"
)

type options struct {
	Seeds     int    `long:"seeds" default:"5" description:"seeds of each scenario, from 1"`
	Ablations bool   `long:"ablations" description:"leave out one design choice at a time instead of running the baselines"`
	Only      string `long:"only" description:"the name of the only scenario to run"`
	Groups    bool   `long:"groups" description:"also print completion times by class and by client account"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(o options) error {
	variants := workload.Policies()
	if o.Ablations {
		variants = workload.Ablations()
	}
	var seeds []uint64
	for n := range o.Seeds {
		seeds = append(seeds, uint64(n+1))
	}
	for _, generate := range workload.Scenarios() {
		if o.Only != "" && o.Only != generate(1).Name {
			continue
		}
		fmt.Printf("\n### %s, %d seeds\n\n", generate(1).Name, o.Seeds)
		var results []*workload.Result
		for _, v := range variants {
			results = append(results, workload.Measure(v, generate, seeds...))
		}
		if err := workload.Print(os.Stdout, results); err != nil {
			return err
		}
		if !o.Groups {
			continue
		}
		fmt.Println()
		if err := workload.PrintGroups(os.Stdout, results); err != nil {
			return err
		}
	}
	return nil
}
