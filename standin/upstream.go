package standin

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/rosemarysill/rosemarysill"
)

// CallBody tells the stand-in how a call behaves. It is the JSON body of a
// call; an empty body is answered at once.
type CallBody struct {
	Seconds     float64 // of work
	Answer      string  // the answer's body, or AnswerFor the call's ID
	AnswerBytes int     // length to which the answer is filled up
	Fail        bool
}

// AnswerFor returns the answer to a call whose body has no Answer: the call's
// ID, repeated up to the length.
func AnswerFor(id uuid.UUID, length int) []byte {
	name := []byte(id.String())
	if length <= len(name) {
		return name
	}
	return bytes.Repeat(name, length/len(name)+1)[:length]
}

// UpstreamOptions are the capacity and limits of a stand-in upstream. A zero
// field takes the default.
type UpstreamOptions struct {
	Name           string           // for the journal
	Now            func() time.Time // time.Now
	Slots          int              // calls at a time: 8
	Conns          int              // connections at a time: 64
	MaxBodyBytes   int64            // 16 MiB
	MaxAnswerBytes int              // 64 MiB
	Journal        *CallJournal     // a new one
}

// UpstreamFaults are the faults of a stand-in upstream, switched at run time.
type UpstreamFaults struct {
	Outage        bool          // connections are closed before the call begins
	Slow          time.Duration // added to the work of each call
	Fail          bool          // every call runs and fails
	CloseAfterRun bool          // the connection is closed instead of an answer
	Truncate      bool          // the connection is closed within the answer
	Shorten       bool          // the answer is shorter than its hash says, without an error of the connection
	Late          time.Duration // between the end of the work and the answer
	OtherID       bool          // the answer names another call
}

// Upstream is a stand-in of an upstream instance. It implements
// rosemarysill.Upstream for use in-process and http.Handler for use over a
// socket.
type Upstream struct {
	opts  UpstreamOptions
	clock *clock

	mu     sync.Mutex
	busy   int
	faults UpstreamFaults
}

var _ rosemarysill.Upstream = (*Upstream)(nil)

// NewUpstream returns an idle upstream.
func NewUpstream(o UpstreamOptions) *Upstream {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Journal == nil {
		o.Journal = NewCallJournal()
	}
	o.Name = cmp.Or(o.Name, "upstream")
	o.Slots = cmp.Or(o.Slots, 8)
	o.Conns = cmp.Or(o.Conns, 64)
	o.MaxBodyBytes = cmp.Or(o.MaxBodyBytes, 16<<20)
	o.MaxAnswerBytes = cmp.Or(o.MaxAnswerBytes, 64<<20)
	return &Upstream{opts: o, clock: newClock(o.Now)}
}

// SetFaults replaces the faults. Calls in progress keep theirs.
func (u *Upstream) SetFaults(f UpstreamFaults) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.faults = f
}

// Journal returns the journal of runs.
func (u *Upstream) Journal() *CallJournal { return u.opts.Journal }

// Busy returns the number of calls that run.
func (u *Upstream) Busy() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.busy
}

// MaxConns returns the limit of connections for Serve.
func (u *Upstream) MaxConns() int { return u.opts.Conns }

// Tick makes calls look at the injected clock.
func (u *Upstream) Tick() { u.clock.wake() }

var errClosed = errors.New("upstream: connection closed")

// take takes a slot for a call.
func (u *Upstream) take() (UpstreamFaults, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.faults.Outage {
		return u.faults, errClosed
	}
	if u.busy >= u.opts.Slots {
		return u.faults, rosemarysill.NewError(rosemarysill.NoCapacity, "upstream: all %d slots are in use", u.opts.Slots)
	}
	u.busy++
	return u.faults, nil
}

func (u *Upstream) release() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.busy--
}

