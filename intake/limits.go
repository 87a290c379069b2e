package intake

import (
	"math"
	"runtime/debug"
	"syscall"
	"time"
)

// Times that no client within the limits of the design reaches: clients wait 3 s for an
// answer, and a body of 262,144 bytes takes 0.2 s on a link of 10 Mbit/s.
const (
	// bodyPause is the longest time between two reads of a body. A client that pauses for
	// longer does not get its answer in time.
	bodyPause = 3 * time.Second
	// maxBodyTime bounds the time for a whole body, also if the client's deadline is later.
	maxBodyTime = 10 * time.Second
	// answerTimeout is the time within which a client has to read an answer.
	answerTimeout = 5 * time.Second
	// slotWait is the longest time for which a request waits for others to finish before
	// it is refused. It leaves time for another try within the 3 s that clients wait.
	slotWait = time.Second
)

const (
	// receiveBuffer is the size of the receive buffer of an accepted socket, in bytes. The
	// kernel doubles it and uses half for the data. A connection transfers that much in each
	// round trip, 2.7 MB/s at 3 ms.
	receiveBuffer = 8 << 10
	// backlog is the number of connections that wait to be accepted. Their unread bytes
	// count as well: with the usual 4,096, a process that had one core and 2,500 clients
	// that connected again and again held 124 of 144 MiB.
	backlog = 256
	// connectionBytes is the memory of a connection: its goroutine, the buffers of net/http
	// or gRPC, a header, and the unread bytes. Measured: 28 KB for half a header of 8 KB.
	connectionBytes = 32 << 10
	// streamBytes is the memory of a gRPC stream that has no message yet.
	streamBytes = 8 << 10
	// frameBytes is the memory of a frame in addition to its data.
	frameBytes = 128
)

const (
	// fileDescriptors are reserved for files and for connections to other processes.
	fileDescriptors = 256
	// smallConnections are for health checks, metrics, and the status reports of a worker.
	smallConnections = 16
	// minBodyBytes is the least budget for bodies: four of the largest legal ones.
	minBodyBytes = 1 << 20
	// maxRPCMessage is the largest message between processes of the system, the default of
	// gRPC.
	maxRPCMessage = 4 << 20
	// minConnections is the least limit of connections of a kind.
	minConnections = 32
	// maxRequests bounds the requests in progress on large machines.
	maxRequests = 512
	// uncountedBytes of each body are part of connectionBytes, and not of the budget of
	// bodies, so that small requests need none of it.
	uncountedBytes = 8 << 10
	// decodings is the number of bodies that are decoded at the same time. Decoding needs
	// several times the size of a body.
	decodings = 4
	// defaultMemory and defaultDescriptors apply if the settings do not state them.
	defaultMemory      = 1 << 30
	defaultDescriptors = 4096
	// memoryLimitRatio is the soft memory limit of the Go runtime as a fraction of the
	// machine's memory. The rest is for the program's text, the kernel's receive buffers and
	// garbage that has not been collected.
	memoryLimitRatio = 0.6
)

// Limits bound what all clients of a process can take.
type Limits struct {
	Connections      int   // of clients
	RPCConnections   int   // of other processes of the system
	SmallConnections int   // of each server with few clients
	Requests         int   // in progress, of clients and as many relayed ones; each may need a connection to the store
	BodyBytes        int64 // of all bodies of requests that are held
	UncountedBytes   int64 // of each body that BodyBytes does not include
	MessageBytes     int64 // of all gRPC messages that are not complete, and of their streams

	BodyPause     time.Duration // between two reads of a body
	BodyTime      time.Duration // for a whole body
	AnswerTimeout time.Duration // to read an answer
	SlotWait      time.Duration // of a request before it is refused because of Requests
}

// LimitsFor returns the limits for a machine with the given memory in bytes and open
// descriptors; 0 stands for a default. An eighth of the memory is for connections of
// clients, a quarter for those of other processes, and a sixteenth each for bodies and
// for messages, but at least what a few of the largest of them need. Leaders of 1,100 agents need 1,112 connections of other processes, which
// the smallest machines of the design (144 MB, 3,075 descriptors) allow.
func LimitsFor(memory int64, descriptors int) Limits {
	if memory <= 0 {
		memory = defaultMemory
	}
	if descriptors <= 0 {
		descriptors = defaultDescriptors
	}
	sockets := max(descriptors-fileDescriptors, 4*minConnections)
	l := Limits{
		SmallConnections: smallConnections,
		Requests:         min(max(sockets/8, minConnections), maxRequests),
		BodyBytes:        max(memory/16, minBodyBytes),
		UncountedBytes:   uncountedBytes,
		MessageBytes:     max(memory/16, MessageBudget(maxRPCMessage)),
		BodyPause:        bodyPause,
		BodyTime:         maxBodyTime,
		AnswerTimeout:    answerTimeout,
		SlotWait:         slotWait,
	}
	l.RPCConnections = max(min(sockets*45/100, int(memory/4/connectionBytes)), minConnections)
	l.Connections = max(min(sockets-l.RPCConnections-2*l.Requests-2*smallConnections, int(memory/8/connectionBytes)), minConnections)
	return l
}

// executedBytes is the part of BodyBytes for requests that are executed. The rest is for
// bodies that arrive: those of executed requests cannot be dropped for them.
func (l Limits) executedBytes() int64 { return max(l.BodyBytes-l.BodyBytes/4, 1) }

// MessageBudget returns the least budget of messages that admits one message of the given
// size beside its stream and its frames, which have 1 KiB or more on average.
func MessageBudget(size int64) int64 { return size + size/1024*frameBytes + streamBytes }

// LimitMemory sets the soft memory limit of the Go runtime for a machine with the given
// memory in bytes, and does nothing for 0.
func LimitMemory(memory int64) {
	if memory > 0 {
		debug.SetMemoryLimit(int64(float64(memory) * memoryLimitRatio))
	}
}

// Descriptors returns the smaller of the descriptors of the settings and those that the
// operating system allows the process. 0 in the settings stands for no limit.
func Descriptors(settings int) int {
	var r syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &r) != nil || r.Cur > math.MaxInt32 {
		return settings
	}
	if settings <= 0 || int(r.Cur) < settings {
		return int(r.Cur)
	}
	return settings
}
