package worker

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rosemarysill/rosemarysill"
)

// Report returns the members for a heartbeat, with their digest. The digest of
// no members is 0, so that idle workers spend no bytes on it.
func (l *Ledger) Report(now time.Time) ([]rosemarysill.TaskReport, uint64) {
	l.expire(now)
	var reports []rosemarysill.TaskReport
	d := xxhash.New()
	for _, task := range l.sorted() {
		m := l.members[task]
		if m.unstarted() {
			continue
		}
		r := rosemarysill.TaskReport{
			Job:        task.Job,
			Attempt:    task.Attempt,
			Member:     task.Member,
			Members:    m.request.Spec.Shape.Members,
			State:      m.state(),
			Slot:       m.request.Slot,
			Detail:     m.detail,
			Checkpoint: m.checkpoint,
			Result:     m.result,
		}
		reports = append(reports, r)
		hashReport(d, &r)
	}
	if len(reports) == 0 {
		return nil, 0
	}
	return reports, max(d.Sum64(), 1)
}

func hashReport(d *xxhash.Digest, r *rosemarysill.TaskReport) {
	var numbers [16]byte
	binary.LittleEndian.PutUint64(numbers[:8], uint64(r.Attempt))
	binary.LittleEndian.PutUint64(numbers[8:], uint64(r.Member))
	_, _ = d.Write(r.Job[:])
	_, _ = d.Write(numbers[:])
	for _, text := range []string{string(r.State), r.Detail, r.Checkpoint, string(r.Result)} {
		binary.LittleEndian.PutUint64(numbers[:8], uint64(len(text)))
		_, _ = d.Write(numbers[:8])
		_, _ = d.WriteString(text)
	}
}

// Acknowledge notes that an entry has the report with the digest. Outcomes in
// it may be dropped later.
func (l *Ledger) Acknowledge(digest uint64, now time.Time) {
	if _, current := l.Report(now); digest != current {
		return
	}
	for _, m := range l.members {
		m.acked = m.acked || m.stage == finished
	}
}

func (l *Ledger) unacknowledged() int {
	n := 0
	for _, m := range l.members {
		if m.stage == finished && !m.acked {
			n++
		}
	}
	return n
}

// dropFinished drops outcomes that an entry has acknowledged: those older than
// RequestMemory, and the oldest beyond the bounds of number and size. The
// placing entry may die before it records an outcome, so it is kept for the
// next one. Outcomes that no entry has acknowledged are never dropped.
func (l *Ledger) dropFinished(now time.Time) {
	for {
		var oldest rosemarysill.RuntimeTask
		var at time.Time
		count, size := 0, 0
		for task, m := range l.members {
			if m.stage != finished {
				continue
			}
			count++
			size += len(m.result)
			if m.acked && (at.IsZero() || m.finishedAt.Before(at)) {
				oldest, at = task, m.finishedAt
			}
		}
		if at.IsZero() || (count <= l.cfg.Finished && size <= l.cfg.Results && now.Sub(at) < l.cfg.Timings.RequestMemory) {
			return
		}
		l.drop(oldest)
	}
}

// drop removes a finished member and keeps its end in the record of its job.
func (l *Ledger) drop(task rosemarysill.RuntimeTask) {
	m := l.members[task]
	delete(l.members, task)
	if rec := l.records[task.Job]; rec.attempt == task.Attempt {
		rec.spent[task.Member] = spending{stopped: true, neverStarted: m.neverStarted}
	}
}
