package rosemarysill

import (
	"time"

	"github.com/rs/zerolog"
)

// Options are the exchangeable parts of a process.
type Options struct {
	Store   Store
	Policy  Policy
	Agents  Agents
	Peers   Peers
	Timings Timings
	Now     func() time.Time
	Log     zerolog.Logger
}

// Option sets one of the Options.
type Option func(*Options)

// NewOptions returns the defaults, changed by opts.
func NewOptions(opts ...Option) Options {
	o := Options{Timings: DefaultTimings(), Now: time.Now, Log: zerolog.Nop()}
	for _, set := range opts {
		set(&o)
	}
	return o
}

// WithStore sets the store.
func WithStore(s Store) Option { return func(o *Options) { o.Store = s } }

// WithPolicy sets the placement policy.
func WithPolicy(p Policy) Option { return func(o *Options) { o.Policy = p } }

// WithAgents sets the connections to agents.
func WithAgents(a Agents) Option { return func(o *Options) { o.Agents = a } }

// WithPeers sets the connections to other entries.
func WithPeers(p Peers) Option { return func(o *Options) { o.Peers = p } }

// WithTimings sets the intervals of the protocol.
func WithTimings(t Timings) Option { return func(o *Options) { o.Timings = t } }

// WithNow sets the clock.
func WithNow(now func() time.Time) Option { return func(o *Options) { o.Now = now } }

// WithLog sets the logger.
func WithLog(l zerolog.Logger) Option { return func(o *Options) { o.Log = l } }
