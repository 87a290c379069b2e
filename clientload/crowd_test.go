package clientload_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// The crowd of a test.
const (
	// connections is the number of connections of a crowd.
	connections = 600
	// bodyBytes is the largest legal body on the platform's interface.
	bodyBytes = 262_144
	// repeats is the number of requests that are sent one after another on a connection.
	repeats = 50
	// dribbleInterval is the interval between the bytes of a body that arrives byte by byte,
	// and maxDribbled bounds their number.
	dribbleInterval = 50 * time.Millisecond
	maxDribbled     = 200
	// pipelined is the number of questions on one connection whose answers nobody reads.
	pipelined = 200
	// sendTimeout bounds the time for which a crowd sends.
	sendTimeout = 5 * time.Second
	// settleTime is the time after the last byte of the crowd for which the process is
	// measured before the ordinary request.
	settleTime = time.Second
)

// open opens the connections of a crowd and sends on all of them at once, until all has
// been sent or sendTimeout has passed. The connections stay open until the end of the
// test, unless the server closes them.
func open(t *testing.T, address netip.AddrPort, count int, send func(i int, c net.Conn)) {
	t.Helper()
	var crowd []net.Conn
	t.Cleanup(func() {
		for _, c := range crowd {
			_ = c.Close() // the server may have closed it
		}
	})
	for range count {
		c, err := net.DialTimeout("tcp4", address.String(), sendTimeout)
		if err == nil { // a refused connection is a legal answer
			crowd = append(crowd, c)
		}
	}
	require.NotEmpty(t, crowd)
	deadline := time.Now().Add(sendTimeout)
	var senders sync.WaitGroup
	for i, c := range crowd {
		require.NoError(t, c.SetWriteDeadline(deadline))
		senders.Go(func() { send(i, c) })
	}
	senders.Wait()
	time.Sleep(settleTime)
}

// write sends data. It reports whether the server has taken it so far.
func write(c net.Conn, data []byte) bool {
	_, err := c.Write(data)
	return err == nil
}

// writeAll sends parts of a request without copying them.
func writeAll(c net.Conn, parts ...[]byte) bool {
	b := net.Buffers(parts)
	_, err := b.WriteTo(c)
	return err == nil
}

// readAnswer reads an answer. It returns false if there is none or the server ends the
// connection after it.
func readAnswer(c net.Conn, r *bufio.Reader) bool {
	if c.SetReadDeadline(time.Now().Add(sendTimeout)) != nil {
		return false
	}
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && !resp.Close
}

// request is the target of a crowd: the first lines of its requests.
type request struct {
	post func(i int) string // request line and headers of a submission, without the last empty line
	get  func(i int) string // a whole question
	job  func(i int) []byte // legal body of bodyBytes bytes
}

var platformRequest = request{
	post: func(i int) string {
		return fmt.Sprintf("POST /q/%016x HTTP/1.1\r\nHost: %s\r\nRosemarysill-Credential: %s\r\nRosemarysill-Deadline-Ms: 3000\r\n", i+1, host, key)
	},
	get: func(i int) string {
		return fmt.Sprintf("GET /q/%016x HTTP/1.1\r\nHost: %s\r\nRosemarysill-Credential: %s\r\n\r\n", i+1, host, key)
	},
	job: func(int) []byte { return pad(`{"task-spec":"x","steps":[{"count":1,"cpu":1000,"mem-mb":10}]}`) },
}

var productRequest = request{
	post: func(int) string { return fmt.Sprintf("POST /v1/jobs HTTP/1.1\r\nHost: %s\r\n", host) },
	get: func(i int) string {
		return fmt.Sprintf("GET /v1/jobs/01936f00-0000-7000-8000-%012x HTTP/1.1\r\nHost: %s\r\n\r\n", i+1, host)
	},
	job: func(i int) []byte {
		return pad(fmt.Sprintf(`{"ID":"01936f00-0000-7000-8000-%012x","Account":"t","Class":"Batch"}`, i+1))
	},
}

