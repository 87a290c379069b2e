package crash_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill/crash"
	"github.com/rosemarysill/rosemarysill/work"
)

const (
	early = 200 * time.Millisecond
	late  = 20 * time.Second
)

func key(job string) work.TaskKey { return work.TaskKey{Job: job} }

func crashed(age time.Duration, cause work.CrashCause) work.Crash {
	return work.Crash{Age: age, Cause: cause, Confirmed: true}
}

// Guards against a crash that is attributed to a run although another one explains it,
// and against a cause that counts as certain while there are several.
func TestAttribute(t *testing.T) {
	suspect := []work.Crash{crashed(4*time.Second, work.CauseShared)}
	for name, c := range map[string]struct {
		runs []crash.Run
		want []work.CrashCause
	}{
		"no runs":             {nil, []work.CrashCause{}},
		"only run":            {[]crash.Run{{Task: key("a"), Age: late}}, []work.CrashCause{work.CauseTask}},
		"all old":             {[]crash.Run{{Task: key("a"), Age: late}, {Task: key("b"), Age: late}}, []work.CrashCause{work.CauseShared, work.CauseShared}},
		"one has started":     {[]crash.Run{{Task: key("a"), Age: early}, {Task: key("b"), Age: late}}, []work.CrashCause{work.CauseTask, work.CauseOther}},
		"two have started":    {[]crash.Run{{Task: key("a"), Age: early}, {Task: key("b"), Age: 2 * early}}, []work.CrashCause{work.CauseShared, work.CauseShared}},
		"two of one job":      {[]crash.Run{{Task: key("a"), Age: early}, {Task: key("a"), Age: early}}, []work.CrashCause{work.CauseTask, work.CauseTask}},
		"suspect beside old":  {[]crash.Run{{Task: key("a"), Age: 5 * time.Second, Crashes: suspect}, {Task: key("b"), Age: late}}, []work.CrashCause{work.CauseTask, work.CauseOther}},
		"suspect beside new":  {[]crash.Run{{Task: key("a"), Age: 5 * time.Second, Crashes: suspect}, {Task: key("b"), Age: early}}, []work.CrashCause{work.CauseOther, work.CauseTask}},
		"suspect was cleared": {[]crash.Run{{Task: key("a"), Age: 8 * time.Second, Crashes: suspect}, {Task: key("b"), Age: late}}, []work.CrashCause{work.CauseShared, work.CauseShared}},
		"unknown age":         {[]crash.Run{{Task: key("a"), Unknown: true}, {Task: key("b"), Age: early}}, []work.CrashCause{work.CauseUnknown, work.CauseShared}},
	} {
		t.Run(name, func(t *testing.T) { require.Equal(t, c.want, crash.Attribute(c.runs)) })
	}
}

// Guards against an innocent task that is given up, and against a task that crashes worker
// after worker without ever being given up.
func TestJudge(t *testing.T) {
	sole, shared := crashed(early, work.CauseTask), crashed(early, work.CauseShared)
	old, other, coincidence := crashed(late, work.CauseShared), crashed(late, work.CauseOther), crashed(early, work.CauseCoincidence)
	unreported := work.Crash{Age: early, Cause: work.CauseTask}
	for name, c := range map[string]struct {
		crashes   []work.Crash
		laterRuns int
		want      crash.Verdict
	}{
		"no crash":                         {nil, 0, crash.Clear},
		"one early crash":                  {[]work.Crash{sole}, 0, crash.Suspect},
		"one late crash":                   {[]work.Crash{old}, 0, crash.Clear},
		"one explained crash":              {[]work.Crash{other}, 0, crash.Clear},
		"two early alone":                  {[]work.Crash{sole, sole}, 0, crash.GiveUp},
		"two early, the second alone":      {[]work.Crash{shared, sole}, 0, crash.Suspect},
		"two early, the first alone":       {[]work.Crash{sole, shared}, 0, crash.Suspect},
		"two early, shared":                {[]work.Crash{shared, shared}, 0, crash.Suspect},
		"two early, one not reported":      {[]work.Crash{unreported, sole}, 0, crash.Suspect},
		"two late":                         {[]work.Crash{old, old}, 0, crash.Suspect},
		"two late alone":                   {[]work.Crash{crashed(late, work.CauseTask), crashed(late, work.CauseTask)}, 0, crash.Suspect},
		"explained, then early":            {[]work.Crash{other, sole}, 0, crash.Suspect},
		"coincidence, then early":          {[]work.Crash{coincidence, sole}, 0, crash.Suspect},
		"early, then outlived":             {[]work.Crash{sole, old}, 0, crash.Clear},
		"three in a row":                   {[]work.Crash{shared, shared, shared}, 0, crash.GiveUp},
		"three not reported":               {[]work.Crash{unreported, unreported, unreported}, 0, crash.GiveUp},
		"three late in a row":              {[]work.Crash{old, old, old}, 0, crash.GiveUp},
		"three explained":                  {[]work.Crash{other, other, other}, 0, crash.Suspect},
		"three explained, one run later":   {[]work.Crash{other, other, other}, 1, crash.Suspect},
		"three explained, two runs later":  {[]work.Crash{other, other, other}, 2, crash.GiveUp},
		"three coincident, two runs later": {[]work.Crash{coincidence, coincidence, coincidence}, 2, crash.GiveUp},
		"early, outlived, early, early":    {[]work.Crash{sole, old, sole, sole}, 1, crash.GiveUp},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.want, crash.Judge(&work.Task{Crashes: c.crashes, LaterRuns: c.laterRuns}))
		})
	}
}

