package runner

import (
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill/work"
)

// accelerators returns a shape of n accelerators, with a core and 100 MB for each.
func accelerators(n int64) work.Shape {
	return work.Shape{MilliCPU: 1000 * n, MemoryMB: 100 * n, Accelerators: n}
}

// Guards against a leader that learns of a capacity that has shrunk, or grown, only
// with the next periodic report.
func TestChangeOfCapacityIsReportedAtOnce(t *testing.T) {
	for name, c := range map[string]struct {
		capacity work.Shape
		sequence uint64
		reported bool
	}{
		"shrinks":                 {accelerators(4), 2, true},
		"grows":                   {accelerators(16), 2, true},
		"unchanged":               {accelerators(8), 2, false},
		"report arrived too late": {accelerators(4), 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			r := New(Config{Name: "a", Log: zerolog.Nop()})
			a := work.Announcement{ID: "i", StartedAtMS: 1, Sequence: 1, State: work.WorkerReady, Capacity: accelerators(8)}
			r.Announce(a)
			r.worker.renewAt(work.RuntimeReply{}, r.worker.fence, at(0))
			a.Capacity, a.Sequence = c.capacity, c.sequence
			r.Announce(a)
			want := accelerators(8)
			if c.reported {
				want = c.capacity
			}
			require.Equal(t, want, r.worker.report(at(0)).Worker.Capacity)
			require.Equal(t, c.reported, len(r.reportNow) > 0)
		})
	}
}
