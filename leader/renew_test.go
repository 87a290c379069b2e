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

// Guards against a lead that is lost because renewals wait behind other traffic
// on a narrow link, in a burst of jobs, and against one that is kept after the
// lease has lapsed.
func TestRenewalsOnANarrowLink(t *testing.T) {
	for name, c := range map[string]struct {
		store delayedRenewal
		keeps bool
	}{
		"answers late":        {delayedRenewal{delay: 700 * time.Millisecond}, true},
		"answers after all":   {delayedRenewal{delay: 3 * time.Second}, false},
		"has ended the lease": {delayedRenewal{err: rosemarysill.ErrLeaseLapsed}, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			cfg := Config{Store: c.store, Log: zerolog.Nop()}
			term := newTerm(cfg, jobstore.LeaderRecord{Epoch: 1}, 1, 1, uptime.Now().Add(cfg.leaseTTL()))
			done := make(chan struct{})
			go func() { defer close(done); term.renew(ctx) }()
			for c.keeps && ctx.Err() == nil {
				require.False(t, term.lapsed(), "a renewal that waits delays no other")
				uptime.Sleep(ctx, 10*time.Millisecond)
			}
			<-done
			if c.keeps {
				require.NoError(t, term.cause())
				return
			}
			require.ErrorIs(t, term.cause(), errLeaseLapsed)
		})
	}
}
