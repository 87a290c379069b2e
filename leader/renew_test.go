package leader

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/jobstore"
	"github.com/rosemarysill/rosemarysill/uptime"
)

// delayedRenewal is a store that renews leases after a delay.
type delayedRenewal struct {
	rosemarysill.TransactionalStore
	delay time.Duration
	err   error
}

func (s delayedRenewal) Renew(ctx context.Context, _ rosemarysill.LeaseID) error {
	uptime.Sleep(ctx, s.delay)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return s.err
}

// Guards against a leadership that is lost because renewals are delayed by other traffic
// on a narrow link, as in a burst of jobs, and against one that is kept after the lease
// has expired.
func TestSlowLeaseRenewals(t *testing.T) {
	for name, c := range map[string]struct {
		store delayedRenewal
		holds bool
	}{
		"late responses":                        {delayedRenewal{delay: 700 * time.Millisecond}, true},
		"responses after the lease has expired": {delayedRenewal{delay: 3 * time.Second}, false},
		"lease expired at the store":            {delayedRenewal{err: rosemarysill.ErrLeaseLapsed}, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			cfg := Config{Store: c.store, Log: zerolog.Nop()}
			term := newTerm(cfg, jobstore.LeaderRecord{Epoch: 1}, 1, 1, uptime.Now().Add(cfg.leaseTTL()))
			done := make(chan struct{})
			go func() { defer close(done); term.renew(ctx) }()
			for c.holds && ctx.Err() == nil {
				require.False(t, term.leaseExpired(), "a delayed renewal must not delay others")
				uptime.Sleep(ctx, 10*time.Millisecond)
			}
			<-done
			if c.holds {
				require.NoError(t, term.cause())
				return
			}
			require.ErrorIs(t, term.cause(), errLeaseLapsed)
		})
	}
}
