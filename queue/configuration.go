// Package queue defines the configuration that operators declare, which consists
// of queues, client accounts, services and limits, and the interface of the calls
// about jobs.
package queue

import (
	"net"
	"strings"
	"time"
)

// Queue accepts jobs for one service, with one set of scheduling parameters.
type Queue struct {
	Name        string
	Host        string
	Prefix      string
	Service     string
	Priority    int // 0 is the highest
	MaxAttempts int
	MaxSlowdown float64
	Objective   time.Duration
	Timeout     time.Duration
	Public      bool // calls need no key
	Advice      *Advice
}

// Advice holds the parameters of the advice service. If a queue has them, only
// workers that the service names may run its jobs.
type Advice struct {
	CallTime      time.Duration // time that the service needs for a call
	TimePerWorker time.Duration // additional time for each worker in the call
	TicketTTL     time.Duration // time for which a ticket is valid
}

// Account is a client account.
type Account struct {
	Name                   string
	Keys                   []string
	GuaranteedAccelerators int64 // for its jobs of priority 0
}

// Service is a pool of workers.
type Service struct {
	Name      string
	CanReject bool // its workers reject tasks that exceed their capacity
	Standby   bool // its machines are switched off
}

// Limits bounds the requests of callers.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Configuration is one version of the operators' configuration.
type Configuration struct {
	Version  int64
	Key      string // under which the store holds it
	Revision uint64 // version of the key in the store
	Queues   []Queue
	Services map[string]Service
	Accounts map[string]Account
	Limits   Limits

	accountByKey map[string]string // names of accounts by API key, built by Index
}

// ConfigID identifies a configuration. The zero value stands for none.
type ConfigID struct {
	Version  int64  // given by the operators
	Revision uint64 // of the key in the store
}

// ID returns the identification of a configuration, which may be nil.
func (c *Configuration) ID() ConfigID {
	if c == nil {
		return ConfigID{}
	}
	return ConfigID{Version: c.Version, Revision: c.Revision}
}

// Index builds the index that Account uses. It must be called once, before Account.
func (c *Configuration) Index() {
	c.accountByKey = make(map[string]string)
	for name, a := range c.Accounts {
		for _, k := range a.Keys {
			c.accountByKey[k] = name
		}
	}
}

// Find returns the queue of the host whose prefix is the longest one that matches
// the path, and the part of the path behind the prefix. It returns nil if none
// matches.
func (c *Configuration) Find(host, path string) (*Queue, string) {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	var longest *Queue
	for i := range c.Queues {
		candidate := &c.Queues[i]
		if strings.EqualFold(candidate.Host, host) && strings.HasPrefix(path, candidate.Prefix) && (longest == nil || len(candidate.Prefix) > len(longest.Prefix)) {
			longest = candidate
		}
	}
	if longest == nil {
		return nil, ""
	}
	return longest, path[len(longest.Prefix):]
}

// Account returns the name of the client account that a key belongs to.
func (c *Configuration) Account(key string) (string, bool) {
	name, ok := c.accountByKey[key]
	return name, ok && key != ""
}
