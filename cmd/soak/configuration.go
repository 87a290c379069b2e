package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/rosemarysill/rosemarysill/event"
	"github.com/rosemarysill/rosemarysill/history"
	"github.com/rosemarysill/rosemarysill/uptime"
)

const (
	// addedQueueCount is the number of queues that a configuration has beside the fixed
	// ones. Each version adds one and removes the oldest.
	addedQueueCount = 4
	// configurationSlack is the time after an answer from which on an entry may not answer
	// by an older configuration.
	configurationSlack = 250 * time.Millisecond
	// checkInterval is the pause between two checks of an entry's configuration.
	checkInterval = 25 * time.Millisecond
)

// addedQueue is a queue that a version of the configuration adds and a later one removes.
type addedQueue struct {
	prefix  string
	added   int64 // version
	removed int64 // version; 0 if there is none
}

// addedQueues are the queues of all versions so far.
type addedQueues struct {
	mu     sync.Mutex
	queues []addedQueue
}

// next adds the queue of a version, removes the oldest one and returns those that are left.
func (a *addedQueues) next(version int64) []addedQueue {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queues = append(a.queues, addedQueue{prefix: fmt.Sprintf("%sv%d/", queuePrefix, version), added: version})
	present := max(0, len(a.queues)-addedQueueCount)
	if present > 0 {
		a.queues[present-1].removed = version
	}
	return a.queues[present:]
}

// pick returns the number of one of the latest queues, which may have been removed.
func (a *addedQueues) pick(r *rand.Rand) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return max(0, len(a.queues)-1-r.IntN(addedQueueCount+2))
}

func (a *addedQueues) get(i int) addedQueue {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.queues[i]
}

// configurationView is the oldest configuration that an entry may answer by, as its answers
// have shown.
type configurationView struct {
	lifetime int               // of the process
	observed []observedVersion // in order of time and of version
}

// observedVersion is the least version that an answer shows.
type observedVersion struct {
	version int64
	at      time.Time
}

// least returns the newest version that had been observed by the given time.
func (v *configurationView) least(by time.Time) int64 {
	for _, o := range slices.Backward(v.observed) {
		if !o.at.After(by) {
			return o.version
		}
	}
	return 0
}

// observe takes the answer to a request about a queue. It returns a description of the
// violation if only an older version than one observed before allows the answer.
func (v *configurationView) observe(q addedQueue, status int, sent, received time.Time) string {
	least := v.least(sent.Add(-configurationSlack))
	var shown int64
	switch {
	case status == http.StatusOK && q.removed != 0 && q.removed <= least:
		return fmt.Sprintf("serves %s, which version %d has removed, after an answer by version %d", q.prefix, q.removed, least)
	case status == http.StatusOK:
		shown = q.added
	case status == http.StatusNotFound && q.removed == 0 && q.added <= least:
		return fmt.Sprintf("does not serve %s, which version %d has added, after an answer by version %d", q.prefix, q.added, least)
	case status == http.StatusNotFound && q.removed != 0 && q.added <= v.least(received):
		shown = q.removed
	default:
		return ""
	}
	if shown > v.least(received) {
		v.observed = append(v.observed, observedVersion{shown, received})
	}
	return ""
}

// changeConfiguration stores a version every second or so until ctx ends.
func (c *callers) changeConfiguration(ctx context.Context, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 96))
	for ctx.Err() == nil {
		uptime.Sleep(ctx, randomDuration(r, 600, 2000))
		if err := c.system.changeQueues(); err != nil {
			c.addViolation("write of a configuration: %v", err)
		}
	}
}

// checkConfiguration asks an entry for the latest queues until ctx ends, and checks that
// the process never answers by an older configuration than before.
func (c *callers) checkConfiguration(ctx context.Context, i int, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 1000+uint64(i)))
	n, view := c.system.nodes[i], &configurationView{}
	for ctx.Err() == nil {
		uptime.Sleep(ctx, checkInterval)
		lifetime, key, picked := n.lifetime(), c.currentKey(), c.system.queues.pick(r)
		if lifetime != view.lifetime {
			view = &configurationView{lifetime: lifetime}
		}
		client := c.client(i, key)
		sent := time.Now()
		a, err := client.Pending(ctx, callTimeout, c.system.queues.get(picked).prefix)
		client.Close()
		if err != nil || n.lifetime() != lifetime {
			continue
		}
		// A version that is stored after the answer can't have decided it.
		violation := view.observe(c.system.queues.get(picked), a.Status, sent, time.Now())
		c.mu.Lock()
		c.configChecks[a.Status]++
		c.mu.Unlock()
		if violation != "" {
			c.addViolation("entry %d %s", i, violation)
		}
	}
}

// forwardsToOutdated returns the number of calls that an entry has forwarded to one with an
// older configuration.
func (s *system) forwardsToOutdated() int {
	relayed, count := event.Definitions()[event.QueueRelayed].Name, 0
	for _, n := range s.nodes[:entryCount] {
		r := history.Reader{}
		if err := r.ReadFiles([]string{n.logFile.Name()}); err != nil {
			printError(err)
		}
		for _, line := range r.Lines {
			if line.Name != relayed {
				continue
			}
			own, other := versionOf(line, "OwnVersion"), versionOf(line, "Version")
			if other > 0 && other < own {
				count++
			}
		}
	}
	return count
}

// versionOf returns a version from a log line, 0 if the line has none.
func versionOf(l history.Line, field string) int64 {
	n, err := strconv.ParseInt(l.Value(field), 10, 64)
	if err != nil {
		return 0
	}
	return n
}
