package worker

import (
	"time"

	"github.com/google/uuid"
)

// recordKeep is the time after which the record of a job without a member here
// may be dropped. It is far longer than a message can be late: servers
// close connections without an answer to a ping within 65 s, and a commit is
// sent only after its reservation was answered.
const recordKeep = 10 * time.Minute

// record is what the ledger remembers about a job: the highest attempt seen,
// and the members of that attempt that will not start any more.
type record struct {
	attempt int
	spent   map[int]spending
	heard   time.Time
}

// spending tells why a member of an attempt will not start.
type spending struct {
	stopped      bool // by request; otherwise the reservation lapsed
	neverStarted bool // it was reserved in this boot and did not start
}

// recall returns the record of the job, or nil when there is no room for
// another one. A record is dropped only when its job has no member here and
// was not heard of for recordKeep.
func (l *Ledger) recall(job uuid.UUID, now time.Time) *record {
	if r, ok := l.records[job]; ok {
		r.heard = now
		return r
	}
	if len(l.records) >= l.cfg.Jobs {
		l.dropRecords(now)
	}
	if len(l.records) >= l.cfg.Jobs {
		return nil
	}
	r := &record{spent: map[int]spending{}, heard: now}
	l.records[job] = r
	return r
}

func (l *Ledger) dropRecords(now time.Time) {
	present := map[uuid.UUID]bool{}
	for task := range l.members {
		present[task.Job] = true
	}
	for job, r := range l.records {
		if !present[job] && now.Sub(r.heard) >= recordKeep {
			delete(l.records, job)
		}
	}
}

// raise notes a higher attempt of the job. Earlier attempts end: what is only
// reserved is dropped, what may run is stopped.
func (l *Ledger) raise(r *record, job uuid.UUID, attempt int) {
	if attempt <= r.attempt {
		return
	}
	r.attempt, r.spent = attempt, map[int]spending{}
	for task, m := range l.members {
		if task.Job != job || task.Attempt >= attempt || !m.active() {
			continue
		}
		if m.mayRun() {
			m.wantStop(false, "a later attempt is known")
		} else {
			delete(l.members, task)
		}
	}
}
