package agent

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/event"
)

// entrySilence is the number of heartbeats without an answer after which an
// entry that is not in the settings is dropped. A live entry is named again in
// the replies of the others.
const entrySilence = 15

// entry is what the agent knows about one entry.
type entry struct {
	receiver   rosemarysill.HeartbeatReceiver
	configured bool
	inFlight   bool
	again      bool // a heartbeat is due as soon as the one in flight ends
	identify   bool // send the identity
	acked      uint64
	echo       uint64 // stamp of the last reply
	misses     int
}

// heartbeat sends reports to all known entries. One heartbeat at a time is in
// flight to each entry, so that their replies arrive in order.
type heartbeat struct {
	cfg      Config
	opts     rosemarysill.Options
	dial     rosemarysill.Entries
	backend  backend
	due      chan struct{}
	mu       sync.Mutex
	entries  map[netip.AddrPort]*entry
	sequence uint64
	inFlight sync.WaitGroup
}

func newHeartbeat(cfg Config, dial rosemarysill.Entries, opts rosemarysill.Options, b backend) *heartbeat {
	h := &heartbeat{cfg: cfg, opts: opts, dial: dial, backend: b, due: make(chan struct{}, 1), entries: map[netip.AddrPort]*entry{}}
	for _, address := range cfg.Entries {
		h.add(address, true)
	}
	return h
}

// add takes an entry in unless it is known or the bound is reached.
func (h *heartbeat) add(address netip.AddrPort, configured bool) {
	if _, ok := h.entries[address]; ok || len(h.entries) >= h.cfg.MaxEntries {
		return
	}
	receiver, err := h.dial.Entry(address)
	if err != nil {
		event.AgentEntryRefused.Log(h.opts.Log).Stringer("Entry", address).Err(err).Send()
		return
	}
	h.entries[address] = &entry{receiver: receiver, configured: configured, identify: true}
}

// run sends heartbeats until ctx ends and waits for those in flight.
func (h *heartbeat) run(ctx context.Context) {
	defer h.inFlight.Wait()
	tick := time.NewTicker(h.opts.Timings.BeatEvery)
	defer tick.Stop()
	for {
		h.beatAll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-h.due:
		}
	}
}

// last sends a final heartbeat to every entry and waits for the replies. It is
// called after run has returned.
func (h *heartbeat) last(ctx context.Context) {
	h.beatAll(ctx)
	h.inFlight.Wait()
}

// now makes a heartbeat to every entry due at once.
func (h *heartbeat) now() {
	select {
	case h.due <- struct{}{}:
	default:
	}
}

func (h *heartbeat) beatAll(ctx context.Context) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for address, e := range h.entries {
		h.beat(ctx, address, e)
	}
}

// beat sends one heartbeat in the background. The caller holds mu.
func (h *heartbeat) beat(ctx context.Context, address netip.AddrPort, e *entry) {
	if e.inFlight {
		e.again = true
		return
	}
	h.sequence++
	r := rosemarysill.AgentReport{Name: h.cfg.Identity.Name, Boot: h.cfg.Identity.Boot, Sequence: h.sequence, Echo: e.echo}
	h.backend.report(&r)
	r.HasTasks = e.identify || r.TasksDigest != e.acked
	if !r.HasTasks {
		r.Tasks = nil
	}
	if e.identify {
		identity := h.cfg.Identity
		r.Identity = &identity
	}
	e.inFlight, e.again = true, false
	sent := h.opts.Now()
	h.inFlight.Go(func() {
		limit, cancel := context.WithTimeout(ctx, h.cfg.CallWithin)
		defer cancel()
		reply, err := e.receiver.Heartbeat(limit, rosemarysill.Heartbeat{Reports: []rosemarysill.AgentReport{r}})
		h.answered(ctx, address, e, reply, err, sent)
	})
}

// answered takes in the reply to a heartbeat.
func (h *heartbeat) answered(ctx context.Context, address netip.AddrPort, e *entry, reply rosemarysill.HeartbeatReply, err error, sent time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	e.inFlight = false
	if err != nil {
		e.misses++
		if e.misses >= entrySilence && !e.configured {
			delete(h.entries, address)
			event.AgentEntryDropped.Log(h.opts.Log).Stringer("Entry", address).Err(err).Send()
			return
		}
	} else {
		e.misses = 0
		for _, o := range reply.Orders {
			if o.Name == h.cfg.Identity.Name {
				e.identify = o.SendIdentity
				e.acked = o.AckedDigest
				e.echo = o.Stamp
				h.backend.obey(o, sent)
			}
		}
		for _, named := range reply.Entries {
			h.add(named, false)
		}
	}
	if e.again && ctx.Err() == nil {
		h.beat(ctx, address, e)
	}
}
