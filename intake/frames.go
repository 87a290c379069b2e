package intake

import "encoding/binary"

// Parts of HTTP/2 frames and of gRPC messages in them.
const (
	prefaceBytes  = 24
	frameHeader   = 9
	messageHeader = 5 // a flag and the length

	frameData     = 0x0
	frameHeaders  = 0x1
	frameReset    = 0x3
	flagEndStream = 0x1
	flagPadded    = 0x8
)

// MaxStreams is the number of concurrent streams on a gRPC connection. A relay has one
// connection to an entry, on which it sends all its calls.
const MaxStreams = 1024

// maxOpenStreams is the number of streams that the scanner follows on a connection. It
// does not see which of them the server has ended.
const maxOpenStreams = 2 * MaxStreams

// streamState is the gRPC message that arrives on a stream.
type streamState struct {
	header  [messageHeader]byte
	have    int   // bytes of the header
	missing int64 // bytes of the message
	held    int64 // bytes of memory for the incomplete message
}

// frameScanner follows the HTTP/2 frames that a gRPC client sends, and counts the memory
// of messages that are not complete. gRPC itself bounds each message, but not how many
// of them begin.
type frameScanner struct {
	skip    int // bytes of the preface, or of a payload, that are not looked at
	header  [frameHeader]byte
	have    int // bytes of the frame header
	payload int // bytes of the DATA payload that have not arrived
	padding int // bytes after the payload
	padded  bool
	end     bool // the stream ends with this frame
	stream  uint32
	streams map[uint32]*streamState
	held    int64 // sum over the streams
}

func newFrameScanner() *frameScanner {
	return &frameScanner{skip: prefaceBytes, streams: make(map[uint32]*streamState)}
}

// feed looks at the next bytes. It returns false if the client has too many streams.
func (f *frameScanner) feed(p []byte) bool {
	for len(p) > 0 {
		switch {
		case f.skip > 0:
			n := min(f.skip, len(p))
			f.skip -= n
			p = p[n:]
		case f.padded:
			f.padded = false
			f.padding = min(int(p[0]), f.payload-1)
			f.payload -= 1 + f.padding
			p = p[1:]
			f.finishData()
		case f.payload > 0:
			n := min(f.payload, len(p))
			f.data(p[:n])
			f.payload -= n
			p = p[n:]
			f.finishData()
		default:
			n := copy(f.header[f.have:], p)
			f.have += n
			p = p[n:]
			if f.have == frameHeader {
				f.have = 0
				f.begin()
			}
		}
	}
	return len(f.streams) <= maxOpenStreams
}

// begin handles a complete frame header.
func (f *frameScanner) begin() {
	length := int(f.header[0])<<16 | int(f.header[1])<<8 | int(f.header[2])
	flags := f.header[4]
	f.stream = binary.BigEndian.Uint32(f.header[5:]) &^ (1 << 31)
	switch f.header[3] {
	case frameHeaders:
		f.skip = length
		if flags&flagEndStream != 0 {
			f.close(f.stream)
		} else if f.streams[f.stream] == nil {
			f.streams[f.stream] = &streamState{held: streamBytes}
			f.held += streamBytes
		}
	case frameData:
		f.payload, f.padding = length, 0
		f.padded = flags&flagPadded != 0 && length > 0
		f.end = flags&flagEndStream != 0
		if s := f.streams[f.stream]; s != nil && length > 0 {
			s.held += frameBytes
			f.held += frameBytes
		}
		f.finishData()
	case frameReset:
		f.skip = length
		f.close(f.stream)
	default:
		f.skip = length
	}
}

// data handles bytes of a message.
func (f *frameScanner) data(p []byte) {
	s := f.streams[f.stream]
	if s == nil {
		return
	}
	for len(p) > 0 {
		if s.missing == 0 {
			n := copy(s.header[s.have:], p)
			s.have += n
			p = p[n:]
			if s.have < messageHeader {
				return
			}
			s.missing = int64(binary.BigEndian.Uint32(s.header[1:]))
		}
		n := min(s.missing, int64(len(p)))
		s.missing -= n
		s.held += n
		f.held += n
		p = p[n:]
		if s.missing == 0 { // the message is complete
			s.have = 0
			f.held -= s.held
			s.held = 0
		}
	}
}

// finishData handles the end of a DATA frame.
func (f *frameScanner) finishData() {
	if f.payload > 0 || f.padded {
		return
	}
	f.skip, f.padding = f.padding, 0
	if f.end {
		f.end = false
		f.close(f.stream)
	}
}

func (f *frameScanner) close(id uint32) {
	if s := f.streams[id]; s != nil {
		f.held -= s.held
		delete(f.streams, id)
	}
}
