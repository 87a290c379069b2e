package loss

import (
	"cmp"
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosemarysill/rosemarysill/history"
	"github.com/rosemarysill/rosemarysill/work"
)

// Day is what the logs of a period tell about jobs and workers.
type Day struct {
	Jobs       []*Job // in the order of their acceptance
	Begin, End time.Time
	Groups     []Group          // of workers by speed, the fastest first
	capacity   []capacityChange // in the order of time

	jobs    map[string]*Job
	running map[string]*Run // by job and task
	groupOf map[string]int  // index in Groups, by worker
}

// capacityChange is a change of the worker of an agent.
type capacityChange struct {
	at     time.Time
	agent  string
	worker knownWorker // zero if it has gone
}

// knownWorker is the worker of an agent that the leader knows.
type knownWorker struct {
	incarnation string
	capacity    work.Shape
}

// NewDay puts the lines together. It returns an error if a line about a job lacks a
// field or has one that cannot be read.
func NewDay(lines []history.Line) (*Day, error) {
	d := &Day{jobs: make(map[string]*Job), running: make(map[string]*Run)}
	lines = slices.Clone(lines)
	slices.SortStableFunc(lines, func(a, b history.Line) int { return a.Time.Compare(b.Time) })
	for _, l := range lines {
		if err := d.apply(l); err != nil {
			return nil, errors.Wrapf(err, "%s at %s of %s", l.Name, l.Time.Format(time.RFC3339Nano), l.Source)
		}
	}
	if len(lines) > 0 {
		d.Begin, d.End = lines[0].Time, lines[len(lines)-1].Time
	}
	for _, j := range d.jobs {
		j.setCauses()
		d.Jobs = append(d.Jobs, j)
	}
	slices.SortFunc(d.Jobs, func(a, b *Job) int { return cmp.Or(a.Accepted.Compare(b.Accepted), cmp.Compare(a.ID, b.ID)) })
	d.estimateSpeeds()
	return d, nil
}

func (d *Day) apply(l history.Line) error {
	switch l.Name {
	case "QueueAccepted":
		d.acceptance(l)
	case "LeaderJob":
		return d.job(l)
	case "LeaderPlaced":
		return d.placed(l)
	case "LeaderStopped":
		if r := d.run(l); r != nil && r.Stop == "" {
			r.Stop = l.Value("Why")
		}
	case "LeaderRunEnded":
		d.runEnded(l)
	case "LeaderJobEnded":
		if j := d.jobs[l.Value("Job")]; j != nil && j.State == "" {
			j.Ended, j.State = l.Time, work.State(l.Value("State"))
		}
	case "LeaderWorkerSeen":
		return d.workerCapacity(l)
	case "LeaderCapacity":
		if d.worker(l.Value("Agent")) == l.Value("Worker") {
			return d.workerCapacity(l)
		}
	case "LeaderWorkerLost":
		if d.worker(l.Value("Agent")) == l.Value("Worker") {
			d.setWorker(l, knownWorker{})
		}
	}
	return nil
}

// acceptance takes the time at which an entry has accepted a job. The line may follow
// the first one of the leader.
func (d *Day) acceptance(l history.Line) {
	if j := d.jobs[l.Value("Job")]; j != nil && l.Time.Before(j.Accepted) {
		j.Accepted = l.Time
	}
}

func (d *Day) job(l history.Line) error {
	id := l.Value("Job")
	if d.jobs[id] != nil {
		return nil // a later leader has taken the job over
	}
	steps, err := parseSteps(l.Value("Steps"))
	if err != nil {
		return err
	}
	j := &Job{ID: id, Steps: steps, Accepted: l.Time}
	if j.Priority, err = strconv.Atoi(l.Value("Priority")); err != nil {
		return err
	}
	if j.Estimate, err = milliseconds(l.Value("Estimate")); err != nil {
		return err
	}
	if j.Objective, err = milliseconds(l.Value("Objective")); err != nil {
		return err
	}
	if j.Slowdown, err = strconv.ParseFloat(cmp.Or(l.Value("MaxSlowdown"), "0"), 64); err != nil {
		return err
	}
	d.jobs[id] = j
	return nil
}

func (d *Day) placed(l history.Line) error {
	j := d.jobs[l.Value("Job")]
	if j == nil {
		return nil // accepted before the logs begin
	}
	r, err := parseRun(l.Value("Run"))
	if err != nil {
		return err
	}
	if r.Step >= len(j.Steps) {
		return errors.Newf("run %s of a job with %d steps", l.Value("Run"), len(j.Steps))
	}
	r.Placed, r.Worker = l.Time, l.Value("Worker")
	j.Runs = append(j.Runs, r)
	d.running[l.Value("Job")+" "+l.Value("Run")] = r
	return nil
}

// run returns the run that a line is about, or nil if the logs lack its placement.
func (d *Day) run(l history.Line) *Run { return d.running[l.Value("Job")+" "+l.Value("Run")] }

func (d *Day) runEnded(l history.Line) {
	r := d.run(l)
	if r == nil || !r.Ended.IsZero() {
		return
	}
	r.Ended, r.Outcome = l.Time, work.Outcome(l.Value("How"))
	j := d.jobs[l.Value("Job")]
	if r.Outcome != work.OutcomeDone || !j.Steps[r.Step].Gang {
		return
	}
	for _, member := range j.gangOf(r) { // the end of one member stands for all
		if member.Ended.IsZero() {
			member.Ended, member.Outcome = l.Time, work.OutcomeDone
		}
	}
}

// gangOf returns the runs that work together with a run of a gang, including it.
func (j *Job) gangOf(r *Run) []*Run {
	var members []*Run
	for _, m := range j.Runs {
		if m.Occurrence == r.Occurrence && m.Step == r.Step && m.Number == r.Number {
			members = append(members, m)
		}
	}
	return members
}

// workerCapacity takes the capacity of a worker, which may change while it runs.
func (d *Day) workerCapacity(l history.Line) error {
	w := knownWorker{incarnation: l.Value("Worker")}
	if err := json.Unmarshal([]byte(cmp.Or(l.Value("Capacity"), "{}")), &w.capacity); err != nil {
		return err
	}
	d.setWorker(l, w)
	return nil
}

func (d *Day) setWorker(l history.Line, w knownWorker) {
	d.capacity = append(d.capacity, capacityChange{l.Time, l.Value("Agent"), w})
}

// worker returns the latest worker of an agent, or an empty string.
func (d *Day) worker(agent string) string {
	for _, c := range slices.Backward(d.capacity) {
		if c.agent == agent {
			return c.worker.incarnation
		}
	}
	return ""
}

// parseRun parses a run as logs show it: occurrence, step and index of the task, and
// the number of the run.
func parseRun(text string) (*Run, error) {
	task, number, _ := strings.Cut(text, "/")
	parts := append(strings.Split(task, "."), number)
	if len(parts) != 4 {
		return nil, errors.Newf("run %q does not have the form OCCURRENCE.STEP.INDEX/NUMBER", text)
	}
	var n [4]int
	for i, p := range parts {
		var err error
		if n[i], err = strconv.Atoi(p); err != nil {
			return nil, errors.Wrapf(err, "run %q", text)
		}
	}
	return &Run{Occurrence: n[0], Step: n[1], Index: n[2], Number: n[3]}, nil
}

func milliseconds(text string) (time.Duration, error) {
	ms, err := strconv.ParseFloat(text, 64)
	return time.Duration(ms * float64(time.Millisecond)), err
}
