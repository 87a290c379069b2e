package loss

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill/history"
)

// logOf returns lines as the leader writes them: a worker of 8 accelerators; an urgent
// job that waits until a batch job is preempted for it and is late; the batch job, which
// starts again and is on time; and a gang whose first run fails by one member.
const logOf = `
{"Name":"LeaderWorkerSeen","Worker":"a/i/1","Agent":"a","Capacity":{"MilliCPU":32000,"MemoryMB":1000,"Accelerators":8},"time":"2026-01-01T00:00:00Z"}
{"Name":"LeaderJob","Job":"batch","Account":"x","Priority":2,"Steps":"1x8a1c10M","Estimate":4000,"Objective":30000,"MaxSlowdown":3,"time":"2026-01-01T00:00:00Z"}
{"Name":"LeaderPlaced","Job":"batch","Run":"0.0.0/1","Worker":"a/i/1","time":"2026-01-01T00:00:00Z"}
{"Name":"LeaderJob","Job":"urgent","Account":"x","Priority":0,"Steps":"1x8a1c10M","Estimate":2000,"Objective":2500,"MaxSlowdown":1,"time":"2026-01-01T00:00:02Z"}
{"Name":"LeaderStopped","Job":"batch","Run":"0.0.0/1","Worker":"a/i/1","Why":"preempted by a more urgent job","time":"2026-01-01T00:00:02Z"}
{"Name":"LeaderRunEnded","Job":"batch","Run":"0.0.0/1","Worker":"a/i/1","How":"stopped","time":"2026-01-01T00:00:03Z"}
{"Name":"LeaderPlaced","Job":"urgent","Run":"0.0.0/1","Worker":"a/i/1","time":"2026-01-01T00:00:03Z"}
{"Name":"LeaderRunEnded","Job":"urgent","Run":"0.0.0/1","Worker":"a/i/1","How":"done","time":"2026-01-01T00:00:05Z"}
{"Name":"LeaderJobEnded","Job":"urgent","State":"completed","time":"2026-01-01T00:00:05Z"}
{"Name":"LeaderPlaced","Job":"batch","Run":"0.0.0/2","Worker":"a/i/1","time":"2026-01-01T00:00:05Z"}
{"Name":"LeaderRunEnded","Job":"batch","Run":"0.0.0/2","Worker":"a/i/1","How":"done","time":"2026-01-01T00:00:09Z"}
{"Name":"LeaderJobEnded","Job":"batch","State":"completed","time":"2026-01-01T00:00:09Z"}
{"Name":"LeaderJob","Job":"gang","Account":"x","Priority":1,"Steps":"2x1a1c10M gang rack","Estimate":1000,"Objective":9000,"MaxSlowdown":3,"time":"2026-01-01T00:00:10Z"}
{"Name":"LeaderPlaced","Job":"gang","Run":"0.0.0/1","Worker":"a/i/1","time":"2026-01-01T00:00:10Z"}
{"Name":"LeaderPlaced","Job":"gang","Run":"0.0.1/1","Worker":"a/i/1","time":"2026-01-01T00:00:10Z"}
{"Name":"LeaderRunEnded","Job":"gang","Run":"0.0.0/1","Worker":"a/i/1","How":"failed","time":"2026-01-01T00:00:11Z"}
{"Name":"LeaderStopped","Job":"gang","Run":"0.0.1/1","Worker":"a/i/1","Why":"another gang member has ended","time":"2026-01-01T00:00:11Z"}
{"Name":"LeaderRunEnded","Job":"gang","Run":"0.0.1/1","Worker":"a/i/1","How":"broken","time":"2026-01-01T00:00:11Z"}
`

func readDay(t *testing.T) *Day {
	var r history.Reader
	require.NoError(t, r.Read("log", strings.NewReader(logOf)))
	require.Zero(t, r.Bad)
	d, err := NewDay(r.Lines)
	require.NoError(t, err)
	return d
}

