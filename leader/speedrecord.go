package leader

import (
	"context"
	"math"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/control"
	"github.com/rosemarysill/rosemarysill/event"
	"github.com/rosemarysill/rosemarysill/jobstore"
	"github.com/rosemarysill/rosemarysill/speed"
	"github.com/rosemarysill/rosemarysill/uptime"
)

const (
	// speedSaveInterval is the least time between two records of the speeds. What a leader
	// loses with it is learned again from a few runs.
	speedSaveInterval = 5 * time.Second
	// speedSaveTimeout bounds the call.
	speedSaveTimeout = 2 * time.Second
	// An estimate has changed if the logarithm of the speed differs by minSavedDeviation or
	// the weight by a factor of minSavedGrowth.
	minSavedDeviation = 0.1
	minSavedGrowth    = 1.5
)

// loadSpeeds reads the speeds that an earlier leader recorded. They apply to workers that
// report with the same incarnation.
func (t *term) loadSpeeds() {
	value := t.cfg.Cache.SpeedRecord()
	if len(value) == 0 {
		return
	}
	rec, err := jobstore.DecodeSpeeds(value)
	if err != nil {
		event.QueueRecordBad.Log(t.cfg.Log).Str("Key", jobstore.SpeedKey).Err(err).Send()
		return
	}
	t.loadedSpeeds, t.recordedSpeeds = rec.Workers, rec.Workers
	event.LeaderSpeedsLoaded.Log(t.cfg.Log).Int("Workers", len(rec.Workers)).Uint64("Epoch", t.rec.Epoch).Send()
}

// restoreSpeed starts the estimate of a worker's incarnation from the recorded one.
func (t *term) restoreSpeed(w control.Worker) {
	if known, ok := t.loadedSpeeds[w.Incarnation]; ok {
		t.speeds.Restore(w.Service, speed.Estimate{Worker: w.Incarnation, Speed: known.Speed, Weight: known.Weight})
	}
}

// saveSpeeds records the speeds from time to time until ctx ends, if they have changed.
func (t *term) saveSpeeds(ctx context.Context) {
	for ctx.Err() == nil {
		uptime.Sleep(ctx, speedSaveInterval)
		t.mu.Lock()
		rec, changed := t.changedSpeeds()
		t.mu.Unlock()
		if !changed || ctx.Err() != nil {
			continue
		}
		if err := t.commitSpeeds(ctx, rec); err != nil {
			event.LeaderSpeedsUnsaved.Log(t.cfg.Log).Int("Workers", len(rec.Workers)).Err(err).Send()
			continue
		}
		t.mu.Lock()
		t.recordedSpeeds = rec.Workers
		t.mu.Unlock()
	}
}

// changedSpeeds returns the record of the present estimates, and whether it differs from
// the one in the store by more than decisions do.
func (t *term) changedSpeeds() (jobstore.SpeedRecord, bool) {
	rec := jobstore.SpeedRecord{Workers: make(map[string]jobstore.WorkerSpeed)}
	changed := false
	for _, e := range t.speeds.Estimates() {
		if w := t.workers[e.Worker]; w == nil || !w.attached {
			continue
		}
		known, ok := t.recordedSpeeds[e.Worker]
		changed = changed || !ok || math.Abs(math.Log(known.Speed/e.Speed)) > minSavedDeviation || e.Weight > minSavedGrowth*known.Weight
		rec.Workers[e.Worker] = jobstore.WorkerSpeed{Speed: jobstore.RoundSpeed(e.Speed), Weight: jobstore.RoundSpeed(e.Weight)}
	}
	return rec, changed
}

// commitSpeeds writes the record, guarded by the record of this leader. A write that takes
// effect late has older estimates, which the next one replaces.
func (t *term) commitSpeeds(ctx context.Context, rec jobstore.SpeedRecord) error {
	value, err := jobstore.EncodeSpeeds(rec)
	if err != nil {
		return err
	}
	callCtx, cancel := context.WithTimeout(ctx, speedSaveTimeout)
	defer cancel()
	_, _, err = t.cfg.Store.Commit(callCtx, rosemarysill.Commit{
		Guards: []rosemarysill.Guard{{Key: jobstore.LeaderKey, Version: t.leaderVersion}},
		Writes: []rosemarysill.Write{{Key: jobstore.SpeedKey, Value: value}},
	})
	return errors.Wrapf(err, "record of the speeds of %d workers", len(rec.Workers))
}
