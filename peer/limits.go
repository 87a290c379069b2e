package peer

import "time"

// Limits of messages. A whole answer fits into one message with its headers.
const (
	MaxBody       = 16 << 20
	maxHeaders    = 64 << 10
	maxMessage    = MaxBody + maxHeaders
	maxHeaderList = 16 << 10
)

const (
	// windowSize holds a whole answer of usual size. A fixed window also keeps
	// gRPC from probing the bandwidth with pings, which would cost more bytes
	// than a heartbeat.
	windowSize = 1 << 20
	// bufferSize bounds the buffers of a connection. An entry holds one to each
	// of 1,100 agents; the library's 32 KB in each direction would be 70 MB.
	bufferSize = 4 << 10
	// pingAfter is longer than the interval of heartbeats, so that clients ping
	// only while they wait for a long answer.
	pingAfter = 20 * time.Second
	// serverPingAfter is the silence after which a server pings a client. Each
	// ping and its answer are 34 bytes; an entry that keeps a silent connection
	// to each of 1,100 agents spends 0.6 KB/s on them.
	serverPingAfter = time.Minute
	// pingWithin is the time after which a connection without an answer to a
	// ping is closed.
	pingWithin = 5 * time.Second
	// minPing is the shortest interval of pings that a server tolerates.
	minPing = 10 * time.Second
)