// run runs a call. A call that has begun goes on to its end when its caller
// has left.
func (u *Upstream) run(ctx context.Context, c rosemarysill.Call) ([]byte, UpstreamFaults, error) {
	var body CallBody
	if len(c.Body) > 0 {
		d := json.NewDecoder(bytes.NewReader(c.Body))
		d.DisallowUnknownFields()
		if err := d.Decode(&body); err != nil {
			return nil, UpstreamFaults{}, rosemarysill.NewError(rosemarysill.InvalidRequest, "upstream: body: %v", err)
		}
	}
	if body.AnswerBytes > u.opts.MaxAnswerBytes {
		return nil, UpstreamFaults{}, rosemarysill.NewError(rosemarysill.InvalidRequest, "upstream: answer of %d bytes", body.AnswerBytes)
	}
	f, err := u.take()
	if err != nil {
		return nil, f, err
	}
	defer u.release()
	now := u.opts.Now()
	run := u.opts.Journal.begin(CallRun{Upstream: u.opts.Name, ID: c.ID, Account: c.Account, Start: now})
	if !u.clock.until(serverContext(ctx), now.Add(seconds(max(0, body.Seconds))+f.Slow)) {
		return nil, f, errClosed
	}
	u.opts.Journal.end(run, u.opts.Now())
	if f.Fail || body.Fail {
		return nil, f, rosemarysill.NewError(rosemarysill.UpstreamFailed, "upstream: the call failed")
	}
	answer := []byte(body.Answer)
	if body.Answer == "" {
		answer = AnswerFor(c.ID, body.AnswerBytes)
	} else if n := body.AnswerBytes - len(answer); n > 0 {
		answer = append(answer, make([]byte, n)...)
	}
	return answer, f, nil
}

// Serve implements rosemarysill.Upstream.
func (u *Upstream) Serve(ctx context.Context, c rosemarysill.Call) ([]byte, error) {
	answer, f, err := u.run(ctx, c)
	switch {
	case err != nil:
		return nil, err
	case !u.clock.until(ctx, u.opts.Now().Add(f.Late)):
		return nil, errClosed
	case f.CloseAfterRun || f.Truncate || f.Shorten || f.OtherID:
		return nil, errClosed
	}
	return answer, nil
}

// ServeHTTP implements the upstream protocol of the package's documentation.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method + " " + r.URL.Path {
	case "POST /v1/call":
		u.call(w, r)
	case "GET /control/journal":
		runs, _ := u.opts.Journal.Runs()
		writeJSON(w, http.StatusOK, runs)
	case "POST /control/faults":
		var f UpstreamFaults
		if err := readJSON(w, r, 64<<10, &f); err != nil {
			writeJSON(w, http.StatusBadRequest, refusal{Error: "Invalid", Detail: err.Error()})
			return
		}
		u.SetFaults(f)
		writeJSON(w, http.StatusOK, struct{}{})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (u *Upstream) call(w http.ResponseWriter, r *http.Request) {
	c := rosemarysill.Call{Account: r.Header.Get("Account"), Class: rosemarysill.Class(r.Header.Get("Class"))}
	c.Idempotent = r.Header.Get("Idempotent") == "true"
	id, err := uuid.Parse(r.Header.Get("Call-Id"))
	if err != nil {
		writeJSON(w, http.StatusBadRequest, refusal{Error: "Invalid", Detail: err.Error()})
		return
	}
	c.ID = id
	if c.Body, err = readBody(w, r, u.opts.MaxBodyBytes); err != nil {
		writeJSON(w, http.StatusRequestEntityTooLarge, refusal{Error: "TooLarge", Detail: err.Error()})
		return
	}
	answer, f, err := u.run(r.Context(), c)
	switch code := rosemarysill.CodeOf(err); {
	case code == rosemarysill.NoCapacity:
		writeJSON(w, http.StatusServiceUnavailable, refusal{Error: "NoCapacity", Detail: rosemarysill.DetailOf(err)})
		return
	case code == rosemarysill.InvalidRequest:
		writeJSON(w, http.StatusBadRequest, refusal{Error: "Invalid", Detail: rosemarysill.DetailOf(err)})
		return
	case code == rosemarysill.UpstreamFailed:
		writeJSON(w, http.StatusInternalServerError, refusal{Error: "Failed", Detail: rosemarysill.DetailOf(err)})
		return
	case err != nil, f.CloseAfterRun, !u.clock.until(r.Context(), u.opts.Now().Add(f.Late)):
		dropConnection()
	}
	if f.OtherID {
		id[0] ^= 0xff
	}
	w.Header().Set("Call-Id", id.String())
	w.Header().Set("Answer-Hash", fmt.Sprintf("%016x", xxhash.Sum64(answer)))
	if f.Shorten {
		answer = answer[:len(answer)/2]
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	if f.Truncate {
		_, _ = w.Write(answer[:len(answer)/2])
		dropConnection()
	}
	_, _ = w.Write(answer)
}
