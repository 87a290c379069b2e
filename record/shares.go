package record

import (
	"sync"
	"time"
)

// shareWindow is the time over which the writes of accounts are compared.
const shareWindow = time.Second

// shares keeps one account from using up the creation of records. While more
// than half of a resource is left, each account may take what it needs; of the
// rest, each account that asks may take an equal part.
type shares struct {
	claims int // records being created at a time, of all accounts
	writes int // in a window, of all accounts

	mu       sync.Mutex
	begun    time.Time      // of the window
	asked    int            // accounts that asked in the last window
	used     map[string]int // writes in this window, of accounts that asked
	progress map[string]int // records being created
	total    int
}

func newShares(claims, writes int) *shares {
	return &shares{claims: claims, writes: writes, used: map[string]int{}, progress: map[string]int{}}
}

// begin reports whether the account may create a record, which costs n writes
// of those left. The caller calls end when the record is created.
func (s *shares) begin(account string, n int, left float64, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.begun) >= shareWindow {
		s.begun, s.asked = now, len(s.used)
		clear(s.used)
	}
	s.used[account] += 0 // it asks
	accounts := max(s.asked, len(s.used))
	scarce := left < float64(s.writes)/2
	switch {
	case s.total >= s.claims,
		2*s.total >= s.claims && s.progress[account] >= max(1, s.claims/2/accounts),
		scarce && accounts > 1 && s.used[account]+n > max(n, s.writes/accounts):
		return false
	}
	s.used[account] += n
	s.progress[account]++
	s.total++
	return true
}

func (s *shares) end(account string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.total--
	if s.progress[account]--; s.progress[account] == 0 {
		delete(s.progress, account)
	}
}
