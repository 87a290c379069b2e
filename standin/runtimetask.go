package standin

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/rosemarysill/rosemarysill"
)

// TaskBody tells the stand-in how a task behaves. It is the JSON body of a
// TaskStart; an empty body ends at once with success.
type TaskBody struct {
	RunSeconds        float64 // of work at full share
	Result            string
	Fail              bool    // the task fails after RunSeconds
	Hang              bool    // the task never ends by itself
	CheckpointSeconds float64 // time to save a checkpoint
	StopSeconds       float64 // time to stop
	Cores             float64 // used while it runs
	MB                int     // used while it runs
}

type runtimeTask struct {
	start    rosemarysill.TaskStart
	body     TaskBody
	state    rosemarysill.TaskState
	detail   string
	saved    string // checkpoint
	started  time.Time
	ended    time.Time
	lease    time.Time
	stopAt   time.Time // end of a stop in progress
	share    float64
	progress float64 // seconds of work done at since
	since    time.Time
}

func (t *runtimeTask) live() bool {
	return t.state == rosemarysill.TaskRunning || t.state == rosemarysill.TaskStopping
}

func (t *runtimeTask) progressAt(now time.Time) float64 {
	return t.progress + now.Sub(t.since).Seconds()*t.share
}

// finish returns the time at which the task ends by itself, and false when it
// does not.
func (t *runtimeTask) finish() (time.Time, bool) {
	if t.body.Hang || t.share <= 0 {
		return time.Time{}, false
	}
	return t.since.Add(seconds(max(0, t.body.RunSeconds-t.progress) / t.share)), true
}

// seconds converts a number of seconds, at most 10 years, to a duration.
func seconds(s float64) time.Duration {
	return time.Duration(min(s, 10*365*86400) * float64(time.Second))
}

// checkpointName names a checkpoint by the seconds of work that it holds, so
// that any stand-in runtime can resume from it.
func checkpointName(id rosemarysill.RuntimeTask, progress float64) string {
	return fmt.Sprintf("checkpoint/%s/%d/%d/%.6f", id.Job, id.Attempt, id.Member, progress)
}

func parseCheckpoint(name string) (float64, error) {
	done, err := strconv.ParseFloat(name[strings.LastIndex(name, "/")+1:], 64)
	if err != nil || !(done >= 0) {
		return 0, fmt.Errorf("unknown name %q", name)
	}
	return done, nil
}
