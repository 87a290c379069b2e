package job_test

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/google/uuid"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/job"
	"github.com/rosemarysill/rosemarysill/kvstore"
	"github.com/rosemarysill/rosemarysill/standin"
)

// Guards against a record that another writer has left under the key of a job and that
// replaces another job, or keeps the book from following the others.
func TestOddRecordChangesNoJob(t *testing.T) {
	id, odd := uuid.New(), uuid.New()
	own := rosemarysill.Job{Spec: rosemarysill.JobSpec{ID: id}}
	value, err := json.Marshal(own)
	require.NoError(t, err)
	for name, c := range map[string]string{
		"of another job":   string(value),
		"number too large": `{"Spec":{"ID":7e999}}`,
		"no identifier":    `{"Spec":{}}`,
		"deeply nested":    strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000),
		"empty":            "",
	} {
		t.Run(name, func(t *testing.T) {
			b := job.NewBook(standin.NewStore(standin.StoreOptions{}), zerolog.Nop(), func() {})
			b.Update(kvstore.Update{Full: true, Items: []rosemarysill.Item{{Key: job.Key(id), Value: value, Version: 1}, {Key: job.Key(odd), Value: []byte(c), Version: 2}}})
			all, loaded := b.All()
			require.True(t, loaded)
			require.Equal(t, []job.Stored{{Job: own, Version: 1}}, all)
		})
	}
}
