package membership

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	rosemarysill "github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/event"
)

// MaxDocument bounds the configuration's encoded size, in bytes; the store
// holds no larger value.
const MaxDocument = 1 << 20

// maxTries bounds how often a change is made anew on a newer configuration.
const maxTries = 8

// Change makes f's configuration from the newest one and writes it. The
// revision and the WriteID are set here. A nil error says that the returned
// configuration took effect; an error with a not-run code, and the error of f,
// that nothing changed; OutcomeUnknown that the change may take effect. f is
// called again when another change came first.
func (m *Membership) Change(ctx context.Context, f func(rosemarysill.Configuration) (rosemarysill.Configuration, error)) (rosemarysill.Configuration, error) {
	for range maxTries {
		if err := m.mayChange(); err != nil {
			return rosemarysill.Configuration{}, err
		}
		var cfg rosemarysill.Configuration
		version, err := m.decode(ctx, ConfigKey, &cfg)
		if err != nil {
			return rosemarysill.Configuration{}, rosemarysill.NewError(rosemarysill.StoreUnavailable, "read configuration: %v", err)
		}
		next, err := f(cfg)
		if err != nil {
			return rosemarysill.Configuration{}, err
		}
		next.Revision, next.WriteID = cfg.Revision+1, uuid.New()
		took, err := m.write(ctx, next, version)
		if err != nil || took {
			return next, err
		}
	}
	return rosemarysill.Configuration{}, rosemarysill.NewError(rosemarysill.Overloaded, "%d other changes came first", maxTries)
}

// mayChange reports why this entry may not write the configuration now.
func (m *Membership) mayChange() error {
	a := m.Authority()
	if !a.Established {
		return rosemarysill.NewError(rosemarysill.NotAuthoritative, "this entry is not established")
	}
	if !a.ByStore(m.opts.Now()) {
		return rosemarysill.NewError(rosemarysill.StoreUnavailable, "no store contact")
	}
	return nil
}

// write writes the configuration if the key has the given version, and reports
// whether it took effect.
func (m *Membership) write(ctx context.Context, next rosemarysill.Configuration, version uint64) (bool, error) {
	lost := false // an answer has been lost: an earlier try may have taken effect
	for {
		err := m.mayChange()
		if err == nil {
			_, err = m.swap(ctx, ConfigKey, next, version)
			switch {
			case err == nil:
				return true, m.accepted(ctx, next)
			case !lost && errors.Is(err, rosemarysill.ErrVersion):
				return false, nil
			case !lost && errors.Is(err, rosemarysill.ErrRateLimited):
				return false, rosemarysill.NewError(rosemarysill.Overloaded, "write configuration: %v", err)
			}
			lost = true
		} else if !lost {
			return false, err
		}
		// The same write is safe to repeat: it needs the same version. Once
		// the version has moved, no earlier try can take effect any more.
		var cfg rosemarysill.Configuration
		if v, rerr := m.decode(ctx, ConfigKey, &cfg); rerr == nil && v != version {
			switch {
			case cfg.WriteID == next.WriteID || appliedBy(next, cfg):
				return true, m.accepted(ctx, next)
			case len(next.Applied) > 0 && next.Applied[len(next.Applied)-1].Revision == next.Revision && cfg.Revision-next.Revision < 1000,
				cfg.Revision == next.Revision:
				return false, nil
			default:
				return false, m.unresolved(next, errors.New("a later write hides it"))
			}
		}
		select {
		case <-ctx.Done():
			return false, m.unresolved(next, err)
		case <-time.After(ReadEvery(m.opts.Timings) / 3):
		}
	}
}

// appliedBy reports whether cfg was made on top of next: it holds the plan
// that next applied, with next's revision.
func appliedBy(next, cfg rosemarysill.Configuration) bool {
	if len(next.Applied) == 0 {
		return false
	}
	last := next.Applied[len(next.Applied)-1]
	return last.Revision == next.Revision && slices.Contains(cfg.Applied, last)
}

func (m *Membership) unresolved(next rosemarysill.Configuration, err error) error {
	event.ChangeUnresolved.Log(m.opts.Log).Uint64("Revision", next.Revision).Err(err).Send()
	return rosemarysill.NewError(rosemarysill.OutcomeUnknown, "change to revision %d: %v", next.Revision, err)
}

// accepted takes over a configuration that took effect. It returns nil when
// this entry has store contact after that: then no entry relies on silence
// without its confirmation, and all others learn the change or lose their
// authority within ConfirmFresh.
func (m *Membership) accepted(ctx context.Context, cfg rosemarysill.Configuration) error {
	m.update(func(s *State, _ time.Time) { s.ConfigRead(cfg) })
	for {
		m.mu.Lock()
		changed := m.changed
		m.mu.Unlock()
		if m.mayChange() == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return m.unresolved(cfg, errors.New("store contact ended after the write"))
		case <-changed:
		}
	}
}
