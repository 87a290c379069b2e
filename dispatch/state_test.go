package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/rosemarysill/rosemarysill"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// up returns an upstream that reported all slots free at the time.
func up(name string, slots int, at time.Time) rosemarysill.UpstreamState {
	return rosemarysill.UpstreamState{
		Identity: rosemarysill.AgentIdentity{Name: name, Slots: slots, Boot: uuid.Max}, FreeSlots: slots, LastHeartbeat: at,
	}
}

// bed drives a state with numbered calls.
type bed struct {
	state *State
	now   time.Time
	last  Ticket
	sends []Send
	ends  map[Ticket]End
}

func newBed(l Limits, ups ...rosemarysill.UpstreamState) *bed {
	b := &bed{state: NewState(l), now: start, ends: map[Ticket]End{}}
	b.do(Reported{Upstreams: ups})
	return b
}

func (b *bed) do(e Event) {
	for _, effect := range b.state.Decide(e, b.now) {
		switch effect := effect.(type) {
		case Send:
			b.sends = append(b.sends, effect)
		case End:
			b.ends[effect.Ticket] = effect
		}
	}
}

func (b *bed) arrive(account string, class rosemarysill.Class, within time.Duration) Ticket {
	b.last++
	b.do(Arrived{Ticket: b.last, Account: account, Class: class, Idempotent: true, Deadline: b.now.Add(within)})
	return b.last
}

func (b *bed) finish(t Ticket, code rosemarysill.Code, took time.Duration) {
	b.do(Returned{Ticket: t, Code: code, Took: took, Sent: true})
}

// TestAccountsAreServedInTurn guards against a larger share for an account that
// sends more requests, and against calls of an account that miss their deadline
// behind calls that have time.
func TestAccountsAreServedInTurn(t *testing.T) {
	b := newBed(DefaultLimits(), up("a", 1, start))
	owner := map[Ticket]string{}
	for i := range 200 {
		owner[b.arrive("many", rosemarysill.Normal, time.Hour-time.Duration(i))] = "many"
	}
	for range 20 {
		owner[b.arrive("few", rosemarysill.Normal, time.Hour)] = "few"
	}
	got := map[string][]Ticket{}
	for i := range 41 { // the first one was sent before the others came
		id := b.sends[i].Ticket
		got[owner[id]] = append(got[owner[id]], id)
		b.finish(id, rosemarysill.Done, 0)
	}
	require.Equal(t, []int{21, 20}, []int{len(got["many"]), len(got["few"])})
	require.Equal(t, []Ticket{1, 65, 64, 63}, got["many"][:4], "the latest of the 64 waiting have the earliest deadline")
}

// TestFewAccountsCannotFillTheQueue guards against refusals of accounts that send
// little because others have taken all places.
func TestFewAccountsCannotFillTheQueue(t *testing.T) {
	b := newBed(DefaultLimits(), up("a", 1, start))
	for range 100 {
		for account := range 40 {
			for _, class := range rosemarysill.Classes() {
				b.arrive(fmt.Sprint(account), class, time.Hour)
			}
		}
	}
	require.Greater(t, len(b.ends), 0)
	require.Less(t, b.state.Waiting(), 1200)
	for account := 40; account < 91; account++ {
		for _, class := range rosemarysill.Classes() {
			require.NotContains(t, b.ends, b.arrive(fmt.Sprint(account), class, time.Hour))
		}
	}
}

