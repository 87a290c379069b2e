package admission_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill/admission"
	"github.com/rosemarysill/rosemarysill/work"
)

// fleet is a settled fleet of 4 workers with 8 accelerators and one with 4 and a label.
func fleet() admission.Load {
	return admission.Load{Epoch: 1, Services: map[string]admission.Service{"s": {
		Settled: true,
		Kinds: []admission.Kind{
			{Capacity: work.Shape{MilliCPU: 8000, MemoryMB: 8000, Accelerators: 8}, Count: 4},
			{Capacity: work.Shape{MilliCPU: 4000, MemoryMB: 4000, Accelerators: 4}, Labels: []string{"fast"}, Count: 1},
		},
		Ahead: []time.Duration{time.Second, 25 * time.Second},
	}}}
}

// Guards against refusals of jobs that can be served, against the acceptance of those that
// cannot, and against decisions by a load that says too little.
func TestDecide(t *testing.T) {
	job := func(s work.Step) *work.Job {
		return &work.Job{Service: "s", Steps: []work.Step{s}, MaxSlowdown: 3, Objective: time.Second}
	}
	one := work.Shape{MilliCPU: 1000, MemoryMB: 1000, Accelerators: 1}
	for name, tc := range map[string]struct {
		job    *work.Job
		change func(*admission.Load)
		want   admission.Reason
	}{
		"fits":                      {job: job(work.Step{Count: 1, Shape: one})},
		"no size":                   {job: job(work.Step{Count: 1})},
		"more tasks than places":    {job: job(work.Step{Count: 1000, Shape: one})},
		"unknown label":             {job: job(work.Step{Count: 1, Shape: one, RequiredLabel: "x"}), want: admission.NoWorker},
		"label":                     {job: job(work.Step{Count: 4, Gang: true, Shape: one, RequiredLabel: "fast"})},
		"gang larger than label":    {job: job(work.Step{Count: 5, Gang: true, Shape: one, RequiredLabel: "fast"}), want: admission.NoGang},
		"label of a smaller worker": {job: job(work.Step{Count: 1, Shape: work.Shape{Accelerators: 8}, RequiredLabel: "fast"}), want: admission.NoWorker},
		"too large":                 {job: job(work.Step{Count: 1, Shape: work.Shape{MilliCPU: 1, Accelerators: 9}}), want: admission.NoWorker},
		"best effort":               {job: job(work.Step{Count: 1, Shape: work.Shape{MilliCPU: 99_000}, BestEffort: true})},
		"gang of the whole fleet":   {job: job(work.Step{Count: 36, Gang: true, Shape: one})},
		"gang beyond the fleet":     {job: job(work.Step{Count: 37, Gang: true, Shape: one}), want: admission.NoGang},
		"one member a worker":       {job: job(work.Step{Count: 5, Gang: true, Shape: one, MaxPerWorker: 1})},
		"too few workers":           {job: job(work.Step{Count: 6, Gang: true, Shape: one, MaxPerWorker: 1}), want: admission.NoGang},
		"not settled": {
			job: job(work.Step{Count: 1, Shape: one, RequiredLabel: "x"}), change: func(l *admission.Load) { l.Services["s"] = admission.Service{} },
		},
		"unknown service": {
			job: &work.Job{Service: "t", Steps: []work.Step{{Count: 1}}}, want: admission.NoWorker,
		},
		"unknown service, another is not settled": {
			job: &work.Job{Service: "t", Steps: []work.Step{{Count: 1}}}, change: func(l *admission.Load) { l.Services["u"] = admission.Service{} },
		},
		"no load":          {job: &work.Job{Service: "t", Steps: []work.Step{{Count: 1}}}, change: func(l *admission.Load) { *l = admission.Load{} }},
		"worth waiting":    {job: &work.Job{Service: "s", Priority: 1, MaxSlowdown: 3, Objective: time.Second, Steps: []work.Step{{Count: 1, Estimate: 1100 * time.Millisecond}}}},
		"no value":         {job: &work.Job{Service: "s", Priority: 1, MaxSlowdown: 3, Objective: time.Second, Steps: []work.Step{{Count: 1, Estimate: 1000 * time.Millisecond}}}, want: admission.Overloaded},
		"goes ahead":       {job: &work.Job{Service: "s", Priority: 0, MaxSlowdown: 3, Objective: time.Second, Steps: []work.Step{{Count: 1}}}},
		"nothing ahead":    {job: &work.Job{Service: "s", Priority: 2, Objective: time.Millisecond, Steps: []work.Step{{Count: 1}}}},
		"no objective":     {job: &work.Job{Service: "s", Priority: 1, Steps: []work.Step{{Count: 1}}}},
		"long-running":     {job: &work.Job{Service: "s", Priority: 1, Objective: time.Millisecond, Steps: []work.Step{{Count: 1, LongRunning: true}}}},
		"starts later":     {job: &work.Job{Service: "s", Priority: 1, Objective: time.Millisecond, Occurrences: 2, Steps: []work.Step{{Count: 1, RequiredLabel: "x"}}}},
		"invalid priority": {job: &work.Job{Service: "s", Priority: -1, Objective: time.Millisecond, Steps: []work.Step{{Count: 1}}}},
	} {
		t.Run(name, func(t *testing.T) {
			l := fleet()
			if tc.change != nil {
				tc.change(&l)
			}
			r := admission.Decide(l, tc.job)
			if tc.want == "" {
				require.Nil(t, r)
				return
			}
			require.NotNil(t, r)
			require.Equal(t, tc.want, r.Reason)
		})
	}
}

