package membership

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	rosemarysill "github.com/rosemarysill/rosemarysill"
)

func rename(name string) func(rosemarysill.Configuration) (rosemarysill.Configuration, error) {
	return func(c rosemarysill.Configuration) (rosemarysill.Configuration, error) {
		c.Drained = []string{name}
		return c, nil
	}
}

// TestScenarios runs entries through failures. The name of each case is the
// failure that it guards against.
func TestScenarios(t *testing.T) {
	timings := rosemarysill.DefaultTimings()
	valid := func(n *node) bool { return n.Authority().Valid(time.Now()) }
	byStore := func(n *node) bool { a := n.Authority(); return a.ByStore(time.Now()) }
	cases := map[string]func(t *testing.T, f *fleet){
		"two first entries both create the list": func(t *testing.T, f *fleet) {
			a, b := f.start(0), f.start(1)
			after(20 * time.Second)
			require.True(t, a.Authority().Established && b.Authority().Established)
			require.Len(t, a.Authority().Members.Entries, 2)
		},
		"an outage stops all entries, or lasts beyond OutageGrace": func(t *testing.T, f *fleet) {
			nodes := f.established(3)
			setFault(allDown, nodes...)
			after(timings.OutageGrace - time.Minute)
			for _, n := range nodes {
				require.True(t, valid(n) && !byStore(n), n.self.Name)
				_, err := n.Change(t.Context(), rename("x"))
				require.Equal(t, rosemarysill.StoreUnavailable, rosemarysill.CodeOf(err))
			}
			after(time.Minute)
			for _, n := range nodes {
				require.False(t, valid(n), n.self.Name)
			}
		},
		"an entry cut off from the store and one entry keeps authority": func(t *testing.T, f *fleet) {
			nodes := f.established(3)
			f.setCut("e0", "e1", true)
			setFault(allDown, nodes...)
			after(timings.StoreFresh + timings.ConfirmFresh)
			require.False(t, valid(nodes[0]))
			require.True(t, valid(nodes[1]), "the other direction still works")
		},
		"an entry cut off from the store alone stops": func(t *testing.T, f *fleet) {
			nodes := f.established(2)
			setFault(allDown, nodes[0])
			after(time.Minute)
			require.True(t, valid(nodes[0]) && !byStore(nodes[0]))
			cfg, err := nodes[1].Change(t.Context(), rename("x"))
			require.NoError(t, err)
			after(timings.ConfirmEvery)
			require.Equal(t, cfg.Revision, nodes[0].Authority().Config.Revision)
		},
		"an entry that starts in an outage serves nothing, or takes part in decisions": func(t *testing.T, f *fleet) {
			nodes := f.established(2)
			_, err := nodes[0].Change(t.Context(), rename("x"))
			require.NoError(t, err)
			after(timings.StoreFresh)
			setFault(allDown, nodes...)
			after(time.Minute)
			late := f.start(2)
			setFault(allDown, late)
			after(time.Minute)
			a := late.Authority()
			require.True(t, a.Valid(time.Now()) && !a.Established && a.Config.Revision == 1)
			require.True(t, late.Fenced(uuid.New(), 1))
			f.kill(nodes[0])
			after(timings.ConfirmFresh + timings.Margin)
			require.False(t, valid(nodes[1]) || valid(late))
		},
		"a dead entry is never removed": func(t *testing.T, f *fleet) {
			nodes := f.established(3)
			f.kill(nodes[2])
			after(30 * time.Second)
			require.Len(t, nodes[0].Authority().Members.Entries, 2)
			require.True(t, f.start(2).self.ID != nodes[2].self.ID)
			after(10 * time.Second)
			require.Len(t, nodes[0].Authority().Members.Entries, 3)
		},
		"entries that reach the store but not each other remove each other": func(t *testing.T, f *fleet) {
			nodes := f.established(2)
			f.setCut("e0", "e1", true)
			f.setCut("e1", "e0", true)
			after(5 * time.Minute)
			require.True(t, byStore(nodes[0]) && byStore(nodes[1]))
			require.Len(t, nodes[0].Authority().Members.Entries, 2)
		},
		"a removed entry comes back with its old standing": func(t *testing.T, f *fleet) {
			nodes := f.established(2)
			f.setCut("e0", "e1", true)
			f.setCut("e1", "e0", true)
			setFault(allDown, nodes[0])
			after(time.Minute)
			require.Len(t, nodes[1].Authority().Members.Entries, 1)
			require.False(t, valid(nodes[0]))
			setFault(nil, nodes[0])
			after(10 * time.Second)
			require.False(t, nodes[0].Authority().Established, "nobody can acknowledge")
			require.True(t, nodes[0].Fenced(uuid.New(), 1))
			f.setCut("e0", "e1", false)
			f.setCut("e1", "e0", false)
			after(10 * time.Second)
			require.True(t, nodes[0].Authority().Established)
			require.True(t, nodes[0].Fenced(uuid.New(), 1), "a fence may have completed without it")
			after(timings.GangLease + timings.StoreFresh + timings.ReserveFor)
			require.False(t, nodes[0].Fenced(uuid.New(), 1))
		},
		"a new entry acts while lost ones may still rely on silence": func(t *testing.T, f *fleet) {
			nodes := f.established(2)
			f.kill(nodes[0])
			f.kill(nodes[1])
			n := f.start(2)
			after(timings.OutageGrace)
			require.False(t, n.Authority().Established)
			after(time.Minute)
			require.True(t, n.Authority().Established)
		},
		"operators cannot end the wait for lost entries": func(t *testing.T, f *fleet) {
			nodes := f.established(2)
			f.kill(nodes[0])
			f.kill(nodes[1])
			n := f.start(2)
			after(time.Minute)
			require.NoError(t, n.RemoveEntries(t.Context(), []uuid.UUID{nodes[0].self.ID, nodes[1].self.ID}))
			after(timings.StoreFresh)
			require.True(t, n.Authority().Established)
		},
		"the last entry leaves and the next waits for OutageGrace": func(t *testing.T, f *fleet) {
			n := f.established(1)[0]
			setFault(func(_, key string) fault { // the first answer is lost
				if key == MembersKey {
					setFault(nil, n)
					return lost
				}
				return none
			}, n)
			require.NoError(t, n.Leave(t.Context()))
			require.False(t, valid(n))
			f.kill(n)
			n = f.start(0)
			after(timings.StoreFresh)
			require.True(t, n.Authority().Established)
		},
		"lost answers to list and mark end store contact": func(t *testing.T, f *fleet) {
			writes := 0
			n := f.start(0)
			setFault(func(op, _ string) fault {
				if op == "Swap" {
					writes++
				}
				if op == "Swap" && writes%3 != 0 {
					return lost
				}
				return none
			}, n)
			after(time.Minute)
			for range 120 {
				after(time.Second)
				require.True(t, byStore(n))
			}
		},
		"an old document takes the configuration back": func(t *testing.T, f *fleet) {
			n := f.established(1)[0]
			for range 2 {
				_, err := n.Change(t.Context(), rename("x"))
				require.NoError(t, err)
			}
			raw, err := json.Marshal(rosemarysill.Configuration{Revision: 1})
			require.NoError(t, err)
			f.store.mu.Lock()
			f.store.items[ConfigKey] = rosemarysill.Item{Key: ConfigKey, Value: raw, Version: 9}
			f.store.mu.Unlock()
			after(time.Minute)
			require.Equal(t, uint64(2), n.Authority().Config.Revision)
			require.False(t, byStore(n))
		},
		"a paused entry writes on an authority that has ended": func(t *testing.T, f *fleet) {
			n := f.established(1)[0]
			_, err := n.Change(t.Context(), func(c rosemarysill.Configuration) (rosemarysill.Configuration, error) {
				setFault(allDown, n)
				n.skip.Store(int64(time.Minute))
				require.False(t, n.Authority().Valid(n.now()) && byStore(n))
				return c, nil
			})
			require.Equal(t, rosemarysill.StoreUnavailable, rosemarysill.CodeOf(err))
			require.NotContains(t, f.store.items, ConfigKey)
		},
		"a fence completes while an entry may still grant leases": func(t *testing.T, f *fleet) {
			nodes := f.established(3)
			after(30 * time.Second)
			job := uuid.New()
			require.False(t, nodes[1].Fenced(job, 1))
			f.setCut("e0", "e1", true)
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			require.Error(t, nodes[0].FenceAttempt(ctx, job, 1, 7), "e1 is alive and has not answered")
			require.False(t, nodes[1].Fenced(job, 1))
			f.setCut("e0", "e1", false)
			require.NoError(t, nodes[0].FenceAttempt(t.Context(), job, 1, 7))
			require.True(t, nodes[1].Fenced(job, 1) && !nodes[1].Fenced(job, 2))
			require.Equal(t, rosemarysill.StaleEpoch, rosemarysill.CodeOf(nodes[2].FenceAttempt(t.Context(), job, 2, 6)))
			f.kill(nodes[1])
			require.NoError(t, nodes[0].FenceAttempt(t.Context(), job, 2, 7))
			require.Len(t, nodes[0].Authority().Members.Entries, 2, "the dead entry had to be removed first")
		},
	}
	for name, run := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { run(t, newFleet(t)) })
		})
	}
}

