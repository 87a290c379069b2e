// Package queue is the configuration that operators declare: queues, client
// accounts with their keys and guarantees, services, and limits.
package queue

import (
	"net"
	"strings"
	"time"
)

// Queue takes jobs of one kind.
type Queue struct {
	Name        string
	Host        string
	Prefix      string
	Service     string
	Priority    int // 0 comes first
	MaxAttempts int
	MaxSlowdown float64
	Objective   time.Duration
	Timeout     time.Duration
	Public      bool // needs no key
	Advice      *Advice
}

// Advice says that only the workers named by the advice service may run the
// steps of a queue.
type Advice struct {
	CallTime      time.Duration // time of a call
	TimePerWorker time.Duration // and for each worker in it
	TicketTTL     time.Duration // for which a ticket holds
}

// Account is a client account.
type Account struct {
	Name                   string
	Keys                   []string
	GuaranteedAccelerators int64 // accelerators for its jobs of priority 0
}

// Service is a pool of workers.
type Service struct {
	Name      string
	CanReject bool // its workers reject what does not fit
	Standby   bool // its machines are off
}

// Limits bound the requests of callers.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Configuration is one version of what operators declare.
type Configuration struct {
	Version  int64
	Key      string // of the store
	Revision uint64 // of the key
	Queues   []Queue
	Services map[string]Service
	Accounts map[string]Account
	Limits   Limits

	byKey map[string]string
}

// Index prepares the look-ups. It is called once, before the first of them.
func (c *Configuration) Index() {
	c.byKey = make(map[string]string)
	for name, a := range c.Accounts {
		for _, k := range a.Keys {
			c.byKey[k] = name
		}
	}
}

// Find returns the queue with the longest prefix of the path on the host, and
// the rest of the path.
func (c *Configuration) Find(host, path string) (*Queue, string) {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	var best *Queue
	for i := range c.Queues {
		q := &c.Queues[i]
		if strings.EqualFold(q.Host, host) && strings.HasPrefix(path, q.Prefix) && (best == nil || len(q.Prefix) > len(best.Prefix)) {
			best = q
		}
	}
	if best == nil {
		return nil, ""
	}
	return best, path[len(best.Prefix):]
}

// Account returns the client account of a key.
func (c *Configuration) Account(key string) (string, bool) {
	name, ok := c.byKey[key]
	return name, ok && key != ""
}