var agentRequest = request{
	post: func(int) string { return fmt.Sprintf("PUT /instances/i-0 HTTP/1.1\r\nHost: %s\r\n", host) },
	get: func(int) string {
		return fmt.Sprintf("DELETE /instances/i-1 HTTP/1.1\r\nHost: %s\r\nContent-Length: 0\r\n\r\n", host)
	},
}

// pad appends white space to a JSON document up to bodyBytes.
func pad(document string) []byte {
	return append([]byte(document), bytes.Repeat([]byte{' '}, bodyBytes-len(document))...)
}

// emptySteps is a legal body whose list of steps has 87,000 elements.
var emptySteps = pad(`{"task-spec":"x","steps":[{}` + strings.Repeat(",{}", 86_999) + "]}")

var filler = bytes.Repeat([]byte{' '}, bodyBytes)

func announced(post string) []byte {
	return fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n", post, bodyBytes)
}

func chunked(post string) []byte {
	return []byte(post + "Transfer-Encoding: chunked\r\n\r\n")
}

// sendChunks sends total bytes of a body in chunks of the given size, without the last
// chunk.
func sendChunks(c net.Conn, post string, size, total int) {
	chunk := fmt.Appendf(nil, "%x\r\n%s\r\n", size, filler[:size])
	perWrite := max(1, 32<<10/size)
	some := bytes.Repeat(chunk, perWrite)
	if !write(c, chunked(post)) {
		return
	}
	for sent := 0; sent+size*perWrite <= total; sent += size * perWrite {
		if !write(c, some) {
			return
		}
	}
}

// crowds are the ways in which a connection uses a server over HTTP/1.1.
var crowds = map[string]func(r request, i int, c net.Conn){
	"body stops one byte short": func(r request, i int, c net.Conn) {
		writeAll(c, announced(r.post(i)), filler[:bodyBytes-1])
	},
	"body over the limit": func(r request, i int, c net.Conn) {
		writeAll(c, fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n", r.post(i), 8*bodyBytes), filler[:16<<10])
	},
	"body in pieces stops one byte short": func(r request, i int, c net.Conn) {
		ok := write(c, announced(r.post(i)))
		for sent := 0; ok && sent < bodyBytes-1; sent += 32 << 10 {
			ok = write(c, filler[sent:min(sent+32<<10, bodyBytes-1)])
			time.Sleep(50 * time.Millisecond)
		}
	},
	"whole bodies": func(r request, i int, c net.Conn) {
		write(c, append(announced(r.post(i)), r.job(i)...))
	},
	"whole bodies of empty steps": func(r request, i int, c net.Conn) {
		write(c, append(announced(r.post(i)), emptySteps...))
	},
	"large chunks stop short": func(r request, i int, c net.Conn) {
		sendChunks(c, r.post(i), 32<<10, bodyBytes)
	},
	"small chunks stop short": func(r request, i int, c net.Conn) {
		sendChunks(c, r.post(i), 16, bodyBytes/2)
	},
	"half a header": func(r request, i int, c net.Conn) {
		write(c, []byte(r.post(i)+"Pad: "+strings.Repeat("x", 8<<10)))
	},
	"idle": func(request, int, net.Conn) {},
	"whole bodies beside bodies that stop": func(r request, i int, c net.Conn) {
		body := r.job(i)
		write(c, append(announced(r.post(i)), body[:len(body)-i%2]...))
	},
	"whole bodies one after another": func(r request, i int, c net.Conn) {
		answers := bufio.NewReader(c)
		for n := range repeats {
			id := i*repeats + n
			if !write(c, append(announced(r.post(id)), r.job(id)...)) || !readAnswer(c, answers) {
				return
			}
		}
	},
	"question and then a body that stops": func(r request, i int, c net.Conn) {
		if write(c, []byte(r.get(i))) && readAnswer(c, bufio.NewReader(c)) {
			write(c, append(announced(r.post(i)), filler[:bodyBytes-1]...))
		}
	},
	"a byte at a time": func(r request, i int, c net.Conn) {
		ok := write(c, append(announced(r.post(i)), filler[:bodyBytes/2]...))
		for n := 0; ok && n < maxDribbled; n++ {
			time.Sleep(dribbleInterval)
			ok = write(c, filler[:1])
		}
	},
	"pipelined questions": func(r request, i int, c net.Conn) {
		write(c, []byte(strings.Repeat(r.get(i), pipelined)))
	},
}

// frameBytes is the size of the DATA frames of a gRPC client.
const frameBytes = 16 << 10

// rpcClient is a gRPC client that sends the beginnings of messages.
type rpcClient struct {
	conn   net.Conn
	framer *http2.Framer

	mu      sync.Mutex
	window  int            // of the connection
	initial int            // window of a stream
	streams map[uint32]int // windows
	changed chan struct{}
}

// beginMessages opens streams on a connection and sends on each the given number of
// bytes of a message that announces a larger length.
func beginMessages(c net.Conn, method string, streams, length, bytesEach int) {
	r := &rpcClient{conn: c, framer: http2.NewFramer(c, c), window: 65_535, initial: 65_535, streams: make(map[uint32]int), changed: make(chan struct{}, 1)}
	if !write(c, []byte(http2.ClientPreface)) || r.framer.WriteSettings() != nil {
		return
	}
	go r.receive() // ends when the connection is closed
	var block bytes.Buffer
	headers := hpack.NewEncoder(&block)
	for _, f := range [][2]string{{":method", "POST"}, {":scheme", "http"}, {":path", method}, {":authority", host}, {"content-type", "application/grpc+json"}, {"te", "trailers"}} {
		_ = headers.WriteField(hpack.HeaderField{Name: f[0], Value: f[1], Sensitive: true}) // writes to a buffer
	}
	message := append([]byte{0, byte(length >> 24), byte(length >> 16), byte(length >> 8), byte(length)}, make([]byte, bytesEach)...)
	for n := range streams {
		id := uint32(2*n + 1)
		r.mu.Lock()
		r.streams[id] = r.initial
		err := r.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: block.Bytes(), EndHeaders: true})
		r.mu.Unlock()
		if err != nil {
			return
		}
	}
	for sent := 0; sent < len(message); sent += frameBytes {
		part := message[sent:min(sent+frameBytes, len(message))]
		for n := range streams {
			if !r.sendData(uint32(2*n+1), part) {
				return
			}
		}
	}
}

