package standin

import (
	"sort"
	"time"

	"github.com/rosemarysill/rosemarysill"
)

// expire ends the leases that have lapsed. It looks at the leases only when one
// can have lapsed, because there is one for each few recorded calls. The caller
// holds mu.
func (s *Store) expire() {
	now := s.opts.Now()
	if now.Before(s.nextDue) {
		return
	}
	s.nextDue = now.Add(s.opts.MaxTTL)
	var due []rosemarysill.LeaseID
	for id, l := range s.leases {
		if !now.Before(l.expires) {
			due = append(due, id)
		} else if l.expires.Before(s.nextDue) {
			s.nextDue = l.expires
		}
	}
	sort.Slice(due, func(i, j int) bool { return due[i] < due[j] })
	for _, id := range due {
		s.endLease(id)
	}
}

// endLease deletes a lease with its keys. The caller holds mu.
func (s *Store) endLease(id rosemarysill.LeaseID) {
	l := s.leases[id]
	delete(s.leases, id)
	keys := make([]string, 0, len(l.keys))
	for key := range l.keys {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	for _, key := range keys {
		s.remove(key)
	}
}

func (s *Store) grant(ttl time.Duration) (rosemarysill.LeaseID, error) {
	if ttl <= 0 || ttl > s.opts.MaxTTL {
		return 0, errInvalid
	}
	s.nextLease++
	expires := s.opts.Now().Add(ttl)
	s.leases[s.nextLease] = &storeLease{ttl: ttl, expires: expires, keys: map[string]bool{}}
	if expires.Before(s.nextDue) {
		s.nextDue = expires
	}
	return s.nextLease, nil
}

func (s *Store) renew(id rosemarysill.LeaseID) error {
	l := s.leases[id]
	if l == nil {
		return rosemarysill.ErrLeaseLapsed
	}
	l.expires = s.opts.Now().Add(l.ttl)
	return nil
}

func (s *Store) revoke(id rosemarysill.LeaseID) error {
	if s.leases[id] == nil {
		return rosemarysill.ErrLeaseLapsed
	}
	s.endLease(id)
	return nil
}
