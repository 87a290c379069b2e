// Package job keeps an entry's copy of the jobs in the store.
package job

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/event"
	"github.com/rosemarysill/rosemarysill/kvstore"
)

// Prefix is the prefix of the store keys of jobs.
const Prefix = "job/"

// Key returns the store key of a job.
func Key(id uuid.UUID) string { return Prefix + id.String() }

// Stored is a job with the version of its key.
type Stored struct {
	Job     rosemarysill.Job
	Version uint64
}

// Book is this entry's copy of the jobs in the store, kept by a watch. Its
// records may be old; a compare-and-swap on their version shows whether they
// are.
type Book struct {
	store  rosemarysill.Store
	log    zerolog.Logger
	mu     sync.Mutex
	loaded bool
	jobs   map[uuid.UUID]Stored
	notify func()
}

// NewBook returns an empty book; notify is called after each update.
func NewBook(store rosemarysill.Store, log zerolog.Logger, notify func()) *Book {
	return &Book{store: store, log: log, jobs: map[uuid.UUID]Stored{}, notify: notify}
}

// Update takes in a step of the watch on Prefix.
func (b *Book) Update(u kvstore.Update) {
	b.mu.Lock()
	if u.Full {
		b.replace(u.Items)
	}
	for _, c := range u.Changes {
		if c.Deleted {
			b.drop(c.Item)
			continue
		}
		b.put(c.Item)
	}
	b.mu.Unlock()
	b.notify()
}

// replace takes a full list. A record of the list never replaces a newer one
// that this entry has written since the list was read.
func (b *Book) replace(items []rosemarysill.Item) {
	listed := map[uuid.UUID]bool{}
	for _, item := range items {
		if id, ok := b.put(item); ok {
			listed[id] = true
		}
	}
	for id, s := range b.jobs {
		if !listed[id] && s.Job.State.Final() {
			delete(b.jobs, id)
		}
	}
	b.loaded = true
}

func (b *Book) put(item rosemarysill.Item) (uuid.UUID, bool) {
	var job rosemarysill.Job
	err := json.Unmarshal(item.Value, &job)
	if err == nil && item.Key != Key(job.Spec.ID) {
		err = errors.Newf("the record is that of job %s", job.Spec.ID)
	}
	if err != nil {
		event.MalformedDocument.Log(b.log).Str("Key", item.Key).Err(err).Send()
		return uuid.Nil, false
	}
	if old, ok := b.jobs[job.Spec.ID]; !ok || old.Version < item.Version {
		b.jobs[job.Spec.ID] = Stored{Job: job, Version: item.Version}
	}
	return job.Spec.ID, true
}

func (b *Book) drop(item rosemarysill.Item) {
	id, err := uuid.Parse(strings.TrimPrefix(item.Key, Prefix))
	if err == nil {
		delete(b.jobs, id)
	}
}

// Get returns the copy of a job.
func (b *Book) Get(id uuid.UUID) (Stored, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, ok := b.jobs[id]
	return s, ok
}

// All returns the copies of all jobs, and whether the book has been loaded.
func (b *Book) All() ([]Stored, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]Stored, 0, len(b.jobs))
	for _, s := range b.jobs {
		out = append(out, s)
	}
	return out, b.loaded
}

// Open counts the jobs that are not final.
func (b *Book) Open() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, s := range b.jobs {
		if !s.Job.State.Final() {
			n++
		}
	}
	return n
}

// Read reads a job from the store into the book.
func (b *Book) Read(ctx context.Context, id uuid.UUID) (Stored, error) {
	item, err := b.store.Get(ctx, Key(id))
	if err != nil {
		return Stored{}, err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.put(item)
	return b.jobs[id], nil
}

// Write swaps the record of a job at the given version. The job gets a new
// WriteID and the time of the change.
func (b *Book) Write(ctx context.Context, job rosemarysill.Job, version uint64, now time.Time) (Stored, kvstore.WriteResult) {
	job.WriteID = uuid.New()
	job.Changed = now
	res := kvstore.WriteDocument(ctx, b.store, kvstore.Write{
		Key: Key(job.Spec.ID), Document: job, WriteID: job.WriteID, Version: version,
	})
	if res.Effect != kvstore.TookEffect {
		return Stored{}, res
	}
	s := Stored{Job: job, Version: res.Version}
	b.mu.Lock()
	defer b.mu.Unlock()
	if old, ok := b.jobs[job.Spec.ID]; !ok || old.Version < s.Version {
		b.jobs[job.Spec.ID] = s
	}
	return s, res
}
