// Package world plays the cases of the review: it starts the project's own program as
// separate processes on loopback addresses, with stand-ins for the platform's store, the
// minions, the advice service, the machines and the clients, and checks one rule by what
// clients, minions and the platform see.
package world

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// playCase is one case. It returns what broke the rule, or nil.
type playCase func(w *world, trouble bool) (broken []string, err error)

var cases = map[string]playCase{
	"guarantee":   playGuarantee,
	"data-rack":   playDataRack,
	"avoid":       playAvoid,
	"away":        playAway,
	"tickets":     playTickets,
	"ends":        playEnds,
	"wide":        playWide,
	"estimate":    playEstimate,
	"late-wave":   playLateWave,
	"pending":     playPending,
	"late-accept": playLateAccept,
}

// TestMain plays the case that the flags name. The package is built as a test binary,
// because its files hold the words of the platform, as only tests outside of package
// platform may.
func TestMain(*testing.M) {
	name := flag.String("case", "", "name of the case")
	trouble := flag.Bool("trouble", true, "with the disruption")
	program := flag.String("program", "target/rosemarysill", "program of the deploy file")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	os.Exit(playByName(*name, *trouble, *program, *record))
}

func playByName(name string, trouble bool, program, record string) int {
	play, ok := cases[name]
	if !ok {
		fmt.Println("no such case")
		return 2
	}
	program, err := filepath.Abs(program)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	if _, err := os.Stat(program); err != nil {
		fmt.Println(err)
		return 2
	}
	w, err := newWorld(program, record)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer w.close()
	go func() {
		stop := make(chan os.Signal, 1)
		signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
		<-stop
		w.close()
		os.Exit(2)
	}()
	begun := time.Now()
	w.record.add("case %s, with its disruption: %v", name, trouble)
	broken, err := play(w, trouble)
	w.record.add("took %v", time.Since(begun).Round(time.Millisecond))
	switch {
	case err != nil:
		w.record.add("could not run: %v", err)
		fmt.Println("could not run:", err)
		if errors.Is(err, errCannotRun) {
			return 2
		}
		return 2
	case len(broken) > 0:
		for _, b := range broken {
			w.record.add("BROKEN: %s", b)
			fmt.Println("BROKEN:", b)
		}
		return 1
	default:
		w.record.add("the rule held")
		fmt.Println("the rule held")
		return 0
	}
}
