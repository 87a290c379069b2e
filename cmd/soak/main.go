// Command soak runs the program as separate processes on one machine, injects
// faults from outside them, and checks from what callers and workers see that
// the promises hold.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	flags "github.com/jessevdk/go-flags"
)

type options struct {
	Program string        `long:"program" required:"true" description:"Path of the program rosemarysill"`
	Seed    uint64        `long:"seed" default:"1" description:"Seed of the first run"`
	Runs    uint64        `long:"runs" default:"1" description:"Number of runs; each has the next seed"`
	For     time.Duration `long:"for" default:"20s" description:"Time of faults in a run"`
	Again   bool          `long:"regressions" description:"Run the seeds that have failed once, instead of --seed and --runs"`
	Logs    string        `long:"logs" description:"Folder for the logs of runs that fail"`
}

// settleWithin is the time after the last fault in which all accepted jobs
// end. Leases, restarts and a full queue fit in it several times.
const settleWithin = 60 * time.Second

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	var seeds []uint64
	for seed := o.Seed; seed < o.Seed+o.Runs && !o.Again; seed++ {
		seeds = append(seeds, seed)
	}
	for _, r := range regressions {
		if o.Again {
			seeds = append(seeds, r.seed)
		}
	}
	failed := 0
	for _, seed := range seeds {
		summary, breaches, err := run(o, seed)
		switch {
		case err != nil:
			fmt.Printf("seed %d: %v\n", seed, err)
			failed++
		case len(breaches) > 0:
			fmt.Printf("seed %d: FAILED: %s\n", seed, summary)
			for _, b := range breaches {
				fmt.Println("  ", b)
			}
			failed++
		default:
			fmt.Printf("seed %d: passed: %s\n", seed, summary)
		}
	}
	fmt.Printf("soak: %d passed, %d failed\n", len(seeds)-failed, failed)
	if failed > 0 {
		os.Exit(1)
	}
}

// run is one run. It returns what it did and what broke the promises.
func run(o options, seed uint64) (string, []string, error) {
	dir, err := os.MkdirTemp("", "soak-")
	if err != nil {
		return "", nil, errors.Wrap(err, "folder for a run")
	}
	s, err := newSite(o.Program, dir)
	if err != nil {
		return "", nil, err
	}
	defer s.close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var parts sync.WaitGroup
	parts.Go(func() { s.announce(ctx) })
	if err := s.ready(); err != nil {
		return "", nil, err
	}
	c := newCallers(s)
	log, err := os.Create(filepath.Join(dir, "faults.log"))
	if err != nil {
		return "", nil, err
	}
	defer func() { _ = log.Close() }()
	var logMu sync.Mutex
	injected := 0
	load, stop := context.WithTimeout(ctx, o.For)
	defer stop()
	var loading sync.WaitGroup
	loading.Go(func() { c.run(load, seed) })
	loading.Go(func() { c.changeKeys(load, seed) })
	loading.Go(func() {
		trouble(load, s, seed, func(name string) {
			logMu.Lock()
			defer logMu.Unlock()
			injected++
			fmt.Fprintln(log, time.Now().Format(time.RFC3339Nano), name)
		})
	})
	loading.Wait()
	c.settle(settleWithin)
	cancel()
	parts.Wait()
	breaches := append(c.breaches, s.steps.Breaches()...)
	summary := fmt.Sprintf("%d faults, %s", injected, c.summary())
	if len(breaches) > 0 && o.Logs != "" {
		return summary, breaches, errors.Wrap(os.Rename(dir, filepath.Join(o.Logs, fmt.Sprintf("seed-%d-%d", seed, time.Now().Unix()))), "keep logs")
	}
	return summary, breaches, os.RemoveAll(dir)
}
