package speed

import "time"

const (
	// maxRestartPercent and maxRestartAge bound the work that is lost with a run that is
	// started again elsewhere: its progress, and its age as a share of the duration on a
	// worker of speed 1.
	maxRestartPercent = 40
	maxRestartAge     = 0.75
	// restartMargin is the margin by which the workers of a new run have to be faster than
	// needed. Its duration is known better than that of a job that has not started.
	restartMargin = 0.1
)

// Progress is what is known about a run, or a member of a gang.
type Progress struct {
	Percent int
	Rate    float64       // percent a second; 0 if it has not been measured
	Speed   float64       // of its worker
	Age     time.Duration // since its first report
}

// Forecast is what the progress of the members of a gang, or of a single run, shows.
type Forecast struct {
	Remaining time.Duration // until the slowest one is done
	Usual     time.Duration // duration on workers of speed 1
	percent   int           // of the slowest one
	age       time.Duration // of the oldest one
	fastest   time.Duration // duration at the highest rate of a member; 0 for a single run
	speed     float64       // of the worker of the slowest one
}

// ForecastRun returns the forecast of a gang or a run, and false if no rate has been
// measured.
func ForecastRun(members []Progress) (f Forecast, ok bool) {
	var highest, usualRate float64
	for _, m := range members {
		f.age = max(f.age, m.Age)
		if m.Rate <= 0 {
			continue
		}
		if remaining := time.Duration(float64(completePercent-m.Percent) / m.Rate * float64(time.Second)); remaining > f.Remaining {
			f.Remaining, f.percent, f.speed = remaining, m.Percent, m.Speed
		}
		highest = max(highest, m.Rate)
		usualRate = max(usualRate, m.Rate/m.Speed)
	}
	if highest == 0 {
		return f, false
	}
	f.Usual = time.Duration(completePercent / usualRate * float64(time.Second))
	if len(members) > 1 {
		f.fastest = time.Duration(completePercent / highest * float64(time.Second))
	}
	return f, true
}

// RestartSpeed returns the speed of workers on which a new run is in time, if the run will
// miss its objective and little of it is done. It returns 0 if the run should go on. left
// is the time until the objective, and leftAfterStop that once the run has been stopped and
// a new one ordered. Without evidence that the worker is slow, the rate may be measured
// inexactly, or the task may be as slow on any worker.
func (f Forecast) RestartSpeed(left, leftAfterStop time.Duration) float64 {
	if f.speed >= 1 || f.percent > maxRestartPercent || f.age.Seconds() > maxRestartAge*f.Usual.Seconds() {
		return 0
	}
	if f.Remaining <= left || leftAfterStop <= 0 || f.fastest > leftAfterStop {
		return 0
	}
	return (1 + restartMargin) * f.Usual.Seconds() / leftAfterStop.Seconds()
}