// sendData sends a frame of a stream once the windows allow it.
func (r *rpcClient) sendData(id uint32, part []byte) bool {
	timeout := time.After(time.Second)
	for {
		r.mu.Lock()
		if r.window >= len(part) && r.streams[id] >= len(part) {
			r.window -= len(part)
			r.streams[id] -= len(part)
			err := r.framer.WriteData(id, false, part)
			r.mu.Unlock()
			return err == nil
		}
		r.mu.Unlock()
		select {
		case <-r.changed:
		case <-timeout:
			return false
		}
	}
}

// receive applies the frames of the server.
func (r *rpcClient) receive() {
	reader := http2.NewFramer(io.Discard, r.conn)
	for {
		frame, err := reader.ReadFrame()
		if err != nil {
			return
		}
		r.mu.Lock()
		switch f := frame.(type) {
		case *http2.WindowUpdateFrame:
			if f.StreamID == 0 {
				r.window += int(f.Increment)
			} else {
				r.streams[f.StreamID] += int(f.Increment)
			}
		case *http2.SettingsFrame:
			if v, ok := f.Value(http2.SettingInitialWindowSize); ok {
				for id := range r.streams {
					r.streams[id] += int(v) - r.initial
				}
				r.initial = int(v)
			}
			if !f.IsAck() {
				err = r.framer.WriteSettingsAck()
			}
		case *http2.PingFrame:
			if !f.IsAck() {
				err = r.framer.WritePing(true, f.Data)
			}
		}
		r.mu.Unlock()
		if err != nil {
			return
		}
		select {
		case r.changed <- struct{}{}:
		default:
		}
	}
}
