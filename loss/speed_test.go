package loss

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill/history"
)

// unevenLog is a day of six workers, of which every third takes 2.4 times as long. Ten
// batch steps of six tasks run on all of them, their tasks alike within some 10%. Each of
// three urgent gangs of two has a member on a slow worker, three have none.
func unevenLog() string {
	var b strings.Builder
	line := func(at time.Duration, format string, args ...any) {
		fmt.Fprintf(&b, `{%s,"time":%q}`+"\n", fmt.Sprintf(format, args...), time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC).Add(at).Format(time.RFC3339Nano))
	}
	factor := func(worker int) float64 {
		if worker%3 == 2 {
			return 2.4
		}
		return 1
	}
	run := func(job string, index, worker int, from, duration time.Duration) {
		line(from, `"Name":"LeaderPlaced","Job":%q,"Run":"0.0.%d/1","Worker":"a%d/i/1"`, job, index, worker)
		line(from+duration, `"Name":"LeaderRunEnded","Job":%q,"Run":"0.0.%d/1","Worker":"a%d/i/1","How":"done"`, job, index, worker)
	}
	for w := range 6 {
		line(0, `"Name":"LeaderWorkerSeen","Worker":"a%d/i/1","Agent":"a%d","Capacity":{"MilliCPU":32000,"MemoryMB":1000,"Accelerators":8}`, w, w)
	}
	for n := range 10 {
		job, from := fmt.Sprint("batch", n), time.Duration(n)*20*time.Second
		line(from, `"Name":"LeaderJob","Job":%q,"Priority":2,"Steps":"6x1a1c10M","Estimate":4000,"Objective":60000,"MaxSlowdown":3`, job)
		for w := range 6 {
			own := 4 + 0.4*float64((w+n)%3)/2
			run(job, w, w, from, time.Duration(own*factor(w)*float64(time.Second)))
		}
		line(from+11*time.Second, `"Name":"LeaderJobEnded","Job":%q,"State":"completed"`, job)
	}
	for n := range 6 {
		job, from := fmt.Sprint("urgent", n), time.Duration(200+n*10)*time.Second
		other, slowest := 1, 1.0
		if n < 3 {
			other, slowest = 2, 2.4
		}
		line(from, `"Name":"LeaderJob","Job":%q,"Priority":0,"Steps":"2x1a1c10M gang","Estimate":2000,"Objective":3250,"MaxSlowdown":1.5`, job)
		d := time.Duration(2 * slowest * float64(time.Second))
		run(job, 0, 0, from, d)
		run(job, 1, other, from, d)
		line(from+d, `"Name":"LeaderJobEnded","Job":%q,"State":"completed"`, job)
	}
	return b.String()
}

// Guards against a day that is printed as served although every urgent job that met a slow
// worker was late: a job's own duration was taken to be that on the slow worker.
func TestUnevenWorkers(t *testing.T) {
	var r history.Reader
	require.NoError(t, r.Read("log", strings.NewReader(unevenLog())))
	require.Zero(t, r.Bad)
	d, err := NewDay(r.Lines)
	require.NoError(t, err)

	require.Len(t, d.Groups, 2)
	mean := (4*1 + 2*2.4) / 6
	require.Equal(t, 4, d.Groups[0].Workers)
	require.InDelta(t, 1/mean, d.Groups[0].TimeFactor, 0.03)
	require.Equal(t, 2, d.Groups[1].Workers)
	require.InDelta(t, 2.4/mean, d.Groups[1].TimeFactor, 0.06)

	verdicts := make(map[string]Verdict)
	for _, j := range d.Jobs {
		verdicts[j.ID] = j.Verdict(d.End)
	}
	for n := range 6 {
		want := OnTime
		if n < 3 {
			want = Late
		}
		require.Equal(t, want, verdicts[fmt.Sprint("urgent", n)], n)
	}
	worths := Worths{0: {OnTime: 4, Late: 0.8}}
	losses := d.Losses(worths)
	require.Equal(t, 3, losses[0][Slow].Jobs)
	require.InDelta(t, 1, d.Bound(worths).Share(), 1e-9, "there is room for all on fast workers")
	var out strings.Builder
	require.NoError(t, d.Write(&out, worths))
	require.Contains(t, out.String(), "time factor")
}

// Guards against speeds from steps that compare nothing: a run alone, tasks on one worker,
// and gangs, whose members end together.
func TestNoComparison(t *testing.T) {
	d := readDay(t)
	require.Len(t, d.Groups, 1)
	require.Equal(t, Group{Workers: 1, TimeFactor: 1, Capacity: d.Groups[0].Capacity}, d.Groups[0])
	for _, j := range d.Jobs {
		for _, r := range j.Runs {
			require.Equal(t, 1.0, r.TimeFactor)
		}
	}
}

// Guards against a bound that lets a job on slow workers run as fast as on others.
func TestBoundUsesFastWorkersFirst(t *testing.T) {
	var r history.Reader
	require.NoError(t, r.Read("log", strings.NewReader(unevenLog())))
	d, err := NewDay(r.Lines)
	require.NoError(t, err)
	urgent := d.Jobs[len(d.Jobs)-1]
	own := urgent.stepDuration(0)
	free := d.freeTicks()
	require.True(t, d.allocate(free, urgent, 2*time.Second+2*tick))
	i := d.tickAt(urgent.Accepted)
	require.Less(t, free[i][0].Accelerators, d.freeTicks()[i][0].Accelerators)
	require.Equal(t, d.freeTicks()[i][1], free[i][1])
	require.Greater(t, own, 2500*time.Millisecond, "on workers of mean speed")
}