// TestClassesKeepTheirShare guards against starvation of Normal and Batch.
func TestClassesKeepTheirShare(t *testing.T) {
	cases := map[string]struct {
		classes []rosemarysill.Class
		bounds  map[rosemarysill.Class]int // at least one in so many dispatches
	}{
		"all wait":         {rosemarysill.Classes(), map[rosemarysill.Class]int{rosemarysill.Normal: 8, rosemarysill.Batch: 16}},
		"Normal and Batch": {[]rosemarysill.Class{rosemarysill.Normal, rosemarysill.Batch}, map[rosemarysill.Class]int{rosemarysill.Normal: 2, rosemarysill.Batch: 16}},
		"Urgent and Batch": {[]rosemarysill.Class{rosemarysill.Urgent, rosemarysill.Batch}, map[rosemarysill.Class]int{rosemarysill.Urgent: 2, rosemarysill.Batch: 16}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := newBed(DefaultLimits(), up("a", 1, start))
			class := map[Ticket]rosemarysill.Class{}
			for i := range 200 {
				for _, cl := range c.classes {
					class[b.arrive(fmt.Sprint("account ", i%4), cl, time.Hour)] = cl
				}
			}
			last := map[rosemarysill.Class]int{}
			for i := range 150 {
				cl := class[b.sends[i].Ticket]
				last[cl] = i
				for bounded, n := range c.bounds {
					require.Less(t, i-last[bounded], n, "dispatch %d: %s waits", i, bounded)
				}
				if cl == rosemarysill.Urgent {
					require.Contains(t, c.classes, rosemarysill.Urgent)
				}
				b.finish(b.sends[i].Ticket, rosemarysill.Done, 0)
			}
		})
	}
}

// TestRefusals guards against calls that wait although they cannot be served.
func TestRefusals(t *testing.T) {
	small := DefaultLimits()
	small.QueuePerAccount, small.Queued = 2, 4
	observed := func(b *bed) {
		b.finish(b.arrive("y", rosemarysill.Normal, time.Hour), rosemarysill.Done, 100*time.Millisecond)
	}
	fill := func(account string, n int) func(*bed) {
		return func(b *bed) {
			for range n {
				b.arrive(account, rosemarysill.Normal, time.Hour)
			}
		}
	}
	cases := map[string]struct {
		ups    []rosemarysill.UpstreamState
		before []func(*bed)
		within time.Duration
		want   rosemarysill.Code
	}{
		"no upstream":                    {nil, nil, time.Hour, rosemarysill.NoUpstream},
		"only stale upstreams":           {[]rosemarysill.UpstreamState{up("a", 1, start.Add(-5*time.Second))}, nil, time.Hour, rosemarysill.NoUpstream},
		"deadline passed":                {[]rosemarysill.UpstreamState{up("a", 1, start)}, nil, 0, rosemarysill.DeadlineUnmeetable},
		"account's queue full":           {[]rosemarysill.UpstreamState{up("a", 1, start)}, []func(*bed){fill("x", 3)}, time.Hour, rosemarysill.QueueFull},
		"entry's queue full":             {[]rosemarysill.UpstreamState{up("a", 1, start)}, []func(*bed){fill("y", 3), fill("z", 1), fill("w", 1)}, time.Hour, rosemarysill.QueueFull},
		"service takes longer":           {[]rosemarysill.UpstreamState{up("a", 1, start)}, []func(*bed){observed}, 99 * time.Millisecond, rosemarysill.DeadlineUnmeetable},
		"queue takes longer":             {[]rosemarysill.UpstreamState{up("a", 1, start)}, []func(*bed){observed, fill("y", 3)}, 299 * time.Millisecond, rosemarysill.DeadlineUnmeetable},
		"deadline can be met":            {[]rosemarysill.UpstreamState{up("a", 1, start)}, []func(*bed){observed, fill("y", 2)}, 300 * time.Millisecond, rosemarysill.Done},
		"old observation refuses no one": {[]rosemarysill.UpstreamState{up("a", 1, start.Add(time.Hour))}, []func(*bed){observed, func(b *bed) { b.now = b.now.Add(10 * time.Second) }}, time.Millisecond, rosemarysill.Done},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := newBed(small, c.ups...)
			for _, f := range c.before {
				f(b)
			}
			require.Equal(t, c.want, b.ends[b.arrive("x", rosemarysill.Normal, c.within)].Code)
		})
	}
}

// TestRetryBudget guards against retries that multiply the load when upstreams
// lose answers, and against refused calls that use up the budget.
func TestRetryBudget(t *testing.T) {
	for code, want := range map[rosemarysill.Code]int{
		rosemarysill.OutcomeUnknown: 100 + 3 + 10,
		rosemarysill.NoCapacity:     400,
		rosemarysill.UpstreamFailed: 100,
	} {
		t.Run(code.String(), func(t *testing.T) {
			b := newBed(DefaultLimits())
			for i := range 100 {
				b.now = b.now.Add(time.Second)
				b.do(Reported{Upstreams: []rosemarysill.UpstreamState{up("a", 1, b.now), up("b", 1, b.now), up("c", 1, b.now), up("d", 1, b.now)}})
				id := b.arrive("x", rosemarysill.Normal, time.Minute)
				for n := len(b.sends); b.ends[id].Ticket == 0; n = len(b.sends) {
					b.finish(id, code, 0)
					require.True(t, len(b.sends) == n+1 || b.ends[id].Ticket != 0, "call %d is lost", i)
				}
			}
			require.Equal(t, want, len(b.sends))
		})
	}
}