// Guards against refusals while workers may be restarting, under a leader that has not seen
// the fleet for long, and after the workers have come back.
func TestObserverSettles(t *testing.T) {
	begun := time.Unix(1000, 0)
	o := admission.NewObserver(3, begun)
	w := func(id string, labels ...string) admission.Worker {
		return admission.Worker{Incarnation: id, Service: "s", Capacity: work.Shape{MilliCPU: 2000, Accelerators: 2}, Labels: labels}
	}
	at := func(seconds int, workers ...admission.Worker) admission.Service {
		return o.Observe(workers, nil, begun.Add(time.Duration(seconds)*time.Second)).Services["s"]
	}
	require.False(t, at(0, w("a"), w("b", "x", "y")).Settled)
	require.False(t, at(29, w("a"), w("b", "y", "x")).Settled)
	s := at(31, w("a"), w("b", "x", "y"))
	require.True(t, s.Settled)
	require.Len(t, s.Kinds, 2)
	require.Len(t, at(60, w("a")).Kinds, 2, "b may be restarting")
	s = at(62, w("a"))
	require.Len(t, s.Kinds, 1, "b was last seen more than 30 s ago")
	require.False(t, s.Settled, "b may come back")
	require.True(t, at(93, w("a")).Settled)
	s = at(94, w("a"), w("b/2", "x", "y"))
	require.False(t, s.Settled)
	s = at(200)
	require.Empty(t, s.Kinds, "the service had workers")
	require.True(t, at(240).Settled)
}

// Guards against work ahead of a job that is counted although lower priorities or other
// services have it, or that does not end in finite time.
func TestWorkAhead(t *testing.T) {
	begun := time.Unix(1000, 0)
	workers := []admission.Worker{
		{Incarnation: "a", Service: "s", Capacity: work.Shape{MilliCPU: 10_000, Accelerators: 4}},
		{Incarnation: "b", Service: "t", Capacity: work.Shape{MilliCPU: 10_000}},
	}
	l := admission.NewObserver(1, begun).Observe(workers, []admission.Work{
		{Service: "s", Priority: 0, Shape: work.Shape{MilliCPU: 1000, Accelerators: 1}, Duration: 8 * time.Second},
		{Service: "s", Priority: 2, Shape: work.Shape{MilliCPU: 5000}, Duration: 20 * time.Second},
		{Service: "t", Priority: 1, Shape: work.Shape{Accelerators: 1}, Duration: time.Hour},
		{Service: "s", Priority: 99, Shape: work.Shape{MilliCPU: 1}, Duration: time.Hour},
	}, begun)
	require.Equal(t, []time.Duration{2 * time.Second, 2 * time.Second, 10800 * time.Millisecond}, l.Services["s"].Ahead)
	require.Equal(t, []time.Duration{0, 0}, l.Services["t"].Ahead, "the service has no accelerators; its shape is refused for that")
}

// Guards against a record for each change of the work ahead, and against a change that
// matters and is not published.
func TestDiffers(t *testing.T) {
	require.False(t, admission.Differs(fleet(), fleet()))
	for name, tc := range map[string]struct {
		change func(*admission.Service)
		want   bool
	}{
		"a little more work": {func(s *admission.Service) { s.Ahead[1] += 5 * time.Second }, false},
		"short work":         {func(s *admission.Service) { s.Ahead[0] = 0 }, false},
		"more work":          {func(s *admission.Service) { s.Ahead[1] += 10 * time.Second }, true},
		"less work":          {func(s *admission.Service) { s.Ahead[1] = 0 }, true},
		"another worker":     {func(s *admission.Service) { s.Kinds[0].Count++ }, true},
		"another label":      {func(s *admission.Service) { s.Kinds[0].Labels = []string{"x"} }, true},
		"not settled":        {func(s *admission.Service) { s.Settled = false }, true},
	} {
		t.Run(name, func(t *testing.T) {
			l := fleet()
			s := l.Services["s"]
			tc.change(&s)
			l.Services["s"] = s
			require.Equal(t, tc.want, admission.Differs(fleet(), l))
		})
	}
	require.True(t, admission.Differs(fleet(), admission.Load{Epoch: 2, Services: fleet().Services}))
}

// Guards against records that stop an entry, or that are larger than an entry accepts.
func FuzzLoad(f *testing.F) {
	value, err := admission.Encode(fleet())
	require.NoError(f, err)
	f.Add(value)
	f.Add([]byte(`{"Epoch":1,"Services":{"s":{"Settled":true,"Kinds":[{"Capacity":{"MilliCPU":-1},"Count":2147483647}],"Ahead":[-1]}}}`))
	f.Add([]byte(`{"Services":{"s":{"Settled":true,"Kinds":[{"Count":2147483647},{"Count":2147483647}],"Ahead":[9223372036854775807]}}}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		l, err := admission.Decode(body)
		if err != nil {
			require.Empty(t, l)
			return
		}
		for name := range l.Services {
			_ = admission.Decide(l, &work.Job{Service: name, MaxSlowdown: 2, Steps: []work.Step{{Count: 1, Gang: true, Shape: work.Shape{MilliCPU: 1}, RequiredLabel: "x"}}})
			_ = admission.Decide(l, &work.Job{Service: name, Objective: time.Second, Steps: []work.Step{{Count: 1 << 30, Gang: true}}})
		}
		_ = admission.Differs(l, fleet())
	})
}
