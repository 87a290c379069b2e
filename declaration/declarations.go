// Package declaration follows the documents that operators write: the configuration,
// the failure domains that are taken out, and the waves of maintenance.
package declaration

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/event"
	"github.com/rosemarysill/rosemarysill/jobstore"
	"github.com/rosemarysill/rosemarysill/queue"
)

// Wave is a request of operators for the maintenance of machines.
type Wave struct {
	ID             string
	Number         int64
	Machines       []string
	Timeout        time.Duration // from the write of the request
	MaxUnavailable int           // machines that may be down at once
}

// Decoder reads the operators' documents.
type Decoder interface {
	// Prefix is the prefix of the keys of the documents.
	Prefix() string
	// Configuration returns the configuration under a key, or nil if the key
	// is another.
	Configuration(i rosemarysill.Item) (*queue.Configuration, error)
	// Domain returns the failure domain that a key takes out.
	Domain(key string) (string, bool)
	// Wave returns the wave under a key, and whether the key is that of one.
	Wave(i rosemarysill.Item) (Wave, bool, error)
}

// Declarations are an entry's copy of the documents.
type Declarations struct {
	*jobstore.Follower
	form Decoder
	log  zerolog.Logger

	mu    sync.Mutex
	cfg   *queue.Configuration
	out   map[string]bool
	waves map[string]Wave // by key
}

// New returns an empty copy.
func New(s rosemarysill.TransactionalStore, form Decoder, log zerolog.Logger) *Declarations {
	d := &Declarations{form: form, log: log, out: make(map[string]bool), waves: make(map[string]Wave)}
	d.Follower = jobstore.NewFollower(s, form.Prefix(), d.apply, func(err error) {
		event.QueueStoreLost.Log(log).Str("Prefix", form.Prefix()).Err(err).Send()
	}, func() {
		event.QueueStoreBack.Log(log).Str("Prefix", form.Prefix()).Send()
	})
	d.SetUnbatched(true) // they are few, and have to be in force at once
	return d
}

// Run follows the documents until ctx ends.
func (d *Declarations) Run(ctx context.Context) { d.Follower.Run(ctx) }

// Configuration returns the newest configuration, or nil.
func (d *Declarations) Configuration() *queue.Configuration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cfg
}

// DomainOut reports whether a failure domain is taken out.
func (d *Declarations) DomainOut(domain string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.out[domain]
}

// Waves returns the waves by key.
func (d *Declarations) Waves() map[string]Wave {
	d.mu.Lock()
	defer d.mu.Unlock()
	return maps.Clone(d.waves)
}

func (d *Declarations) apply(c rosemarysill.Change) {
	d.mu.Lock()
	defer d.mu.Unlock()
	key := c.Item.Key
	if domain, ok := d.form.Domain(key); ok {
		d.applyDomain(domain, !c.Deleted)
		return
	}
	if c.Deleted {
		delete(d.waves, key)
		return
	}
	cfg, err := d.form.Configuration(c.Item)
	if err == nil && cfg != nil {
		d.applyConfiguration(cfg)
		return
	}
	w, ok, waveErr := d.form.Wave(c.Item)
	if err == nil {
		err = waveErr
	}
	if err != nil {
		event.QueueConfigBad.Log(d.log).Str("Key", key).Err(err).Send()
		return
	}
	if ok {
		d.waves[key] = w
	}
}

func (d *Declarations) applyDomain(domain string, out bool) {
	if out == d.out[domain] {
		return
	}
	if out {
		d.out[domain] = true
		event.QueueDomainOut.Log(d.log).Str("Domain", domain).Send()
		return
	}
	delete(d.out, domain)
	event.QueueDomainIn.Log(d.log).Str("Domain", domain).Send()
}

// applyConfiguration takes a configuration unless a newer one is in force.
func (d *Declarations) applyConfiguration(cfg *queue.Configuration) {
	if d.cfg != nil && cfg.Version <= d.cfg.Version {
		return
	}
	d.cfg = cfg
	event.QueueConfigured.Log(d.log).Int64("Version", cfg.Version).Uint64("Revision", cfg.Revision).Send()
}
