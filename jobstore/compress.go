package jobstore

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

// maxRecord bounds a record after it was expanded: the store holds values of up to
// 1 MB, and a job has 4,096 tasks at most.
const maxRecord = 4 << 20

// writers are reused, because a new one takes several hundred kilobytes.
var writers = sync.Pool{New: func() any {
	w, err := flate.NewWriter(nil, flate.BestSpeed)
	if err != nil {
		panic(err) // the level is a constant that is in range
	}
	return w
}}

// compact returns the JSON of v, compressed. The tasks of a job differ in a few
// bytes, and every entry reads the records of all jobs, so that their size is
// most of what an entry on a narrow link receives.
func compact(v any) ([]byte, error) {
	var b bytes.Buffer
	w := writers.Get().(*flate.Writer)
	defer writers.Put(w)
	w.Reset(&b)
	if err := json.NewEncoder(w).Encode(v); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// expand reads what compact wrote, or JSON that is not compressed.
func expand(data []byte, v any) error {
	if len(data) > 0 && data[0] == '{' {
		return json.Unmarshal(data, v)
	}
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxRecord))
	if err != nil {
		return errors.Wrap(err, "compressed record")
	}
	return json.Unmarshal(plain, v)
}
