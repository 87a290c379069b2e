// Command capacity measures what an entry, an agent and the store spend on
// control as the number of agents grows, on one machine and over stand-ins. It
// prints the table and the slopes that docs/CAPACITY.md uses.
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
	Program string        `long:"program" required:"true" description:"The rosemarysill program to measure"`
	Agents  []int         `long:"agents" default:"100" default:"400" default:"1100" description:"Numbers of agents"`
	Entries int           `long:"entries" default:"2" description:"Number of entries"`
	Tasks   float64       `long:"tasks" default:"3" description:"Running tasks for each agent"`
	Window  time.Duration `long:"window" default:"20s" description:"Length of each measurement"`
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
