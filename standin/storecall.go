package standin

import (
	"context"
	"fmt"
	"time"

	"github.com/rosemarysill/rosemarysill"
)

var (
	errTooLarge = rosemarysill.NewError(rosemarysill.TooLarge, "store: value too large")
	errInvalid  = rosemarysill.NewError(rosemarysill.InvalidRequest, "store: invalid request")
	errLost     = fmt.Errorf("%w: answer lost", rosemarysill.ErrStoreUnavailable)
)

// enter counts a call and applies the faults and limits that come before its
// effect. It returns the time at which the effect takes place.
func (s *Store) enter(kind string, write bool) (time.Time, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Calls[kind]++
	now := s.opts.Now()
	if s.faults.Outage {
		return now, s.refuse(rosemarysill.ErrStoreUnavailable)
	}
	limiter := s.readRate
	if write {
		limiter = s.writeRate
	}
	if !limiter.AllowN(now, 1) {
		return now, s.refuse(rosemarysill.ErrRateLimited)
	}
	return now.Add(s.faults.Delay), nil
}

// refuse counts a failed call. The caller holds mu.
func (s *Store) refuse(err error) error {
	if err != nil {
		s.counters.Refusals[refusalOf(err).Error]++
	}
	return err
}

// perform carries out a call under the lock, with the faults around it. The
// effect of a write takes place even when its caller has left.
func perform[T any](ctx context.Context, s *Store, kind string, write bool, effect func() (T, error)) (T, error) {
	var zero T
	due, err := s.enter(kind, write)
	if err != nil {
		return zero, err
	}
	if !s.clock.until(serverContext(ctx), due) {
		return zero, rosemarysill.ErrStoreUnavailable
	}
	s.mu.Lock()
	s.expire()
	v, err := effect()
	lost := false
	if write && err == nil {
		s.writes++
		switch {
		case s.faults.LoseNext > 0:
			s.faults.LoseNext--
			lost = true
		case s.faults.LoseEvery > 0 && s.writes%s.faults.LoseEvery == 0:
			lost = true
		}
	}
	if lost {
		s.counters.Lost++
		err = errLost
	} else {
		err = s.refuse(err)
	}
	answer := s.opts.Now().Add(s.faults.AnswerDelay)
	s.mu.Unlock()
	if !s.clock.until(ctx, answer) {
		return zero, rosemarysill.ErrStoreUnavailable
	}
	return v, err
}

// direct runs a call for a caller in the same process. The call goes on when
// the caller's ctx ends first, as it would over a socket.
func direct[T any](ctx context.Context, call func(context.Context) (T, error)) (T, error) {
	type result struct {
		v   T
		err error
	}
	var zero T
	if ctx.Err() != nil {
		return zero, fmt.Errorf("%w: %w", rosemarysill.ErrStoreUnavailable, ctx.Err())
	}
	answer := make(chan result, 1)
	go func() {
		v, err := call(context.WithoutCancel(ctx))
		answer <- result{v, err}
	}()
	select {
	case r := <-answer:
		return r.v, r.err
	case <-ctx.Done():
		return zero, fmt.Errorf("%w: %w", rosemarysill.ErrStoreUnavailable, ctx.Err())
	}
}

// Get implements rosemarysill.Store.
func (s *Store) Get(ctx context.Context, key string) (rosemarysill.Item, error) {
	return direct(ctx, func(ctx context.Context) (rosemarysill.Item, error) { return s.getCall(ctx, key) })
}

func (s *Store) getCall(ctx context.Context, key string) (rosemarysill.Item, error) {
	return perform(ctx, s, StoreGet, false, func() (rosemarysill.Item, error) { return s.get(key) })
}

// List implements rosemarysill.Store.
func (s *Store) List(ctx context.Context, prefix string) ([]rosemarysill.Item, uint64, error) {
	var all []rosemarysill.Item
	var revision uint64
	for from, first := "", true; first || from != ""; first = false {
		p, err := direct(ctx, func(ctx context.Context) (listReply, error) { return s.listCall(ctx, prefix, from) })
		if err != nil {
			return nil, 0, err
		}
		if first {
			revision = p.Revision
		}
		all, from = append(all, p.Items...), p.Next
	}
	return all, revision, nil
}

