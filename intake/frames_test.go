package intake

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/net/http2"
)

// write returns the bytes that a client sends.
func write(t *testing.T, f func(w *http2.Framer) error) []byte {
	t.Helper()
	var b bytes.Buffer
	require.NoError(t, f(http2.NewFramer(&b, nil)))
	return b.Bytes()
}

func headers(t *testing.T, id uint32) []byte {
	return write(t, func(w *http2.Framer) error {
		return w.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: make([]byte, 30), EndHeaders: true})
	})
}

func data(t *testing.T, id uint32, end bool, payload []byte) []byte {
	return write(t, func(w *http2.Framer) error { return w.WriteData(id, end, payload) })
}

// message returns a part of a gRPC message that announces a length.
func message(length byte, part int) []byte {
	return append([]byte{0, 0, 0, 0, length}, make([]byte, part)...)
}

// Guards against memory of messages that is not counted, or that is counted after it was
// released, however the bytes of the frames are divided into reads.
func TestFrameScanner(t *testing.T) {
	cases := map[string]struct {
		sent [][]byte
		want int64
	}{
		"stream without a message": {[][]byte{headers(t, 1)}, streamBytes},
		"unfinished message":       {[][]byte{headers(t, 1), data(t, 1, false, message(100, 60))}, streamBytes + frameBytes + 60},
		"two frames":               {[][]byte{headers(t, 1), data(t, 1, false, message(100, 60)), data(t, 1, false, make([]byte, 30))}, streamBytes + 2*frameBytes + 90},
		"complete message":         {[][]byte{headers(t, 1), data(t, 1, false, message(100, 100))}, 0},
		"second message begun":     {[][]byte{headers(t, 1), data(t, 1, false, append(message(100, 100), message(50, 20)...))}, 20},
		"header of a message":      {[][]byte{headers(t, 1), data(t, 1, false, message(100, 0)[:3])}, streamBytes + frameBytes},
		"ended stream":             {[][]byte{headers(t, 1), data(t, 1, true, message(100, 60))}, 0},
		"reset stream": {[][]byte{headers(t, 1), data(t, 1, false, message(100, 60)),
			write(t, func(w *http2.Framer) error { return w.WriteRSTStream(1, http2.ErrCodeCancel) })}, 0},
		"two streams": {[][]byte{headers(t, 1), headers(t, 3), data(t, 3, false, message(100, 60)), data(t, 1, false, message(9, 9))}, streamBytes + frameBytes + 60},
		"padding": {[][]byte{headers(t, 1), write(t, func(w *http2.Framer) error { return w.WriteDataPadded(1, false, message(100, 60), make([]byte, 20)) }),
			data(t, 1, false, make([]byte, 10))}, streamBytes + 2*frameBytes + 70},
		"other frames": {[][]byte{write(t, func(w *http2.Framer) error { return w.WriteSettings() }),
			write(t, func(w *http2.Framer) error { return w.WritePing(false, [8]byte{}) }), headers(t, 1)}, streamBytes},
		"data of no stream": {[][]byte{data(t, 1, false, message(100, 60))}, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			all := append([]byte(http2.ClientPreface), bytes.Join(c.sent, nil)...)
			for _, size := range []int{1, 2, 7, len(all)} {
				f := newFrameScanner()
				for rest := all; len(rest) > 0; rest = rest[min(size, len(rest)):] {
					require.True(t, f.feed(rest[:min(size, len(rest))]))
				}
				require.Equal(t, c.want, f.held, "reads of %d bytes", size)
			}
		})
	}
}

// Guards against more streams than a client may have.
func TestTooManyStreams(t *testing.T) {
	f := newFrameScanner()
	f.feed([]byte(http2.ClientPreface))
	for i := range uint32(maxOpenStreams) {
		require.True(t, f.feed(headers(t, 2*i+1)))
	}
	require.False(t, f.feed(headers(t, 2*maxOpenStreams+1)))
}

// Guards against input that crashes the scanner or gives a negative amount of memory.
func FuzzFrameScanner(f *testing.F) {
	f.Add([]byte{0, 0, 1, 0, 8, 0, 0, 0, 1, 255})
	f.Fuzz(func(t *testing.T, input []byte) {
		s := newFrameScanner()
		s.skip = 0
		s.feed(input)
		require.GreaterOrEqual(t, s.held, int64(0))
		var sum int64
		for _, stream := range s.streams {
			sum += stream.held
		}
		require.Equal(t, sum, s.held)
	})
}