// TestFailingUpstreamIsTriedLess guards against calls lost at an upstream that
// fails all of them, against setting all upstreams aside, and against one that
// stays aside although it has recovered.
func TestFailingUpstreamIsTriedLess(t *testing.T) {
	for bad, want := range map[int]int{1: 1, 2: 2, 3: 2, 4: 2} {
		t.Run(fmt.Sprint(bad, " of 4 fail"), func(t *testing.T) {
			b := newBed(DefaultLimits())
			lost, aside := 0, 0
			for i := range 800 {
				b.now = b.now.Add(10 * time.Millisecond)
				b.do(Reported{Upstreams: []rosemarysill.UpstreamState{up("a", 2, b.now), up("b", 2, b.now), up("c", 2, b.now), up("d", 2, b.now)}})
				b.arrive("x", rosemarysill.Normal, time.Minute)
				code := rosemarysill.Done
				if i < 400 && int(b.sends[i].Upstream.Name[0]-'a') < bad {
					code = rosemarysill.UpstreamFailed
					lost++
				}
				b.finish(b.sends[i].Ticket, code, time.Millisecond)
				if aside = 0; i == 399 || i == 799 {
					for _, f := range b.state.fleet {
						if f.ejected {
							aside++
						}
					}
				}
				require.True(t, i != 399 || aside == want, "%d set aside", aside)
			}
			require.Zero(t, aside)
			require.LessOrEqual(t, lost, max(bad*7, (bad-2)*400), "5 failures each, then probes after 1 and 3 of the 4 s")
		})
	}
}

// TestOneProbeAtATime guards against more than one call at risk.
func TestOneProbeAtATime(t *testing.T) {
	busy := up("b", 1, start)
	busy.FreeSlots = 0
	b := newBed(DefaultLimits(), up("a", 4, start), busy)
	for range 5 {
		b.finish(b.arrive("x", rosemarysill.Normal, time.Minute), rosemarysill.UpstreamFailed, 0)
	}
	b.now = b.now.Add(time.Second)
	first := b.arrive("x", rosemarysill.Normal, time.Minute)
	b.arrive("x", rosemarysill.Normal, time.Minute)
	require.Len(t, b.sends, 6)
	b.finish(first, rosemarysill.Done, 0)
	require.Len(t, b.sends, 7)
}

// model is what TestRandomEvents knows of the calls.
type model struct {
	*rapid.T
	*bed
	ups      []rosemarysill.UpstreamState
	progress map[Ticket]Send
	attempts map[Ticket]int
	// what is known of a ticket: idempotent; its last or an earlier forward was
	// lost; no further forward is allowed
	idempotent, lost, open, settled map[Ticket]bool
	retries                         int
}

