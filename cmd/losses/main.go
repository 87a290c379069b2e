// Command losses explains from the logs of entries which jobs were late or not done, by
// which cause, how much work was thrown away, and what a scheduler that knows the
// future could have served. docs/POLICY.md uses its tables.
//
//	go run ./cmd/losses --worth 0:4/0.8 --worth 1:3/0.9 --jobs FILE...
package main

import (
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	flags "github.com/jessevdk/go-flags"

	"github.com/rosemarysill/rosemarysill/history"
	"github.com/rosemarysill/rosemarysill/loss"
)

type options struct {
	Worth map[int]string `long:"worth" description:"Worth of a job of a priority, on time and late, as PRIORITY:ONTIME/LATE; can be repeated (default: 1/0.3)"`
	Jobs  bool           `long:"jobs" description:"List the jobs that were late or not done"`
	Args  struct {
		Files []string `positional-arg-name:"FILE" required:"1" description:"Log files"`
	} `positional-args:"true" required:"true"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(1)
	}
	if err := run(o, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(o options, out io.Writer) error {
	worths, err := parseWorths(o.Worth)
	if err != nil {
		return err
	}
	day, err := readDay(o.Args.Files)
	if err != nil {
		return err
	}
	if err := day.Write(out, worths); err != nil || !o.Jobs {
		return err
	}
	if _, err := fmt.Fprintln(out); err != nil {
		return err
	}
	return day.WriteJobs(out, worths)
}

func readDay(files []string) (*loss.Day, error) {
	var r history.Reader
	if err := r.ReadFiles(files); err != nil {
		return nil, errors.Wrap(err, "read logs")
	}
	if r.Bad > 0 {
		fmt.Fprintf(os.Stderr, "%d malformed lines were skipped\n", r.Bad)
	}
	return loss.NewDay(r.Lines)
}

func parseWorths(texts map[int]string) (loss.Worths, error) {
	worths := make(loss.Worths, len(texts))
	for priority, text := range texts {
		onTime, late, _ := strings.Cut(text, "/")
		var w loss.Worth
		var err error
		if w.OnTime, err = strconv.ParseFloat(onTime, 64); err != nil {
			return nil, errors.Wrapf(err, "worth of priority %d", priority)
		}
		if w.Late, err = strconv.ParseFloat(late, 64); err != nil {
			return nil, errors.Wrapf(err, "late worth of priority %d", priority)
		}
		worths[priority] = w
	}
	return worths, nil
}
