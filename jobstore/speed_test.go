package jobstore

import (
	"fmt"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill"
)

func manySpeeds(n int) SpeedRecord {
	rec := SpeedRecord{Workers: make(map[string]WorkerSpeed)}
	for i := range n {
		rec.Workers[fmt.Sprintf("side-zone-%d/i-a8ecc49d%02d/17867638258%02d", i%9, i, i)] = WorkerSpeed{RoundSpeed(0.5 + float64(i)/1234), RoundSpeed(float64(i) / 7)}
	}
	return rec
}

// Guards against a record of the speeds that takes the link of a small entry for long: at
// the design size of 1,100 workers it is written every five seconds at most.
func TestSizeOfSpeedRecord(t *testing.T) {
	rec := manySpeeds(1100)
	value, err := EncodeSpeeds(rec)
	require.NoError(t, err)
	require.Less(t, len(value), 40_000)
	t.Logf("%d bytes for 1,100 workers", len(value))
	decoded, err := DecodeSpeeds(value)
	require.NoError(t, err)
	require.Equal(t, rec, decoded)
}

// Guards against invalid speeds that reach the scheduler, and against a record that grows
// without bound.
func TestInvalidSpeedRecordsAreRejected(t *testing.T) {
	for name, value := range map[string]string{
		"not JSON": "{", "empty": "", "zero": `{"Workers":{"w":{"Speed":0,"Weight":1}}}`, "negative": `{"Workers":{"w":{"Speed":-1,"Weight":1}}}`,
		"absurd": `{"Workers":{"w":{"Speed":1e300,"Weight":1}}}`, "weight": `{"Workers":{"w":{"Speed":1,"Weight":-1}}}`, "no name": `{"Workers":{"":{"Speed":1,"Weight":1}}}`,
	} {
		t.Run(name, func(t *testing.T) {
			rec, err := DecodeSpeeds([]byte(value))
			require.Error(t, err)
			require.Empty(t, rec.Workers)
		})
	}
	_, err := EncodeSpeeds(manySpeeds(maxSpeedWorkers + 1))
	require.Error(t, err)
}

// Guards against a record of another writer that makes a new leader panic.
func FuzzDecodeSpeeds(f *testing.F) {
	value, err := EncodeSpeeds(manySpeeds(3))
	require.NoError(f, err)
	f.Add(value)
	f.Add([]byte(`{"Workers":null}`))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		rec, err := DecodeSpeeds(data)
		if err != nil {
			require.Empty(t, rec.Workers)
			return
		}
		_, err = EncodeSpeeds(rec)
		require.NoError(t, err)
	})
}

// Guards against a cache that keeps an old record of the speeds, or one that was removed.
func TestCacheHoldsSpeedRecord(t *testing.T) {
	c := NewCache(nil, zerolog.Nop())
	require.Empty(t, c.SpeedRecord())
	change := rosemarysill.Change{Item: rosemarysill.Item{Key: SpeedKey, Value: []byte("one"), Version: 3}}
	c.applyChange(change)
	require.Equal(t, []byte("one"), c.SpeedRecord())
	change.Deleted = true
	c.applyChange(change)
	require.Empty(t, c.SpeedRecord())
}