// step applies the event and checks what holds after every sequence of events.
func (m *model) step(e Event) {
	sent := len(m.sends)
	m.do(e)
	l := &m.state.limits
	for _, s := range m.sends[sent:] {
		_, twice := m.progress[s.Ticket]
		m.progress[s.Ticket] = s
		m.attempts[s.Ticket]++
		if m.lost[s.Ticket] {
			m.retries++
		}
		u := m.ups[int(s.Upstream.Name[0]-'a')]
		if u.Leaving || u.Drained || u.DomainOut || m.now.Sub(u.LastHeartbeat) >= l.FreshFor {
			m.Fatalf("sent to %+v, which may get no calls", u)
		}
		if twice || m.settled[s.Ticket] || s.Attempt != m.attempts[s.Ticket] || s.Attempt > l.Attempts {
			m.Fatalf("wrong forward %+v", s)
		}
	}
	inUse := map[string]int{}
	for _, s := range m.progress {
		inUse[s.Upstream.Name]++
	}
	for _, f := range m.state.fleet {
		if f.progress != inUse[f.state.Identity.Name] || f.progress > f.state.Identity.Slots {
			m.Fatalf("%s counts %d calls in progress, it has %v", f.state.Identity.Name, f.progress, inUse)
		}
	}
	// Refused calls come back to the queue from at most 10 slots.
	if m.state.InProgress() != len(m.progress) || m.state.Waiting() > l.Queued+10 {
		m.Fatalf("%d in progress, %d waiting", m.state.InProgress(), m.state.Waiting())
	}
	if rank, waits := m.state.queues.next(); waits && m.state.fleet.choose(m.state.queues[rank].peek(), m.now, l) != nil {
		m.Fatalf("a call waits although there is a slot")
	}
	for id, e := range m.ends {
		if _, runs := m.progress[id]; runs || (m.open[id] && e.Code.Truth() == rosemarysill.TruthNotRun) {
			m.Fatalf("ticket %d ended as %s", id, e.Code)
		}
	}
	if float64(m.retries) > l.RetryReserve+l.RetryShare*float64(m.last) {
		m.Fatalf("%d retries for %d calls", m.retries, m.last)
	}
}

// TestRandomEvents guards the rules that hold for every sequence of events; the
// checks of step name them.
func TestRandomEvents(t *testing.T) {
	codes := []rosemarysill.Code{
		rosemarysill.Done, rosemarysill.Leaving, rosemarysill.NoCapacity, rosemarysill.Unreachable, rosemarysill.StaleConfiguration,
		rosemarysill.OutcomeUnknown, rosemarysill.UpstreamFailed, rosemarysill.TooLarge,
	}
	rapid.Check(t, func(t *rapid.T) {
		l := DefaultLimits()
		l.QueuePerAccount, l.Queued = 4, 9
		m := &model{
			T: t, bed: newBed(l), progress: map[Ticket]Send{}, attempts: map[Ticket]int{}, idempotent: map[Ticket]bool{},
			lost: map[Ticket]bool{}, open: map[Ticket]bool{}, settled: map[Ticket]bool{},
		}
		for i := range 5 {
			m.ups = append(m.ups, up(string(rune('a'+i)), 2, m.now))
		}
		m.step(Reported{Upstreams: m.ups})
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				m.last++
				m.idempotent[m.last] = rapid.Bool().Draw(t, "idempotent")
				m.step(Arrived{
					Ticket: m.last, Account: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "account"), Idempotent: m.idempotent[m.last],
					Class:    rapid.SampledFrom(rosemarysill.Classes()).Draw(t, "class"),
					Deadline: m.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond),
				})
			},
			"return": func(t *rapid.T) {
				for id := Ticket(1); id <= m.last; id++ {
					if _, ok := m.progress[id]; !ok || !rapid.Bool().Draw(t, "this") {
						continue
					}
					code := rapid.SampledFrom(codes).Draw(t, "code")
					delete(m.progress, id)
					m.lost[id] = code == rosemarysill.OutcomeUnknown
					m.open[id] = m.open[id] || m.lost[id]
					m.settled[id] = m.settled[id] || !(reroutable[code] || (m.lost[id] && m.idempotent[id]))
					m.step(Returned{Ticket: id, Code: code, Took: time.Millisecond, Sent: true})
					return
				}
			},
			"withdraw": func(t *rapid.T) {
				id := Ticket(rapid.Uint64Range(0, uint64(m.last)).Draw(t, "ticket"))
				m.settled[id] = true
				m.step(Withdrawn{Ticket: id})
			},
			"report": func(t *rapid.T) {
				u := &m.ups[rapid.IntRange(0, len(m.ups)-1).Draw(t, "upstream")]
				u.LastHeartbeat, u.FreeSlots = m.now, rapid.IntRange(0, 2).Draw(t, "free")
				u.Leaving, u.Drained, u.DomainOut = rapid.Bool().Draw(t, "leaving"), rapid.Bool().Draw(t, "drained"), rapid.Bool().Draw(t, "out")
				m.step(Reported{Upstreams: append([]rosemarysill.UpstreamState(nil), m.ups...)})
			},
			"wait": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
				m.step(Ticked{})
			},
		})
	})
}
