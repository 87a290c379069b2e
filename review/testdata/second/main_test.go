// Package second plays the cases of the second review. Its arguments are the name of a case
// and the path of the record. It runs in the root of the repository after the build of the
// deploy file, and exits with 1 if the rule of the case was broken, 0 if it held, and 2 if
// the case could not run. With TROUBLE=0 the disruption is left out.
package second

import (
	"fmt"
	"os"
	"testing"
)

// verdict is the result of a case.
type verdict int

const (
	held   verdict = 0
	broken verdict = 1
	failed verdict = 2
)

var cases = map[string]func(*system, bool) (verdict, error){
	"failed-once": failedOnce,
	"cancelled":   cancelled,
	"pending":     pending,
	"same-again":  sameAgain,
	"restarts":    restarts,
	"takeover":    takeover,
	"reclaim":     reclaim,
	"stray":       stray,
	"resumed":     resumed,
	"advice":      adviceCase,
}

// TestMain plays a case instead of tests. The program is a test binary because it holds the
// words of the platform, which the product's sources outside of platform may not.
func TestMain(*testing.M) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-second CASE RECORD")
		os.Exit(int(failed))
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(int(failed))
	}
	trouble := os.Getenv("TROUBLE") != "0"
	v, err := play(rec, cases[os.Args[1]], trouble)
	if err != nil {
		rec.say("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		v = failed
	}
	rec.say("verdict: %s", [...]string{"the rule held", "the rule was broken", "no result"}[v])
	fmt.Printf("%s, trouble %v: %s\n", os.Args[1], trouble, [...]string{"held", "broken", "no result"}[v])
	os.Exit(int(v))
}

func play(rec *record, f func(*system, bool) (verdict, error), trouble bool) (verdict, error) {
	s, err := newSystem(rec)
	if err != nil {
		return failed, err
	}
	defer s.close()
	return f(s, trouble)
}

// deploy starts entries and agents and waits until they are ready.
func (s *system) deploy(fronts, sides int, labels map[int][]string) error {
	for range fronts {
		if err := s.addFront(); err != nil {
			return err
		}
	}
	for i := range sides {
		if _, err := s.addSide(labels[i]...); err != nil {
			return err
		}
	}
	return s.waitReady()
}
