package intake

import "time"

// share is the part of a budget that one body, or the messages of one connection, hold.
type share struct {
	arrival
	held     int64 // bytes
	complete bool  // is not dropped for others
	empty    bool  // nothing is held any more, so age and progress begin with the next bytes
	dropped  bool
	drop     func() // ends the transfer; called without locks
}

// budget divides a number of bytes among shares. It is not safe for concurrent use.
type budget struct {
	free   int64
	shares map[*share]struct{}
}

func newBudget(size int64) *budget {
	return &budget{free: size, shares: make(map[*share]struct{})}
}

// draw adds n bytes to a share. If they are not free, incomplete shares with less
// progress are dropped. It returns those, and false if s itself has the least progress,
// or too little could be freed; s is dropped then.
func (b *budget) draw(s *share, n int64, now time.Time) (dropped []*share, ok bool) {
	if s.dropped {
		return nil, false
	}
	if s.empty {
		s.empty = false
		s.begin(now)
	}
	s.add(n, now)
	for b.free < n {
		worst := s
		for o := range b.shares {
			if o != s && !o.complete && o.held > 0 && o.worse(&worst.arrival, now) {
				worst = o
			}
		}
		b.release(worst)
		worst.dropped = true
		if worst == s {
			return dropped, false
		}
		dropped = append(dropped, worst)
	}
	b.free -= n
	s.held += n
	b.shares[s] = struct{}{}
	return dropped, true
}

// giveBack returns n bytes of a share.
func (b *budget) giveBack(s *share, n int64) {
	n = min(n, s.held)
	s.held -= n
	b.free += n
	s.empty = s.held == 0
}

// close returns all bytes of a share, which gets no more. A read that is in progress while
// its connection is closed may still ask for some.
func (b *budget) close(s *share) {
	b.release(s)
	s.dropped = true
}

// release returns all bytes of a share.
func (b *budget) release(s *share) {
	b.giveBack(s, s.held)
	delete(b.shares, s)
}
