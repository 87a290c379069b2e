package membership

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"

	rosemarysill "github.com/rosemarysill/rosemarysill"
)

// FenceState gathers the acknowledgements of one fence at the asking entry. It
// uses no clock.
type FenceState struct {
	timings rosemarysill.Timings
	acked   map[uuid.UUID]time.Time // sending of the acknowledged request
}

// NewFenceState returns a fence that nobody has acknowledged.
func NewFenceState(t rosemarysill.Timings) *FenceState {
	return &FenceState{timings: t, acked: map[uuid.UUID]time.Time{}}
}

// Acked records the acknowledgement of a request that was sent at sent.
func (f *FenceState) Acked(id uuid.UUID, sent time.Time) { f.acked[id] = sent }

// Next takes the newest list, read by an entry with store contact, and the
// time from which removed entries have no authority. It returns the entries to
// ask, and whether the fence is complete.
func (f *FenceState) Next(list rosemarysill.Members, settled, now time.Time) ([]rosemarysill.Member, bool) {
	var ask []rosemarysill.Member
	for _, m := range list.Entries {
		if m.State != rosemarysill.Established {
			continue
		}
		// An acknowledgement ends before the fence it stands for.
		sent, ok := f.acked[m.ID]
		if !ok || !now.Before(sent.Add(FenceMemory(f.timings)-f.timings.ReserveFor-f.timings.GangLease-2*f.timings.Margin)) {
			ask = append(ask, m)
		}
	}
	return ask, len(ask) == 0 && !now.Before(settled)
}

// FenceAttempt asks each established entry to grant no more gang lease to the
// attempt. It returns nil when each has acknowledged or was removed; the last
// lease granted before ends within GangLease and Margin, and a commit of an
// earlier placing entry may start a member within ReserveFor before that.
func (m *Membership) FenceAttempt(ctx context.Context, job uuid.UUID, attempt int, epoch uint64) error {
	r := rosemarysill.FenceRequest{From: m.state.Self.ID, Job: job, Attempt: attempt, Epoch: epoch}
	f := NewFenceState(m.opts.Timings)
	for {
		ask, complete := m.nextFence(f)
		if len(ask) > 0 {
			if err := m.sendFence(ctx, r, ask, f); err != nil {
				return err
			}
			_, complete = m.nextFence(f)
		}
		if complete {
			return nil
		}
		select {
		case <-ctx.Done():
			return rosemarysill.NewError(rosemarysill.Unreachable, "fence of job %s attempt %d is not complete: %v", job, attempt, ctx.Err())
		case <-time.After(m.opts.Timings.ConfirmEvery):
		}
	}
}

// nextFence asks nobody and completes nothing while this entry has no store
// contact, because its list may be old.
func (m *Membership) nextFence(f *FenceState) ([]rosemarysill.Member, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.opts.Now()
	if a := m.state.Authority(now); !a.ByStore(now) {
		return nil, false
	}
	return f.Next(m.state.Members, m.state.Settled(), now)
}

// sendFence asks the given entries, itself included, at the same time. It
// fails when one of them has seen a higher epoch.
func (m *Membership) sendFence(ctx context.Context, r rosemarysill.FenceRequest, ask []rosemarysill.Member, f *FenceState) error {
	ctx, cancel := context.WithTimeout(ctx, m.opts.Timings.ConfirmFresh)
	defer cancel()
	var mu sync.Mutex
	var stale error
	var wg sync.WaitGroup
	for _, e := range ask {
		wg.Go(func() {
			sent := m.opts.Now()
			var err error
			if e.ID == r.From {
				err = m.Fence(ctx, r)
			} else {
				var p rosemarysill.Peer
				if p, err = m.opts.Peers.Peer(e.Address); err == nil {
					err = p.Fence(ctx, r)
				}
			}
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				f.Acked(e.ID, sent)
			} else if rosemarysill.CodeOf(err) == rosemarysill.StaleEpoch {
				stale = err
			}
		})
	}
	wg.Wait()
	return stale
}
