package jobstore

import (
	"math"

	"github.com/cockroachdb/errors"
)

// SpeedKey is the key of the record of the speeds of workers, which the leader writes.
const SpeedKey = "rs/speed"

// maxSpeedWorkers bounds the workers in the record. A record of 1,100 workers takes about
// 20 KB.
const maxSpeedWorkers = 4096

// maxWorkerName bounds the length of the name of an incarnation in the record, in bytes.
const maxWorkerName = 512

// Bounds of the values of WorkerSpeed.
const (
	minRecordedSpeed  = 1e-3
	maxRecordedSpeed  = 1e3
	maxRecordedWeight = 1e4
)

// WorkerSpeed is the estimate of the speed of a worker.
type WorkerSpeed struct {
	Speed  float64 // relative to the mean of its service
	Weight float64 // of the evidence
}

// SpeedRecord is the record under SpeedKey.
type SpeedRecord struct {
	Workers map[string]WorkerSpeed // by incarnation
}

// EncodeSpeeds encodes the record under SpeedKey.
func EncodeSpeeds(rec SpeedRecord) ([]byte, error) {
	if len(rec.Workers) > maxSpeedWorkers {
		return nil, errors.Newf("speeds of %d workers, the limit is %d", len(rec.Workers), maxSpeedWorkers)
	}
	return compress(rec)
}

// DecodeSpeeds decodes and checks the record under SpeedKey. The record is empty after an
// error.
func DecodeSpeeds(value []byte) (SpeedRecord, error) {
	var rec SpeedRecord
	if err := decompress(value, &rec); err != nil {
		return SpeedRecord{}, errors.Wrap(err, "speeds of workers")
	}
	if len(rec.Workers) > maxSpeedWorkers {
		return SpeedRecord{}, errors.Newf("speeds of %d workers, the limit is %d", len(rec.Workers), maxSpeedWorkers)
	}
	for id, w := range rec.Workers {
		if id == "" || len(id) > maxWorkerName || !(w.Speed >= minRecordedSpeed && w.Speed <= maxRecordedSpeed) || !(w.Weight >= 0 && w.Weight <= maxRecordedWeight) {
			return SpeedRecord{}, errors.Newf("speed %g with weight %g of worker %.40q is invalid", w.Speed, w.Weight, id)
		}
	}
	return rec, nil
}

// RoundSpeed rounds a speed or a weight to the precision of the record.
func RoundSpeed(v float64) float64 { return math.Round(v*1000) / 1000 }
