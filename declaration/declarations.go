// Package declaration watches the documents that operators write to the store:
// the configuration, the failure domains that are taken out of service, and the
// maintenance waves.
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

// Wave is an operators' request to maintain a set of machines, some at a time.
type Wave struct {
	ID             string
	Number         int64
	Machines       []string
	Timeout        time.Duration // since the request was written
	MaxUnavailable int           // number of machines that may be down at the same time
}

// Decoder decodes the operators' documents.
type Decoder interface {
	// Prefix returns the common prefix of the keys of all documents.
	Prefix() string
	// Configuration decodes the configuration. It returns nil if the key is not
	// that of the configuration.
	Configuration(i rosemarysill.Item) (*queue.Configuration, error)
	// Domain returns the failure domain that the presence of a key takes out of
	// service, and whether the key is of that kind.
	Domain(key string) (string, bool)
	// Wave decodes a wave, and reports whether the key is that of a wave.
	Wave(i rosemarysill.Item) (Wave, bool, error)
}

// Declarations is an entry's local copy of the documents.
type Declarations struct {
	*jobstore.Follower
	decoder Decoder
	log     zerolog.Logger

	mu         sync.Mutex
	cfg        *queue.Configuration
	domainsOut map[string]bool
	waves      map[string]Wave // by key
}

// New returns an empty copy. Run fills it and keeps it up to date.
func New(s rosemarysill.TransactionalStore, decoder Decoder, log zerolog.Logger) *Declarations {
	d := &Declarations{decoder: decoder, log: log, domainsOut: make(map[string]bool), waves: make(map[string]Wave)}
	d.Follower = jobstore.NewFollower(s, decoder.Prefix(), d.apply, func(err error) {
		event.QueueStoreLost.Log(log).Str("Prefix", decoder.Prefix()).Err(err).Send()
	}, func() {
		event.QueueStoreBack.Log(log).Str("Prefix", decoder.Prefix()).Send()
	})
	d.SetUnbatched(true) // changes are rare and have to take effect at once
	return d
}

// Run watches the documents until ctx ends.
func (d *Declarations) Run(ctx context.Context) { d.Follower.Run(ctx) }

// Configuration returns the latest configuration, or nil if none has been read.
func (d *Declarations) Configuration() *queue.Configuration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cfg
}

// DomainOut reports whether a failure domain is taken out of service.
func (d *Declarations) DomainOut(domain string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.domainsOut[domain]
}

// Waves returns the waves by their key in the store.
func (d *Declarations) Waves() map[string]Wave {
	d.mu.Lock()
	defer d.mu.Unlock()
	return maps.Clone(d.waves)
}

func (d *Declarations) apply(c rosemarysill.Change) {
	d.mu.Lock()
	defer d.mu.Unlock()
	key := c.Item.Key
	if domain, ok := d.decoder.Domain(key); ok {
		d.applyDomain(domain, !c.Deleted)
		return
	}
	if c.Deleted {
		delete(d.waves, key)
		return
	}
	cfg, err := d.decoder.Configuration(c.Item)
	if err == nil && cfg != nil {
		d.applyConfiguration(cfg)
		return
	}
	wave, ok, waveErr := d.decoder.Wave(c.Item)
	if err == nil {
		err = waveErr
	}
	if err != nil {
		event.QueueConfigBad.Log(d.log).Str("Key", key).Err(err).Send()
		return
	}
	if ok {
		d.waves[key] = wave
	}
}

func (d *Declarations) applyDomain(domain string, out bool) {
	if out == d.domainsOut[domain] {
		return
	}
	if out {
		d.domainsOut[domain] = true
		event.QueueDomainOut.Log(d.log).Str("Domain", domain).Send()
		return
	}
	delete(d.domainsOut, domain)
	event.QueueDomainIn.Log(d.log).Str("Domain", domain).Send()
}

// applyConfiguration replaces the configuration if the version is a later one.
func (d *Declarations) applyConfiguration(cfg *queue.Configuration) {
	if d.cfg != nil && cfg.Version <= d.cfg.Version {
		return
	}
	d.cfg = cfg
	event.QueueConfigured.Log(d.log).Int64("Version", cfg.Version).Uint64("Revision", cfg.Revision).Send()
}
