package dispatch

import (
	"container/heap"
	"slices"
	"time"

	"github.com/rosemarysill/rosemarysill"
)

// Ticket numbers a call within one router.
type Ticket uint64

// ticket is a call that waits or is forwarded.
type ticket struct {
	id         Ticket
	account    string
	class      rosemarysill.Class
	idempotent bool
	deadline   time.Time
	attempts   int
	open       bool // an earlier forward may have run
	withdrawn  bool // the caller is gone; no further forward
	tried      []string
	at         *backend // where it is in progress, nil while it waits
	beat       uint64   // number of the backend's report that it was sent after
	probe      bool
	index      int // in its account's heap
}

// byDeadline is a heap of one account's calls, earliest deadline first.
type byDeadline []*ticket

func (h byDeadline) Len() int { return len(h) }

func (h byDeadline) Less(i, j int) bool { return before(h[i], h[j]) }

func before(a, b *ticket) bool {
	if a.deadline.Equal(b.deadline) {
		return a.id < b.id
	}
	return a.deadline.Before(b.deadline)
}

func (h byDeadline) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push is part of heap.Interface.
func (h *byDeadline) Push(x any) {
	t := x.(*ticket)
	t.index = len(*h)
	*h = append(*h, t)
}

// Pop is part of heap.Interface.
func (h *byDeadline) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	t.index = -1
	return t
}

// classQueue holds the waiting calls of one class. Accounts that wait are
// served in turn, so that sending more does not gain a larger share.
type classQueue struct {
	accounts map[string]*byDeadline
	turn     []string // accounts that wait, next one first
	waiting  int
	passed   int // dispatches of other classes since its last one, while it waited
}

func (q *classQueue) push(t *ticket) {
	h, ok := q.accounts[t.account]
	if !ok {
		h = &byDeadline{}
		q.accounts[t.account] = h
		q.turn = append(q.turn, t.account)
	}
	heap.Push(h, t)
	q.waiting++
}

// peek returns the call that pop would take.
func (q *classQueue) peek() *ticket { return (*q.accounts[q.turn[0]])[0] }

// pop takes the earliest call of the account whose turn it is.
func (q *classQueue) pop() *ticket {
	account := q.turn[0]
	h := q.accounts[account]
	t := heap.Pop(h).(*ticket)
	q.waiting--
	q.turn = q.turn[1:]
	if h.Len() > 0 {
		q.turn = append(q.turn, account)
	} else {
		delete(q.accounts, account)
	}
	return t
}

func (q *classQueue) remove(t *ticket) {
	h := q.accounts[t.account]
	heap.Remove(h, t.index)
	q.waiting--
	if h.Len() == 0 {
		delete(q.accounts, t.account)
		q.turn = slices.DeleteFunc(q.turn, func(a string) bool { return a == t.account })
	}
}

// expired removes and returns the calls whose deadline has come.
func (q *classQueue) expired(now time.Time) []*ticket {
	var out []*ticket
	for _, account := range slices.Clone(q.turn) {
		for h := q.accounts[account]; h.Len() > 0 && !now.Before((*h)[0].deadline); {
			t := (*h)[0]
			q.remove(t)
			out = append(out, t)
		}
	}
	return out
}

// ahead returns how many calls of the class would be served before a new one
// of the account with the deadline.
func (q *classQueue) ahead(account string, deadline time.Time) int {
	own := 0
	if h, ok := q.accounts[account]; ok {
		for _, t := range *h {
			if !t.deadline.After(deadline) {
				own++
			}
		}
	}
	n := own
	for other, h := range q.accounts {
		if other != account {
			n += min(h.Len(), own+1)
		}
	}
	return n
}

// Shares of the dispatches. Normal is due one dispatch before its bound, since
// Batch may be due at the same time.
const (
	normalDue = 6  // at least one of eight
	batchDue  = 15 // at least one of sixteen
)

// queues holds the waiting calls by rank of their class.
type queues [3]classQueue

func newQueues() queues {
	var qs queues
	for i := range qs {
		qs[i].accounts = map[string]*byDeadline{}
	}
	return qs
}

func (qs *queues) waiting() int { return qs[0].waiting + qs[1].waiting + qs[2].waiting }

// length returns the number of waiting calls of a class and account.
func (qs *queues) length(rank int, account string) int {
	if h, ok := qs[rank].accounts[account]; ok {
		return h.Len()
	}
	return 0
}

// most returns how many calls of one class and account may wait. Once half of
// all places are taken, the other half is for those that hold less than an
// equal part, so that a few accounts cannot fill the queue of all.
func (qs *queues) most(l *Limits) int {
	if 2*qs.waiting() < l.Queued {
		return l.QueuePerAccount
	}
	n := len(qs[0].accounts) + len(qs[1].accounts) + len(qs[2].accounts)
	return min(l.QueuePerAccount, max(1, l.Queued/2/(n+1)))
}

// next returns the rank of the class to serve, or false when nothing waits.
func (qs *queues) next() (int, bool) {
	urgent, normal, batch := &qs[0], &qs[1], &qs[2]
	switch {
	case batch.waiting > 0 && batch.passed >= batchDue:
		return 2, true
	case normal.waiting > 0 && normal.passed >= normalDue:
		return 1, true
	case urgent.waiting > 0:
		return 0, true
	case normal.waiting > 0:
		return 1, true
	case batch.waiting > 0:
		return 2, true
	}
	return 0, false
}

// pop takes the next call and counts the dispatch against the other classes
// that wait.
func (qs *queues) pop(rank int) *ticket {
	for i := range qs {
		if i != rank && qs[i].waiting > 0 {
			qs[i].passed++
		}
	}
	qs[rank].passed = 0
	return qs[rank].pop()
}