// Guards against losses that are put down to the wrong cause, or counted for work that
// was done.
func TestLosses(t *testing.T) {
	d := readDay(t)
	verdicts := make(map[string]Verdict)
	for _, j := range d.Jobs {
		verdicts[j.ID] = j.Verdict(d.End)
	}
	require.Equal(t, map[string]Verdict{"batch": OnTime, "urgent": Late, "gang": Excluded}, verdicts)
	losses := d.Losses(Worths{0: {OnTime: 4, Late: 1}})
	require.Equal(t, map[Cause]Amount{Waited: {Jobs: 1, Value: 3}}, losses[0])
	require.Equal(t, map[Cause]Amount{Preempted: {Runs: 1, CoreSeconds: 3 * 65}}, losses[2])
	require.Equal(t, map[Cause]Amount{Failed: {Runs: 2, CoreSeconds: 2 * 9}}, losses[1], "a member shares the cause of the gang")
	delays := d.Jobs[0].Delays(d.End)
	require.Equal(t, 3*time.Second, delays[Preempted])
	require.Equal(t, 2*time.Second, delays[Waited])
}

// Guards against a bound that counts capacity twice or misses some: one worker can serve
// both jobs in time if the urgent one goes first, and nothing without a worker.
func TestBound(t *testing.T) {
	d := readDay(t)
	worths := Worths{0: {OnTime: 4, Late: 1}}
	require.InDelta(t, 2.0/5, d.Served(worths).Share(), 1e-9)
	require.InDelta(t, 1, d.Bound(worths).Share(), 1e-9)
	d.capacity = nil
	require.Zero(t, d.Bound(worths).Share())
}

// Guards against reports on logs that cannot be read.
func TestMalformedLines(t *testing.T) {
	for name, line := range map[string]string{
		"steps":         `{"Name":"LeaderJob","Job":"j","Priority":1,"Steps":"many","Estimate":1,"Objective":1}`,
		"priority":      `{"Name":"LeaderJob","Job":"j","Steps":"1x1a1c1M","Estimate":1,"Objective":1}`,
		"duration":      `{"Name":"LeaderJob","Job":"j","Priority":1,"Steps":"1x1a1c1M","Estimate":"long","Objective":1}`,
		"capacity":      `{"Name":"LeaderWorkerSeen","Worker":"a/i/1","Agent":"a","Capacity":8}`,
		"new capacity":  `{"Name":"LeaderCapacity","Worker":"a/i/1","Agent":"a","Capacity":8}`,
		"run":           `{"Name":"LeaderPlaced","Job":"batch","Run":"0.0/1","Worker":"a/i/1"}`,
		"unknown step":  `{"Name":"LeaderPlaced","Job":"batch","Run":"0.7.0/1","Worker":"a/i/1"}`,
		"number of run": `{"Name":"LeaderPlaced","Job":"batch","Run":"0.0.0/x","Worker":"a/i/1"}`,
	} {
		t.Run(name, func(t *testing.T) {
			var r history.Reader
			require.NoError(t, r.Read("log", strings.NewReader(logOf+strings.Replace(line, "}", `,"time":"2026-01-01T00:00:30Z"}`, 1))))
			_, err := NewDay(r.Lines)
			require.Error(t, err)
		})
	}
}

// Guards against a bound that counts capacity which a worker did not have any more when
// the jobs ran, or that misses capacity which has grown.
func TestBoundFollowsCapacity(t *testing.T) {
	change := func(worker, at string, accelerators int) string {
		return fmt.Sprintf(`{"Name":"LeaderCapacity","Worker":%q,"Agent":"a","Before":{},"Capacity":{"MilliCPU":32000,"MemoryMB":1000,"Accelerators":%d},"time":"2026-01-01T00:00:%sZ"}`+"\n", worker, accelerators, at)
	}
	for name, c := range map[string]struct {
		lines string
		want  float64
	}{
		"unchanged": {"", 1},
		// At half speed the urgent job takes 4 s, so it is late (1 of 5), and the batch job
		// has 7 of its 8 s when the logs end.
		"shrinks":                     {change("a/i/1", "00", 4), 1.0 / 5},
		"shrinks and grows":           {change("a/i/1", "00", 4) + change("a/i/1", "00.5", 8), 1},
		"line of an earlier instance": {change("a/i/0", "00", 4), 1},
	} {
		t.Run(name, func(t *testing.T) {
			var r history.Reader
			require.NoError(t, r.Read("log", strings.NewReader(logOf+c.lines)))
			d, err := NewDay(r.Lines)
			require.NoError(t, err)
			require.InDelta(t, c.want, d.Bound(Worths{0: {OnTime: 4, Late: 1}}).Share(), 1e-9)
		})
	}
}
