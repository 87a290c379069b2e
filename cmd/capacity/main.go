// Command capacity measures the processor time, memory, traffic and store calls of
// the control plane for growing numbers of agents, on one machine with stand-ins
// for the store and the runtimes. It prints the table and the slopes that
// docs/CAPACITY.md uses.
//
//	go build -o /tmp/rosemarysill ./cmd/rosemarysill
//	go run ./cmd/capacity --program /tmp/rosemarysill
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	flags "github.com/jessevdk/go-flags"
)

type options struct {
	Program string        `long:"program" required:"true" description:"Path of the rosemarysill binary to measure"`
	Agents  []int         `long:"agents" default:"100" default:"400" default:"1100" description:"Number of agents of a measurement; can be repeated"`
	Entries int           `long:"entries" default:"2" description:"Number of entries"`
	Tasks   float64       `long:"tasks" default:"3" description:"Running tasks per agent"`
	Window  time.Duration `long:"window" default:"20s" description:"Duration of each measurement"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(1)
	}
	var rows []row
	for _, n := range o.Agents {
		r, err := measure(context.Background(), o, n)
		if err != nil {
			fmt.Fprintf(os.Stderr, "%d agents: %v\n", n, err)
			break
		}
		rows = append(rows, r)
		printRows(os.Stderr, rows[len(rows)-1:])
	}
	printRows(os.Stdout, rows)
}
