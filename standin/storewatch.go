package standin

import (
	"context"
	"sort"
	"strings"
	"time"

	"github.com/rosemarysill/rosemarysill"
)

// record appends a change to the log and wakes the watches. The caller holds mu.
func (s *Store) record(c rosemarysill.Change) {
	s.log = append(s.log, c)
	s.logBytes += len(c.Item.Value)
	for len(s.log) > s.opts.LogChanges || s.logBytes > s.opts.LogBytes {
		s.compacted = s.log[0].Revision
		s.logBytes -= len(s.log[0].Item.Value)
		s.log = s.log[1:]
	}
	s.clock.wake()
}

// changes returns the changes under prefix after a revision. The caller holds mu.
func (s *Store) changes(prefix string, after uint64) ([]rosemarysill.Change, error) {
	if after < s.compacted || after > s.revision {
		return nil, rosemarysill.ErrCompacted
	}
	var found []rosemarysill.Change
	first := sort.Search(len(s.log), func(i int) bool { return s.log[i].Revision > after })
	for _, c := range s.log[first:] {
		if strings.HasPrefix(c.Item.Key, prefix) {
			found = append(found, c)
		}
	}
	return found, nil
}

// watch waits for changes until the time limit or the end of ctx.
func (s *Store) watch(ctx context.Context, prefix string, after uint64, limit time.Time) (watchReply, error) {
	for again := false; ; again = true {
		// Taken before the look at the log, so that no change is missed.
		ticked := s.clock.ticked()
		s.mu.Lock()
		s.expire()
		outage, silent, revision := s.faults.Outage, s.faults.SilentWatches, s.revision
		found, err := s.changes(prefix, after)
		wake := limit
		if s.nextDue.Before(wake) {
			wake = s.nextDue
		}
		s.mu.Unlock()
		now := s.opts.Now()
		switch {
		case outage:
			return watchReply{}, rosemarysill.ErrStoreUnavailable
		case silent:
			revision = after
		case err != nil:
			return watchReply{}, err
		case len(found) > 0:
			return watchReply{Changes: found, Revision: revision}, nil
		}
		if !now.Before(limit) {
			return watchReply{Revision: revision}, nil
		}
		timer := newTimer(wake.Sub(now), again)
		select {
		case <-ctx.Done():
			timer.Stop()
			return watchReply{Revision: revision}, nil
		case <-timer.C:
		case <-ticked:
		}
		timer.Stop()
	}
}