func (s *Store) listCall(ctx context.Context, prefix, from string) (listReply, error) {
	return perform(ctx, s, StoreList, false, func() (listReply, error) { return s.page(prefix, from) })
}

// Swap implements rosemarysill.Store.
func (s *Store) Swap(ctx context.Context, key string, value []byte, version uint64, lease rosemarysill.LeaseID) (uint64, error) {
	value = append([]byte(nil), value...)
	return direct(ctx, func(ctx context.Context) (uint64, error) {
		return s.swapCall(ctx, swapRequest{key, value, version, lease})
	})
}

func (s *Store) swapCall(ctx context.Context, r swapRequest) (uint64, error) {
	return perform(ctx, s, StoreSwap, true, func() (uint64, error) { return s.swap(r) })
}

// Delete implements rosemarysill.Store.
func (s *Store) Delete(ctx context.Context, key string, version uint64) error {
	_, err := direct(ctx, func(ctx context.Context) (struct{}, error) {
		return s.deleteCall(ctx, deleteRequest{key, version})
	})
	return err
}

func (s *Store) deleteCall(ctx context.Context, r deleteRequest) (struct{}, error) {
	return perform(ctx, s, StoreDelete, true, func() (struct{}, error) { return struct{}{}, s.delete(r) })
}

// Grant implements rosemarysill.Store.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (rosemarysill.LeaseID, error) {
	return direct(ctx, func(ctx context.Context) (rosemarysill.LeaseID, error) { return s.grantCall(ctx, ttl) })
}

func (s *Store) grantCall(ctx context.Context, ttl time.Duration) (rosemarysill.LeaseID, error) {
	return perform(ctx, s, StoreGrant, true, func() (rosemarysill.LeaseID, error) { return s.grant(ttl) })
}

// Renew implements rosemarysill.Store.
func (s *Store) Renew(ctx context.Context, lease rosemarysill.LeaseID) error {
	_, err := direct(ctx, func(ctx context.Context) (struct{}, error) { return s.renewCall(ctx, lease) })
	return err
}

func (s *Store) renewCall(ctx context.Context, lease rosemarysill.LeaseID) (struct{}, error) {
	return perform(ctx, s, StoreRenew, true, func() (struct{}, error) { return struct{}{}, s.renew(lease) })
}

// Revoke implements rosemarysill.Store.
func (s *Store) Revoke(ctx context.Context, lease rosemarysill.LeaseID) error {
	_, err := direct(ctx, func(ctx context.Context) (struct{}, error) { return s.revokeCall(ctx, lease) })
	return err
}

func (s *Store) revokeCall(ctx context.Context, lease rosemarysill.LeaseID) (struct{}, error) {
	return perform(ctx, s, StoreRevoke, true, func() (struct{}, error) { return struct{}{}, s.revoke(lease) })
}

// Watch implements rosemarysill.Store.
func (s *Store) Watch(ctx context.Context, prefix string, after uint64) ([]rosemarysill.Change, uint64, error) {
	reply, err := s.watchCall(ctx, prefix, after, s.opts.MaxWait)
	return reply.Changes, reply.Revision, err
}

func (s *Store) watchCall(ctx context.Context, prefix string, after uint64, wait time.Duration) (watchReply, error) {
	due, err := s.enter(StoreWatch, false)
	if err != nil {
		return watchReply{}, err
	}
	if !s.clock.until(ctx, due) {
		return watchReply{Revision: after}, nil
	}
	wait = max(0, min(wait, s.opts.MaxWait))
	reply, err := s.watch(ctx, prefix, after, s.opts.Now().Add(wait))
	if err != nil {
		s.mu.Lock()
		_ = s.refuse(err)
		s.mu.Unlock()
	}
	return reply, err
}
