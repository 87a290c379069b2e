package entry

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/platform"
)

// jobPrefix is the prefix of the store keys of jobs.
const jobPrefix = "job/"

// jobKey returns the store key of a job.
func jobKey(id uuid.UUID) string { return jobPrefix + id.String() }

// storedJob is a job with the version of its key.
type storedJob struct {
	job     rosemarysill.Job
	version uint64
}

// book is this entry's copy of the jobs in the store, kept by a watch. Its
// records may be old; a compare-and-swap on their version shows whether they
// are.
type book struct {
	store  rosemarysill.Store
	mu     sync.Mutex
	loaded bool
	jobs   map[uuid.UUID]storedJob
	notify func()
}

func newBook(store rosemarysill.Store, notify func()) *book {
	return &book{store: store, jobs: map[uuid.UUID]storedJob{}, notify: notify}
}

// update takes in a step of the watch on jobPrefix.
func (b *book) update(u platform.Update) {
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
func (b *book) replace(items []rosemarysill.Item) {
	listed := map[uuid.UUID]bool{}
	for _, item := range items {
		if id, ok := b.put(item); ok {
			listed[id] = true
		}
	}
	for id, s := range b.jobs {
		if !listed[id] && s.job.State.Final() {
			delete(b.jobs, id)
		}
	}
	b.loaded = true
}

func (b *book) put(item rosemarysill.Item) (uuid.UUID, bool) {
	var job rosemarysill.Job
	if err := json.Unmarshal(item.Value, &job); err != nil {
		return uuid.Nil, false
	}
	if old, ok := b.jobs[job.Spec.ID]; !ok || old.version < item.Version {
		b.jobs[job.Spec.ID] = storedJob{job: job, version: item.Version}
	}
	return job.Spec.ID, true
}

func (b *book) drop(item rosemarysill.Item) {
	id, err := uuid.Parse(strings.TrimPrefix(item.Key, jobPrefix))
	if err == nil {
		delete(b.jobs, id)
	}
}

// get returns the copy of a job.
func (b *book) get(id uuid.UUID) (storedJob, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, ok := b.jobs[id]
	return s, ok
}

// all returns the copies of all jobs, and whether the book has been loaded.
func (b *book) all() ([]storedJob, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]storedJob, 0, len(b.jobs))
	for _, s := range b.jobs {
		out = append(out, s)
	}
	return out, b.loaded
}

// open counts the jobs that are not final.
func (b *book) open() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, s := range b.jobs {
		if !s.job.State.Final() {
			n++
		}
	}
	return n
}

// read reads a job from the store into the book.
func (b *book) read(ctx context.Context, id uuid.UUID) (storedJob, error) {
	item, err := b.store.Get(ctx, jobKey(id))
	if err != nil {
		return storedJob{}, err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.put(item)
	return b.jobs[id], nil
}

// write swaps the record of a job at the given version. The job gets a new
// WriteID and the time of the change.
func (b *book) write(ctx context.Context, job rosemarysill.Job, version uint64, now time.Time) (storedJob, platform.WriteResult) {
	job.WriteID = uuid.New()
	job.Changed = now
	res := platform.WriteDocument(ctx, b.store, platform.Write{
		Key: jobKey(job.Spec.ID), Document: job, WriteID: job.WriteID, Version: version,
	})
	if res.Effect != platform.TookEffect {
		return storedJob{}, res
	}
	s := storedJob{job: job, version: res.Version}
	b.mu.Lock()
	defer b.mu.Unlock()
	if old, ok := b.jobs[job.Spec.ID]; !ok || old.version < s.version {
		b.jobs[job.Spec.ID] = s
	}
	return s, res
}