// Guards against a worker that is kept for a suspect for long, or not until its crash
// could have come.
func TestIsolation(t *testing.T) {
	for name, c := range map[string]struct {
		crashes []work.Crash
		want    time.Duration
	}{
		"early":              {[]work.Crash{crashed(early, work.CauseTask)}, 1300 * time.Millisecond},
		"later":              {[]work.Crash{crashed(2*time.Second, work.CauseTask)}, 4 * time.Second},
		"much later":         {[]work.Crash{crashed(late, work.CauseShared)}, 5 * time.Second},
		"never the suspect":  {[]work.Crash{crashed(late, work.CauseOther)}, time.Second},
		"latest one decides": {[]work.Crash{crashed(late, work.CauseShared), crashed(early, work.CauseTask)}, 1300 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) { require.Equal(t, c.want, crash.Isolation(&work.Task{Crashes: c.crashes})) })
	}
}

// Guards against tasks that are blamed for a failure of their domain or for a common
// cause, and against tasks that go unblamed because other workers crash beside them.
func TestObserve(t *testing.T) {
	at := time.Unix(100, 0)
	event := func(n int, domain string, after time.Duration, down bool, runs ...crash.Run) crash.Event {
		return crash.Event{Worker: fmt.Sprintf("w%d", n), Domain: domain, At: at.Add(after), DomainDown: down, Runs: runs}
	}
	run := func(job string, age time.Duration) crash.Run { return crash.Run{Task: key(job), Age: age} }
	for name, c := range map[string]struct {
		events []crash.Event
		want   map[string]bool // worker and job
	}{
		"one worker":             {[]crash.Event{event(1, "d", 0, false, run("a", late))}, nil},
		"last one of its domain": {[]crash.Event{event(1, "d", 0, true, run("a", early))}, nil},
		"domain fails":           {[]crash.Event{event(1, "d", 0, false, run("a", early)), event(2, "d", early, true, run("b", late))}, map[string]bool{"w1 a": true, "w2 b": true}},
		"domain falls slowly":    {[]crash.Event{event(1, "d", 0, false, run("a", early)), event(2, "d", 2*time.Second, true, run("b", late))}, nil},
		"each has a start":       {[]crash.Event{event(1, "d", 0, false, run("a", early)), event(2, "d", early, true, run("a", early), run("b", late))}, map[string]bool{"w2 b": true}},
		"at the same moment":     {[]crash.Event{event(1, "d", 0, false, run("a", late)), event(2, "e", early, false, run("b", late))}, map[string]bool{"w1 a": true, "w2 b": true}},
		"reported out of order":  {[]crash.Event{event(1, "d", early, false, run("a", late)), event(2, "e", 0, false, run("b", late))}, map[string]bool{"w1 a": true, "w2 b": true}},
		"start explains it":      {[]crash.Event{event(1, "d", 0, false, run("a", early)), event(2, "e", early, false, run("b", late))}, map[string]bool{"w2 b": true}},
		"common job":             {[]crash.Event{event(1, "d", 0, false, run("a", late), run("b", late)), event(2, "e", early, false, run("a", late))}, map[string]bool{"w1 b": true}},
		"some time apart":        {[]crash.Event{event(1, "d", 0, false, run("a", late)), event(2, "e", 2*time.Second, false, run("b", late))}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			var recent crash.Recent
			got := make(map[string]bool)
			for _, e := range c.events {
				for _, w := range recent.Observe(e) {
					got[w.Worker+" "+w.Task.Job] = true
				}
			}
			require.Len(t, got, len(c.want))
			for k := range c.want {
				require.True(t, got[k], k)
			}
		})
	}
}
