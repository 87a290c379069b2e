package intake

import (
	"container/list"
	"sync/atomic"
	"time"
)

// share is the part of a budget that one body, or the messages of one connection, hold.
type share struct {
	arrival
	length   int64     // announced number of bytes, 0 if it is not known
	deadline time.Time // by which they have to arrive
	held     int64     // bytes
	whole    bool      // all bytes have arrived
	empty    bool      // nothing is held any more, so the arrival begins with the next bytes
	dropped  atomic.Bool
	drop     func() // ends the transfer; called without locks

	wanted    int64         // bytes for which it waits, 0 if it does not
	ready     chan struct{} // receives a value when it does not wait any more
	position  *list.Element // in the list of shares that may be dropped
	inWaiting *list.Element // in the list of shares that wait
}

func newShare(drop func()) *share {
	s := &share{drop: drop, ready: make(chan struct{}, 1)}
	s.body = true
	s.begin(time.Now())
	return s
}

// late reports whether the body will not arrive by its deadline at its present rate.
func (s *share) late(now time.Time) bool {
	if s.length <= s.received {
		return false
	}
	remaining := float64(s.length-s.received) / s.rate(now)
	return remaining > s.deadline.Sub(now).Seconds()
}

// worse reports whether s gives way before o: bodies that have stopped, those that will be
// late, and those of unknown length, the one with the lowest rate first. Of two others it is
// the one that has begun last, because both will soon be whole and free their memory.
func (s *share) worse(o *share, now time.Time) bool {
	if !s.whole && !o.whole {
		if order := s.compare(&o.arrival, now); order != 0 {
			return order < 0
		}
	} else if stopped, other := !s.whole && s.stopped(now), !o.whole && o.stopped(now); stopped != other {
		return stopped
	}
	switch late, other := s.late(now), o.late(now); {
	case late != other:
		return late
	case (s.length == 0) != (o.length == 0):
		return s.length == 0
	case late || s.length == 0:
		return s.rate(now) < o.rate(now)
	}
	return s.began.After(o.began)
}

// budget divides a number of bytes among shares. A share that is dropped keeps its bytes until
// they are released, because its reader holds them until then. It is not safe for concurrent
// use.
type budget struct {
	free      int64
	returning int64      // held by dropped shares
	wanted    int64      // by waiting shares
	active    *list.List // shares that may be dropped; those without new bytes for longest first
	waiting   *list.List // shares that wait for bytes of dropped ones, in the order of their requests
}

func newBudget(size int64) *budget {
	return &budget{free: size, active: list.New(), waiting: list.New()}
}

// draw adds n bytes to a share. If they are not free, incomplete shares that arrive less well
// are dropped. It returns those, and false if s itself arrives least well, or too little can
// be freed; s is dropped then. If s.wanted is not 0 afterwards, it has to wait until the
// dropped shares have been released.
func (b *budget) draw(s *share, n int64, now time.Time) (dropped []*share, ok bool) {
	if s.dropped.Load() {
		return nil, false
	}
	if s.empty {
		s.empty = false
		s.begin(now)
	}
	if s.add(n, now) && s.position != nil {
		b.active.MoveToBack(s.position)
	}
	for b.free+b.returning-b.wanted < n {
		worst := b.worst(s, now)
		b.cancel(worst)
		if worst == s {
			return dropped, false
		}
		dropped = append(dropped, worst)
	}
	if s.position == nil {
		s.position = b.active.PushBack(s)
	}
	s.wanted = n
	b.wanted += n
	s.inWaiting = b.waiting.PushBack(s)
	b.grant()
	return dropped, true
}

// worst returns the share that is dropped for s.
func (b *budget) worst(s *share, now time.Time) *share {
	worst := s
	for e, n := b.active.Front(), 0; e != nil && n < maxCandidates; e, n = e.Next(), n+1 {
		if o := e.Value.(*share); o != s && o.held > 0 && o.worse(worst, now) {
			worst = o
		}
	}
	return worst
}

// cancel drops a share, which may be waiting.
func (b *budget) cancel(s *share) {
	s.dropped.Store(true)
	b.returning += s.held
	b.deactivate(s)
	if s.wanted > 0 {
		b.wanted -= s.wanted
		b.stopWaiting(s)
	}
}

// grant gives free bytes to the shares that wait, in the order of their requests.
func (b *budget) grant() {
	for e := b.waiting.Front(); e != nil; e = b.waiting.Front() {
		s := e.Value.(*share)
		if s.wanted > b.free {
			return
		}
		b.free -= s.wanted
		b.wanted -= s.wanted
		s.held += s.wanted
		b.stopWaiting(s)
	}
}

func (b *budget) stopWaiting(s *share) {
	s.wanted = 0
	b.waiting.Remove(s.inWaiting)
	s.inWaiting = nil
	select {
	case s.ready <- struct{}{}:
	default:
	}
}

// deactivate excludes a share from those that may be dropped.
func (b *budget) deactivate(s *share) {
	if s.position != nil {
		b.active.Remove(s.position)
		s.position = nil
	}
}

// execute excludes a share from those that may be dropped. It returns false if it was dropped.
func (b *budget) execute(s *share) bool {
	b.deactivate(s)
	return !s.dropped.Load()
}

// giveBack returns n bytes of a share.
func (b *budget) giveBack(s *share, n int64) {
	n = min(n, s.held)
	s.held -= n
	b.free += n
	if s.dropped.Load() {
		b.returning -= n
	}
	s.empty = s.held == 0
	b.grant()
}

// close returns all bytes of a share, which gets no more. A read that is in progress while
// its connection is closed may still ask for some.
func (b *budget) close(s *share) {
	if !s.dropped.Load() {
		b.cancel(s)
	}
	b.giveBack(s, s.held)
}

// release returns all bytes of a share, which does not wait.
func (b *budget) release(s *share) {
	b.deactivate(s)
	b.giveBack(s, s.held)
}
