package leader

import (
	"context"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/control"
	"github.com/rosemarysill/rosemarysill/jobstore"
	"github.com/rosemarysill/rosemarysill/uptime"
	"github.com/rosemarysill/rosemarysill/work"
)

// Guards against a former leader that extends leases on reports that its successor does
// not know of, or orders starts. The time until which its own lease was renewed may still
// be in the future then.
func TestEndedTermOrdersNothing(t *testing.T) {
	for name, end := range map[string]func(*term){
		"closed":                  func(t *term) { t.close() },
		"about to end":            func(t *term) { t.recordEndCause(errors.Wrap(errDeposed, "commit of 1 job")) },
		"lease lost at the store": func(t *term) { t.renewOnce(context.Background()) },
		"lease expired":           func(t *term) { t.leaseExpiry = uptime.Now() }, // and this entry was suspended
	} {
		t.Run(name, func(t *testing.T) {
			const id = "a/i/1"
			cfg := Config{Store: delayedRenewal{err: rosemarysill.ErrLeaseLapsed}, Log: zerolog.Nop()}
			term := newTerm(cfg, jobstore.LeaderRecord{Epoch: 1}, 1, 1, uptime.Now().Add(time.Minute))
			j := &work.Job{ID: "j", MaxAttempts: 2, Steps: []work.Step{{Count: 1}}}
			p := work.NewProgress(j)
			p.Place(&p.Tasks[0], id, "", 1)
			term.jobs["j"] = &jobState{job: j, progress: p, committed: append([]work.Task(nil), p.Tasks...)}
			stream := term.newStream()
			report := control.Report{Agent: "a", Stamp: uptime.Now(), Worker: &control.Worker{Incarnation: id}}
			require.NoError(t, term.report(stream, report))
			term.workers[id].placedAt[work.RunKey{Task: work.TaskKey{Job: "j"}, Run: 1}] = uptime.Now()
			o, ok := stream.orders()
			require.True(t, ok && o.ExtendsLease)
			require.Len(t, o.Starts, 1)

			end(term)
			report.Stamp = uptime.Now()
			_ = term.report(stream, report) // it may be rejected
			o, ok = stream.orders()
			require.False(t, ok && o.ExtendsLease, "the lease is extended")
			require.False(t, ok && len(o.Starts) > 0, "a start is ordered")
		})
	}
}

// Guards against a message of orders that is larger than a stream accepts, and against one
// that seems to take the starts back that it leaves out.
func TestOrdersAreBounded(t *testing.T) {
	const id = "a/i/1"
	term := newTerm(Config{Log: zerolog.Nop()}, jobstore.LeaderRecord{Epoch: 1}, 1, 1, uptime.Now().Add(time.Minute))
	j := &work.Job{ID: "0123456789abcdef", MaxAttempts: 2, Spec: strings.Repeat("\x01", 4000), Steps: []work.Step{{Count: 3000}}}
	p := work.NewProgress(j)
	for i := range p.Tasks {
		p.Place(&p.Tasks[i], id, "", 1)
	}
	term.jobs[j.ID] = &jobState{job: j, progress: p, committed: append([]work.Task(nil), p.Tasks...)}
	stream := term.newStream()
	require.NoError(t, term.report(stream, control.Report{Agent: "a", Stamp: uptime.Now(), Worker: &control.Worker{Incarnation: id}}))
	for i := range p.Tasks {
		term.workers[id].placedAt[work.RunKey{Task: work.TaskKey{Job: j.ID, Index: i}, Run: 1}] = uptime.Now()
	}
	o, ok := stream.orders()
	require.True(t, ok)
	data, err := json.Marshal(o)
	require.NoError(t, err)
	require.Less(t, len(data), 4<<20)
	ordered := make(map[work.RunKey]bool)
	for _, s := range o.Starts {
		require.Equal(t, j.Spec, s.Spec)
		ordered[s.Key] = true
	}
	for _, k := range o.Deferred {
		ordered[k] = true
	}
	require.NotEmpty(t, o.Starts)
	require.Len(t, ordered, len(p.Tasks))
	require.Equal(t, len(p.Tasks), len(o.Starts)+len(o.Deferred))
}