// TestFenceMemoryIsBounded guards against a promise to fence that is dropped
// to make room for another.
func TestFenceMemoryIsBounded(t *testing.T) {
	now := time.Unix(0, 0)
	s := NewState(rosemarysill.Member{ID: uuid.New()}, rosemarysill.DefaultTimings())
	for range MaxFences {
		require.NoError(t, s.Fence(rosemarysill.FenceRequest{Job: uuid.New(), Attempt: 1}, now))
	}
	more := rosemarysill.FenceRequest{Job: uuid.New(), Attempt: 1}
	require.Equal(t, rosemarysill.Overloaded, rosemarysill.CodeOf(s.Fence(more, now)))
	require.NoError(t, s.Fence(more, now.Add(FenceMemory(s.Timings))))
	require.Len(t, s.fences, 1)
}

// TestStoreCallsAtRest guards against a membership that uses up the store's
// rates: 300 writes/s and 2,000 reads/s, of which ten entries may use 1%.
func TestStoreCallsAtRest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const entries, minutes = 3, 10
		f := newFleet(t)
		f.established(entries)
		f.store.mu.Lock()
		clear(f.store.calls)
		f.store.mu.Unlock()
		after(minutes * time.Minute)
		f.store.mu.Lock()
		defer f.store.mu.Unlock()
		perMinute := func(n int) float64 { return float64(n) / entries / minutes }
		reads, writes := perMinute(f.store.calls["Get"]), perMinute(f.store.calls["Swap"])
		t.Logf("per entry and minute: %.1f reads, %.1f writes, calls %v", reads, writes, f.store.calls)
		require.LessOrEqual(t, reads, 80.5)
		require.LessOrEqual(t, writes, 7.0)
		require.Less(t, reads*10/60, 0.01*2000)
		require.Less(t, writes*10/60, 0.01*300)
		require.Zero(t, f.store.calls["List"]+f.store.calls["Delete"])
	})
}
