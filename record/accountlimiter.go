package record

import (
	"sync"
	"time"
)

// accountWindow is the period over which the writes of each account are counted.
const accountWindow = time.Second

// accountLimiter prevents one account from using up the capacity to create
// records. While more than half of a limit is free, an account may use any part
// of it. Otherwise each account that makes claims is held to an equal share.
type accountLimiter struct {
	maxClaims int // claims in progress, over all accounts
	maxWrites int // per window, over all accounts

	mu                 sync.Mutex
	windowStart        time.Time
	lastWindowAccounts int            // accounts that made claims in the previous window
	windowWrites       map[string]int // in this window; includes accounts with refused claims only
	claimsByAccount    map[string]int // claims in progress
	claimsInProgress   int
}

func newAccountLimiter(maxClaims, maxWrites int) *accountLimiter {
	return &accountLimiter{maxClaims: maxClaims, maxWrites: maxWrites, windowWrites: map[string]int{}, claimsByAccount: map[string]int{}}
}

// acquire reports whether the account may start a claim that costs the given
// number of writes; writesLeft is the number that all accounts have left. If it
// returns true, the caller calls release at the end of the claim.
func (l *accountLimiter) acquire(account string, cost int, writesLeft float64, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.windowStart) >= accountWindow {
		l.windowStart, l.lastWindowAccounts = now, len(l.windowWrites)
		clear(l.windowWrites)
	}
	l.windowWrites[account] += 0 // counts the account even if the claim is refused
	accounts := max(l.lastWindowAccounts, len(l.windowWrites))
	scarce := writesLeft < float64(l.maxWrites)/2
	switch {
	case l.claimsInProgress >= l.maxClaims,
		2*l.claimsInProgress >= l.maxClaims && l.claimsByAccount[account] >= max(1, l.maxClaims/2/accounts),
		scarce && accounts > 1 && l.windowWrites[account]+cost > max(cost, l.maxWrites/accounts):
		return false
	}
	l.windowWrites[account] += cost
	l.claimsByAccount[account]++
	l.claimsInProgress++
	return true
}

func (l *accountLimiter) release(account string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.claimsInProgress--
	if l.claimsByAccount[account]--; l.claimsByAccount[account] == 0 {
		delete(l.claimsByAccount, account)
	}
}
