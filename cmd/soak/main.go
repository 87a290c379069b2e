// Command soak runs rosemarysill as separate processes on one machine, injects
// faults into them and their connections, and checks the guarantees as callers and
// workers observe them: accepted jobs end, refused ones do not run, tasks run once
// at a time and within the capacity of their worker, a task that crashes its workers
// is given up, revoked keys are rejected in time, and no entry answers by an older
// configuration than before.
package main

import (
	"context"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	flags "github.com/jessevdk/go-flags"
)

type options struct {
	Program string        `long:"program" required:"true" description:"Path of the rosemarysill binary"`
	Seed    uint64        `long:"seed" default:"1" description:"Seed of the first run"`
	Runs    uint64        `long:"runs" default:"1" description:"Number of runs; each uses the next seed"`
	For     time.Duration `long:"for" default:"20s" description:"Duration of load and faults in each run"`
	Again   bool          `long:"regressions" description:"Run the regression seeds instead of --seed and --runs"`
	Without []string      `long:"without" description:"Kind of fault that is not injected, or \"deadly jobs\"; may be repeated"`
	Jobs    int           `long:"jobs" default:"1" description:"Number of runs at the same time"`
	Only    []string      `long:"only" description:"Kind of fault to draw from, instead of all; may be repeated"`
	Logs    string        `long:"logs" description:"Directory in which the logs of failed runs are kept"`
}

// completionTimeout is the time after the last fault within which all accepted
// jobs have to end. It is several times what leases, restarts and a full queue take.
const completionTimeout = 60 * time.Second

// maxPrinted is the number of violations of a run that are printed.
const maxPrinted = 12

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	var runs []regression
	for seed := o.Seed; seed < o.Seed+o.Runs && !o.Again; seed++ {
		runs = append(runs, regression{seed: seed})
	}
	if o.Again {
		runs = regressions
	}
	selected, err := o.selection()
	if err != nil {
		fmt.Println("soak:", err)
		os.Exit(2)
	}
	results := make([]chan result, len(runs))
	slots := make(chan struct{}, max(1, o.Jobs))
	for i := range results {
		results[i] = make(chan result, 1)
	}
	go func() {
		for i, r := range runs {
			slots <- struct{}{}
			go func() {
				kinds := selection{r.earliest, maps.Clone(selected.without), maps.Clone(selected.only)}
				for _, name := range r.without {
					kinds.without[name] = true
				}
				for _, name := range r.only {
					kinds.only[name] = true
				}
				summary, violations, err := run(o, r.seed, kinds)
				results[i] <- result{summary, violations, err}
				<-slots
			}()
		}
	}()
	failed := 0
	for i, r := range runs {
		if done := <-results[i]; !done.print(r.seed) {
			failed++
		}
	}
	fmt.Printf("soak: %d passed, %d failed\n", len(runs)-failed, failed)
	if failed > 0 {
		os.Exit(1)
	}
}

// selection returns the kinds that --without and --only select.
func (o options) selection() (selection, error) {
	known := map[string]bool{deadlyJobs: true}
	for _, f := range allFaults() {
		known[f.name] = true
	}
	kinds := selection{without: make(map[string]bool), only: make(map[string]bool)}
	for _, list := range []struct {
		names []string
		set   map[string]bool
	}{{o.Without, kinds.without}, {o.Only, kinds.only}} {
		for _, name := range list.names {
			if !known[name] {
				return kinds, errors.Newf("there is no kind of fault %q", name)
			}
			list.set[name] = true
		}
	}
	return kinds, nil
}

// result is the outcome of one run.
type result struct {
	summary    string
	violations []string
	err        error
}

// print prints the result and reports whether the run has passed.
func (r result) print(seed uint64) bool {
	switch {
	case r.err != nil:
		fmt.Printf("seed %d: %v\n", seed, r.err)
	case len(r.violations) > 0:
		fmt.Printf("seed %d: FAILED: %s\n", seed, r.summary)
		for _, v := range r.violations[:min(len(r.violations), maxPrinted)] {
			fmt.Println("  ", v)
		}
		if more := len(r.violations) - maxPrinted; more > 0 {
			fmt.Println("   and", more, "more")
		}
	default:
		fmt.Printf("seed %d: passed: %s\n", seed, r.summary)
		return true
	}
	return false
}

// run does one run and returns its summary and the violated guarantees.
func run(o options, seed uint64, kinds selection) (string, []string, error) {
	dir, err := os.MkdirTemp("", "soak-")
	if err != nil {
		return "", nil, errors.Wrap(err, "create directory for a run")
	}
	s, err := newSystem(o.Program, dir)
	if err != nil {
		return "", nil, err
	}
	defer s.close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var reporting sync.WaitGroup
	reporting.Go(func() { s.announceWorkers(ctx) })
	if err := s.waitReady(); err != nil {
		return "", nil, err
	}
	s.steps.Rebirth, s.kinds = randomRebirth(seed), kinds
	c := newCallers(s)
	faultLog, err := os.Create(filepath.Join(dir, "faults.log"))
	if err != nil {
		return "", nil, err
	}
	defer func() { _ = faultLog.Close() }()
	var logMu sync.Mutex
	injected := 0
	loadCtx, stop := context.WithTimeout(ctx, o.For)
	defer stop()
	var loading sync.WaitGroup
	loading.Go(func() { c.run(loadCtx, seed) })
	loading.Go(func() { c.rotateKeys(loadCtx, seed) })
	loading.Go(func() { c.changeConfiguration(loadCtx, seed) })
	for i := range entryCount {
		loading.Go(func() { c.checkConfiguration(loadCtx, i, seed) })
	}
	loading.Go(func() {
		injectFaults(loadCtx, s, seed, func(name string) {
			logMu.Lock()
			defer logMu.Unlock()
			injected++
			fmt.Fprintln(faultLog, time.Now().Format(time.RFC3339Nano), name)
		})
	})
	loading.Wait()
	c.checkOutcomes(completionTimeout)
	cancel()
	reporting.Wait()
	violations := append(c.violations, s.steps.Breaches()...)
	summary := fmt.Sprintf("%d faults, %s", injected, c.summary())
	if len(violations) > 0 && o.Logs != "" {
		return summary, violations, errors.Wrap(os.Rename(dir, filepath.Join(o.Logs, fmt.Sprintf("seed-%d-%d", seed, time.Now().Unix()))), "move logs of the failed run to --logs")
	}
	return summary, violations, os.RemoveAll(dir)
}
