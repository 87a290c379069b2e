package jobstore

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

// maxRecordBytes bounds the size of a decompressed record. The store holds values of up
// to 1 MB, and a job has at most 4,096 tasks.
const maxRecordBytes = 4 << 20

// compressors holds writers for reuse, because a new one allocates several hundred
// kilobytes.
var compressors = sync.Pool{New: func() any {
	w, err := flate.NewWriter(nil, flate.BestSpeed)
	if err != nil {
		panic(err) // the level is a constant in the valid range
	}
	return w
}}

// compress returns the compressed JSON of v. Every entry reads the records of all jobs,
// so they are most of the traffic of an entry on a narrow link, and they compress well
// because the tasks of a job differ in a few bytes only.
func compress(v any) ([]byte, error) {
	var b bytes.Buffer
	w := compressors.Get().(*flate.Writer)
	defer compressors.Put(w)
	w.Reset(&b)
	if err := json.NewEncoder(w).Encode(v); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// decompress decodes the result of compress into v, or JSON that is not compressed.
func decompress(data []byte, v any) error {
	if len(data) > 0 && data[0] == '{' {
		return json.Unmarshal(data, v)
	}
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxRecordBytes))
	if err != nil {
		return errors.Wrapf(err, "decompress record of %d bytes", len(data))
	}
	return json.Unmarshal(plain, v)
}
