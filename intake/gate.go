package intake

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/semaphore"

	"github.com/rosemarysill/rosemarysill/event"
)

// Gate applies the limits of a process to all of its servers.
type Gate struct {
	limits    Limits
	log       zerolog.Logger
	decodings chan struct{}       // one element for each body that is being decoded
	executing *semaphore.Weighted // bytes of the bodies of requests that are executed

	mu       sync.Mutex
	bodies   *budget
	messages *budget

	counters counters
	rpcConns sync.Map // gRPC connections, by their addresses
}

// counters count since the start of the process.
type counters struct {
	open, replaced, rejected, dropped, late, busy atomic.Int64
}

// Counts are the counts of a gate since the start of the process.
type Counts struct {
	Open     int64 // connections at present
	Replaced int64 // connections that were closed for new ones
	Rejected int64 // new connections that were closed at the limit
	Dropped  int64 // bodies and messages that were dropped because the memory for them was used up
	Late     int64 // bodies that did not arrive in time
	Busy     int64 // requests that were refused because too many were in progress
	Held     int64 // bytes of bodies and messages at present
}

// NewGate returns a gate.
func NewGate(limits Limits, log zerolog.Logger) *Gate {
	return &Gate{
		limits: limits, log: log, decodings: make(chan struct{}, decodings),
		executing: semaphore.NewWeighted(limits.executedBytes()),
		bodies:    newBudget(limits.BodyBytes), messages: newBudget(limits.MessageBytes),
	}
}

// Limits returns the limits.
func (g *Gate) Limits() Limits { return g.limits }

// Counts returns the present counts.
func (g *Gate) Counts() Counts {
	g.mu.Lock()
	held := g.limits.BodyBytes - g.bodies.free + g.limits.MessageBytes - g.messages.free
	g.mu.Unlock()
	k := &g.counters
	return Counts{
		Open: k.open.Load(), Replaced: k.replaced.Load(), Rejected: k.rejected.Load(), Dropped: k.dropped.Load(),
		Late: k.late.Load(), Busy: k.busy.Load(), Held: held,
	}
}

// draw adds bytes to a share of a budget, and drops others for it if necessary. It waits until
// their memory has been released, and returns false if the share was dropped.
func (g *Gate) draw(b *budget, s *share, n int64, what string) bool {
	if s.dropped.Load() { // and counted then
		return false
	}
	g.mu.Lock()
	if s.dropped.Load() {
		g.mu.Unlock()
		return false
	}
	dropped, ok := b.draw(s, n, time.Now())
	g.mu.Unlock()
	for _, d := range dropped {
		d.drop()
	}
	count := len(dropped)
	if !ok {
		count++
	}
	if count > 0 {
		g.counters.dropped.Add(int64(count))
		event.IntakeDropped.Log(g.log).Str("What", what).Int("Count", count).Send()
	}
	if ok {
		<-s.ready
	}
	return ok && !s.dropped.Load()
}

// execute excludes the body of a request that is executed from those that may be dropped. It
// returns false if it was dropped.
func (g *Gate) execute(s *share) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.bodies.execute(s)
}

// arrived marks a body as whole.
func (g *Gate) arrived(s *share) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s.whole = true
}

// giveBack returns bytes of a share.
func (g *Gate) giveBack(b *budget, s *share, n int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	b.giveBack(s, n)
}

// close returns all bytes of a share, which gets no more.
func (g *Gate) close(b *budget, s *share) {
	g.mu.Lock()
	defer g.mu.Unlock()
	b.close(s)
}

// release returns all bytes of a share.
func (g *Gate) release(b *budget, s *share) {
	g.mu.Lock()
	defer g.mu.Unlock()
	b.release(s)
}

// Slots limit the requests in progress at one server. Nil Slots limit nothing.
type Slots struct {
	gate  *Gate
	name  string
	taken chan struct{} // one element for each request in progress
}

// NewSlots returns slots for the given number of requests to the server with the name.
func (g *Gate) NewSlots(name string, requests int) *Slots {
	return &Slots{gate: g, name: name, taken: make(chan struct{}, requests)}
}

// Enter waits until the request may be executed, and returns false if it is refused
// because too many are in progress. After true, Leave must be called.
func (s *Slots) Enter(ctx context.Context) bool {
	if s == nil {
		return true
	}
	select {
	case s.taken <- struct{}{}:
		return true
	default:
	}
	if s.gate.limits.SlotWait > 0 {
		wait := time.NewTimer(s.gate.limits.SlotWait)
		defer wait.Stop()
		select {
		case s.taken <- struct{}{}:
			return true
		case <-wait.C:
		case <-ctx.Done():
		}
	}
	s.refused()
	return false
}

// refused records that a request was refused because too many are in progress.
func (s *Slots) refused() {
	if s == nil {
		return
	}
	s.gate.counters.busy.Add(1)
	event.IntakeBusy.Log(s.gate.log).Str("Server", s.name).Int("Requests", cap(s.taken)).Send()
}

// Leave ends the execution of a request.
func (s *Slots) Leave() {
	if s != nil {
		<-s.taken
	}
}
