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
		Identity: rosemarysill.AgentIdentity{Name: name, Slots: slots, Boot: uuid.Max}, FreeSlots: slots, LastBeat: at,
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
// sends more requests.
func TestAccountsAreServedInTurn(t *testing.T) {
	b := newBed(DefaultLimits(), up("a", 1, start))
	owner := map[Ticket]string{}
	for range 200 {
		owner[b.arrive("many", rosemarysill.Normal, time.Hour)] = "many"
	}
	for range 20 {
		owner[b.arrive("few", rosemarysill.Normal, time.Hour)] = "few"
	}
	got := map[string]int{}
	for i := range 41 { // the first one was sent before the others came
		got[owner[b.sends[i].Ticket]]++
		b.finish(b.sends[i].Ticket, rosemarysill.Done, 0)
	}
	require.Equal(t, map[string]int{"many": 21, "few": 20}, got)
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

// TestEarliestDeadlineFirst guards against calls of an account that miss their
// deadline behind calls that have time.
func TestEarliestDeadlineFirst(t *testing.T) {
	b := newBed(DefaultLimits(), up("a", 1, start))
	first := b.arrive("x", rosemarysill.Normal, time.Hour)
	late := b.arrive("x", rosemarysill.Normal, 3*time.Minute)
	early := b.arrive("x", rosemarysill.Normal, time.Minute)
	b.finish(first, rosemarysill.Done, 0)
	b.finish(early, rosemarysill.Done, 0)
	require.Equal(t, []Ticket{first, early, late}, []Ticket{b.sends[0].Ticket, b.sends[1].Ticket, b.sends[2].Ticket})
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
// fails all of them, and against setting all upstreams aside.
func TestFailingUpstreamIsTriedLess(t *testing.T) {
	for bad, want := range map[int]int{1: 1, 2: 2, 3: 2, 4: 2} {
		t.Run(fmt.Sprint(bad, " of 4 fail"), func(t *testing.T) {
			b := newBed(DefaultLimits(), up("a", 2, start), up("b", 2, start), up("c", 2, start), up("d", 2, start))
			served, lost := 0, 0
			for i := range 400 {
				b.now = b.now.Add(10 * time.Millisecond)
				b.do(Reported{Upstreams: []rosemarysill.UpstreamState{up("a", 2, b.now), up("b", 2, b.now), up("c", 2, b.now), up("d", 2, b.now)}})
				b.arrive("x", rosemarysill.Normal, time.Minute)
				s := b.sends[i]
				if int(s.Upstream.Name[0]-'a') < bad {
					lost++
					b.finish(s.Ticket, rosemarysill.UpstreamFailed, time.Millisecond)
				} else {
					served++
					b.finish(s.Ticket, rosemarysill.Done, time.Millisecond)
				}
			}
			aside := 0
			for _, f := range b.state.fleet {
				if f.ejected {
					aside++
				}
			}
			require.Equal(t, want, aside)
			if bad <= 2 { // 5 failures each, then probes after 1 and 3 s of the 4 s
				require.LessOrEqual(t, lost, bad*7)
			}
			require.Equal(t, 400, served+lost)
		})
	}
}

// TestRestoredAfterProbe guards against an upstream that stays aside for ever,
// and against more than one call at risk.
func TestRestoredAfterProbe(t *testing.T) {
	b := newBed(DefaultLimits(), up("a", 4, start), up("b", 4, start))
	for range 5 {
		b.do(Reported{Upstreams: []rosemarysill.UpstreamState{up("a", 4, start)}})
		b.finish(b.arrive("x", rosemarysill.Normal, time.Minute), rosemarysill.UpstreamFailed, 0)
	}
	require.False(t, b.state.fleet[0].ejected, "the only upstream was set aside")
	both := []rosemarysill.UpstreamState{up("a", 4, start), up("b", 4, start)}
	b.do(Reported{Upstreams: both})
	b.state.fleet[1].taken = 4
	b.finish(b.arrive("x", rosemarysill.Normal, time.Minute), rosemarysill.UpstreamFailed, 0)
	require.True(t, b.state.fleet[0].ejected)
	b.now = b.now.Add(time.Second)
	b.sends = nil
	first := b.arrive("x", rosemarysill.Normal, time.Minute)
	b.arrive("x", rosemarysill.Normal, time.Minute)
	require.Len(t, b.sends, 1, "one probe at a time")
	b.finish(first, rosemarysill.Done, 0)
	require.False(t, b.state.fleet[0].ejected)
	require.Len(t, b.sends, 2)
}

// TestRandomEvents guards the rules that hold for every sequence of events; the
// checks name them.
func TestRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := DefaultLimits()
		l.QueuePerAccount, l.Queued = 4, 9
		b := newBed(l)
		progress := map[Ticket]Send{}
		attempts, open, lost, retries, arrivals := map[Ticket]int{}, map[Ticket]bool{}, map[Ticket]bool{}, 0, 0
		idempotent, sure, withdrawn := map[Ticket]bool{}, map[Ticket]bool{}, map[Ticket]bool{}
		var ups []rosemarysill.UpstreamState
		step := func(e Event) {
			sent := len(b.sends)
			b.do(e)
			for _, s := range b.sends[sent:] {
				if _, twice := progress[s.Ticket]; twice {
					t.Fatalf("ticket %d is in progress twice", s.Ticket)
				}
				progress[s.Ticket] = s
				attempts[s.Ticket]++
				if lost[s.Ticket] {
					retries++
				}
				u := ups[int(s.Upstream.Name[0]-'a')]
				switch {
				case s.Attempt != attempts[s.Ticket] || s.Attempt > l.Attempts:
					t.Fatalf("attempt %d of ticket %d", s.Attempt, s.Ticket)
				case u.Leaving || u.Drained || u.DomainOut || b.now.Sub(u.LastBeat) >= l.FreshFor:
					t.Fatalf("sent to %+v, which may get no calls", u)
				case sure[s.Ticket] || withdrawn[s.Ticket]:
					t.Fatalf("ticket %d is sent after its end", s.Ticket)
				}
			}
			inUse := map[string]int{}
			for _, s := range progress {
				inUse[s.Upstream.Name]++
			}
			for _, f := range b.state.fleet {
				if f.progress != inUse[f.state.Identity.Name] || f.progress > f.state.Identity.Slots {
					t.Fatalf("upstream %s counts %d calls in progress, it has %d", f.state.Identity.Name, f.progress, inUse[f.state.Identity.Name])
				}
			}
			if b.state.InProgress() != len(progress) || b.state.Waiting() > l.Queued+10 { // refused calls come back from 10 slots
				t.Fatalf("%d in progress, %d waiting", b.state.InProgress(), b.state.Waiting())
			}
			if rank, waits := b.state.queues.next(); waits && b.state.fleet.choose(b.state.queues[rank].peek(), b.now, &l) != nil {
				t.Fatal("a call waits although there is a slot")
			}
			for id, e := range b.ends {
				if _, runs := progress[id]; runs || (open[id] && e.Code.Truth() == rosemarysill.TruthNotRun) {
					t.Fatalf("ticket %d ended as %s", id, e.Code)
				}
			}
			if float64(retries) > l.RetryReserve+l.RetryShare*float64(arrivals) {
				t.Fatalf("%d retries for %d calls", retries, arrivals)
			}
		}
		for i := range 5 {
			ups = append(ups, up(string(rune('a'+i)), 2, b.now))
		}
		step(Reported{Upstreams: ups})
		codes := []rosemarysill.Code{
			rosemarysill.Done, rosemarysill.Leaving, rosemarysill.NoCapacity, rosemarysill.Unreachable, rosemarysill.StaleConfiguration,
			rosemarysill.OutcomeUnknown, rosemarysill.UpstreamFailed, rosemarysill.TooLarge,
		}
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				b.last++
				arrivals++
				idempotent[b.last] = rapid.Bool().Draw(t, "idempotent")
				step(Arrived{
					Ticket: b.last, Account: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "account"), Idempotent: idempotent[b.last],
					Class:    rapid.SampledFrom(rosemarysill.Classes()).Draw(t, "class"),
					Deadline: b.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond),
				})
			},
			"return": func(t *rapid.T) {
				for id := Ticket(1); id <= b.last; id++ {
					if _, ok := progress[id]; !ok || !rapid.Bool().Draw(t, "this") {
						continue
					}
					code := rapid.SampledFrom(codes).Draw(t, "code")
					delete(progress, id)
					lost[id] = code == rosemarysill.OutcomeUnknown
					open[id] = open[id] || lost[id]
					sure[id] = code == rosemarysill.Done || code == rosemarysill.UpstreamFailed || code == rosemarysill.TooLarge ||
						(code == rosemarysill.OutcomeUnknown && !idempotent[id])
					step(Returned{Ticket: id, Code: code, Took: time.Millisecond, Sent: true})
					return
				}
			},
			"withdraw": func(t *rapid.T) {
				id := Ticket(rapid.Uint64Range(0, uint64(b.last)).Draw(t, "ticket"))
				withdrawn[id] = true
				step(Withdrawn{Ticket: id})
			},
			"report": func(t *rapid.T) {
				u := &ups[rapid.IntRange(0, len(ups)-1).Draw(t, "upstream")]
				u.LastBeat, u.FreeSlots = b.now, rapid.IntRange(0, 2).Draw(t, "free")
				u.Leaving, u.Drained, u.DomainOut = rapid.Bool().Draw(t, "leaving"), rapid.Bool().Draw(t, "drained"), rapid.Bool().Draw(t, "out")
				step(Reported{Upstreams: append([]rosemarysill.UpstreamState(nil), ups...)})
			},
			"wait": func(t *rapid.T) {
				b.now = b.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
				step(Ticked{})
			},
		})
	})
}
