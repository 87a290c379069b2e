package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/admission"
	"github.com/rosemarysill/rosemarysill/jobstore"
	"github.com/rosemarysill/rosemarysill/queue"
	"github.com/rosemarysill/rosemarysill/standin"
	"github.com/rosemarysill/rosemarysill/work"
)

// Guards against refusals by the load of an earlier leader or for a job that is on record
// or within a guarantee, and against refusals that do not last because there is no mark.
func TestSubmissionUnderLoad(t *testing.T) {
	for name, tc := range map[string]struct {
		epoch      uint64 // of the load; that of the leader is 5
		label      string // that the job requires
		ahead      time.Duration
		priority   int
		guaranteed int64
		recorded   bool
		want       rosemarysill.Code
	}{
		"no worker has the label": {epoch: 5, label: "x", priority: 1, want: rosemarysill.NoCapacity},
		"load of another leader":  {epoch: 4, label: "x", priority: 1, want: rosemarysill.Done},
		"within a guarantee":      {epoch: 5, label: "x", guaranteed: 4, want: rosemarysill.Done},
		"job on record":           {epoch: 5, label: "x", priority: 1, recorded: true, want: rosemarysill.Done},
		"overloaded":              {epoch: 5, ahead: time.Minute, priority: 1, want: rosemarysill.Overloaded},
		"some work ahead":         {epoch: 5, ahead: 5 * time.Second, priority: 1, want: rosemarysill.Done},
	} {
		t.Run(name, func(t *testing.T) {
			s := standin.NewTransactions()
			g, cfg := markedEntry(s)
			cfg.Queues[0].Priority, cfg.Queues[0].Objective, cfg.Queues[0].MaxSlowdown, cfg.Queues[0].Public = tc.priority, time.Second, 1, false
			cfg.Accounts["a"] = queue.Account{Name: "a", Keys: []string{"k"}, GuaranteedAccelerators: tc.guaranteed}
			cfg.Index()
			job := testJob()
			job.Steps[0] = work.Step{Count: 1, Shape: work.Shape{MilliCPU: 1000, Accelerators: 1}, RequiredLabel: tc.label}
			value, err := admission.Encode(admission.Load{Epoch: tc.epoch, Services: map[string]admission.Service{"s": {
				Settled: true, Kinds: []admission.Kind{{Capacity: work.Shape{MilliCPU: 4000, Accelerators: 4}, Count: 1}}, Ahead: []time.Duration{tc.ahead, tc.ahead},
			}}})
			require.NoError(t, err)
			s.Put(jobstore.LoadKey, value)
			s.Put(jobstore.LeaderKey, []byte(`{"Name":"l","Address":"127.0.0.1:1","Epoch":5}`))
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() { defer close(done); g.cfg.Cache.Run(ctx) }()
			defer func() { cancel(); <-done }()
			<-g.cfg.Cache.Synced()
			if tc.recorded {
				require.NoError(t, g.writeJob(ctx, cfg, job, new(uint64))) // the copy need not have it
			}
			c := testCall(nil)
			c.Key = "k"
			if !tc.recorded {
				_, refusal, err := g.Preview(c.Host, c.Path, "a", job)
				require.NoError(t, err)
				require.Equal(t, tc.want, rosemarysill.CodeOf(refusal), "the preview of the submission")
				require.Empty(t, s.Keys(jobstore.MarkKey("")), "the preview leaves no mark")
				require.Empty(t, s.Keys(jobstore.JobKey("")))
			}
			err = g.Submit(ctx, c, func() (*work.Job, error) { return job, nil })
			require.Equal(t, tc.want, rosemarysill.CodeOf(err))
			refused := tc.want != rosemarysill.Done
			require.Equal(t, refused, rosemarysill.RetryAfterOf(err) >= time.Second)
			require.Equal(t, refused, len(s.Keys(jobstore.MarkKey(""))) == 1)
			require.Equal(t, refused, len(s.Keys(jobstore.JobKey(""))) == 0)
		})
	}
}
