package relay

import (
	"math/rand/v2"
	"time"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/admission"
)

// RetryAfter returns for how long the author of a refused call should pause, in whole
// seconds. If no entry is in contact with the store, the pause grows with the outage. If
// only this one is not, another try may reach an entry that is.
func (r *Relay) RetryAfter(err error) time.Duration {
	pause := rosemarysill.RetryAfterOf(err)
	if pause == 0 {
		var outage time.Duration
		if r.outage.isGeneral(time.Now()) {
			outage = r.cfg.Local.StoreContactAge()
		}
		pause = admission.OutagePause(outage, rand.Float64())
	}
	r.cfg.Meter.ObservePause(rosemarysill.CodeOf(err), pause)
	return pause
}
