package jobstore

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill/work"
)

// Guards against records that saturate the links of the entries: on links of 2 Mbit/s
// the leader lost its lease in a burst, because every change of a job of 78 tasks
// was a record of 11 KB that the leader wrote and each entry read.
func TestProgressIsCompressed(t *testing.T) {
	p := &work.Progress{State: work.Running}
	for i := range 78 {
		p.Tasks = append(p.Tasks, work.Task{Run: 1, Worker: fmt.Sprintf("side-zone-%d/i-a8ecc49d%02d/17867638258%02d", i%9, i, i), Checkpoint: fmt.Sprintf("00000bb87a21d%03d", i*7)})
	}
	value, err := EncodeProgress(p)
	require.NoError(t, err)
	plain, err := json.Marshal(p)
	require.NoError(t, err)
	require.Less(t, len(value), len(plain)/3)
	decoded, err := decodeProgress(value)
	require.NoError(t, err)
	require.Equal(t, p, decoded)
	decoded, err = decodeProgress(plain)
	require.NoError(t, err, "an uncompressed record of the previous version")
	require.Equal(t, p, decoded)
}

// Guards against a record of another writer that makes an entry panic or run out of
// memory.
func FuzzDecodeProgress(f *testing.F) {
	value, err := EncodeProgress(&work.Progress{State: work.Running, Tasks: make([]work.Task, 3)})
	require.NoError(f, err)
	f.Add(value)
	f.Add([]byte("{}"))
	f.Add([]byte{})
	f.Fuzz(func(_ *testing.T, data []byte) {
		p, err := decodeProgress(data)
		if (p == nil) == (err == nil) {
			panic("decodeProgress returned neither a progress nor an error, or both")
		}
	})
}
